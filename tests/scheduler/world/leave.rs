//! Targets that drain and leave, and the list of VMs.

use std::sync::Arc;

use amaranthwick::scheduler::{Millis, TargetEntry, TargetId, TargetState, Vm, VmState};

use super::{Action, World};

/// The end of a target that has announced that it leaves.
pub(super) struct Departure {
    target: TargetId,
    born: u64,
}

impl World {
    /// The target announces that it is about to leave, and does so `notice_ms` later; another one
    /// then takes its VM.
    pub(crate) fn drain(&mut self, id: &TargetId, notice_ms: Millis) {
        let target = &mut self.targets[id];
        target.entry.state = TargetState::Draining;
        let born = target.entry.born;
        self.publish_entry(id);
        let target = id.clone();
        self.schedule(notice_ms, Action::Leave(Departure { target, born }));
    }

    pub(super) fn leave(&mut self, departure: &Departure) {
        let now = self.now;
        let number = self.targets.len();
        let target = &mut self.targets[&departure.target];
        if target.entry.born != departure.born || !target.is_up() {
            return;
        }
        let id = TargetId(format!("{}-d{number}", departure.target.0).into());
        let mut successor = target.successor(id.clone(), now);
        successor.entry.state = TargetState::Ready;
        target.crash(now);
        target.alive = false;
        self.targets.insert(id.clone(), successor);
        self.lose(&departure.target);
        self.publish_entry(&id);
    }

    /// The VMs with their targets, and those that are down for good.
    pub(super) fn list_vms(&self) -> Vec<Vm> {
        let vm = |entry: &TargetEntry, state, target| Vm {
            name: entry.vm.to_string(),
            pool: Arc::clone(&entry.pool),
            state,
            labels: entry.labels.clone(),
            capacity: entry.capacity,
            target,
        };
        let alive = self.targets.values().filter(|target| target.alive);
        let up = alive.map(|target| {
            let state = if self.vm_service.is_down(&target.entry.vm) {
                VmState::Upkeep
            } else {
                VmState::Up
            };
            vm(&target.entry, state, Some(target.entry.id.clone()))
        });
        let down = self.crashes.down_vms.iter();
        up.chain(down.map(|entry| vm(entry, VmState::Down, None)))
            .collect()
    }
}
