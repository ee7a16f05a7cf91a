//! Messages between processes, encoded as `MessagePack` and carried over HTTP.
//!
//! Structs are encoded as arrays, so the order of fields matters and their names do not; enum
//! variants are encoded by name.

use serde::{Deserialize, Serialize};

use crate::id::{DataCentre, Incarnation, MemberId, Offset, QueueId, RequestId, TeamId};
use crate::outcome::{Answer, Outcome, Reason};

/// A request to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Forwards a caller's request to the owner of its queue.
    Forward(Forward),
    /// Shows that the sender is alive, and what it has heard of others.
    Heartbeat(Heartbeat),
    /// Requests the whole folded state.
    State,
    /// Records an idempotency key with the SHA-256 of the request's method, path and body.
    Note(IdempotencyKey, [u8; 32]),
    /// Reports the outcome of a request whose key was recorded.
    Settle(IdempotencyKey, Outcome),
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to [`PeerRequest::Forward`]; also to a heartbeat or state request of a process
    /// that is stopping.
    Outcome(Outcome),
    /// Reply to [`PeerRequest::Heartbeat`]: a heartbeat of the receiver.
    Heartbeat(Heartbeat),
    /// Reply to [`PeerRequest::State`]: an authenticated snapshot.
    State(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Reply to [`PeerRequest::Note`]: what was known of the key.
    Claim(KeyStatus),
    /// Reply to [`PeerRequest::Settle`].
    Settled,
}

/// An idempotency key in the scope of a team and a queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// Team that the request counts for.
    pub team: TeamId,
    /// Queue that the request was sent to.
    pub queue: QueueId,
    /// Value of the caller's header.
    pub key: String,
}

/// What a process that records idempotency keys knows of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyStatus {
    /// The key was not known; the request may run.
    First,
    /// The first request with the key is still running.
    Running,
    /// The first request with the key got this answer.
    Answered(Answer),
    /// The first request with the key may have run, but its answer is not known or was not kept.
    Unknown(Reason),
    /// The first request with the key had another method, path or body.
    Differs,
    /// The key was not recorded, because no more keys can be kept.
    Full,
}

/// An admitted request on its way to the owner of its queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Request id, unchanged from end to end.
    pub id: RequestId,
    /// Queue that the request was sent to.
    pub queue: QueueId,
    /// Team that the request counts for.
    pub team: TeamId,
    /// Urgency from 0, the most urgent, to 7, the least.
    pub urgency: u8,
    /// Time left until the deadline, in ms.
    pub wait_ms: u64,
    /// The caller's idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query below the queue.
    pub path: String,
    /// Header names and values, without hop-by-hop headers and the caller's API key.
    pub headers: Vec<(String, String)>,
    /// The whole body of the request.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Number of processes that have forwarded the request so far.
    pub hops: u8,
}

/// Message that shows that its sender is running, with what the sender knows of the log and of
/// other members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Process that sent the heartbeat.
    pub member: MemberId,
    /// Incarnation of the sender; rises with each start of the process.
    pub incarnation: Incarnation,
    /// Highest offset that the sender knows of: its next to be folded, or a later head of the
    /// log.
    pub offset: Offset,
    /// Time since the sender last knew that it had folded the head of the log, in ms; `None`
    /// if it never did.
    pub verified_ms: Option<u64>,
    /// Members of the sender's data centre that it has lately heard of, itself included.
    pub heard: Vec<LastHeard>,
    /// What the sender has heard of other data centres.
    pub data_centres: Vec<DataCentreSummary>,
}

/// Newest heartbeat of a member that a process has heard of, directly or through others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastHeard {
    /// Member that made the heartbeat.
    pub member: MemberId,
    /// Incarnation of the member when it made the heartbeat.
    pub incarnation: Incarnation,
    /// Number of heartbeats that this incarnation had made, this one included.
    pub heartbeat_count: u64,
    /// Time since that heartbeat was made, in ms; time on the network is not counted.
    pub age_ms: u64,
}

/// What is known of the members of one data centre, for members of other data centres.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreSummary {
    /// Data centre that is summarized.
    pub data_centre: DataCentre,
    /// Newest heartbeat of the member that supplied this summary; of all its members, the one
    /// heard last.
    pub reporter: LastHeard,
    /// Members of the data centre that the reporter suspects of having failed.
    pub suspects: Vec<MemberId>,
    /// Age of the oldest of the newest heartbeats of its members that are not suspected, in ms.
    pub age_ms: u64,
}
