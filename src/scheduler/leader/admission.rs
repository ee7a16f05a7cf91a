//! Keeps the summary of the waiting work and the shares of teams, and decides by them on jobs of
//! callers.

use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexMap;

use super::Leader;
use super::sums::FleetSums;
use crate::scheduler::admission::{self, Refusal};
use crate::scheduler::backlog::Backlog;
use crate::scheduler::pool_history::PoolHistory;
use crate::scheduler::room::{PoolRequest, attainable};
use crate::scheduler::shares::TeamShares;
use crate::scheduler::work::{JobClaim, to_float, to_millis};
use crate::scheduler::{Capacity, JobKey, JobSpec, JobTable, Millis, Policy, Step};

/// Shortest time between two computations of the summary, in ms. Jobs accepted in between are added
/// to it.
const SUMMARY_INTERVAL_MS: Millis = 100;

/// Number of jobs that have not ended for which the summary is computed once in
/// [`SUMMARY_INTERVAL_MS`]; with more it is computed less often, so that it takes no more time.
const JOBS_PER_INTERVAL: u64 = 1_000;

/// Time between two log lines on jobs of a queue that no VM can hold, in ms.
const UNPLACEABLE_LOG_INTERVAL_MS: Millis = 1_000;

/// State of the decisions on callers' jobs.
#[derive(Debug, Default)]
pub(super) struct Admission {
    backlog: Backlog,
    shares: TeamShares,
    /// When the summary was computed; `None` before the first time.
    computed_at: Option<Millis>,
    /// What the jobs that have not ended ask for, by the policy of version `claims_version`.
    claims: HashMap<JobKey, JobClaim>,
    claims_version: u64,
    histories: IndexMap<Arc<str>, PoolHistory>,
    /// When a job that no VM can hold was last logged, by queue.
    logged_at: HashMap<String, Millis>,
}

impl Leader {
    /// Decides on a job of a caller before it is stored. Only a refusal is certain to hold: a job
    /// that is not refused may still end late.
    ///
    /// # Errors
    /// Returns the refusal if the job is refused.
    pub fn admit(
        &mut self,
        table: &JobTable,
        key: JobKey,
        spec: &JobSpec,
        now: Millis,
    ) -> Result<(), Refusal> {
        let policy = Arc::clone(&self.policy);
        if table.get(key).is_some()
            || !admission::is_subject(spec, &policy)
            || self.is_unplaceable(spec, now)
        {
            return Ok(());
        }
        self.refresh_summary(table, now);
        let claim = JobClaim::of(spec, policy.terms_of(spec));
        let name = policy.pool_of(&spec.queue, &spec.pool);
        let state = &mut self.admission;
        let age_ms = now.saturating_sub(state.computed_at.unwrap_or(now));
        match admission::decide(&state.backlog, &claim, spec, name, key, age_ms) {
            Ok(()) => {
                let team = spec.team.as_deref();
                let over = state.over_share(team);
                if let Some(pool) = state.backlog.pools.get_mut(name) {
                    pool.add(claim.priority, &claim.work, team, over);
                }
                Ok(())
            }
            Err(refused) => {
                refused.log(key, spec);
                let at = now + u64::from(refused.refusal.retry_s) * 1_000;
                if let Some(history) = state.histories.get_mut(name) {
                    history.expect_back(&claim.work, at);
                }
                if let Some(pool) = state.backlog.pools.get_mut(name) {
                    pool.returning.add(&claim.work);
                }
                Err(refused.refusal)
            }
        }
    }

    /// The summary for another process, which decides by it while there is no leader.
    pub fn backlog_for_peers(&mut self, table: &JobTable, now: Millis) -> Backlog {
        self.refresh_summary(table, now);
        let at = self.admission.computed_at.unwrap_or(now);
        self.admission.backlog.for_peers(now.saturating_sub(at))
    }

    /// Computes the summary and the shares anew if they are not recent.
    pub(super) fn refresh_summary(&mut self, table: &JobTable, now: Millis) {
        let jobs = self.active_jobs.len() as u64;
        let interval_ms = SUMMARY_INTERVAL_MS * jobs.max(JOBS_PER_INTERVAL) / JOBS_PER_INTERVAL;
        let computed_at = self.admission.computed_at;
        if computed_at.is_some_and(|at| now < at + interval_ms) {
            return;
        }
        let policy = Arc::clone(&self.policy);
        let mut state = std::mem::take(&mut self.admission);
        state.computed_at = Some(now);
        if state.claims_version != policy.version || state.claims.len() > 2 * self.active_jobs.len()
        {
            state.claims.clear();
            state.claims_version = policy.version;
        }
        let standby = policy.standby_pool().is_some();
        let weighted = policy.teams.values().any(|team| team.weight > 0);
        if !weighted || (standby && !self.vm_tracker.has_list()) {
            // Without the list of VMs it is not known what capacity can be added.
            state.backlog = Backlog::default();
            state.shares = TeamShares::default();
        } else {
            let mut sums = self.sum_capacity(&policy);
            self.sum_work(table, &policy, &mut state.claims, &mut sums);
            state.summarize(sums, &policy, now);
        }
        self.admission = state;
    }

    /// Returns whether no VM can hold a task of the job, and logs it. Such a job is accepted, because
    /// the list of VMs may be incomplete.
    fn is_unplaceable(&mut self, spec: &JobSpec, now: Millis) -> bool {
        let Some(step) = self.unplaceable_step(spec) else {
            return false;
        };
        let logged_at = &mut self.admission.logged_at;
        let last = logged_at.get(&spec.queue);
        if last.is_none_or(|at| now >= at + UNPLACEABLE_LOG_INTERVAL_MS) {
            logged_at.insert(spec.queue.clone(), now);
            spdlog::warn!("job_unplaceable", kv: {
                queue = spec.queue, cpu = step.needs.cpu, mem_mb = step.needs.mem_mb,
                gpu = step.needs.gpu, label = step.required_label
            });
        }
        true
    }

    /// The first step with tasks that no known VM or target can hold; `None` while none is known.
    pub(super) fn unplaceable_step<'a>(&self, spec: &'a JobSpec) -> Option<&'a Step> {
        let vms = self.vm_tracker.vms().values();
        let vms = vms.map(|vm| (&vm.labels, vm.capacity));
        let targets = self.targets.values().map(|target| &target.entry);
        let targets = targets.map(|entry| (&entry.labels, entry.capacity));
        let hosts = || vms.clone().chain(targets.clone());
        let holds = |step: &Step, labels: &[String], capacity: &Capacity| {
            let label = &step.required_label;
            (label.is_empty() || labels.contains(label))
                && Capacity::default().fits(&step.reservation(), capacity)
        };
        hosts().next()?;
        let mut steps = spec.steps.iter();
        steps.find(|step| !hosts().any(|(labels, capacity)| holds(step, labels, &capacity)))
    }
}

impl Admission {
    /// Returns whether a team is over its share.
    pub(super) fn over_share(&self, team: Option<&str>) -> bool {
        self.shares.over_share(team)
    }

    /// Builds the summary from the sums of work and capacity.
    fn summarize(&mut self, sums: FleetSums<'_>, policy: &Policy, now: Millis) {
        let FleetSums {
            mut pools,
            standby,
            public,
            loads,
        } = sums;
        let movable = policy.standby_pool().is_some();
        let mut fleet = standby;
        let mut free = standby;
        for pool in pools.values_mut() {
            let mut now = pool.vms.max_each(&pool.targets);
            fleet.add(&now);
            now.subtract(&pool.kept);
            free.add(&now);
            pool.backlog.now = now;
        }
        let requests: Vec<PoolRequest> = pools
            .values()
            .map(|pool| PoolRequest {
                priority: pool.priority.unwrap_or(u32::MAX),
                demand: largest_fraction(&pool.demand, &free),
            })
            .collect();
        let mut scarce = false;
        for (index, (name, pool)) in pools.iter_mut().enumerate() {
            pool.backlog.later = if movable {
                let part = scale(&free, attainable(&requests, index));
                pool.backlog.now.max_each(&part)
            } else {
                pool.backlog.now
            };
            let work = pool.backlog.ahead(u32::MAX, true);
            let wait_ms = pool.backlog.wait_ms(&work, 1.0).unwrap_or(0.0);
            let short = pool.slack.1 > 0.0 && wait_ms > pool.slack.0 / pool.slack.1;
            scarce |= short;
            let history = self.histories.entry(Arc::clone(name)).or_default();
            history.observe(wait_ms, short, now);
            history.describe(&mut pool.backlog, now);
        }
        fleet.subtract(&public);
        self.shares = TeamShares::divide(&loads, &policy.teams, &fleet, scarce);
        self.backlog = Backlog::default();
        self.backlog.over = self.shares.teams_over().map(str::to_owned).collect();
        for (name, pool) in pools {
            let mut backlog = pool.backlog;
            let fleet_factor = 1.0 / largest_fraction(&backlog.later, &free).max(f64::EPSILON);
            let yields = |team: &str| self.shares.yields(team);
            backlog.apply_shares(yields, fleet_factor, |team| {
                self.shares.expected_part(team, &policy.teams)
            });
            self.backlog.pools.insert(name.to_string(), backlog);
        }
    }
}

/// `amount` as a fraction of `whole`, in the resource in which that is largest.
fn largest_fraction(amount: &Capacity, whole: &Capacity) -> f64 {
    [
        (amount.cpu, whole.cpu),
        (amount.mem_mb, whole.mem_mb),
        (amount.gpu, whole.gpu),
    ]
    .into_iter()
    .filter(|(_, whole)| *whole > 0)
    .map(|(amount, whole)| to_float(amount) / to_float(whole))
    .fold(0.0, f64::max)
}

/// A fraction of `whole`.
fn scale(whole: &Capacity, fraction: f64) -> Capacity {
    let part = |amount| to_millis(to_float(amount) * fraction);
    Capacity {
        cpu: part(whole.cpu),
        mem_mb: part(whole.mem_mb),
        gpu: part(whole.gpu),
    }
}
