//! Moves VMs between pools as the pools' demand changes, and those that no pool needs to the
//! standby pool.

use std::sync::Arc;

use indexmap::IndexMap;

use super::Leader;
use crate::scheduler::balance::{PoolRequest, grant_vms};
use crate::scheduler::demand::{MoveCandidate, PoolDemand, PoolMove, plan_moves};
use crate::scheduler::step_status::step_statuses;
use crate::scheduler::vm::VmOrder;
use crate::scheduler::{Capacity, JobTable, Millis, Step, StepKey, VmState};

/// Time between two computations of the demand, in ms.
const BALANCE_INTERVAL_MS: Millis = 100;

/// Time between two log lines on the demand of each pool, in ms.
const DEMAND_LOG_INTERVAL_MS: Millis = 1_000;

impl Leader {
    /// Chooses the VMs to drain from the current demand, plans moves of VMs, and sends the orders
    /// for them. Does nothing without a standby pool.
    pub(super) fn balance_pools(&mut self, table: &JobTable, now: Millis) {
        if now < self.next_balance || !self.vm_tracker.has_list() {
            return;
        }
        self.next_balance = now + BALANCE_INTERVAL_MS;
        let Some(standby) = self
            .policy
            .standby_pool()
            .map(|pool| Arc::clone(&pool.name))
        else {
            return self.end_drains();
        };
        let mut pools = self.pool_demands(table, &standby);
        for (name, pool) in &mut pools {
            let trend = self.demand_trends.entry(Arc::clone(name)).or_default();
            pool.expected_rise = trend.add_sample(pool.demand, now);
        }
        let candidates = self.move_candidates(now);
        grant(&mut pools, &candidates, &standby);
        self.update_drains(table, &pools, &standby, now);
        if now >= self.next_demand_log {
            self.next_demand_log = now + DEMAND_LOG_INTERVAL_MS;
            for (name, pool) in &pools {
                spdlog::info!("demand", kv: {
                    pool = name.as_ref(), vms = pool.vms, wanted = pool.wanted_vms(), granted = pool.granted, floor = pool.min_vms,
                    cpu = pool.demand.cpu, mem_mb = pool.demand.mem_mb, drained = self.drained_vms(name)
                });
                if pool.short() {
                    spdlog::warn!("pool_short", kv: {
                        pool = name.as_ref(), vms = pool.vms, wanted = pool.wanted_vms(),
                        granted = pool.granted, floor = pool.min_vms, priority = pool.priority
                    });
                }
            }
        }
        if !self.may_order_vms(now) {
            return;
        }
        self.retire_evacuated_vms(&standby, now);
        let possible = |vm: &str, pool: &Arc<str>| !self.vm_tracker.is_impossible_move(vm, pool);
        for PoolMove { vm, pool } in plan_moves(&pools, &candidates, &standby, possible) {
            self.send_vm_order(&vm, VmOrder::Move(pool), now);
        }
    }

    /// VMs and demand of each pool but the standby pool, by name.
    fn pool_demands(&self, table: &JobTable, standby: &str) -> IndexMap<Arc<str>, PoolDemand> {
        let names = self.policy.pools.keys().filter(|name| ***name != *standby);
        let mut pools: IndexMap<Arc<str>, PoolDemand> = names
            .map(|name| {
                let pool = PoolDemand {
                    vm_capacity: self.largest_capacity(name),
                    ..PoolDemand::default()
                };
                (Arc::clone(name), pool)
            })
            .collect();
        // A VM that is being moved counts once, for its destination: its target may be listed
        // there before the list of VMs shows the VM as moved.
        let mut incoming = self.usable_moves();
        for target in self.targets.values().filter(|target| target.listed) {
            let entry = &target.entry;
            let destination = incoming.get(entry.vm.as_ref()).copied();
            if destination.is_some_and(|destination| *destination != entry.pool) {
                continue;
            }
            let Some(pool) = pools.get_mut(&entry.pool) else {
                continue;
            };
            incoming.swap_remove(entry.vm.as_ref());
            // A VM that is about to be moved or maintained, or is evacuated, has to be replaced.
            if target.stays() {
                pool.vms += 1;
                // What runs on a target that has shrunk goes on there.
                let mut lacking = pool.vm_capacity;
                lacking.subtract(&entry.capacity.max_each(&target.used));
                pool.lacking.add(&lacking);
            }
        }
        for destination in incoming.into_values() {
            if let Some(pool) = pools.get_mut(destination) {
                pool.vms += 1;
            }
        }
        for (_, job) in table.iter() {
            let name = self.policy.pool_of(&job.spec.queue, &job.spec.pool);
            if let Some(pool) = pools.get_mut(name) {
                pool.has_had_jobs = true;
            }
        }
        for key in &self.active_jobs {
            let Some(job) = table.get(*key) else { continue };
            let name = self.policy.pool_of(&job.spec.queue, &job.spec.pool);
            let Some(pool) = pools.get_mut(name) else {
                continue;
            };
            for status in step_statuses(*key, job, self.due.waiting(*key, job)) {
                let (step, spec, pending) = (status.key, status.spec, status.pending);
                let together = spec.long_running || (spec.gang && pending > 0);
                if together && spec.max_per_target > 0 {
                    let mut targets = spec.count.div_ceil(spec.max_per_target) as usize;
                    if pending > 0 {
                        targets += self.targets_too_small(name, step, spec, &pool.vm_capacity);
                    }
                    pool.min_vms = pool.min_vms.max(targets);
                }
            }
        }
        for (name, work) in self.pool_works(table, pools.keys()) {
            let pool = &mut pools[&name];
            pool.priority = work.priority.unwrap_or(u32::MAX);
            pool.demand = work.demand.max_each(&work.least);
        }
        pools
    }

    /// Number of targets of a pool that run no task of the step, and are too small for one; 0 if
    /// the pool's `largest` VM is, too.
    fn targets_too_small(
        &self,
        pool: &str,
        key: StepKey,
        step: &Step,
        largest: &Capacity,
    ) -> usize {
        let fits = |capacity| Capacity::default().fits(&step.reservation(), capacity);
        if !fits(largest) {
            return 0;
        }
        let targets = self
            .targets
            .values()
            .filter(|target| target.listed && target.stays() && *target.entry.pool == *pool);
        targets
            .filter(|target| !fits(&target.entry.capacity) && target.runs_of_step(key) == 0)
            .count()
    }

    /// Largest capacity of the VMs in a pool, by resource, and of their targets. While these have
    /// nothing left, or there are none, that of all VMs.
    fn largest_capacity(&self, pool: &str) -> Capacity {
        let vms = self.vm_tracker.vms().values();
        let in_pool = vms.filter(|vm| *vm.pool == *pool).map(|vm| vm.capacity);
        let entries = self.targets.values().filter(|target| target.listed);
        let entries = entries
            .map(|target| &target.entry)
            .filter(|entry| *entry.pool == *pool)
            .map(|entry| entry.capacity);
        let largest = in_pool
            .chain(entries)
            .fold(Capacity::default(), |largest, other| {
                largest.max_each(&other)
            });
        if largest.cpu > 0 && largest.mem_mb > 0 {
            return largest;
        }
        let vms = self.vm_tracker.vms().values();
        vms.fold(largest, |largest, vm| largest.max_each(&vm.capacity))
    }

    /// VMs that could be moved now: those that are off, and those whose target has no work.
    fn move_candidates(&self, now: Millis) -> Vec<MoveCandidate> {
        let vms = self.vm_tracker.vms().iter();
        vms.filter(|(name, vm)| vm.state == VmState::Up && !self.vm_tracker.has_pending_order(name))
            .filter(|(_, vm)| !self.is_evacuated(vm))
            .filter_map(|(name, vm)| {
                let idle_ms = match self.target_on(name) {
                    None => Some(Millis::MAX),
                    Some(id) => {
                        let target = self.targets.get(&id)?;
                        let idle =
                            target.removable() && target.listed && target.vacating_since.is_none();
                        idle.then(|| target.drain.map_or(0, |drain| now - drain.since))
                    }
                };
                Some(MoveCandidate {
                    vm: name.clone(),
                    pool: Arc::clone(&vm.pool),
                    idle_ms: idle_ms?,
                })
            })
            .collect()
    }
}

/// Grants the pools what they ask for, or their parts of the VMs in them and the standby pool.
fn grant(
    pools: &mut IndexMap<Arc<str>, PoolDemand>,
    candidates: &[MoveCandidate],
    standby: &Arc<str>,
) {
    let requests: Vec<PoolRequest> = pools.values().map(PoolDemand::request).collect();
    let off = candidates.iter().filter(|vm| vm.pool == *standby).count();
    let held: usize = pools.values().map(|pool| pool.vms).sum();
    let granted = grant_vms(&requests, held + off);
    for (pool, granted) in pools.values_mut().zip(granted) {
        pool.granted = granted;
    }
}
