//! Sends orders to move or maintain VMs, and applies the answers to them.

use std::sync::Arc;

use super::{Command, Leader};
use crate::scheduler::target_entry::Incarnation;
use crate::scheduler::vm::VmOrder;
use crate::scheduler::{JobTable, Millis, VmOutcome};

/// Time for which a stored batch confirms that this process leads, in ms from its sending; other
/// processes need a little more to presume the leader dead.
pub(super) const CLAIM_CONFIRMED_MS: Millis = 900;

impl Leader {
    /// Sends an order for a VM and gives its target no new work.
    pub(super) fn send_vm_order(&mut self, name: &str, order: VmOrder, now: Millis) {
        spdlog::info!("vm_order", kv: { vm = name, order = format!("{order:?}"), epoch = self.epoch() });
        let vm = name.to_owned();
        let target = self.target_on(name);
        let target = target.and_then(|id| self.targets.get_mut(&id));
        let subject = target.map(|target| {
            target.vacating_since.get_or_insert(now);
            Incarnation::of(&target.entry)
        });
        let send_by = self.journal.confirmed_at + CLAIM_CONFIRMED_MS;
        self.commands.push(match &order {
            VmOrder::Upkeep(wave) => Command::BeginUpkeep {
                vm,
                wave: *wave,
                send_by,
            },
            VmOrder::Move(pool) => Command::MoveVm {
                vm,
                pool: Arc::clone(pool),
                send_by,
            },
        });
        self.vm_tracker.record_order(name, order, subject, now);
    }

    /// Applies the platform's answer to an order for a VM.
    pub(super) fn vm_order_answered(&mut self, name: &str, outcome: VmOutcome, now: Millis) {
        spdlog::info!("vm_order_answered", kv: { vm = name, outcome = format!("{outcome:?}") });
        if outcome == VmOutcome::Fenced {
            self.fenced = true;
        }
        if matches!(outcome, VmOutcome::Begun | VmOutcome::Unknown) {
            self.lost_targets.vm_ordered(name);
        } else {
            self.end_vacating(name);
        }
        let decided = self.vm_tracker.apply_answer(name, outcome, now);
        if let Some(VmOrder::Upkeep(wave)) = decided
            && matches!(outcome, VmOutcome::Begun | VmOutcome::NotInWave)
        {
            self.begun_upkeeps.push((wave, name.to_owned()));
        }
    }

    /// Lets the target of a VM get work again, because the order for the VM was refused.
    fn end_vacating(&mut self, name: &str) {
        let target = self.target_on(name);
        if let Some(target) = target.and_then(|id| self.targets.get_mut(&id)) {
            target.vacating_since = None;
            self.needs_scheduling = true;
        }
    }

    /// Records the VMs whose maintenance has begun, so that it is not ordered again.
    pub(super) fn record_begun_upkeeps(&mut self, table: &mut JobTable) {
        for (wave, name) in std::mem::take(&mut self.begun_upkeeps) {
            let progress = table.wave_mut(wave);
            if !progress.begun.contains(&name) {
                progress.begun.push(name);
                self.journal.mark_wave_dirty(wave);
            }
        }
    }
}
