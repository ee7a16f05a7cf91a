//! Heartbeats on their way to other processes.

use std::net::SocketAddr;

use crate::peer::Heartbeat;

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
