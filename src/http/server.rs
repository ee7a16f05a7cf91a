//! Accepts connections and hands whole requests to a handler.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::Task;
use async_net::{TcpListener, TcpStream};
use http_types::{Response, StatusCode};

use super::{Reply, Request};
use crate::runtime::Runtime;

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections open at a time.
    pub connections: usize,
    /// Largest head of a request, in bytes.
    pub max_head: usize,
    /// Largest body of a request, in bytes.
    pub max_body: usize,
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
            connections: 1_024,
            max_head: 8 << 10,
            max_body: 1 << 20,
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

/// A running server; it stops accepting when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
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
        let address = listener.local_addr()?;
        let listener = TcpListener::try_from(listener)?;
        let accept = accept(listener, runtime.clone(), limits, Arc::new(handler));
        Ok(Self {
            address,
            _accept: runtime.spawn(accept),
        })
    }

    /// Address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<H: Handler>(
    listener: TcpListener,
    runtime: Runtime,
    limits: ServerLimits,
    handler: Arc<H>,
) {
    while let Ok((stream, caller)) = listener.accept().await {
        let handler = Arc::clone(&handler);
        runtime
            .spawn(serve(stream, caller, limits, handler))
            .detach();
    }
}

async fn serve<H: Handler>(
    stream: TcpStream,
    caller: SocketAddr,
    limits: ServerLimits,
    handler: Arc<H>,
) {
    let _ = async_h1::accept(stream, |incoming| {
        let handler = Arc::clone(&handler);
        async move {
            let request = read(incoming, &limits).await?;
            let reply = handler.handle(request, caller).await;
            answer(reply)
        }
    })
    .await;
}

async fn read(
    mut incoming: http_types::Request,
    limits: &ServerLimits,
) -> http_types::Result<Request> {
    let body = incoming.body_bytes().await?;
    if body.len() > limits.max_body {
        return Err(http_types::Error::from_str(
            StatusCode::PayloadTooLarge,
            "body over the limit",
        ));
    }
    let url = incoming.url();
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let headers = incoming
        .iter()
        .flat_map(|(name, values)| values.iter().map(move |v| (name, v)))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_str().to_owned()))
        .collect();
    Ok(Request {
        method: incoming.method().to_string(),
        path,
        headers,
        body,
    })
}

fn answer(reply: Reply) -> http_types::Result<Response> {
    let status = StatusCode::try_from(reply.status)?;
    let mut outgoing = Response::new(status);
    for (name, value) in &reply.headers {
        outgoing.append_header(name.as_str(), value.as_str());
    }
    outgoing.set_body(reply.body);
    Ok(outgoing)
}
