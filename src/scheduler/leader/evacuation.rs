//! Evacuates data centres: nothing more is started there, long-running tasks move out one at a
//! time, and VMs without work go to the standby pool. Gangs and other tasks run to their end.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::Leader;
use crate::scheduler::run::{Run, RunPhase};
use crate::scheduler::target::Target;
use crate::scheduler::vm::{VmOrder, VmOutcome, VmState};
use crate::scheduler::{
    Evacuations, JobTable, Millis, StepKey, TargetEntry, TargetId, TaskKey, Vm,
};

/// Time between two checks whether a long-running task can move out of an evacuated data centre,
/// in ms: a small part of the time that a stop takes.
const CHECK_INTERVAL_MS: Millis = 100;

impl Leader {
    /// Takes over the set of evacuated data centres. Planned runs there are released once the
    /// batch with them is stored, as their starts are not sent then; until then their tasks could
    /// not start elsewhere either.
    pub(super) fn evacuations_changed(&mut self, evacuations: Evacuations, age_ms: Millis) {
        let before = std::mem::replace(&mut self.evacuations, evacuations);
        for data_centre in self.evacuations.beyond(&before) {
            self.log_evacuation(data_centre, true, age_ms);
        }
        for data_centre in before.beyond(&self.evacuations) {
            self.log_evacuation(data_centre, false, age_ms);
        }
        self.mark_evacuated_targets();
        let listed = self.targets.values().filter(|target| target.listed);
        let evacuated: Vec<bool> = listed.map(|target| target.evacuated).collect();
        if !evacuated.is_empty() && evacuated.iter().all(|evacuated| *evacuated) {
            spdlog::warn!("all_targets_evacuated", kv: { targets = evacuated.len(), age_ms });
        }
    }

    fn log_evacuation(&self, data_centre: &str, on: bool, age_ms: Millis) {
        let listed = self.targets.values().filter(|target| target.listed);
        let targets = listed
            .filter(|target| **self.data_centre_of(&target.entry) == *data_centre)
            .count();
        let vms = self.vm_tracker.vms().values();
        let vms = vms.filter(|vm| *vm.data_centre == *data_centre).count();
        spdlog::info!("evacuation_changed", kv: { data_centre, on, targets, vms, age_ms });
    }

    /// Marks the targets in evacuated data centres, which are sent no starts.
    pub(super) fn mark_evacuated_targets(&mut self) {
        for i in 0..self.targets.len() {
            let evacuated = !self.evacuations.is_empty() && {
                let data_centre = self.data_centre_of(&self.targets[i].entry);
                self.evacuations.contains(data_centre)
            };
            let target = &mut self.targets[i];
            self.needs_scheduling |= target.evacuated != evacuated;
            target.evacuated = evacuated;
        }
    }

    /// Data centre of a target, or of its VM if its entry does not tell; empty if neither does.
    fn data_centre_of<'a>(&'a self, entry: &'a TargetEntry) -> &'a Arc<str> {
        if !entry.data_centre.is_empty() {
            return &entry.data_centre;
        }
        let vm = self.vm_tracker.vms().get(entry.vm.as_ref());
        vm.map_or(&entry.data_centre, |vm| &vm.data_centre)
    }

    /// Returns whether a VM is in an evacuated data centre, as the list of VMs tells, or else its
    /// target.
    pub(super) fn is_evacuated(&self, vm: &Vm) -> bool {
        if self.evacuations.is_empty() || !vm.data_centre.is_empty() {
            return self.evacuations.contains(&vm.data_centre);
        }
        let target = self.target_on(&vm.name);
        let target = target.and_then(|id| self.targets.get(&id));
        target.is_some_and(|target| target.evacuated)
    }

    /// VMs with a pending move, and the pools that they move to, without those that no pool may
    /// count on because their data centre is evacuated.
    pub(super) fn usable_moves(&self) -> IndexMap<&str, &Arc<str>> {
        let mut moves = self.vm_tracker.pending_moves();
        let vms = self.vm_tracker.vms();
        moves.retain(|name, _| vms.get(*name).is_none_or(|vm| !self.is_evacuated(vm)));
        moves
    }

    /// Drops an order of unknown outcome that would move a VM of an evacuated data centre into
    /// `pool`, instead of repeating it. Returns whether it did.
    pub(super) fn drop_move(&mut self, name: &str, order: &VmOrder, now: Millis) -> bool {
        let VmOrder::Move(pool) = order else {
            return false;
        };
        let standby = self.policy.standby_pool();
        let vm = self.vm_tracker.vms().get(name);
        let unwanted = standby.is_none_or(|standby| standby.name != *pool)
            && vm.is_some_and(|vm| self.is_evacuated(vm));
        if unwanted {
            self.vm_order_answered(name, VmOutcome::Busy, now);
        }
        unwanted
    }

    /// Moves VMs without work from evacuated data centres to the standby pool, whatever the demand
    /// of their pool: they do not serve it.
    pub(super) fn retire_evacuated_vms(&mut self, standby: &Arc<str>, now: Millis) {
        if self.evacuations.is_empty() {
            return;
        }
        let vms = self.vm_tracker.vms().values();
        let retired: Vec<String> = vms
            .filter(|vm| {
                vm.state == VmState::Up
                    && vm.pool != *standby
                    && !self.vm_tracker.has_pending_order(&vm.name)
                    && !self.vm_tracker.is_impossible_move(&vm.name, standby)
                    && self.is_evacuated(vm)
            })
            .filter(|vm| {
                let target = self.target_on(&vm.name);
                let target = target.and_then(|id| self.targets.get(&id));
                target.is_some_and(|target| {
                    target.removable() && target.listed && target.vacating_since.is_none()
                })
            })
            .map(|vm| vm.name.clone())
            .collect();
        for name in retired {
            self.send_vm_order(&name, VmOrder::Move(Arc::clone(standby)), now);
        }
    }

    /// Stops long-running tasks in evacuated data centres, so that they start elsewhere: one at a
    /// time in each pool, so that each finds the room that was seen for it, and only if its step
    /// allows one more to be unavailable. Members of gangs stay.
    pub(super) fn move_evacuated_tasks(&mut self, table: &JobTable, now: Millis) {
        if self.evacuations.is_empty() || now < self.next_evacuation_check {
            return;
        }
        self.next_evacuation_check = now + CHECK_INTERVAL_MS;
        let evacuated = self.targets.iter().filter(|(_, target)| target.evacuated);
        let mut busy_pools: IndexSet<Arc<str>> = evacuated
            .clone()
            .filter(|(_, target)| awaits_stop(target))
            .map(|(_, target)| Arc::clone(&target.entry.pool))
            .collect();
        let candidates: Vec<(TargetId, Arc<str>, TaskKey)> = evacuated
            .flat_map(|(id, target)| {
                let runs = target.runs.iter().filter(|(_, run)| is_movable(run));
                runs.map(|(task, _)| (id.clone(), Arc::clone(&target.entry.pool), *task))
            })
            .collect();
        let mut refused: IndexSet<StepKey> = IndexSet::new();
        for (id, pool, task) in candidates {
            if busy_pools.contains(&pool) || refused.contains(&task.step) {
                continue;
            }
            let job = table.get(task.step.job);
            let step = job.and_then(|job| job.spec.steps.get(task.step.step as usize));
            let movable = step
                .is_some_and(|step| !step.gang && self.can_move_task(&id, task.step, step, now));
            if !movable {
                refused.insert(task.step);
                continue;
            }
            spdlog::info!("run_moved", kv: { task = task.to_string(), target = id.0.as_ref(), cause = "evacuation" });
            if let Some(target) = self.targets.get_mut(&id) {
                target.request_stop(task, now);
            }
            busy_pools.insert(pool);
        }
    }
}

const fn is_movable(run: &Run) -> bool {
    run.long_running && matches!(run.phase, RunPhase::Running)
}

/// Returns whether a long-running task on the target is being stopped. A target that does not
/// answer is not waited for: its runs are given up when its lease expires.
fn awaits_stop(target: &Target) -> bool {
    let mut runs = target.runs.values();
    target.missed_calls == 0 && runs.any(|run| run.long_running && run.stopping())
}
