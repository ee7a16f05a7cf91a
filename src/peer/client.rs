//! Client that sends a message to another process and authenticates its reply.

use std::fmt;
use std::net::SocketAddr;

use super::auth::{MessageAuth, REPLY_MAC_HEADER};
use super::{PeerReply, PeerRequest};
use crate::http::{ClientLimits, ConnectionPool, FailureKind, Request, Reuse};
use crate::secret::FleetSecret;

/// Why there was no valid reply from another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// No connection was made; the message has had no effect.
    Unreachable(String),
    /// The other process rejected the message without handling it, with this HTTP status.
    Refused(u16),
    /// The message may have been handled.
    Unknown(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(f, "not reached: {cause}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Unknown(cause) => write!(f, "no answer: {cause}"),
        }
    }
}

impl std::error::Error for PeerError {}

/// Sends messages to other processes over connections that are kept open.
#[derive(Debug)]
pub struct Client {
    secret: FleetSecret,
    pool: ConnectionPool,
}

impl Client {
    /// Creates a client that shares `secret` with the other processes.
    #[must_use]
    pub fn new(secret: FleetSecret) -> Self {
        Self {
            secret,
            pool: ConnectionPool::new(),
        }
    }

    /// Sends `message` to `address` and waits for the reply.
    ///
    /// # Errors
    /// Returns an error if there is no valid reply; it tells whether the message may have been
    /// handled.
    pub async fn ask(
        &self,
        address: SocketAddr,
        message: &PeerRequest,
        limits: &ClientLimits,
    ) -> Result<PeerReply, PeerError> {
        let body = rmp_serde::to_vec(message).map_err(|e| PeerError::Unreachable(e.to_string()))?;
        let auth = MessageAuth::new();
        let mut request = Request::new("POST", "/peer", body);
        request.headers = auth.headers(&self.secret, address, &request.body);
        let reply = self
            .pool
            .send(address, &request, reuse(message), limits)
            .await
            .map_err(|failure| match failure.kind {
                _ if failure.written == 0 => PeerError::Unreachable(failure.detail),
                FailureKind::Connect => PeerError::Unreachable(failure.detail),
                kind => PeerError::Unknown(format!("{kind:?}: {}", failure.detail)),
            })?;
        if reply.status != 200 {
            return Err(PeerError::Refused(reply.status));
        }
        let mac = reply.header(REPLY_MAC_HEADER).unwrap_or_default();
        if !auth.check_reply(&self.secret, &reply.body, mac) {
            return Err(PeerError::Unknown("answer is forged".to_owned()));
        }
        rmp_serde::from_slice(&reply.body).map_err(|e| PeerError::Unknown(e.to_string()))
    }

    /// Closes connections that have been idle too long.
    pub fn close_expired(&self) {
        self.pool.close_expired();
    }
}

/// Which idle connections a message may use; heartbeats and state requests may be sent twice
/// without harm.
const fn reuse(message: &PeerRequest) -> Reuse {
    match message {
        PeerRequest::Heartbeat(_) | PeerRequest::State => Reuse::Any,
        _ => Reuse::Recent,
    }
}
