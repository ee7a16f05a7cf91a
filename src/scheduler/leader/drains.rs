//! Drains VMs of pools that hold more than they need: a target that is being drained gets no new
//! task while another one has room, so that its VM is soon without work and can be moved.

use std::sync::Arc;

use indexmap::IndexMap;

use super::Leader;
use crate::scheduler::balance::{DrainCandidate, choose_drained};
use crate::scheduler::demand::PoolDemand;
use crate::scheduler::target::{Drain, Target};
use crate::scheduler::{JobTable, Millis, TargetId};

impl Leader {
    /// Chooses the VMs that are drained now. The choice is made anew each time, so that a later
    /// leader needs no record of it and no VM is drained for longer than its pool has a surplus.
    pub(super) fn update_drains(
        &mut self,
        table: &JobTable,
        pools: &IndexMap<Arc<str>, PoolDemand>,
        standby: &Arc<str>,
        now: Millis,
    ) {
        // Each with whether it is reclaimed for other pools.
        let mut chosen: IndexMap<TargetId, bool> = IndexMap::new();
        for (name, pool) in pools {
            let surplus = pool.surplus_vms();
            if surplus > 0 {
                let candidates = self.drain_candidates(table, name, standby, now);
                let drained = choose_drained(candidates, surplus).into_iter();
                chosen.extend(drained.map(|candidate| (candidate.target, pool.short())));
            }
        }
        let mut changes: IndexMap<Arc<str>, (usize, usize)> = IndexMap::new();
        for (id, target) in &mut self.targets {
            let before = target.drain;
            target.drain = chosen.get(id).map(|reclaimed| Drain {
                since: before.map_or(now, |drain| drain.since),
                reclaimed: *reclaimed,
            });
            let drained = target.drain.is_some();
            // What waits may start here again.
            let reclaimed = |drain: Option<Drain>| drain.is_some_and(|drain| drain.reclaimed);
            self.needs_scheduling |= reclaimed(before) && !reclaimed(target.drain);
            if before.is_some() == drained {
                continue;
            }
            let pool = Arc::clone(&target.entry.pool);
            let (begun, ended) = changes.entry(pool).or_default();
            *begun += usize::from(drained);
            *ended += usize::from(!drained);
        }
        for (pool, (begun, ended)) in changes {
            let drained = self.drained_vms(&pool);
            spdlog::info!("drain_changed", kv: { pool = pool.as_ref(), begun, ended, drained });
        }
    }

    /// Ends the draining of all VMs.
    pub(super) fn end_drains(&mut self) {
        for target in self.targets.values_mut() {
            let drain = target.drain.take();
            self.needs_scheduling |= drain.is_some_and(|drain| drain.reclaimed);
        }
    }

    /// Number of a pool's VMs that are being drained.
    pub(super) fn drained_vms(&self, pool: &str) -> usize {
        let targets = self.targets.values();
        targets
            .filter(|target| target.drain.is_some() && *target.entry.pool == *pool)
            .count()
    }

    /// Targets of a pool whose VMs could be drained and moved to the standby pool.
    fn drain_candidates(
        &self,
        table: &JobTable,
        pool: &str,
        standby: &Arc<str>,
        now: Millis,
    ) -> Vec<DrainCandidate> {
        let may_leave = |target: &Target| {
            !self
                .vm_tracker
                .is_impossible_move(&target.entry.vm, standby)
        };
        let targets = self.targets.iter();
        targets
            .filter(|(_, target)| {
                target.listed
                    && *target.entry.pool == *pool
                    && target.stays()
                    && target.long_running_runs() == 0
                    && may_leave(target)
            })
            .map(|(id, target)| DrainCandidate {
                target: id.clone(),
                runs: target.runs.len(),
                remaining_ms: remaining_ms(table, target, now),
                draining: target.drain.is_some(),
            })
            .collect()
    }
}

/// Time until the last run on a target should end by its estimate, in ms.
fn remaining_ms(table: &JobTable, target: &Target, now: Millis) -> u64 {
    let runs = target.runs.iter().map(|(task, run)| {
        let job = table.get(task.step.job);
        let step = job.and_then(|job| job.spec.steps.get(task.step.step as usize));
        let estimate = step.map_or(0, |step| step.estimate_ms);
        let passed = run.running_since.map_or(0, |since| now - since);
        estimate.saturating_sub(passed)
    });
    runs.max().unwrap_or(0)
}
