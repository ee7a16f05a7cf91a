//! What a process may set about its control thread.

use std::net::SocketAddr;

use super::keeper::SNAPSHOT_EVERY;

/// Settings of the control thread.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Records between two snapshots.
    pub snapshot_every: u64,
    /// Processes to ask for their state when the log is away and nobody else is known.
    pub seeds: Vec<SocketAddr>,
    /// True when heartbeats are exchanged with other members.
    pub beats: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            snapshot_every: SNAPSHOT_EVERY,
            seeds: Vec::new(),
            beats: false,
        }
    }
}
