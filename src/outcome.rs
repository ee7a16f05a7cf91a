//! What became of a caller's request, from end to end.

use serde::{Deserialize, Serialize};

/// A whole answer of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the target.
    pub status: u16,
    /// Header names and values, without hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// The result of a request; exactly one of these reaches the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A target answered in full.
    Answered(Answer),
    /// No target has run the request or ever will.
    NotRun(Reason),
    /// A target may have run the request.
    Unknown(Reason),
}

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The queue is not in the accepted document.
    NoQueue,
    /// The request carries no key and the queue is not open.
    NoKey,
    /// The key is unknown or withdrawn.
    BadKey,
    /// The key belongs to a team that may not use the queue.
    Forbidden,
    /// The accepted document may be out of date, so a key can't be trusted.
    Stale,
    /// No document has been accepted yet.
    NoDocument,
    /// The queue holds as much as it may.
    QueueFull,
    /// The team runs as much as its ceiling allows.
    Ceiling,
    /// The deadline passed, or would pass, before a target was free.
    Deadline,
    /// The pool has no target that can be reached.
    NoTarget,
    /// The target refused because it was busy.
    Busy,
    /// The connection ended before the whole answer was read.
    Cut,
    /// The answer did not keep to the protocol.
    BadAnswer,
    /// The target did not answer within the run limit.
    Silent,
    /// The caller left before its request was sent.
    Cancelled,
    /// The request itself is malformed.
    BadRequest,
    /// The process is stopping.
    Stopping,
    /// The first request under the same idempotency key runs, or its answer was not kept.
    Repeated,
    /// The idempotency key was used for another request.
    KeyReused,
}
