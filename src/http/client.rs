//! Sends one request over a new connection and reads its whole answer.

use std::fmt;
use std::net::SocketAddr;

use super::{ConnectionPool, Failure, Reply, Request, Reuse};

/// Bounds of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Time to connect, in ms.
    pub connect_ms: u64,
    /// Time from the first byte written to the whole answer read, in ms.
    pub response_ms: u64,
    /// Further time for the body of an answer whose head has come, in ms: a long one over
    /// a slow link says nothing of the other end's health.
    pub body_ms: u64,
    /// Largest body of the answer, in bytes.
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

/// Why an exchange gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was written.
    NotSent(String),
    /// The request may have been received.
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

/// Sends `request` to `address` and reads the whole answer.
///
/// # Errors
/// Tells whether any byte of the request may have been received.
pub async fn send(
    address: SocketAddr,
    request: &Request,
    limits: &ClientLimits,
) -> Result<Reply, SendError> {
    Ok(ConnectionPool::new()
        .send(address, request, Reuse::Never, limits)
        .await?)
}
