//! A listening socket that can stop and resume without losing its port.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

use async_io::Async;
use rustix::net::{Shutdown, listen, shutdown};

const BACKLOG: i32 = 1_024;
const BIND_ATTEMPTS: usize = 32;

/// A socket bound to one address.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    socket: Async<TcpListener>,
}

impl Listener {
    /// Listens on `address`; port 0 lets the kernel choose.
    pub(crate) fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = bind_by_number(address)?;
        Ok(Self {
            address: listener.local_addr()?,
            socket: Async::new(listener)?,
        })
    }

    /// Address that it is bound to.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses connections and resets those that wait; the port stays bound.
    pub(crate) fn close(&self) -> io::Result<()> {
        Ok(shutdown(&self.socket, Shutdown::Both)?)
    }

    /// Accepts connections again.
    pub(crate) fn reopen(&self) -> io::Result<()> {
        Ok(listen(&self.socket, BACKLOG)?)
    }

    /// Next connection.
    pub(crate) async fn accept(&self) -> io::Result<Async<TcpStream>> {
        let (stream, _) = self.socket.accept().await?;
        Ok(stream)
    }
}

/// Binds to a port by its number. Linux releases a port that the kernel chose
/// once its socket stops listening, so a first socket only draws the number.
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
