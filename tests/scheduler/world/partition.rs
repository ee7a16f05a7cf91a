//! A data centre that is cut off from all others and from the store, with its processes, its targets
//! and the entries of these.

use std::sync::Arc;

use amaranthwick::scheduler::{Event, TargetEntry, TargetId};

use super::World;
use super::crash::Contact;

/// Name of the data centre that is cut off; `None` while all reach each other.
pub(super) type Partition = Option<Arc<str>>;

impl World {
    /// A new process in a data centre claims the leader role.
    pub(crate) fn claim_in(&mut self, data_centre: &str) {
        self.claim();
        self.processes.last_mut().unwrap().data_centre = Arc::from(data_centre);
    }

    /// Nothing passes between this data centre and the others, nor the store, until
    /// [`Self::end_cut`].
    pub(crate) fn cut_off(&mut self, data_centre: &str) {
        self.partition = Some(Arc::from(data_centre));
    }

    /// All data centres reach each other and the store again. Entries that have expired return.
    pub(crate) fn end_cut(&mut self) {
        let Some(data_centre) = self.partition.take() else {
            return;
        };
        for id in self.targets_in(&data_centre) {
            if !self.targets[&id].listed {
                self.publish_later(&id);
            }
        }
    }

    /// The entries of the targets in a data centre expire.
    pub(crate) fn expire_entries_in(&mut self, data_centre: &str) {
        for id in self.targets_in(data_centre) {
            self.expire_entry(&id);
        }
    }

    pub(crate) fn is_cut_off(&self, data_centre: &str) -> bool {
        self.partition.as_deref() == Some(data_centre)
    }

    fn targets_in(&self, data_centre: &str) -> Vec<TargetId> {
        let targets = self.targets.iter();
        targets
            .filter(|(_, target)| *target.entry.data_centre == *data_centre)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns whether the process is in the data centre that is cut off.
    pub(super) fn process_is_cut_off(&self, process: usize) -> bool {
        self.is_cut_off(&self.processes[process].data_centre)
    }

    /// What a call of a process to `entry` meets.
    pub(super) fn contact_from(&self, process: usize, entry: &TargetEntry) -> Contact {
        if self.process_is_cut_off(process) == self.is_cut_off(&entry.data_centre) {
            self.contact(entry)
        } else {
            Contact::Silent
        }
    }

    /// Passes an event from the store to all processes that read it.
    pub(super) fn notify_leaders(&mut self, event: &Event) {
        if self.store_is_silent() {
            return;
        }
        let now = self.now;
        for i in 0..self.processes.len() {
            if !self.processes[i].gone && !self.process_is_cut_off(i) {
                self.processes[i].leader.handle(event.clone(), now);
            }
        }
    }

    /// All processes that reach the store read it to its end.
    pub(super) fn read_log(&mut self) {
        for i in 0..self.processes.len() {
            if !self.processes[i].gone && !self.process_is_cut_off(i) {
                self.processes[i].read_log(&self.log, self.now);
            }
        }
    }
}
