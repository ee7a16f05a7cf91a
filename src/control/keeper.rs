//! Decides when this process stores a snapshot.

use std::time::{Duration, Instant};

use sha2::{Digest, Sha256};

use crate::id::{MemberId, Offset};
use crate::ledger::{CHECKPOINT_OFFSETS, ChainDigest, State, encode_snapshot};

/// Records between two snapshots unless the settings say otherwise.
pub const SNAPSHOT_EVERY: u64 = 4_096;

/// Longest time between two snapshots while there are new records, in ms; a log keeps
/// its records for hours at least.
const MAX_AGE_MS: u64 = 600_000;

/// Others than the planner wait for twice as long, and spread over this many steps.
const STEPS: u64 = 8;

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
pub struct Keeper {
    every: u64,
    /// Part of a further interval that this process waits for others.
    step: u64,
    newest: Option<Offset>,
    since: Instant,
    capture: Option<Capture>,
}

impl Keeper {
    /// A keeper that counts from now on.
    #[must_use]
    pub fn open(own: &MemberId, every: u64, now: Instant) -> Self {
        let digest = Sha256::digest(own.as_str());
        Self {
            every: every.max(1),
            step: u64::from(digest[0]) % STEPS,
            newest: None,
            since: now,
            capture: None,
        }
    }

    /// Called after each record; captures the state if a snapshot is due.
    pub fn look(&mut self, state: &State, leads: bool, now: Instant) {
        let newest = state.facts().latest_snapshot;
        if newest != self.newest {
            self.newest = newest;
            self.since = now;
            self.capture = None;
        }
        let offset = state.offset();
        let aligned = offset.0.is_multiple_of(CHECKPOINT_OFFSETS);
        if aligned && self.capture.is_none() && self.is_due(offset, leads, now) {
            self.capture = Some(Capture {
                offset,
                digest: *state.digest(),
                bytes: encode_snapshot(state),
            });
        }
    }

    fn is_due(&self, offset: Offset, leads: bool, now: Instant) -> bool {
        let behind = offset.0 - self.newest.unwrap_or_default().0;
        let age = now.saturating_duration_since(self.since);
        let patience = if leads { STEPS } else { 2 * STEPS + self.step };
        let records = self.every * patience / STEPS;
        let limit = Duration::from_millis(MAX_AGE_MS * patience / STEPS);
        behind >= records || (behind > 0 && age >= limit)
    }

    /// The state to store, if any.
    #[must_use]
    pub const fn capture(&self) -> Option<&Capture> {
        self.capture.as_ref()
    }

    /// Gives the capture up, so that a later state may be captured.
    pub fn drop_capture(&mut self) {
        self.capture = None;
    }
}
