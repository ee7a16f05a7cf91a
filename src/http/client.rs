//! Sends one request over a new connection and reads its whole answer.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::FutureExt;
use futures_lite::future;
use http_types::{Method, Url};

use super::{Reply, Request};

/// Bounds of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time to connect, in ms.
    pub connect_ms: u64,
    /// Time from the first byte written to the whole answer read, in ms.
    pub answer_ms: u64,
    /// Largest body of the answer, in bytes.
    pub max_body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect_ms: 1_000,
            answer_ms: 30_000,
            max_body: 16 << 20,
        }
    }
}

/// Why an exchange gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was written.
    NotSent(String),
    /// The request may have been received.
    Sent(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Sent(cause) => write!(f, "sent without a whole answer: {cause}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Sends `request` to `address` and reads the whole answer.
///
/// # Errors
/// Tells whether any byte of the request may have been received.
pub async fn send(
    address: SocketAddr,
    request: &Request,
    limits: &Limits,
) -> Result<Reply, SendError> {
    let connect = async { TcpStream::connect(address).await.map_err(|e| e.to_string()) };
    let stream = within(limits.connect_ms, connect)
        .await
        .map_err(SendError::NotSent)?;
    within(limits.answer_ms, exchange(stream, address, request, limits))
        .await
        .map_err(SendError::Sent)
}

async fn within<T>(
    limit_ms: u64,
    work: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    let timeout = async {
        Timer::after(Duration::from_millis(limit_ms)).await;
        Err(format!("timeout after {limit_ms} ms"))
    };
    future::or(work, timeout).await
}

async fn exchange(
    stream: TcpStream,
    address: SocketAddr,
    request: &Request,
    limits: &Limits,
) -> Result<Reply, String> {
    let method: Method = request.method.parse().map_err(|_| "unknown method")?;
    let url =
        Url::parse(&format!("http://{address}{}", request.path)).map_err(|e| e.to_string())?;
    let mut outgoing = http_types::Request::new(method, url);
    for (name, value) in &request.headers {
        outgoing.append_header(name.as_str(), value.as_str());
    }
    outgoing.set_body(request.body.as_slice());
    let mut incoming = async_h1::connect(stream, outgoing)
        .boxed()
        .await
        .map_err(|e| e.to_string())?;
    let declared = incoming.len();
    let body = incoming.body_bytes().await.map_err(|e| e.to_string())?;
    if body.len() > limits.max_body {
        return Err("body over the limit".to_owned());
    }
    if declared.is_some_and(|n| n != body.len()) {
        return Err("body cut".to_owned());
    }
    let headers = incoming
        .iter()
        .map(|(name, values)| (name.as_str().to_owned(), values.as_str().to_owned()))
        .collect();
    Ok(Reply {
        status: incoming.status() as u16,
        headers,
        body,
    })
}
