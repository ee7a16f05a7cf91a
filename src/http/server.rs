//! Accepts connections and hands whole requests to a handler.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};

use super::connection::Connection;
use super::{Reply, Request};
use crate::runtime::Runtime;

/// Pause after a failed accept; a process out of descriptors would spin otherwise.
const ACCEPT_RETRY_MS: u64 = 20;

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections open at a time.
    pub max_connections: usize,
    /// Largest head of a request, in bytes.
    pub max_head: usize,
    /// Largest body of a request, in bytes.
    pub max_body: usize,
    /// Time from an answer to the first byte of the next request, in ms.
    pub idle_ms: u64,
    /// Time to read a whole head, in ms.
    pub head_ms: u64,
    /// Time to read a whole body, in ms.
    pub body_ms: u64,
    /// Time to write an answer, in ms.
    pub write_ms: u64,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_head: 8 << 10,
            max_body: 1 << 20,
            idle_ms: 60_000,
            head_ms: 10_000,
            body_ms: 30_000,
            write_ms: 30_000,
        }
    }
}

/// Answers whole requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; dropped when the caller leaves.
    fn handle(&self, request: Request, caller: SocketAddr) -> impl Future<Output = Reply> + Send;
}

/// Connections of a server, counted.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCount(AtomicUsize);

impl ConnectionCount {
    /// Connections that are open now.
    pub(crate) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// One counted connection.
#[derive(Debug)]
struct CountedConnection(Arc<ConnectionCount>);

impl CountedConnection {
    fn new(count: &Arc<ConnectionCount>) -> (Self, usize) {
        let before = count.0.fetch_add(1, Ordering::Relaxed);
        (Self(Arc::clone(count)), before)
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A running server; it stops accepting when dropped, and open connections go on.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    count: Arc<ConnectionCount>,
    _accept: Task<()>,
}

impl Server {
    /// Listens on `address`; port 0 lets the kernel choose.
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

    /// Serves an address that is bound already.
    ///
    /// # Errors
    /// Fails when the listener can't be used without blocking.
    pub fn listen(
        listener: std::net::TcpListener,
        runtime: &Runtime,
        limits: ServerLimits,
        handler: impl Handler,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let listener = TcpListener::try_from(listener)?;
        let count = Arc::new(ConnectionCount::default());
        let accept = accept_loop(
            listener,
            runtime.clone(),
            limits,
            Arc::clone(&count),
            Arc::new(handler),
        );
        Ok(Self {
            address,
            count,
            _accept: runtime.spawn(accept),
        })
    }

    /// Address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that are open now.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.count.get()
    }

    /// Counts the connections also after the server has gone.
    pub(crate) fn connection_count(&self) -> Arc<ConnectionCount> {
        Arc::clone(&self.count)
    }
}

async fn accept_loop<H: Handler>(
    listener: TcpListener,
    runtime: Runtime,
    limits: ServerLimits,
    count: Arc<ConnectionCount>,
    handler: Arc<H>,
) {
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            Timer::after(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        let (counted, before) = CountedConnection::new(&count);
        let handler = Arc::clone(&handler);
        let over_limit = before >= limits.max_connections;
        runtime
            .spawn(async move {
                serve_connection(stream, caller, limits, over_limit, handler).await;
                drop(counted);
            })
            .detach();
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    caller: SocketAddr,
    limits: ServerLimits,
    over_limit: bool,
    handler: Arc<H>,
) {
    let _ = stream.set_nodelay(true);
    let mut connection = Connection::new(stream, limits);
    if over_limit {
        connection.refuse_over_limit().await;
        return;
    }
    while let Some(request) = connection.next_request().await {
        let method = connection.method();
        // Boxed: a connection without a request then holds no room for one.
        let work = Box::pin(handler.handle(request, caller));
        let Some(reply) = connection.run_handler(work).await else {
            return;
        };
        if !connection.write_reply(&reply, method).await {
            return;
        }
    }
}
