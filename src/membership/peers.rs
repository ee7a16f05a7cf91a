//! What the control thread asks of other processes.

use std::net::SocketAddr;

use crate::http::ClientLimits;
use crate::peer::{Client, Heartbeat, PeerReply, PeerRequest};

/// Asks other processes.
pub trait Peers: Send + Sync + 'static {
    /// False when no heartbeats are exchanged, so that silence means nothing.
    fn beats(&self) -> bool;

    /// Sends a heartbeat; the answer is the receiver's own, `None` when there is none.
    fn beat(
        &self,
        to: SocketAddr,
        heartbeat: Heartbeat,
    ) -> impl Future<Output = Option<Heartbeat>> + Send;

    /// Fetches the receiver's folded state as a sealed snapshot.
    fn state(&self, of: SocketAddr) -> impl Future<Output = Option<Vec<u8>>> + Send;
}

/// For a process that talks to no other; it takes every member for alive.
#[derive(Clone, Copy, Debug)]
pub struct NoPeers;

impl Peers for NoPeers {
    fn beats(&self) -> bool {
        false
    }

    async fn beat(&self, _to: SocketAddr, _heartbeat: Heartbeat) -> Option<Heartbeat> {
        None
    }

    async fn state(&self, _of: SocketAddr) -> Option<Vec<u8>> {
        None
    }
}

const BEAT_LIMITS: ClientLimits = ClientLimits {
    connect_ms: 500,
    response_ms: 900,
    body_ms: 0,
    max_body: 64 << 10,
};

const STATE_LIMITS: ClientLimits = ClientLimits {
    connect_ms: 500,
    response_ms: 10_000,
    body_ms: 0,
    max_body: 64 << 20,
};

impl Peers for Client {
    fn beats(&self) -> bool {
        true
    }

    async fn beat(&self, to: SocketAddr, heartbeat: Heartbeat) -> Option<Heartbeat> {
        let message = PeerRequest::Heartbeat(heartbeat);
        match self.ask(to, &message, &BEAT_LIMITS).await {
            Ok(PeerReply::Heartbeat(answer)) => Some(answer),
            _ => None,
        }
    }

    async fn state(&self, of: SocketAddr) -> Option<Vec<u8>> {
        match self.ask(of, &PeerRequest::State, &STATE_LIMITS).await {
            Ok(PeerReply::State(bytes)) => Some(bytes),
            _ => None,
        }
    }
}

/// For a process that is no member: it fetches states and sends no heartbeats.
#[derive(Debug)]
pub struct SilentPeers(pub Client);

impl Peers for SilentPeers {
    fn beats(&self) -> bool {
        false
    }

    async fn beat(&self, _to: SocketAddr, _heartbeat: Heartbeat) -> Option<Heartbeat> {
        None
    }

    async fn state(&self, of: SocketAddr) -> Option<Vec<u8>> {
        self.0.state(of).await
    }
}
