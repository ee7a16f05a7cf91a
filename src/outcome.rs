//! Result of a caller's request, as every process on its way reports it.

use serde::{Deserialize, Serialize};

/// Complete response of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values, without hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// Body, complete.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Result of a request; the caller gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A target sent a complete response.
    Answered(Answer),
    /// No target has run the request and none will, so the caller may safely repeat it.
    NotRun(Reason),
    /// A target may have run the request, but its response is not available.
    Unknown(Reason),
}

/// Why a request has no response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The queue is not in the accepted document.
    NoQueue,
    /// The request carries no key and the queue is not open.
    NoKey,
    /// The key is not in the accepted document; it is unknown or was withdrawn.
    BadKey,
    /// The key's team may not use the queue.
    Forbidden,
    /// The accepted document may be out of date, so a withdrawn key may still be in it.
    Stale,
    /// No document has been accepted yet.
    NoDocument,
    /// The queue has reached its limit of waiting requests or bytes.
    QueueFull,
    /// The team has as many requests running as its ceiling allows.
    Ceiling,
    /// The deadline passed, or would have passed, before a target was free.
    Deadline,
    /// No target of the pool can be reached.
    NoTarget,
    /// The target refused the request because it was busy.
    Busy,
    /// The connection closed before the complete response was read.
    Cut,
    /// The target's response violated the protocol.
    BadAnswer,
    /// The target did not respond within the run limit of its service.
    Silent,
    /// The caller disconnected before the request was sent to a target.
    Cancelled,
    /// The request itself is malformed.
    BadRequest,
    /// The process is shutting down.
    Stopping,
    /// An earlier request with the same idempotency key is running, or its response was not stored.
    Repeated,
    /// The idempotency key was used before with a different request.
    KeyReused,
}
