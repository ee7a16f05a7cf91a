//! Targets whose entries were removed from the list of targets.
//!
//! Entries also expire while the store is unavailable, and return soon after it does.

use indexmap::{IndexMap, IndexSet};

use super::Leader;
use crate::scheduler::lease::Lease;
use crate::scheduler::{JobTable, Millis, TargetEntry, TargetId};

/// Time after the list of targets can be read again in which expired entries return, in ms:
/// the platform promises about two seconds.
const ENTRY_RETURN_MS: Millis = 2_200;

/// Largest number of forgotten targets of which the deadlines of calls are kept.
const MAX_FORGOTTEN: usize = 10_000;

/// Removed entries whose removal is not final yet, because they may still return, and what is kept of
/// targets whose entries are gone.
#[derive(Debug, Default)]
pub(super) struct RemovedEntries {
    /// Time before which removals are not final: expired entries may still return until then.
    final_at: Millis,
    /// Targets whose entries were removed before `final_at`.
    deferred: IndexSet<TargetId>,
    /// Latest deadline of calls to each target that was forgotten, in ms of its clock: a later
    /// incarnation may carry them out.
    deadlines: IndexMap<TargetId, u64>,
}

impl RemovedEntries {
    /// Makes removals final only after [`ENTRY_RETURN_MS`], counted from `now`, when the list of
    /// targets can be read again.
    pub(super) const fn list_regained(&mut self, now: Millis) {
        self.final_at = now + ENTRY_RETURN_MS;
    }

    /// Defers the removal of a target if its entry may still return; returns whether it did.
    fn defer_removal(&mut self, id: &TargetId, now: Millis) -> bool {
        let may_return = now < self.final_at;
        if may_return {
            self.deferred.insert(id.clone());
        }
        may_return
    }

    /// Drops the deferred removal of a target whose entry has returned.
    pub(super) fn cancel(&mut self, id: &TargetId) {
        self.deferred.swap_remove(id);
    }

    fn keep_calls(&mut self, id: &TargetId, lease: &Lease) {
        if self.deadlines.len() >= MAX_FORGOTTEN {
            self.deadlines.shift_remove_index(0);
        }
        self.deadlines.insert(id.clone(), lease.latest_deadline());
    }

    /// Adds the calls to a target before it was forgotten to its lease.
    pub(super) fn restore_calls(&mut self, id: &TargetId, lease: &mut Lease) {
        if let Some(deadline) = self.deadlines.swap_remove(id) {
            lease.add_earlier_calls(deadline);
        }
    }

    /// Takes the targets with deferred removals once these are final; before that, none.
    fn take_final(&mut self, now: Millis) -> IndexSet<TargetId> {
        if now < self.final_at {
            return IndexSet::new();
        }
        std::mem::take(&mut self.deferred)
    }
}

impl Leader {
    /// Forgets a target, but for the calls to it that a later incarnation may carry out.
    pub(super) fn forget_target(&mut self, id: &TargetId) {
        if let Some(target) = self.targets.swap_remove(id) {
            self.removed_entries.keep_calls(id, &target.lease);
        }
    }

    /// Unlists a target whose entry was removed, at once or after the time in which the entry
    /// may return.
    pub(super) fn target_removed(&mut self, id: &TargetId, now: Millis) {
        if !self.removed_entries.defer_removal(id, now) {
            self.unlist(id);
        }
    }

    /// Applies a complete list of targets: the entries of targets that it lacks were removed.
    pub(super) fn apply_target_list(
        &mut self,
        table: &mut JobTable,
        entries: Vec<TargetEntry>,
        now: Millis,
    ) {
        let missing: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(id, target)| target.listed && entries.iter().all(|entry| entry.id != **id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.target_removed(&id, now);
        }
        for entry in entries {
            self.apply_target_entry(table, entry, now);
        }
    }

    /// Unlists the targets whose entries have not returned in time.
    pub(super) fn apply_final_removals(&mut self, now: Millis) {
        for id in self.removed_entries.take_final(now) {
            self.unlist(&id);
        }
    }

    /// Gives a target no new work. The target is forgotten only when it no longer answers and
    /// its lease has expired, so that runs it still reports are not lost.
    fn unlist(&mut self, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.listed = false;
            spdlog::info!("target_unlisted", kv: { target = id.0.as_ref(), runs = target.runs.len() });
        }
    }
}
