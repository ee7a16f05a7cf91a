//! A listening socket that can stop listening and resume on the same port.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

use async_io::Async;
use rustix::net::{Shutdown, listen, shutdown};

const BACKLOG: i32 = 1_024;
const BIND_ATTEMPTS: usize = 32;

/// A listening socket that stays bound to its address while closed.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    socket: Async<TcpListener>,
}

impl Listener {
    /// Starts to listen on `address`; with port 0 the kernel assigns a port.
    pub(crate) fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = bind_by_number(address)?;
        Ok(Self {
            address: listener.local_addr()?,
            socket: Async::new(listener)?,
        })
    }

    /// Address that the socket is bound to, with the assigned port.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new connections and resets those not yet accepted; the port stays bound.
    pub(crate) fn close(&self) -> io::Result<()> {
        Ok(shutdown(&self.socket, Shutdown::Both)?)
    }

    /// Listens again after [`Listener::close`].
    pub(crate) fn reopen(&self) -> io::Result<()> {
        Ok(listen(&self.socket, BACKLOG)?)
    }

    /// Waits for the next connection.
    pub(crate) async fn accept(&self) -> io::Result<Async<TcpStream>> {
        let (stream, _) = self.socket.accept().await?;
        Ok(stream)
    }
}

/// Binds to a port by its number. Linux releases a port that the kernel assigned once its socket
/// stops listening, so for port 0 a first socket only finds a free number.
fn bind_by_number(address: SocketAddr) -> io::Result<TcpListener> {
    if address.port() != 0 {
        return TcpListener::bind(address);
    }
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..BIND_ATTEMPTS {
        let chosen = TcpListener::bind(address)?.local_addr()?;
        match TcpListener::bind(chosen) {
            Ok(listener) => return Ok(listener),
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}
