//! Ids and verdicts of recent records.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Verdict;
use crate::id::{Offset, RecordId};

/// Offsets that a record may lie behind the head that its proposer knew.
///
/// An older record is refused as expired, so an id need not be remembered longer.
pub const DEDUP_WINDOW_OFFSETS: u64 = 16_384;

/// Remembers each record of the last [`DEDUP_WINDOW_OFFSETS`] offsets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DedupWindow {
    verdicts: IndexMap<RecordId, Verdict>,
    /// Entries of `seen`, oldest first, that have expired but are not yet removed.
    expired: usize,
}

impl DedupWindow {
    /// Verdict on a remembered record.
    #[must_use]
    pub fn get(&self, id: RecordId) -> Option<&Verdict> {
        self.verdicts.get(&id)
    }

    /// Remembers a verdict and forgets those too old to be repeated.
    pub fn insert(&mut self, id: RecordId, verdict: Verdict) {
        let oldest = verdict.offset().0.saturating_sub(DEDUP_WINDOW_OFFSETS);
        self.verdicts.insert(id, verdict);
        self.remove_expired(Offset(oldest));
    }

    /// Removal from the front of an ordered map moves all entries, so it is done in bulk.
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

/// Expired entries removed at a time.
const REMOVAL_BATCH: usize = 4_096;
