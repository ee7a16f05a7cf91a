//! Heartbeats as messages between processes.

use std::net::SocketAddr;

use super::{Client, Heartbeat, PeerReply, PeerRequest};
use crate::http::Limits;
use crate::membership::Peers;

/// Time for a heartbeat and its answer, in ms.
const BEAT_MS: u64 = 800;

/// Largest answer to a heartbeat, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 10;

impl Peers for Client {
    async fn beat(&self, to: SocketAddr, heartbeat: &Heartbeat) -> Option<Heartbeat> {
        let limits = Limits {
            connect_ms: BEAT_MS,
            answer_ms: BEAT_MS,
            max_body: MAX_ANSWER_BYTES,
        };
        let message = PeerRequest::Heartbeat(heartbeat.clone());
        match self.ask(to, &message, &limits).await {
            Ok(PeerReply::Heartbeat(answer)) => Some(answer),
            Ok(PeerReply::Outcome(_)) | Err(_) => None,
        }
    }
}
