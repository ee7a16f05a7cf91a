//! Accepts connections and passes complete requests to a handler.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};

use super::connection::Connection;
use super::connection_table::{ConnectionTable, Phase};
use super::{Reply, Request};
use crate::runtime::Runtime;

/// Pause after a failed accept, in ms; without it a process that is out of file descriptors
/// would retry in a busy loop.
const ACCEPT_RETRY_MS: u64 = 20;

/// Size and time limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections that are served at a time. For a further one, the connection with the slowest
    /// incomplete request is closed, or else one whose client does not read its response, or that is
    /// idle. If none has been any of these for 2 s, the further one is refused with status 503.
    pub max_connections: usize,
    /// Bytes that the requests of all connections may hold. Beyond that, connections with incomplete
    /// requests of over 8 KiB are closed with status 503, the largest and slowest first.
    pub max_bytes: usize,
    /// Largest request head, in bytes.
    pub max_head: usize,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Time to wait for the first byte of the next request, in ms.
    pub idle_ms: u64,
    /// Time to read a complete request head, in ms.
    pub head_ms: u64,
    /// Time to read a complete request body, in ms.
    pub body_ms: u64,
    /// Time to write a response, in ms.
    pub write_ms: u64,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_bytes: 32 << 20,
            max_head: 8 << 10,
            max_body: 1 << 20,
            idle_ms: 60_000,
            head_ms: 10_000,
            body_ms: 30_000,
            write_ms: 30_000,
        }
    }
}

/// Responds to complete requests.
pub trait Handler: Send + Sync + 'static {
    /// Responds to one request from `caller`. The future is dropped if the client closes the
    /// connection first.
    fn handle(&self, request: Request, caller: SocketAddr) -> impl Future<Output = Reply> + Send;
}

/// Number of open connections of a server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCount(AtomicUsize);

impl ConnectionCount {
    /// Connections that are open now, including those that are being refused.
    pub(crate) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts one connection until it is dropped.
#[derive(Debug)]
struct CountedConnection(Arc<ConnectionCount>);

impl CountedConnection {
    fn new(connection_count: &Arc<ConnectionCount>) -> (Self, usize) {
        let before = connection_count.0.fetch_add(1, Ordering::Relaxed);
        (Self(Arc::clone(connection_count)), before)
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A running server. Dropping it stops it from accepting; open connections stay open.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connection_count: Arc<ConnectionCount>,
    table: Arc<ConnectionTable>,
    _accept: Task<()>,
}

impl Server {
    /// Listens on `address`; with port 0 the kernel chooses the port.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    pub fn bind(
        address: SocketAddr,
        runtime: &Runtime,
        limits: ServerLimits,
        handler: impl Handler,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        Self::listen(listener, runtime, limits, handler)
    }

    /// Serves the connections of a listener that is already bound.
    ///
    /// # Errors
    /// Fails when the listener can't be set to non-blocking mode.
    pub fn listen(
        listener: std::net::TcpListener,
        runtime: &Runtime,
        limits: ServerLimits,
        handler: impl Handler,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let listener = TcpListener::try_from(listener)?;
        let connection_count = Arc::new(ConnectionCount::default());
        let table = Arc::new(ConnectionTable::new(&limits));
        let acceptor = Acceptor {
            runtime: runtime.clone(),
            limits,
            connection_count: Arc::clone(&connection_count),
            table: Arc::clone(&table),
            handler: Arc::new(handler),
        };
        let accept = acceptor.run(listener);
        Ok(Self {
            address,
            connection_count,
            table,
            _accept: runtime.spawn(accept),
        })
    }

    /// Address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that are open now, including those that are being refused.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connection_count.get()
    }

    /// Connections that were closed to make room for others.
    #[must_use]
    pub fn revoked_connections(&self) -> u64 {
        self.table.revoked()
    }

    /// Requests and connections that were refused before the handler had them, by status; 0 for
    /// connections that were closed without an answer.
    #[must_use]
    pub fn refusals(&self) -> Vec<(u16, u64)> {
        self.table.refused()
    }

    /// Connection count that stays valid after the server is dropped.
    pub(crate) fn connection_count(&self) -> Arc<ConnectionCount> {
        Arc::clone(&self.connection_count)
    }
}

/// Accepts the connections of a server.
struct Acceptor<H> {
    runtime: Runtime,
    limits: ServerLimits,
    connection_count: Arc<ConnectionCount>,
    table: Arc<ConnectionTable>,
    handler: Arc<H>,
}

impl<H: Handler> Acceptor<H> {
    async fn run(self, listener: TcpListener) {
        // Connections that are being refused keep their descriptors for a while.
        let max_open = self.limits.max_connections + (self.limits.max_connections / 4).max(4);
        loop {
            let Ok((stream, caller)) = listener.accept().await else {
                Timer::after(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            };
            let (counted, before) = CountedConnection::new(&self.connection_count);
            if before >= max_open {
                self.table
                    .note_refusal(0, "too many connections are being refused");
                continue;
            }
            let (limits, table) = (self.limits, Arc::clone(&self.table));
            let handler = Arc::clone(&self.handler);
            self.runtime
                .spawn(async move {
                    serve_connection(stream, caller, limits, &table, handler).await;
                    drop(counted);
                })
                .detach();
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    caller: SocketAddr,
    limits: ServerLimits,
    table: &Arc<ConnectionTable>,
    handler: Arc<H>,
) {
    let _ = stream.set_nodelay(true);
    let Some(place) = table.open() else {
        let mut connection = Connection::new(stream, limits, table);
        connection.refuse_over_limit().await;
        return;
    };
    let mut connection = Connection::with_place(stream, limits, table, place);
    while let Some(request) = connection.next_request().await {
        // From here on the request may run, and is no longer given up for another.
        if !connection.enter(Phase::Handling) {
            connection.refuse_over_limit().await;
            return;
        }
        let method = connection.method();
        // Boxed, so that an idle connection reserves no memory for the handler's future.
        let work = Box::pin(handler.handle(request, caller));
        let Some(reply) = connection.run_handler(work).await else {
            return;
        };
        connection.enter(Phase::Writing);
        if !connection.write_reply(&reply, method).await {
            return;
        }
        if !connection.enter(Phase::Idle) {
            return;
        }
    }
}
