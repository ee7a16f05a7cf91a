//! VMs: the pool that each is in, and planned stops.

use crate::document::Document;
use crate::id::{Epoch, PoolId, VmId};
use crate::ledger::{Refusal, State, StopReason};

/// VMs of a pool that may always be stopped one at a time, if the pool has others.
const MIN_STOPS: usize = 1;

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
        match to {
            Some(pool) => {
                self.check_pool(&pool)?;
                self.facts.assignment.insert(vm, pool);
            }
            None => {
                self.facts.assignment.swap_remove(&vm);
            }
        }
        Ok(())
    }

    pub(super) fn stop(
        &mut self,
        vm: VmId,
        reason: StopReason,
        epoch: Epoch,
    ) -> Result<(), Refusal> {
        self.check_epoch(epoch)?;
        if self.facts.stops.contains_key(&vm) {
            return Err(Refusal::Repeated);
        }
        let Some(pool) = self.facts.assignment.get(&vm) else {
            return Err(Refusal::Missing(vm.to_string()));
        };
        self.check_budget(pool)?;
        self.facts.stops.insert(vm, reason);
        Ok(())
    }

    pub(super) fn stopped(&mut self, vm: &VmId, epoch: Epoch) -> Result<(), Refusal> {
        self.check_epoch(epoch)?;
        match self.facts.stops.swap_remove(vm) {
            Some(_) => Ok(()),
            None => Err(Refusal::Missing(vm.to_string())),
        }
    }

    fn check_pool(&self, pool: &PoolId) -> Result<(), Refusal> {
        let known = self
            .document
            .as_ref()
            .is_some_and(|document| has_pool(document, pool));
        if known {
            return Ok(());
        }
        Err(Refusal::Missing(pool.to_string()))
    }

    /// Counts every stop that is not resolved, whoever began it.
    fn check_budget(&self, pool: &PoolId) -> Result<(), Refusal> {
        let Some(document) = &self.document else {
            return Err(Refusal::Missing(pool.to_string()));
        };
        let in_pool = |vm: &VmId| self.facts.assignment.get(vm) == Some(pool);
        let size = self
            .facts
            .assignment
            .values()
            .filter(|p| *p == pool)
            .count();
        let stopped = self.facts.stops.keys().filter(|vm| in_pool(vm)).count();
        let percent = document.fleet.budgets.pool_percent as usize;
        let allowed = (size * percent / 100).max(MIN_STOPS).min(size - 1);
        if stopped < allowed {
            return Ok(());
        }
        let cause = format!("pool {pool}: {stopped} of {allowed} stops in progress");
        Err(Refusal::Budget(cause))
    }
}

fn has_pool(document: &Document, pool: &PoolId) -> bool {
    document
        .teams
        .values()
        .any(|team| team.pools.contains_key(pool))
}
