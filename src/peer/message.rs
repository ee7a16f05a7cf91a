//! Messages between processes, carried as rmp-serde over HTTP.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, MemberId, Offset, QueueId, RequestId, TeamId};
use crate::outcome::Outcome;

/// A message to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Hands a caller's request to the owner of its queue.
    Forward(Forward),
    /// Says that the sender is alive.
    Heartbeat(Heartbeat),
}

/// Answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answer to [`PeerRequest::Forward`].
    Outcome(Outcome),
    /// Answer to [`PeerRequest::Heartbeat`]: the receiver's own state.
    Heartbeat(Heartbeat),
}

/// A checked request on its way to the owner of its queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Request id, kept end to end.
    pub id: RequestId,
    /// The queue.
    pub queue: QueueId,
    /// The team that the request counts for.
    pub team: TeamId,
    /// 0 is the most urgent and 7 the least.
    pub urgency: u8,
    /// Time left until the deadline, in ms.
    pub wait_ms: u64,
    /// Caller's idempotency key, if any.
    pub idempotency: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query below the queue.
    pub path: String,
    /// Header names and values, without hop-by-hop headers and keys.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Processes that have handed it on so far.
    pub hops: u8,
}

/// State of a process that others need.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub member: MemberId,
    /// Start of this run of the process.
    pub incarnation: Incarnation,
    /// Next offset that it will fold.
    pub offset: Offset,
    /// Age of its last verified head of the log, in ms.
    pub verified_ms: Option<u64>,
}
