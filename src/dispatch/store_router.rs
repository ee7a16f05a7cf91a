//! Chooses the way to the store: straight, or through another process that reaches it.
//!
//! The store may turn single processes away, or a partition may cut them off from it,
//! while it serves the others.

use std::net::SocketAddr;

use crate::scheduler::Millis;

/// Time between two probes of the direct way while it fails, in ms.
const PROBE_INTERVAL_MS: Millis = 1_000;

/// Time for which no detour is tried after one led nowhere, in ms: the store is then
/// likely to be down for all.
const RELAY_PAUSE_MS: Millis = 300;

/// A way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRoute {
    /// The store's own address.
    Direct,
    /// The process at this address hands the call on.
    Peer(SocketAddr),
}

/// What is known of the ways to the store.
#[derive(Debug, Default)]
pub struct StoreRouter {
    peers: Vec<SocketAddr>,
    /// Peer that is used, as an index that is taken modulo their number.
    current: usize,
    /// When the direct way is probed next; `None` while it works.
    probe_at: Option<Millis>,
    relay_paused_until: Millis,
}

impl StoreRouter {
    /// The other processes.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.peers = peers;
    }

    /// The way for a call that is sent now.
    #[must_use]
    pub fn choose(&self, now: Millis) -> StoreRoute {
        match self.probe_at {
            None => StoreRoute::Direct,
            Some(_) => self
                .relay_peer(now)
                .map_or(StoreRoute::Direct, StoreRoute::Peer),
        }
    }

    /// True when the direct way should be probed now. No other call does that: it might
    /// wait for its answer in vain, and hold up what comes after it.
    pub fn probe_due(&mut self, now: Millis) -> bool {
        let due = self.probe_at.is_some_and(|at| now >= at);
        if due {
            self.probe_at = Some(now + PROBE_INTERVAL_MS);
        }
        due
    }

    /// A peer that may be tried; `None` when there is none, or none leads to the store.
    #[must_use]
    pub fn relay_peer(&self, now: Millis) -> Option<SocketAddr> {
        if now < self.relay_paused_until || self.peers.is_empty() {
            return None;
        }
        self.peers.get(self.current % self.peers.len()).copied()
    }

    /// A direct call was served, or not. Returns true when that is news.
    pub fn record_direct(&mut self, served: bool, now: Millis) -> bool {
        let failed = self.probe_at.is_some();
        if served {
            self.probe_at = None;
        } else if !failed {
            self.probe_at = Some(now + PROBE_INTERVAL_MS);
        }
        failed == served
    }

    /// A call through a peer was served, or not; the next goes through another one.
    pub const fn record_relayed(&mut self, served: bool, now: Millis) {
        if !served {
            self.current = self.current.wrapping_add(1);
            self.relay_paused_until = now + RELAY_PAUSE_MS;
        }
    }
}
