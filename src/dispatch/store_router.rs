//! Chooses the route of calls to the store: direct, or through another process.
//!
//! The store may refuse single processes, or a network partition may separate them from it, while
//! it serves the others.

use std::net::SocketAddr;

use crate::scheduler::Millis;

/// Time between two probes of the direct route while it fails, in ms.
const PROBE_INTERVAL_MS: Millis = 1_000;

/// Time for which no peer is used after a call through one was not served, in ms: the store is
/// then likely to be unavailable to all processes.
const RELAY_PAUSE_MS: Millis = 300;

/// Route of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRoute {
    /// To the store's own address.
    Direct,
    /// To the process at this address, which forwards the call to the store.
    Peer(SocketAddr),
}

/// Chooses the route of each call to the store by the outcomes of earlier calls. It does no I/O;
/// times are passed in.
#[derive(Debug, Default)]
pub struct StoreRouter {
    /// Addresses of the other processes.
    peers: Vec<SocketAddr>,
    /// Index of the peer to use; it is taken modulo the number of peers.
    current: usize,
    /// When the direct route is next probed; `None` while it works.
    probe_at: Option<Millis>,
    /// No peer is used before this time.
    relay_paused_until: Millis,
}

impl StoreRouter {
    /// Sets the addresses of the other processes.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.peers = peers;
    }

    /// The route for a call that is sent at `now`. Without a usable peer it is the direct one,
    /// even while that fails.
    #[must_use]
    pub fn choose(&self, now: Millis) -> StoreRoute {
        match self.probe_at {
            None => StoreRoute::Direct,
            Some(_) => self
                .relay_peer(now)
                .map_or(StoreRoute::Direct, StoreRoute::Peer),
        }
    }

    /// Returns whether a probe should be sent by the direct route now, and sets when the next one
    /// is due. Other calls do not probe: one that waits for its answer in vain would delay the
    /// calls after it.
    pub fn probe_due(&mut self, now: Millis) -> bool {
        let due = self.probe_at.is_some_and(|at| now >= at);
        if due {
            self.probe_at = Some(now + PROBE_INTERVAL_MS);
        }
        due
    }

    /// Address of a peer through which a call may be sent at `now`; `None` when there is none, or
    /// a call through one was not served shortly before.
    #[must_use]
    pub fn relay_peer(&self, now: Millis) -> Option<SocketAddr> {
        if now < self.relay_paused_until || self.peers.is_empty() {
            return None;
        }
        self.peers.get(self.current % self.peers.len()).copied()
    }

    /// Notes whether a direct call or probe was served. Returns whether that changes the state of
    /// the direct route.
    pub fn record_direct(&mut self, served: bool, now: Millis) -> bool {
        let failed = self.probe_at.is_some();
        if served {
            self.probe_at = None;
        } else if !failed {
            self.probe_at = Some(now + PROBE_INTERVAL_MS);
        }
        failed == served
    }

    /// Notes whether a call through a peer was served. If not, the next one goes through another
    /// peer, after a pause.
    pub const fn record_relayed(&mut self, served: bool, now: Millis) {
        if !served {
            self.current = self.current.wrapping_add(1);
            self.relay_paused_until = now + RELAY_PAUSE_MS;
        }
    }
}
