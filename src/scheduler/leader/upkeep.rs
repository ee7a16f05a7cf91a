//! Carries out maintenance waves. VMs that are off or without work are maintained first, the
//! others once their work has ended.

use super::vm_orders::CLAIM_CONFIRMED_MS;
use super::{Command, Leader};
use crate::scheduler::run::RunPhase;
use crate::scheduler::target::Target;
use crate::scheduler::vm::VmOrder;
use crate::scheduler::vms::OpenWave;
use crate::scheduler::{JobTable, Millis, TargetId, TaskKey, VmState};

/// Time between two checks of the waves, in ms.
const WAVE_CHECK_INTERVAL_MS: Millis = 50;

/// Part of a wave's time limit after which its VMs no longer wait for their work to end, in
/// percent.
const WORK_END_WAIT_PERCENT: u64 = 20;

/// Least time that a VM being vacated waits for its tasks to end, in ms. Most tasks end within
/// it; the work of those that are stopped is lost.
const TASK_END_WAIT_MS: Millis = 2_500;

impl Leader {
    /// Lists the VMs when that is due, repeats orders of unknown outcome, and advances the open
    /// waves.
    pub(super) fn maintain_vms(&mut self, table: &mut JobTable, now: Millis) {
        if self.vm_tracker.start_listing(now) {
            self.commands.push(Command::ListVms);
        }
        if now < self.next_wave_check || !self.may_order_vms(now) {
            return;
        }
        self.next_wave_check = now + WAVE_CHECK_INTERVAL_MS;
        for (name, order) in self.vm_tracker.take_retries(now) {
            if !self.drop_move(&name, &order, now) {
                self.send_vm_order(&name, order, now);
            }
        }
        for open in self.vm_tracker.open_waves() {
            self.advance_wave(table, &open, now);
        }
    }

    /// Returns whether orders for VMs may be sent: the orders of an earlier leader are not
    /// recent, the store has just confirmed that there is no later leader, and the VMs are
    /// known.
    pub(super) fn may_order_vms(&self, now: Millis) -> bool {
        let confirmed = now.saturating_sub(self.journal.confirmed_at) < CLAIM_CONFIRMED_MS;
        confirmed && self.vm_tracker.orders_allowed(now) && self.vm_tracker.has_list()
    }

    /// Reports the state of a wave, orders the maintenance of VMs without work, and chooses the
    /// VMs that are to be vacated next.
    fn advance_wave(&mut self, table: &mut JobTable, open: &OpenWave, now: Millis) {
        let wave = &open.wave;
        let begun = table.wave(wave.number).cloned().unwrap_or_default().begun;
        let remaining: Vec<&String> = wave
            .vms
            .iter()
            .filter(|name| !begun.contains(name) && !self.vm_tracker.is_missing(name))
            .collect();
        let down = self.vm_tracker.down_count(wave);
        // The next leader goes on with VMs that are not stored as done.
        let stored = self.journal.wave_is_stored(wave.number);
        let complete = remaining.is_empty() && down == 0 && stored;
        if self.vm_tracker.start_report(wave.number, complete) {
            let wave = wave.number;
            self.commands.push(Command::ReportWave { wave, complete });
        }
        self.mark_upkeep_due(&remaining);
        let mut allowed = wave.max_down.max(1).saturating_sub(down);
        let mut waiting: Vec<(u64, &String)> = Vec::new();
        for name in remaining {
            let Some(vm) = self.vm_tracker.vms().get(name) else {
                continue;
            };
            if self.vm_tracker.has_pending_order(name) || vm.state != VmState::Up {
                continue;
            }
            match self.vacate_rank(name, now) {
                0 if allowed > 0 => {
                    allowed -= 1;
                    self.send_vm_order(name, VmOrder::Upkeep(wave.number), now);
                }
                rank => waiting.push((rank, name)),
            }
        }
        waiting.sort_unstable();
        let limit = open.requested_at + wave.limit_ms * WORK_END_WAIT_PERCENT / 100;
        for (i, (_, name)) in waiting.into_iter().enumerate() {
            let chosen = i < allowed;
            self.update_vacating(table, name, chosen, now >= limit, now);
        }
    }

    /// Marks the targets on VMs that are still to be maintained, so that long-running tasks are
    /// not moved there.
    fn mark_upkeep_due(&mut self, vms: &[&String]) {
        for name in vms {
            let target = self.target_on(name);
            if let Some(target) = target.and_then(|id| self.targets.get_mut(&id)) {
                target.upkeep_due = true;
            }
        }
    }

    /// Id of the target on a VM; `None` if the VM is off or has none. The list of VMs may still name
    /// a target that another one has replaced.
    pub(super) fn target_on(&self, vm: &str) -> Option<TargetId> {
        let named = self.vm_tracker.vms().get(vm)?.target.as_ref()?;
        if self.targets.get(named).is_some_and(|target| target.listed) {
            return Some(named.clone());
        }
        let there = |target: &&Target| target.listed && *target.entry.vm == *vm;
        let newest = self.targets.values().filter(there);
        let newest = newest.max_by_key(|target| target.entry.born);
        Some(newest.map_or_else(|| named.clone(), |target| target.entry.id.clone()))
    }

    /// Rank of a VM in the order in which VMs are vacated, lowest first; 0 if its maintenance can
    /// begin now. It counts the runs on the VM's target, plus 1 while the target can't be removed,
    /// and is twice that for a VM that is not being vacated yet, so that vacating that has begun
    /// is finished first.
    fn vacate_rank(&self, vm: &str, now: Millis) -> u64 {
        let Some(id) = self.target_on(vm) else {
            return 0;
        };
        // Tasks that an earlier leader placed on an unlisted target may still be running.
        let unknown = if now < self.unlisted_leases_lapsed_at() {
            u64::MAX
        } else {
            0
        };
        self.targets.get(&id).map_or(unknown, |target| {
            let remaining = target.runs.len() as u64 + u64::from(!target.removable());
            if target.vacating_since.is_some() {
                remaining
            } else {
                remaining * 2
            }
        })
    }

    /// Stops new work for the VM's target if the VM is `chosen` to be vacated, and allows it
    /// again if not. With `may_stop_tasks`, tasks that are not long-running are stopped after
    /// [`TASK_END_WAIT_MS`] of vacating; without it, they are left to end by themselves.
    fn update_vacating(
        &mut self,
        table: &JobTable,
        name: &str,
        chosen: bool,
        may_stop_tasks: bool,
        now: Millis,
    ) {
        let Some(id) = self.target_on(name) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        if target.vacating_since.is_some() != chosen {
            target.vacating_since = chosen.then_some(now);
            self.needs_scheduling = true;
            spdlog::info!("target_vacating", kv: { target = id.0.as_ref(), vm = name, chosen });
        }
        if chosen {
            let since = target.vacating_since.unwrap_or(now);
            let waiting_for_end = now - since < TASK_END_WAIT_MS;
            self.stop_movable_tasks(table, &id, may_stop_tasks && !waiting_for_end, now);
        }
    }

    /// Stops running tasks of a target that is being vacated, so that they start elsewhere:
    /// long-running ones if their step allows one more to be unavailable (or sets no limit) and
    /// another target has room, and the others if `may_stop_tasks`.
    fn stop_movable_tasks(
        &mut self,
        table: &JobTable,
        id: &TargetId,
        may_stop_tasks: bool,
        now: Millis,
    ) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let tasks: Vec<TaskKey> = target
            .runs
            .iter()
            .filter(|(_, run)| run.phase == RunPhase::Running)
            .map(|(task, _)| *task)
            .collect();
        for task in tasks {
            let job = table.get(task.step.job);
            let Some(step) = job.and_then(|j| j.spec.steps.get(task.step.step as usize)) else {
                continue;
            };
            let movable = if step.long_running {
                self.can_move_task(id, task.step, step, now)
            } else {
                may_stop_tasks
            };
            if !movable {
                continue;
            }
            spdlog::info!("run_moved", kv: { task = task.to_string(), target = id.0.as_ref(), cause = "maintenance" });
            if let Some(target) = self.targets.get_mut(id) {
                target.request_stop(task, now);
            }
        }
    }
}
