//! Sends requests over pooled connections.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use anyhow::{Result, anyhow, ensure};
use async_h1::client::{Encoder, decode};
use async_lock::Semaphore;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request, Url};

/// An HTTP request of the load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadRequest {
    /// HTTP method in upper case, such as `POST`.
    pub method: String,
    /// Path and query of the URL.
    pub path: String,
    /// Headers besides those that the HTTP client adds.
    pub headers: Vec<Header>,
    /// Request body; may be empty.
    pub body: Vec<u8>,
    /// Whether a response with status 200 must repeat the body of the request.
    pub echo: bool,
}

/// An HTTP header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Header name.
    pub name: String,
    /// Header value.
    pub value: String,
}

/// What is counted of a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResponseSummary {
    /// Status code.
    pub(super) status: u16,
    /// True if the body should have been that of the request, but was not.
    pub(super) crossed: bool,
}

/// Pool of connections to one address.
#[derive(Debug)]
pub(super) struct Connections {
    address: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
    permits: Semaphore,
}

impl Connections {
    /// Creates an empty pool, which opens up to `max_connections` as needed.
    pub(super) const fn new(address: SocketAddr, max_connections: usize) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
            permits: Semaphore::new(max_connections),
        }
    }

    /// Waits for a connection, sends a request, and reads the complete response.
    pub(super) async fn exchange(&self, request: &LoadRequest) -> Result<ResponseSummary> {
        let _permit = self.permits.acquire().await;
        let mut stream = self.connect().await?;
        let bytes = encode(self.address, request).await?;
        stream.write_all(&bytes).await?;

        let mut response = decode(stream.clone()).await.map_err(|e| anyhow!(e))?;
        let content_length = response.len();
        let closes = response
            .header("connection")
            .is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"));
        let body = response.body_bytes().await.map_err(|e| anyhow!(e))?;
        ensure!(
            content_length.is_none_or(|n| n == body.len()),
            "the body is not as long as its Content-Length"
        );
        if !closes {
            self.keep_idle(stream);
        }
        let status = response.status() as u16;
        Ok(ResponseSummary {
            status,
            crossed: request.echo && status == 200 && body != request.body,
        })
    }

    async fn connect(&self) -> Result<TcpStream> {
        if let Some(stream) = self.take_idle() {
            return Ok(stream);
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn take_idle(&self) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop()
    }

    fn keep_idle(&self, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(stream);
    }
}

async fn encode(address: SocketAddr, request: &LoadRequest) -> Result<Vec<u8>> {
    let method: Method = request
        .method
        .parse()
        .map_err(|_| anyhow!("invalid HTTP method"))?;
    let url = Url::parse(&format!("http://{address}{}", request.path))?;
    let mut message = Request::new(method, url);
    for header in &request.headers {
        message.append_header(header.name.as_str(), header.value.as_str());
    }
    message.set_body(request.body.as_slice());
    let mut bytes = Vec::new();
    Encoder::new(message).read_to_end(&mut bytes).await?;
    Ok(bytes)
}
