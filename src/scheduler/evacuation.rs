//! Evacuations of data centres that the operators request: nothing more is started there.

use std::sync::Arc;

use indexmap::IndexSet;

/// A request of the operators to evacuate a data centre, or the withdrawal of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Whether it is to be evacuated; false withdraws an earlier request.
    pub evacuated: bool,
}

/// Names of the evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    data_centres: IndexSet<Arc<str>>,
}

impl Evacuations {
    /// Applies changes in the order in which the operators made them. A `complete` read tells all
    /// that is in force, so that evacuations that it lacks were withdrawn. Returns whether the set
    /// has changed. Changes without effect are logged, but not those that a complete read repeats.
    pub fn apply(&mut self, changes: &[EvacuationChange], complete: bool) -> bool {
        let before = self.clone();
        if complete {
            self.data_centres.clear();
        }
        for change in changes {
            if change.data_centre.is_empty() {
                log_ignored(change, "no name");
            } else if !self.apply_one(change) && !complete {
                let cause = if change.evacuated {
                    "already evacuated"
                } else {
                    "not evacuated"
                };
                log_ignored(change, cause);
            }
        }
        self.data_centres.sort_unstable();
        *self != before
    }

    /// Applies one change; returns whether it had an effect.
    fn apply_one(&mut self, change: &EvacuationChange) -> bool {
        if change.evacuated {
            self.data_centres.insert(Arc::clone(&change.data_centre))
        } else {
            self.data_centres.swap_remove(&change.data_centre)
        }
    }

    /// Returns whether the data centre of this name is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Number of evacuated data centres.
    #[must_use]
    pub fn len(&self) -> usize {
        self.data_centres.len()
    }

    /// Returns whether no data centre is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.data_centres.is_empty()
    }

    /// Names of the data centres that `other` lacks.
    pub(super) fn beyond<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = &'a Arc<str>> {
        self.data_centres.difference(&other.data_centres)
    }
}

fn log_ignored(change: &EvacuationChange, cause: &str) {
    let (data_centre, on) = (change.data_centre.as_ref(), change.evacuated);
    spdlog::warn!("evacuation_ignored", kv: { data_centre, on, cause });
}
