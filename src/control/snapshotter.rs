//! Decides when this process stores a snapshot.

use std::time::{Duration, Instant};

use sha2::{Digest, Sha256};

use crate::id::{MemberId, Offset};
use crate::ledger::{CHECKPOINT_OFFSETS, ChainDigest, State, store};

/// Records between two snapshots unless the settings say otherwise.
pub const SNAPSHOT_INTERVAL_RECORDS: u64 = 4_096;

/// Longest time between two snapshots while there are new records, in ms; a log keeps
/// its records for hours at least.
const MAX_INTERVAL_MS: u64 = 600_000;

/// Others than the planner wait for twice as long, and spread over this many steps.
const DELAY_STEPS: u64 = 8;

/// A state on its way to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Capture {
    /// Next offset to be folded after it.
    pub offset: Offset,
    /// Digest of the chain of decisions.
    pub digest: ChainDigest,
    /// The sealed snapshot.
    pub bytes: Vec<u8>,
}

/// Captures states worth keeping, one at a time.
#[derive(Debug)]
pub struct Snapshotter {
    interval_records: u64,
    /// Part of a further interval that this process waits for others.
    delay_steps: u64,
    newest: Option<Offset>,
    interval_start: Instant,
    capture: Option<Capture>,
}

impl Snapshotter {
    /// A snapshotter that counts from now on.
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

    /// Called after each record; captures the state if a snapshot is due.
    pub fn observe(&mut self, state: &State, is_planner: bool, now: Instant) {
        let newest = state.facts().snapshot;
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
                bytes: store(state),
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

    /// The state to store, if any.
    #[must_use]
    pub const fn capture(&self) -> Option<&Capture> {
        self.capture.as_ref()
    }

    /// Gives the capture up, so that a later state may be captured.
    pub fn discard_capture(&mut self) {
        self.capture = None;
    }
}
