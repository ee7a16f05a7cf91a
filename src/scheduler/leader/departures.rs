//! Targets whose entries have gone from the list.
//!
//! Entries also lapse while the store is away, and are then back soon after it.

use indexmap::IndexSet;

use super::Leader;
use crate::scheduler::{JobTable, Millis, TargetEntry, TargetId};

/// Time after the store's return in which lapsed entries come back, in ms: the platform
/// promises about two seconds.
const ENTRY_RETURN_MS: Millis = 2_200;

/// Departures that are not believed yet.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// From then on a missing entry means that its target is gone.
    confirmed_from: Millis,
    postponed: IndexSet<TargetId>,
}

impl Departures {
    /// The list can be read again.
    pub(super) const fn list_regained(&mut self, now: Millis) {
        self.confirmed_from = now + ENTRY_RETURN_MS;
    }

    fn postpone(&mut self, id: &TargetId, now: Millis) -> bool {
        let unconfirmed = now < self.confirmed_from;
        if unconfirmed {
            self.postponed.insert(id.clone());
        }
        unconfirmed
    }

    pub(super) fn cancel(&mut self, id: &TargetId) {
        self.postponed.swap_remove(id);
    }

    fn take_confirmed(&mut self, now: Millis) -> IndexSet<TargetId> {
        if now < self.confirmed_from {
            return IndexSet::new();
        }
        std::mem::take(&mut self.postponed)
    }
}

impl Leader {
    /// A target's entry has gone.
    pub(super) fn target_removed(&mut self, id: &TargetId, now: Millis) {
        if !self.departures.postpone(id, now) {
            self.unlist(id);
        }
    }

    /// The list was read as a whole: targets that it lacks have gone.
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

    /// Believes departures once lapsed entries have had their time to come back.
    pub(super) fn confirm_departures(&mut self, now: Millis) {
        for id in self.departures.take_confirmed(now) {
            self.unlist(&id);
        }
    }

    /// The target gets no new work. It is forgotten once it is silent and its lease has
    /// lapsed: what it still lists must not be lost.
    fn unlist(&mut self, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.listed = false;
            spdlog::info!("target_unlisted", kv: { target = id.0.as_ref(), runs = target.runs.len() });
        }
    }
}
