//! Ids and verdicts of recent records, by which repeats are recognized.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Verdict;
use crate::id::{Offset, RecordId};

/// A record is accepted only less than this many offsets after the next offset that its
/// proposer knew.
///
/// A later one is refused as expired, so ids need not be remembered for longer.
pub const DEDUP_WINDOW_OFFSETS: u64 = 16_384;

/// Verdicts on the records of the last [`DEDUP_WINDOW_OFFSETS`] offsets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DedupWindow {
    verdicts: IndexMap<RecordId, Verdict>,
    /// Number of the oldest entries of `verdicts` that have expired but are not yet removed.
    expired: usize,
}

impl DedupWindow {
    /// Verdict on a record; `None` if it is not remembered.
    #[must_use]
    pub fn get(&self, id: RecordId) -> Option<&Verdict> {
        self.verdicts.get(&id)
    }

    /// Adds a verdict and expires those of records too old to be accepted again.
    pub fn insert(&mut self, id: RecordId, verdict: Verdict) {
        let oldest = verdict.offset().0.saturating_sub(DEDUP_WINDOW_OFFSETS);
        self.verdicts.insert(id, verdict);
        self.remove_expired(Offset(oldest));
    }

    /// Removes expired entries in batches, because removal from the front of an ordered map
    /// moves all other entries.
    fn remove_expired(&mut self, oldest: Offset) {
        while self.is_expired(self.expired, oldest) {
            self.expired += 1;
        }
        if self.expired > REMOVAL_BATCH {
            self.verdicts.drain(..self.expired);
            self.expired = 0;
        }
    }

    fn is_expired(&self, index: usize, oldest: Offset) -> bool {
        self.verdicts
            .get_index(index)
            .is_some_and(|(_, verdict)| verdict.offset() < oldest)
    }
}

/// Entries are removed once more than this many have expired.
const REMOVAL_BATCH: usize = 4_096;
