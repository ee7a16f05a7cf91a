//! Network partitions between data centres, and between them and the platform.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use event_listener::Event;
use indexmap::IndexSet;

use super::Cut;

/// The active cuts; none at first.
#[derive(Debug, Default)]
pub(crate) struct Network {
    cuts: Mutex<IndexSet<Cut>>,
    has_cuts: AtomicBool,
    changed: Event,
}

impl Network {
    /// Blocks what `cut.from` sends to `cut.to` from now on.
    pub(crate) fn cut(&self, cut: Cut) {
        self.change(|cuts| {
            cuts.insert(cut);
        });
    }

    /// Removes one cut.
    pub(crate) fn heal(&self, cut: &Cut) {
        self.change(|cuts| {
            cuts.shift_remove(cut);
        });
    }

    /// Removes all cuts.
    pub(crate) fn heal_all(&self) {
        self.change(IndexSet::clear);
    }

    /// The active cuts.
    pub(crate) fn list(&self) -> Vec<Cut> {
        self.lock().iter().cloned().collect()
    }

    /// Waits until no cut blocks `from` from sending to `to`.
    pub(crate) async fn wait_until_connected(&self, from: &str, to: &str) {
        while self.is_cut(from, to) {
            let changed = self.changed.listen();
            if !self.is_cut(from, to) {
                return;
            }
            changed.await;
        }
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        if !self.has_cuts.load(Ordering::Acquire) {
            return false;
        }
        self.lock()
            .iter()
            .any(|cut| cut.from == from && cut.to == to)
    }

    fn change(&self, edit: impl FnOnce(&mut IndexSet<Cut>)) {
        let mut cuts = self.lock();
        edit(&mut cuts);
        self.has_cuts.store(!cuts.is_empty(), Ordering::Release);
        drop(cuts);
        self.changed.notify(usize::MAX);
    }

    fn lock(&self) -> MutexGuard<'_, IndexSet<Cut>> {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
