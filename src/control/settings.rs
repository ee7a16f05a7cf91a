//! Settings of the control thread that differ between processes.

use super::snapshotter::SNAPSHOT_INTERVAL_RECORDS;

/// Settings of the control thread.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of records after which the planner stores the next snapshot.
    pub snapshot_every: u64,
    /// True when this process exchanges heartbeats with other members.
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
