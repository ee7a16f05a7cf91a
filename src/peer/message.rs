//! Messages between processes, carried as rmp-serde over HTTP.

use serde::{Deserialize, Serialize};

use crate::id::{DataCentre, Incarnation, MemberId, Offset, QueueId, RequestId, TeamId};
use crate::outcome::{Answer, Outcome, Reason};

/// A message to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Hands a caller's request to the owner of its queue.
    Forward(Forward),
    /// Says that the sender is alive.
    Heartbeat(Heartbeat),
    /// Asks for the whole folded state.
    State,
    /// Notes an idempotency key, with the SHA-256 of method, path and body.
    Note(IdempotencyKey, [u8; 32]),
    /// Says what became of a request under a noted key.
    Settle(IdempotencyKey, Outcome),
}

/// Answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answer to [`PeerRequest::Forward`].
    Outcome(Outcome),
    /// Answer to [`PeerRequest::Heartbeat`]: the receiver's own state.
    Heartbeat(Heartbeat),
    /// Answer to [`PeerRequest::State`]: a sealed snapshot.
    State(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Answer to [`PeerRequest::Note`].
    Claim(KeyStatus),
    /// Answer to [`PeerRequest::Settle`].
    Settled,
}

/// An idempotency key; teams and queues have keys of their own.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The team that the request counts for.
    pub team: TeamId,
    /// The queue.
    pub queue: QueueId,
    /// As the caller sent it.
    pub key: String,
}

/// What a holder of idempotency keys knows of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyStatus {
    /// It was not known; the request may run.
    First,
    /// The first request under it is still running.
    Running,
    /// The first request was answered.
    Answered(Answer),
    /// The first request may have run.
    Unknown(Reason),
    /// The first request under it was another one.
    Differs,
    /// No more keys can be remembered.
    Full,
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
    pub idempotency_key: Option<String>,
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
    /// Highest offset that it knows of: the next to be folded, or a later head of the log.
    pub offset: Offset,
    /// Age of its last verified head of the log, in ms.
    pub verified_ms: Option<u64>,
    /// What it has heard of the members of its data centre, itself included.
    pub heard: Vec<LastHeard>,
    /// What it has heard of other data centres.
    pub data_centres: Vec<DataCentreSummary>,
}

/// Newest sign of life of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastHeard {
    /// The member.
    pub member: MemberId,
    /// Start of its run.
    pub incarnation: Incarnation,
    /// Number of heartbeats that the run has made.
    pub heartbeat_count: u64,
    /// Time since that heartbeat, in ms, without the time on the network.
    pub age_ms: u64,
}

/// Summary of a data centre for the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreSummary {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Its member that was heard last.
    pub last_heard: LastHeard,
    /// Members that the witness suspects of having failed.
    pub suspects: Vec<MemberId>,
    /// Age of the oldest sign of life of its members that are not suspected, in ms.
    pub age_ms: u64,
}
