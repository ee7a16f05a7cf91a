//! Announced snapshots; every process compares their digest with its own.

use crate::id::Offset;
use crate::ledger::{ChainDigest, Refusal, State};

impl State {
    /// Records a stored snapshot if its digest is the one of this process at that offset.
    pub(super) fn record_snapshot(
        &mut self,
        offset: Offset,
        digest: &ChainDigest,
    ) -> Result<(), Refusal> {
        match self.facts.chain.digest_at(offset) {
            None => Err(Refusal::Expired),
            Some(own) if own != digest => Err(Refusal::Digest),
            Some(_) => {
                let newest = self.facts.latest_snapshot.max(Some(offset));
                self.facts.latest_snapshot = newest;
                Ok(())
            }
        }
    }
}
