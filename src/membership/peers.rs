//! What the control thread asks of other processes.

use std::net::SocketAddr;

use crate::http::Limits;
use crate::peer::{Client, Heartbeat, PeerReply, PeerRequest};
use crate::secret::FleetSecret;

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

/// Asks other processes over HTTP.
#[derive(Debug)]
pub struct PeerLink {
    client: Client,
    beats: bool,
}

const BEAT_LIMITS: Limits = Limits {
    connect_ms: 500,
    answer_ms: 900,
    max_body: 64 << 10,
};

const STATE_LIMITS: Limits = Limits {
    connect_ms: 500,
    answer_ms: 10_000,
    max_body: 64 << 20,
};

impl PeerLink {
    /// For an entry: exchanges heartbeats.
    #[must_use]
    pub fn new(secret: FleetSecret) -> Self {
        Self {
            client: Client::new(secret),
            beats: true,
        }
    }

    /// For a process that is no member: it fetches states and sends no heartbeats.
    #[must_use]
    pub fn silent(secret: FleetSecret) -> Self {
        Self {
            client: Client::new(secret),
            beats: false,
        }
    }
}

impl Peers for PeerLink {
    fn beats(&self) -> bool {
        self.beats
    }

    async fn beat(&self, to: SocketAddr, heartbeat: Heartbeat) -> Option<Heartbeat> {
        let message = PeerRequest::Heartbeat(heartbeat);
        match self.client.ask(to, &message, &BEAT_LIMITS).await {
            Ok(PeerReply::Heartbeat(answer)) => Some(answer),
            _ => None,
        }
    }

    async fn state(&self, of: SocketAddr) -> Option<Vec<u8>> {
        match self
            .client
            .ask(of, &PeerRequest::State, &STATE_LIMITS)
            .await
        {
            Ok(PeerReply::State(bytes)) => Some(bytes),
            _ => None,
        }
    }
}
