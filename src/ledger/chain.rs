//! Hash chain over records and verdicts, by which processes detect that they diverged.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::Verdict;
use crate::id::Offset;

/// SHA-256 over all records and verdicts before an offset.
pub type ChainDigest = [u8; 32];

/// Distance between two checkpoints, in offsets; snapshots are taken at multiples of it.
pub const CHECKPOINT_OFFSETS: u64 = 16;

/// Checkpoints kept; the oldest is dropped first.
const MAX_CHECKPOINTS: usize = 256;

/// Head of the hash chain, and its digests at recent checkpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HashChain {
    head: ChainDigest,
    checkpoints: VecDeque<Checkpoint>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Checkpoint {
    offset: Offset,
    digest: ChainDigest,
}

impl HashChain {
    /// Digest over all records applied so far.
    #[must_use]
    pub const fn head(&self) -> &ChainDigest {
        &self.head
    }

    /// Digest before `offset`; `None` unless `offset` is a checkpoint that is still kept.
    #[must_use]
    pub fn digest_at(&self, offset: Offset) -> Option<&ChainDigest> {
        self.checkpoints
            .iter()
            .find(|checkpoint| checkpoint.offset == offset)
            .map(|checkpoint| &checkpoint.digest)
    }

    /// Appends the record at `offset`; `verdict` is `None` for a record that was skipped.
    pub(super) fn extend(&mut self, offset: Offset, bytes: &[u8], verdict: Option<&Verdict>) {
        let verdict = rmp_serde::to_vec(&verdict).expect("plain data always serializes");
        let mut hasher = Sha256::new();
        hasher.update(self.head);
        hasher.update(offset.0.to_be_bytes());
        hasher.update((bytes.len() as u64).to_be_bytes());
        hasher.update(bytes);
        hasher.update(verdict);
        self.head = hasher.finalize().into();
        self.add_checkpoint(offset.next());
    }

    fn add_checkpoint(&mut self, offset: Offset) {
        if !offset.0.is_multiple_of(CHECKPOINT_OFFSETS) {
            return;
        }
        let digest = self.head;
        self.checkpoints.push_back(Checkpoint { offset, digest });
        if self.checkpoints.len() > MAX_CHECKPOINTS {
            self.checkpoints.pop_front();
        }
    }
}
