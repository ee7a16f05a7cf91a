//! Decides when this process captures its state for a snapshot.

use std::time::{Duration, Instant};

use sha2::{Digest, Sha256};

use crate::id::{MemberId, Offset};
use crate::ledger::{CHECKPOINT_OFFSETS, ChainDigest, State, encode_snapshot};

/// Default number of records between two snapshots.
pub const SNAPSHOT_INTERVAL_RECORDS: u64 = 4_096;

/// Longest time between two snapshots while there are new records, in ms; the log keeps its
/// records for hours at least.
const MAX_INTERVAL_MS: u64 = 600_000;

/// Number of equal steps in an interval between snapshots.
///
/// The planner captures a snapshot after one interval. Any other process waits for two
/// intervals and 0 to 7 further steps, depending on a hash of its id, so that it only stores a
/// snapshot if the planner does not, and not all processes do so at once.
const DELAY_STEPS: u64 = 8;

/// A captured state that is to be stored in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Capture {
    /// Next offset to be folded after the captured state.
    pub offset: Offset,
    /// Digest over all records and verdicts before `offset`.
    pub digest: ChainDigest,
    /// The snapshot, authenticated with the fleet's secret.
    pub bytes: Vec<u8>,
}

/// Captures states at regular intervals, one at a time.
#[derive(Debug)]
pub struct Snapshotter {
    interval_records: u64,
    /// Further delay of this process when it is not the planner, in steps of which an interval
    /// has [`DELAY_STEPS`].
    delay_steps: u64,
    /// Offset of the newest announced snapshot.
    newest: Option<Offset>,
    /// When that snapshot was first seen; at first, the start of this process.
    interval_start: Instant,
    capture: Option<Capture>,
}

impl Snapshotter {
    /// Creates a snapshotter whose first interval starts at `now`.
    #[must_use]
    pub fn new(own: &MemberId, interval_records: u64, now: Instant) -> Self {
        let digest = Sha256::digest(own.as_str());
        Self {
            interval_records: interval_records.max(1),
            delay_steps: u64::from(digest[0]) % DELAY_STEPS,
            newest: None,
            interval_start: now,
            capture: None,
        }
    }

    /// Captures the state if a snapshot is due; called after each folded record.
    pub fn observe(&mut self, state: &State, is_planner: bool, now: Instant) {
        let newest = state.facts().latest_snapshot;
        if newest != self.newest {
            self.newest = newest;
            self.interval_start = now;
            self.capture = None;
        }
        let offset = state.offset();
        let aligned = offset.0.is_multiple_of(CHECKPOINT_OFFSETS);
        if aligned && self.capture.is_none() && self.is_due(offset, is_planner, now) {
            self.capture = Some(Capture {
                offset,
                digest: *state.digest(),
                bytes: encode_snapshot(state),
            });
        }
    }

    fn is_due(&self, offset: Offset, is_planner: bool, now: Instant) -> bool {
        let behind = offset.0 - self.newest.unwrap_or_default().0;
        let age = now.saturating_duration_since(self.interval_start);
        let steps = if is_planner {
            DELAY_STEPS
        } else {
            2 * DELAY_STEPS + self.delay_steps
        };
        let records = self.interval_records * steps / DELAY_STEPS;
        let limit = Duration::from_millis(MAX_INTERVAL_MS * steps / DELAY_STEPS);
        behind >= records || (behind > 0 && age >= limit)
    }

    /// Captured state that waits to be stored, if any.
    #[must_use]
    pub const fn capture(&self) -> Option<&Capture> {
        self.capture.as_ref()
    }

    /// Drops the captured state, so that a later one can be captured.
    pub fn discard_capture(&mut self) {
        self.capture = None;
    }
}
