//! VMs: their location and pool, planned stops and outages.

use super::budget::{Availability, BudgetInputs, MAX_FAILED_STOPS};
use crate::id::{Epoch, PoolId, VmId};
use crate::ledger::{PlannedStop, Refusal, State, StopReason, VmLocation};

impl State {
    pub(super) fn assign(
        &mut self,
        vm: VmId,
        from: Option<&PoolId>,
        to: Option<PoolId>,
        epoch: Epoch,
    ) -> Result<(), Refusal> {
        self.check_epoch(epoch)?;
        let current = self.facts.assignment.get(&vm);
        if current != from {
            return Err(Refusal::Moved(current.cloned()));
        }
        if self.facts.stops.contains_key(&vm) {
            return Err(Refusal::Budget(format!("{vm} has a planned stop")));
        }
        self.check_removal(&vm, from)?;
        match to {
            Some(pool) => {
                self.check_addition(&vm, &pool)?;
                self.facts.assignment.insert(vm, pool);
            }
            None => {
                self.facts.assignment.swap_remove(&vm);
            }
        }
        Ok(())
    }

    pub(super) fn start_stop(
        &mut self,
        vm: VmId,
        stop: PlannedStop,
        epoch: Epoch,
    ) -> Result<(), Refusal> {
        self.check_epoch(epoch)?;
        if self.facts.stops.contains_key(&vm) {
            return Err(Refusal::Repeated);
        }
        if !self.facts.locations.contains_key(&vm) {
            return Err(Refusal::Missing(vm.to_string()));
        }
        self.check_failed_stops(stop.reason)?;
        let Some(budget_inputs) = self.budget_inputs() else {
            return Err(Refusal::Missing("document".to_owned()));
        };
        let availability = Availability::count(budget_inputs);
        availability.check_stop(&vm).map_err(Refusal::Budget)?;
        self.facts.stops.insert(vm, stop);
        Ok(())
    }

    pub(super) fn end_stop(
        &mut self,
        vm: VmId,
        healthy: bool,
        rebooted_s: Option<u64>,
        epoch: Epoch,
    ) -> Result<(), Refusal> {
        self.check_epoch(epoch)?;
        let Some(_) = self.facts.stops.swap_remove(&vm) else {
            return Err(Refusal::Missing(vm.to_string()));
        };
        if let (true, Some(at)) = (healthy, rebooted_s) {
            let start = self.facts.cycle_starts_s.entry(vm.clone()).or_insert(at);
            *start = at.max(*start);
        }
        if healthy {
            self.facts.failed_stops.swap_remove(&vm);
        } else {
            self.facts.failed_stops.insert(vm.clone());
            self.facts.down.insert(vm);
        }
        Ok(())
    }

    pub(super) fn locate(
        &mut self,
        vm: VmId,
        location: Option<VmLocation>,
        seen_s: u64,
        epoch: Epoch,
    ) -> Result<(), Refusal> {
        self.check_epoch(epoch)?;
        let Some(location) = location else {
            return self.forget_vm(&vm);
        };
        self.facts
            .cycle_starts_s
            .entry(vm.clone())
            .or_insert(seen_s);
        self.facts.locations.insert(vm, location);
        Ok(())
    }

    /// Removes a VM, unless it is in a pool or has a planned stop.
    fn forget_vm(&mut self, vm: &VmId) -> Result<(), Refusal> {
        if let Some(pool) = self.facts.assignment.get(vm) {
            return Err(Refusal::Moved(Some(pool.clone())));
        }
        if self.facts.stops.contains_key(vm) {
            return Err(Refusal::Budget(format!("{vm} has a planned stop")));
        }
        self.facts.locations.swap_remove(vm);
        self.facts.cycle_starts_s.swap_remove(vm);
        self.facts.down.swap_remove(vm);
        self.facts.failed_stops.swap_remove(vm);
        Ok(())
    }

    pub(super) fn mark_down(&mut self, vm: VmId, epoch: Epoch) -> Result<(), Refusal> {
        self.check_epoch(epoch)?;
        if !self.facts.locations.contains_key(&vm) {
            return Err(Refusal::Missing(vm.to_string()));
        }
        if !self.facts.down.insert(vm) {
            return Err(Refusal::Repeated);
        }
        Ok(())
    }

    pub(super) fn mark_up(&mut self, vm: &VmId, epoch: Epoch) -> Result<(), Refusal> {
        self.check_epoch(epoch)?;
        self.facts.failed_stops.swap_remove(vm);
        if self.facts.down.swap_remove(vm) {
            return Ok(());
        }
        Err(Refusal::Missing(vm.to_string()))
    }

    /// State that the budgets are checked against; `None` while there is no document.
    fn budget_inputs(&self) -> Option<BudgetInputs<'_>> {
        Some(BudgetInputs {
            document: self.document.as_deref()?,
            assignment: &self.facts.assignment,
            locations: &self.facts.locations,
            stops: &self.facts.stops,
            down: &self.facts.down,
        })
    }

    /// Refuses all stops but those for repair when too many VMs did not come back healthy.
    fn check_failed_stops(&self, reason: StopReason) -> Result<(), Refusal> {
        let failed = self.facts.failed_stops.len();
        if reason == StopReason::Repair || failed < MAX_FAILED_STOPS {
            return Ok(());
        }
        let cause = format!("{failed} VMs did not come back healthy from a stop");
        Err(Refusal::Budget(cause))
    }

    /// Checks the budget of the pool that a VM leaves; a pool that is no longer in the
    /// document has none.
    fn check_removal(&self, vm: &VmId, from: Option<&PoolId>) -> Result<(), Refusal> {
        let (Some(pool), Some(budget_inputs)) = (from, self.budget_inputs()) else {
            return Ok(());
        };
        if budget_inputs.document.pool(pool).is_none() {
            return Ok(());
        }
        let availability = Availability::count(budget_inputs);
        availability
            .check_removal(vm, pool)
            .map_err(Refusal::Budget)
    }

    fn check_addition(&self, vm: &VmId, pool: &PoolId) -> Result<(), Refusal> {
        let known = self
            .document
            .as_ref()
            .is_some_and(|document| document.pool(pool).is_some());
        if !known {
            return Err(Refusal::Missing(pool.to_string()));
        }
        if self.facts.down.contains(vm) {
            return Err(Refusal::Budget(format!("{vm} is down")));
        }
        Ok(())
    }
}
