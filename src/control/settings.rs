//! What a process may set about its control thread.

use super::snapshotter::SNAPSHOT_INTERVAL_RECORDS;

/// Settings of the control thread.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Records between two snapshots.
    pub snapshot_every: u64,
    /// True when heartbeats are exchanged with other members.
    pub heartbeats: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            snapshot_every: SNAPSHOT_INTERVAL_RECORDS,
            heartbeats: false,
        }
    }
}
