//! Targets whose entries were removed from the list of targets.
//!
//! Entries also expire while the store is unavailable, and return soon after it does.

use indexmap::IndexSet;

use super::Leader;
use crate::scheduler::{JobTable, Millis, TargetEntry, TargetId};

/// Time after the list of targets can be read again in which expired entries return, in ms:
/// the platform promises about two seconds.
const ENTRY_RETURN_MS: Millis = 2_200;

/// Removed entries that may still return.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// A missing entry means that its target is gone only from this time on.
    confirmed_from: Millis,
    postponed: IndexSet<TargetId>,
}

impl Departures {
    /// Starts the time in which expired entries may return.
    pub(super) const fn list_regained(&mut self, now: Millis) {
        self.confirmed_from = now + ENTRY_RETURN_MS;
    }

    /// Returns whether the entry may still return, and if so notes the target.
    fn postpone(&mut self, id: &TargetId, now: Millis) -> bool {
        let unconfirmed = now < self.confirmed_from;
        if unconfirmed {
            self.postponed.insert(id.clone());
        }
        unconfirmed
    }

    /// Forgets a noted target whose entry has returned.
    pub(super) fn cancel(&mut self, id: &TargetId) {
        self.postponed.swap_remove(id);
    }

    /// Returns the noted targets once their entries have had their time to return; before
    /// that, none.
    fn take_confirmed(&mut self, now: Millis) -> IndexSet<TargetId> {
        if now < self.confirmed_from {
            return IndexSet::new();
        }
        std::mem::take(&mut self.postponed)
    }
}

impl Leader {
    /// Unlists a target whose entry was removed, at once or after the time in which the entry
    /// may return.
    pub(super) fn target_removed(&mut self, id: &TargetId, now: Millis) {
        if !self.departures.postpone(id, now) {
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
    pub(super) fn confirm_departures(&mut self, now: Millis) {
        for id in self.departures.take_confirmed(now) {
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
