//! Targets whose loss was counted against tasks although nobody knew whether they had crashed.
//!
//! What becomes of them decides it. Another incarnation under the id, another target on the VM or a
//! VM that is down shows that such a target has crashed. One that answers again has not. An order
//! for the VM, or a notice that the target drains, leaves it open for good, since the target
//! then ends in any case.

use indexmap::IndexMap;

use super::Leader;
use crate::scheduler::target_entry::Incarnation;
use crate::scheduler::{
    Crashes, JobTable, LostTarget, Millis, TargetEntry, TargetId, TargetState, TaskKey, VmState,
};

/// What is known of a lost target, to find out whether it has crashed.
#[derive(Debug)]
struct LossInfo {
    /// Name of its VM; empty if that is not known.
    vm: String,
    /// Tasks that its loss was counted against.
    tasks: Vec<TaskKey>,
}

/// What became of a lost target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It had crashed.
    Crashed,
    /// It had not crashed.
    Returned,
    /// It may have ended for another reason.
    Unclear,
}

impl Fate {
    /// Name in the log.
    const fn name(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Returned => "returned",
            Self::Unclear => "unclear",
        }
    }
}

/// The lost targets of which it is open whether they crashed. The stored progress of their tasks
/// has them, too, so that the next leader knows of them.
#[derive(Debug, Default)]
pub(super) struct LostTargets {
    losses: IndexMap<Incarnation, LossInfo>,
    /// VMs that orders are being carried out for, with the effect on `losses` still to be applied.
    ordered_vms: Vec<String>,
}

impl LostTargets {
    /// Adds a loss that was counted against a task.
    pub(super) fn add(&mut self, task: TaskKey, lost: &LostTarget) {
        let key = Incarnation {
            id: lost.target.clone(),
            born: lost.born,
        };
        let info = self.losses.entry(key).or_insert_with(|| LossInfo {
            vm: lost.vm.clone(),
            tasks: Vec::new(),
        });
        info.tasks.push(task);
    }

    /// Notes that an order for the VM is being carried out, or may be.
    pub(super) fn vm_ordered(&mut self, vm: &str) {
        if self.losses.values().any(|info| info.vm == vm) {
            self.ordered_vms.push(vm.to_owned());
        }
    }

    /// The lost targets that `fate_of` tells something of, with what it tells.
    fn decided(
        &self,
        fate_of: impl Fn(&Incarnation, &LossInfo) -> Option<Fate>,
    ) -> Vec<(Incarnation, Fate)> {
        let losses = self.losses.iter();
        losses
            .filter_map(|(lost, info)| Some((lost.clone(), fate_of(lost, info)?)))
            .collect()
    }
}

/// What the entry of a target tells of a lost one.
fn fate_by_entry(lost: &Incarnation, info: &LossInfo, entry: &TargetEntry) -> Option<Fate> {
    let later = entry.born > lost.born;
    if later && (entry.id == lost.id || *entry.vm == *info.vm) {
        return Some(Fate::Crashed);
    }
    let drains = lost.is_of(entry) && entry.state == TargetState::Draining;
    drains.then_some(Fate::Unclear)
}

impl Leader {
    /// Takes over the losses that the stored progress of the jobs leaves open.
    pub(super) fn adopt_losses(&mut self, table: &mut JobTable, now: Millis) {
        for (key, job) in table.iter() {
            let running = !job.progress.state.ended();
            for (task, stored) in job.progress.tasks(key).filter(|_| running) {
                for lost in &stored.crashes.lost {
                    self.lost_targets.add(task, lost);
                }
            }
        }
        if self.lost_targets.losses.is_empty() {
            return;
        }
        self.vm_tracker.watch(now);
        let entries: Vec<_> = self.targets.values().map(|t| t.entry.clone()).collect();
        for entry in entries {
            self.target_sighted(table, &entry);
        }
    }

    /// Applies what an entry tells of lost targets.
    pub(super) fn target_sighted(&mut self, table: &mut JobTable, entry: &TargetEntry) {
        let fate_of = |lost: &Incarnation, info: &LossInfo| fate_by_entry(lost, info, entry);
        self.settle_losses(table, fate_of);
    }

    /// Applies that a lost target has answered a call.
    pub(super) fn target_returned(&mut self, table: &mut JobTable, id: &TargetId, born: u64) {
        let id = id.clone();
        self.settle_loss(table, Incarnation { id, born }, Fate::Returned);
    }

    /// Applies that another incarnation, or another target, answers in the place of one.
    pub(super) fn target_displaced(&mut self, table: &mut JobTable, id: &TargetId) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let displaced = Incarnation::of(&target.entry);
        self.settle_loss(table, displaced, Fate::Crashed);
    }

    /// Applies what a list of the VMs tells of lost targets.
    pub(super) fn vms_listed(&mut self, table: &mut JobTable) {
        let vms = self.vm_tracker.vms();
        let decided = self.lost_targets.decided(|lost, info| {
            let vm = vms.get(&info.vm)?;
            let other = vm.target.as_ref().is_some_and(|id| *id != lost.id);
            match vm.state {
                VmState::Moving | VmState::Upkeep => Some(Fate::Unclear),
                VmState::Down => Some(Fate::Crashed),
                VmState::Up => other.then_some(Fate::Crashed),
            }
        });
        self.apply_fates(table, decided);
    }

    /// Applies that orders for the VMs of lost targets are being carried out, which end these in any
    /// case.
    pub(super) fn settle_ordered_vms(&mut self, table: &mut JobTable) {
        let ordered = std::mem::take(&mut self.lost_targets.ordered_vms);
        if !ordered.is_empty() {
            self.settle_losses(table, |_, info| {
                ordered.contains(&info.vm).then_some(Fate::Unclear)
            });
        }
    }

    fn settle_loss(&mut self, table: &mut JobTable, lost: Incarnation, fate: Fate) {
        if self.lost_targets.losses.contains_key(&lost) {
            self.apply_fates(table, vec![(lost, fate)]);
        }
    }

    fn settle_losses(
        &mut self,
        table: &mut JobTable,
        fate_of: impl Fn(&Incarnation, &LossInfo) -> Option<Fate>,
    ) {
        let decided = self.lost_targets.decided(fate_of);
        self.apply_fates(table, decided);
    }

    fn apply_fates(&mut self, table: &mut JobTable, decided: Vec<(Incarnation, Fate)>) {
        for (lost, fate) in decided {
            let info = self.lost_targets.losses.swap_remove(&lost);
            for task in info.into_iter().flat_map(|info| info.tasks) {
                self.apply_fate(table, task, &lost, fate);
            }
        }
    }

    /// Applies what became of a lost target to the crashes of a task, unless these were cleared.
    fn apply_fate(&mut self, table: &mut JobTable, task: TaskKey, lost: &Incarnation, fate: Fate) {
        let stored = table.get_mut(task.step.job);
        let stored = stored.filter(|job| !job.progress.state.ended());
        let Some(stored) = stored.and_then(|job| job.progress.task_mut(task)) else {
            return;
        };
        let open = &mut stored.crashes.lost;
        let is_lost = |other: &LostTarget| other.target == lost.id && other.born == lost.born;
        let Some(alone) = open.iter().position(is_lost).map(|i| open.remove(i).alone) else {
            return;
        };
        match fate {
            Fate::Crashed => stored.crashes.seen += 1,
            Fate::Returned => stored.crashes.count = stored.crashes.count.saturating_sub(1),
            Fate::Unclear => {}
        }
        let given_up = fate == Fate::Crashed && alone && stored.crashes.too_many_seen();
        let Crashes { count, seen, .. } = stored.crashes;
        spdlog::info!("loss_settled", kv: {
            task = task.to_string(), target = lost.id.0.as_ref(), fate = fate.name(),
            crashes = count, seen, given_up
        });
        self.journal.mark_job_dirty(task.step.job);
        if given_up {
            self.give_job_up(table, task.step.job);
        }
    }
}
