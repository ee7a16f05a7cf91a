//! Heartbeats on their way to other processes.

use std::net::SocketAddr;

use crate::http::Limits;
use crate::peer::{Client, Heartbeat, PeerReply, PeerRequest};

/// Time to connect and time to answer, in ms; a heartbeat that takes longer is lost.
const BEAT_LIMIT_MS: u64 = 1_000;

/// Largest answer to a heartbeat, in bytes.
const MAX_BEAT_BYTES: usize = 4 << 10;

/// Sends heartbeats.
pub trait Peers: Send + Sync + 'static {
    /// Sends a heartbeat; the answer is the receiver's own, `None` when there is none.
    fn beat(
        &self,
        to: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> impl Future<Output = Option<Heartbeat>> + Send;
}

/// For a process that sends no heartbeats; it takes every member for alive.
#[derive(Clone, Copy, Debug)]
pub struct NoPeers;

impl Peers for NoPeers {
    async fn beat(&self, _to: SocketAddr, _heartbeat: &Heartbeat) -> Option<Heartbeat> {
        None
    }
}

impl Peers for Client {
    async fn beat(&self, to: SocketAddr, heartbeat: &Heartbeat) -> Option<Heartbeat> {
        let limits = Limits {
            connect_ms: BEAT_LIMIT_MS,
            answer_ms: BEAT_LIMIT_MS,
            max_body: MAX_BEAT_BYTES,
        };
        let message = PeerRequest::Heartbeat(heartbeat.clone());
        match self.ask(to, &message, &limits).await {
            Ok(PeerReply::Heartbeat(own)) => Some(own),
            _ => None,
        }
    }
}
