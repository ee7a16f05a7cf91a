//! Calls of the control thread to other processes.

use std::net::SocketAddr;

use crate::http::ClientLimits;
use crate::peer::{Client, Heartbeat, PeerReply, PeerRequest};

/// Transport for heartbeats and states between processes.
pub trait Peers: Send + Sync + 'static {
    /// False if this process exchanges no heartbeats, so that a member's silence means
    /// nothing.
    fn sends_heartbeats(&self) -> bool;

    /// Sends a heartbeat and returns the receiver's own; `None` without a valid answer.
    fn send_heartbeat(
        &self,
        to: SocketAddr,
        heartbeat: Heartbeat,
    ) -> impl Future<Output = Option<Heartbeat>> + Send;

    /// Fetches the state of another process as a snapshot; `None` without a valid answer.
    fn fetch_state(&self, of: SocketAddr) -> impl Future<Output = Option<Vec<u8>>> + Send;
}

/// For a process that calls no other and takes every member for alive.
#[derive(Clone, Copy, Debug)]
pub struct NoPeers;

impl Peers for NoPeers {
    fn sends_heartbeats(&self) -> bool {
        false
    }

    async fn send_heartbeat(&self, _to: SocketAddr, _heartbeat: Heartbeat) -> Option<Heartbeat> {
        None
    }

    async fn fetch_state(&self, _of: SocketAddr) -> Option<Vec<u8>> {
        None
    }
}

const HEARTBEAT_LIMITS: ClientLimits = ClientLimits {
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
    fn sends_heartbeats(&self) -> bool {
        true
    }

    async fn send_heartbeat(&self, to: SocketAddr, heartbeat: Heartbeat) -> Option<Heartbeat> {
        let message = PeerRequest::Heartbeat(heartbeat);
        match self.ask(to, &message, &HEARTBEAT_LIMITS).await {
            Ok(PeerReply::Heartbeat(answer)) => Some(answer),
            _ => None,
        }
    }

    async fn fetch_state(&self, of: SocketAddr) -> Option<Vec<u8>> {
        match self.ask(of, &PeerRequest::State, &STATE_LIMITS).await {
            Ok(PeerReply::State(bytes)) => Some(bytes),
            _ => None,
        }
    }
}

/// For a process that is not a member: it fetches states and sends no heartbeats.
#[derive(Debug)]
pub struct FetchOnlyPeers(pub Client);

impl Peers for FetchOnlyPeers {
    fn sends_heartbeats(&self) -> bool {
        false
    }

    async fn send_heartbeat(&self, _to: SocketAddr, _heartbeat: Heartbeat) -> Option<Heartbeat> {
        None
    }

    async fn fetch_state(&self, of: SocketAddr) -> Option<Vec<u8>> {
        self.0.fetch_state(of).await
    }
}
