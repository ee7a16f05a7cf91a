//! A claim of the leader role that is being stored, until the stream has been read up to it.

use crate::scheduler::Holder;

/// What is known of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimStatus {
    /// It may be stored, but the stream has not been read up to it.
    Unread,
    /// It is stored, and the table includes all records before it.
    Read,
    /// Another process has claimed the role.
    Lost,
}

/// A claim of this process.
#[derive(Debug)]
pub(super) struct PendingClaim {
    /// The record that claims the role.
    pub(super) holder: Holder,
    /// The holder before it.
    pub(super) before: Option<Holder>,
    /// An offset after the claim; `None` until the store has confirmed the claim.
    end: Option<u64>,
    /// Whether the claim was read back from the stream.
    read_back: bool,
}

impl PendingClaim {
    pub(super) const fn new(holder: Holder, before: Option<Holder>) -> Self {
        Self {
            holder,
            before,
            end: None,
            read_back: false,
        }
    }

    /// Notes that the store has confirmed the claim, which is before the offset `end`.
    pub(super) const fn confirm(&mut self, end: u64) {
        self.end = Some(end);
    }

    /// Notes that `holder` was read from the stream; returns whether it is this claim.
    pub(super) fn observe(&mut self, holder: &Holder) -> bool {
        let is_claim = *holder == self.holder;
        self.read_back |= is_claim;
        is_claim
    }

    /// Status of the claim for a table with this holder, which includes all records before
    /// `next_offset`. A table that was loaded as a whole may have the claim, and yet lack records
    /// before it; then only the offset tells.
    pub(super) fn status(&self, current: Option<&Holder>, next_offset: Option<u64>) -> ClaimStatus {
        let is_claim = current == Some(&self.holder);
        if !is_claim && current.is_some_and(|current| current.epoch >= self.holder.epoch) {
            return ClaimStatus::Lost;
        }
        let passed = next_offset.is_some_and(|next| {
            let confirmed = self.end.is_some_and(|end| next >= end);
            self.read_back || confirmed
        });
        if is_claim && passed {
            ClaimStatus::Read
        } else {
            ClaimStatus::Unread
        }
    }
}
