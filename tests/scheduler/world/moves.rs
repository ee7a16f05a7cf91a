//! Moves of VMs between pools. VMs in the standby pool are off.

use std::sync::Arc;

use amaranthwick::scheduler::{Event, Millis, TargetId, Vm, VmOutcome, VmState};

use super::{Action, CALL_LATENCY_MS, VM_CALL_TIMEOUT_MS, World};
use crate::vm_service::Refusal;

/// Time that a move of a VM takes, in ms.
const MOVE_MS: Millis = 1_500;
/// Longest time from the end of a move until the leader reads the target's entry, in ms.
const MAX_PUBLISH_MS: Millis = 150;

impl World {
    /// Lets moves end from now on, and switches off the VMs in the standby pool.
    pub(crate) fn enable_moves(&mut self) {
        self.vm_service.moves_end = true;
        for id in self.ids() {
            if self.is_standby(&self.targets[&id].entry.pool.clone()) {
                self.switch_off(&id);
            }
        }
    }

    pub(super) fn is_standby(&self, pool: &Arc<str>) -> bool {
        let standby = self.policy.standby_pool();
        standby.is_some_and(|standby| standby.name == *pool)
    }

    pub(super) fn switch_off(&mut self, id: &TargetId) {
        let target = &mut self.targets[id];
        target.reachable = false;
        target.listed = false;
    }

    fn on_vm(&self, vm: &str) -> Option<TargetId> {
        let mut found = self.targets.values();
        let target = found.rfind(|target| *target.entry.vm == *vm)?;
        Some(target.entry.id.clone())
    }

    /// The list of VMs, with those that are down for good; `None` while the VM service is unavailable.
    pub(super) fn list_vms(&self) -> Option<Vec<Vm>> {
        if self.vm_service.away_until > self.now {
            return None;
        }
        let targets = self.targets.values().enumerate();
        let alive = targets.filter(|(_, target)| target.alive);
        let vms = alive.map(|(i, target)| {
            let vm = &target.entry.vm;
            let moving = self.vm_service.is_moving(vm);
            let off = self.vm_service.moves_end && !target.listed;
            Vm {
                name: vm.to_string(),
                pool: Arc::clone(&target.entry.pool),
                data_centre: self.listed_data_centre(i, &target.entry),
                state: if self.vm_service.is_down(vm) {
                    VmState::Upkeep
                } else if moving {
                    VmState::Moving
                } else {
                    VmState::Up
                },
                labels: target.entry.labels.clone(),
                capacity: target.entry.capacity,
                target: (!off).then(|| target.entry.id.clone()),
            }
        });
        let down = self.crashes.down_vms.iter().map(|entry| Vm {
            name: entry.vm.to_string(),
            pool: Arc::clone(&entry.pool),
            data_centre: Arc::clone(&entry.data_centre),
            state: VmState::Down,
            labels: entry.labels.clone(),
            capacity: entry.capacity,
            target: None,
        });
        let standby = self.operators.standby_vms.iter().cloned();
        let unlisted = &self.vm_service.unlisted;
        let listed = vms.chain(down).chain(standby);
        let listed = listed.filter(|vm| {
            unlisted
                .get(&vm.name)
                .is_none_or(|until| *until <= self.now)
        });
        Some(listed.collect())
    }

    /// An order to move a VM is sent.
    pub(super) fn order_move(&mut self, leader: usize, vm: String, pool: Arc<str>) {
        if !self.vm_service.moves_end {
            self.moves.push((vm.clone(), pool.to_string()));
            let outcome = if self.is_standby(&pool) {
                VmOutcome::Invalid
            } else {
                VmOutcome::Begun
            };
            self.vm_answer(CALL_LATENCY_MS, leader, &vm, outcome);
        } else if self.vm_service.away_until > self.now {
            self.vm_answer(VM_CALL_TIMEOUT_MS, leader, &vm, VmOutcome::Unknown);
        } else {
            let action = Action::Move { leader, vm, pool };
            self.schedule(CALL_LATENCY_MS, action);
        }
    }

    /// An order to move a VM arrives.
    pub(super) fn begin_move(&mut self, leader: usize, vm: &str, pool: &Arc<str>) {
        let epoch = self.epoch_of(leader);
        let outcome = match self.vm_service.admit_move(vm, pool, epoch) {
            Ok(()) => {
                self.take_vm(vm, pool);
                VmOutcome::Begun
            }
            Err(Refusal::Busy) => VmOutcome::Busy,
            Err(Refusal::Invalid) => VmOutcome::Invalid,
            Err(Refusal::Fenced) => VmOutcome::Fenced,
            Err(refusal) => {
                let now = self.now;
                self.violations
                    .push(format!("{now}: move of {vm}: {refusal:?}"));
                return;
            }
        };
        self.vm_answer(CALL_LATENCY_MS, leader, vm, outcome);
    }

    /// The target of a VM that is to be moved ends.
    fn take_vm(&mut self, vm: &str, pool: &Arc<str>) {
        let id = self.on_vm(vm).unwrap();
        if self.targets[&id].running().next().is_some() {
            self.violations
                .push(format!("{}: move under running tasks", self.now));
        }
        self.moves.push((vm.to_owned(), pool.to_string()));
        if self.targets[&id].listed {
            self.switch_off(&id);
            self.notify_leaders(&Event::TargetRemoved(id));
        }
        self.schedule(MOVE_MS, Action::FinishMove(vm.to_owned()));
    }

    /// A VM arrives in its new pool; unless that is the standby pool, its target starts.
    pub(super) fn finish_move(&mut self, vm: &str) {
        let Some(pool) = self.vm_service.finish_move(vm) else {
            return;
        };
        let (id, now) = (self.on_vm(vm).unwrap(), self.now);
        let standby = self.is_standby(&pool);
        let target = &mut self.targets[&id];
        target.entry.pool = pool;
        target.restart(now);
        if standby {
            self.switch_off(&id);
            return;
        }
        let delay = self.rng.u64(..MAX_PUBLISH_MS);
        self.schedule(delay, Action::Publish(id));
    }

    /// VMs that are up in each pool but the standby pool, by name.
    pub(crate) fn vms_in(&self, pool: &str) -> usize {
        let targets = self.targets.values();
        targets
            .filter(|target| target.listed && *target.entry.pool == *pool)
            .count()
    }
}
