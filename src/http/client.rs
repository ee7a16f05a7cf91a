//! Sends one request over a new connection and reads its complete response.

use std::fmt;
use std::net::SocketAddr;

use super::{ConnectionPool, Failure, Reply, Request, Reuse};

/// Time and size limits of one request and its response.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Time to establish the connection, in ms.
    pub connect_ms: u64,
    /// Time from the start of sending to the end of the response head, in ms.
    pub response_ms: u64,
    /// Added to `response_ms` for the complete response once its head has arrived, in ms: a
    /// large body over a slow link does not mean that the server is unhealthy.
    pub body_ms: u64,
    /// Largest response body, in bytes.
    pub max_body: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_ms: 1_000,
            response_ms: 30_000,
            body_ms: 0,
            max_body: 16 << 20,
        }
    }
}

/// Why a request got no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was written, so it has not run; holds the cause.
    NotSent(String),
    /// The server may have received the request and run it; holds the cause.
    MaybeReceived(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::MaybeReceived(cause) => write!(f, "sent without a whole answer: {cause}"),
        }
    }
}

impl std::error::Error for SendError {}

impl From<Failure> for SendError {
    fn from(failure: Failure) -> Self {
        let Failure {
            kind,
            written,
            detail,
        } = failure;
        let cause = format!("{kind:?}: {detail}");
        if written == 0 {
            Self::NotSent(cause)
        } else {
            Self::MaybeReceived(cause)
        }
    }
}

/// Sends `request` to `address` over a new connection and reads the complete response.
///
/// # Errors
/// The variant tells whether the server may have received any byte of the request.
pub async fn send(
    address: SocketAddr,
    request: &Request,
    limits: &ClientLimits,
) -> Result<Reply, SendError> {
    Ok(ConnectionPool::new()
        .send(address, request, Reuse::Never, limits)
        .await?)
}
