//! Relays TCP connections and counts their bytes, HTTP heads included.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// What a relay has passed on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Traffic {
    /// Connections accepted from clients.
    pub(crate) connections: u64,
    /// Bytes from the clients.
    pub(crate) sent: u64,
    /// Bytes to the clients.
    pub(crate) received: u64,
}

impl Traffic {
    /// Traffic since an earlier reading.
    pub(crate) fn since(self, before: Self) -> Self {
        Self {
            connections: self.connections - before.connections,
            sent: self.sent - before.sent,
            received: self.received - before.received,
        }
    }
}

#[derive(Debug, Default)]
struct Counts {
    connections: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// A relay in front of one server; its threads run until the process ends.
pub(crate) struct Relay {
    /// Where clients connect.
    pub(crate) address: SocketAddr,
    counts: Arc<Counts>,
}

impl Relay {
    pub(crate) fn open(server_address: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let counts = Arc::new(Counts::default());
        let shared = Arc::clone(&counts);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                shared.connections.fetch_add(1, Ordering::Relaxed);
                relay_connection(client, server_address, &shared);
            }
        });
        Self { address, counts }
    }

    /// Traffic since the relay was opened.
    pub(crate) fn traffic(&self) -> Traffic {
        Traffic {
            connections: self.counts.connections.load(Ordering::Relaxed),
            sent: self.counts.sent.load(Ordering::Relaxed),
            received: self.counts.received.load(Ordering::Relaxed),
        }
    }
}

/// Copies bytes in both directions, each on a thread of its own.
fn relay_connection(client: TcpStream, server_address: SocketAddr, counts: &Arc<Counts>) {
    let Ok(server) = TcpStream::connect(server_address) else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (Ok(reader), Ok(writer)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let (request_counts, reply_counts) = (Arc::clone(counts), Arc::clone(counts));
    thread::spawn(move || copy(reader, writer, &request_counts.sent));
    thread::spawn(move || copy(server, client, &reply_counts.received));
}

/// Copies bytes until the connection ends, and then closes the other side for writing.
fn copy(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(length) = from.read(&mut buffer) {
        count.fetch_add(length as u64, Ordering::Relaxed);
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
