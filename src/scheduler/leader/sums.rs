//! Sums up the capacity of each pool and the work that waits for it.

use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexMap;

use super::Leader;
use crate::scheduler::backlog::PoolBacklog;
use crate::scheduler::shares::TeamLoad;
use crate::scheduler::step_status::step_statuses;
use crate::scheduler::urgency::Urgency;
use crate::scheduler::work::{JobClaim, Work, multiply, to_float};
use crate::scheduler::{Capacity, Job, JobKey, JobTable, Policy, TargetState, VmState};

/// Work and capacity of a pool while the summary is computed.
#[derive(Debug, Default)]
pub(super) struct PoolSums {
    pub(super) backlog: PoolBacklog,
    /// Capacity of its VMs that are up or on their way to it, as the list of VMs says.
    pub(super) vms: Capacity,
    /// Capacity of its targets.
    pub(super) targets: Capacity,
    /// What runs of long-running tasks reserve.
    pub(super) kept: Capacity,
    /// What other runs reserve, and the tasks that could start now.
    pub(super) demand: Capacity,
    /// Highest priority of its waiting jobs; `None` without any.
    pub(super) priority: Option<u32>,
    /// Sum of the times that its jobs can wait and be in time, in ms, and their number.
    pub(super) slack: (f64, f64),
}

/// Sums over all pools while the summary is computed.
#[derive(Debug, Default)]
pub(super) struct FleetSums<'a> {
    pub(super) pools: IndexMap<Arc<str>, PoolSums>,
    pub(super) standby: Capacity,
    /// What runs of jobs without a team reserve.
    pub(super) public: Capacity,
    pub(super) loads: IndexMap<&'a str, TeamLoad>,
}

impl Leader {
    /// Capacity of each pool outside of evacuated data centres, and what runs reserve there.
    pub(super) fn sum_capacity(&self, policy: &Policy) -> FleetSums<'_> {
        let mut sums = FleetSums::default();
        for (name, pool) in &policy.pools {
            if !pool.standby {
                sums.pools.insert(Arc::clone(name), PoolSums::default());
            }
        }
        let moves = self.vm_tracker.pending_moves();
        let vms = self.vm_tracker.vms().iter();
        for (name, vm) in vms.filter(|(_, vm)| !self.is_evacuated(vm)) {
            let pool = moves.get(name.as_str()).copied().unwrap_or(&vm.pool);
            match sums.pools.get_mut(pool) {
                Some(pool) if vm.state != VmState::Down => pool.vms.add(&vm.capacity),
                Some(_) => {}
                None => sums.standby.add(&vm.capacity),
            }
        }
        for target in self.targets.values() {
            let mut unused = PoolSums::default();
            let pool = sums
                .pools
                .get_mut(&target.entry.pool)
                .unwrap_or(&mut unused);
            // The capacity of other targets is left out, so what runs there is not taken off it.
            let usable = target.listed && !target.evacuated;
            if usable && target.entry.state == TargetState::Ready {
                pool.targets.add(&target.entry.capacity);
            }
            for run in target.runs.values() {
                if usable {
                    let kind = if run.long_running {
                        &mut pool.kept
                    } else {
                        &mut pool.demand
                    };
                    kind.add(&run.reserved);
                }
                match &run.team {
                    Some(team) => sums
                        .loads
                        .entry(team)
                        .or_default()
                        .running
                        .add(&run.reserved),
                    None if usable => sums.public.add(&run.reserved),
                    None => {}
                }
            }
        }
        sums
    }

    /// Adds the work of the jobs that have not ended and can still end while they are of use.
    pub(super) fn sum_work<'a>(
        &self,
        table: &'a JobTable,
        policy: &Policy,
        claims: &mut HashMap<JobKey, JobClaim>,
        sums: &mut FleetSums<'a>,
    ) {
        for key in &self.active_jobs {
            let Some(job) = table.get(*key) else { continue };
            if job.cancelled {
                continue;
            }
            let terms = policy.terms_of(&job.spec);
            let claim = claims.entry(*key).or_insert_with(|| JobClaim {
                unplaceable: self.unplaceable_step(&job.spec).is_some(),
                ..JobClaim::of(&job.spec, terms)
            });
            // Jobs that can only end past use start after all others.
            if claim.long_running
                || claim.unplaceable
                || Urgency::of(*key, job, terms, self.wall_ms).past_use()
            {
                continue;
            }
            let untouched = claim.runs_at_once && !job.progress.has_placed_tasks();
            let (work, ready) = if untouched {
                (claim.work, claim.ready)
            } else {
                remaining(*key, job, self.due.waiting(*key, job))
            };
            let name = policy.pool_of(&job.spec.queue, &job.spec.pool);
            let Some(pool) = sums.pools.get_mut(name) else {
                continue;
            };
            let team = job.spec.team.as_deref();
            pool.demand.add(&ready);
            pool.backlog.add(claim.priority, &work, team, false);
            if work != Work::default() {
                pool.priority = pool.priority.into_iter().chain([claim.priority]).min();
                pool.slack.0 += to_float(claim.objective_ms.saturating_sub(claim.chain_ms));
                pool.slack.1 += 1.0;
            }
            if let Some(team) = team {
                sums.loads.entry(team).or_default().waiting.add(&ready);
            }
        }
    }
}

/// Work of the tasks of a job that are neither placed nor done, and what those of them reserve that
/// could start now. `waiting` is the number of its occurrences that are due and not open.
fn remaining(key: JobKey, job: &Job, waiting: u32) -> (Work, Capacity) {
    let (mut work, mut ready) = (Work::default(), Capacity::default());
    for status in step_statuses(key, job, waiting) {
        let amount = status.spec.reservation();
        let pending = status.pending_in_all();
        work.add(&Work::of(&amount, pending, status.spec.estimate_ms));
        if status.ready() {
            ready.add(&multiply(&amount, pending));
        }
    }
    (work, ready)
}
