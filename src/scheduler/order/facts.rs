//! Facts on jobs that the order and the placement of their tasks depend on. A pass over thousands
//! of jobs reads them many times a second, while few jobs change in between.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use crate::scheduler::urgency::Deadlines;
use crate::scheduler::{Capacity, Job, JobKey, JobTable, Policy, StepKey, TaskPhase};

/// Number of jobs whose facts are computed anew in each refresh although no change was noted. A
/// change that was not noted must not keep a job from being placed for good.
const RECHECKED_JOBS: usize = 4;

/// A step with tasks that may be placed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReadyStep {
    pub(crate) key: StepKey,
    /// What each task reserves.
    pub(crate) reservation: Capacity,
    /// Whether a task without room elsewhere may still be placed: it is long-running, or to be
    /// isolated.
    pub(crate) special: bool,
}

/// Facts on one job that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct JobFacts {
    /// Index of the job's pool among [`FactsCache::pools`].
    pub(crate) pool: usize,
    pub(crate) deadlines: Deadlines,
    /// Steps with pending tasks whose `depends_on` steps are all done.
    pub(crate) ready: Vec<ReadyStep>,
}

/// Facts on all jobs that have not ended, and the names of their pools.
#[derive(Debug, Default)]
pub(crate) struct FactsCache {
    jobs: IndexMap<JobKey, JobFacts>,
    pools: IndexSet<Arc<str>>,
    /// Jobs that have changed since the last refresh.
    changed: IndexSet<JobKey>,
    /// Version of the policy that the facts were computed with.
    policy_version: Option<u64>,
    /// Index of the next job that is checked although no change was noted.
    next_check: usize,
}

impl FactsCache {
    /// Notes that the job was added, has changed or has ended.
    pub(crate) fn note_change(&mut self, job: JobKey) {
        self.changed.insert(job);
    }

    /// Names of the pools of jobs.
    pub(crate) const fn pools(&self) -> &IndexSet<Arc<str>> {
        &self.pools
    }

    /// Facts on the jobs with tasks that may be placed.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (JobKey, &JobFacts)> {
        let jobs = self.jobs.iter().map(|(key, facts)| (*key, facts));
        jobs.filter(|(_, facts)| !facts.ready.is_empty())
    }

    /// Facts on a job that has not ended.
    pub(crate) fn get(&self, job: JobKey) -> Option<&JobFacts> {
        self.jobs.get(&job)
    }

    /// Computes the facts anew on jobs that have changed, and on all of `active` after a change of
    /// the policy.
    pub(crate) fn refresh(&mut self, table: &JobTable, policy: &Policy, active: &IndexSet<JobKey>) {
        if self.policy_version != Some(policy.version) {
            self.policy_version = Some(policy.version);
            self.jobs.clear();
            self.pools.clear();
            self.changed.extend(active);
        }
        for key in std::mem::take(&mut self.changed) {
            self.update(table, policy, active, key);
        }
        for _ in 0..RECHECKED_JOBS.min(active.len()) {
            self.next_check = (self.next_check + 1) % active.len();
            let key = active[self.next_check];
            let before = cfg!(debug_assertions).then(|| self.jobs.get(&key).cloned());
            self.update(table, policy, active, key);
            if let Some(before) = before {
                debug_assert_eq!(before.as_ref(), self.jobs.get(&key), "an unnoted change");
            }
        }
    }

    fn update(
        &mut self,
        table: &JobTable,
        policy: &Policy,
        active: &IndexSet<JobKey>,
        key: JobKey,
    ) {
        let job = table.get(key).filter(|_| active.contains(&key));
        let Some(job) = job else {
            self.jobs.swap_remove(&key);
            return;
        };
        let pool = policy.pool_of(&job.spec.queue, &job.spec.pool);
        let pool = self
            .pools
            .get_index_of(pool)
            .unwrap_or_else(|| self.pools.insert_full(Arc::from(pool)).0);
        let facts = JobFacts {
            pool,
            deadlines: Deadlines::of(job, policy.queues.get(job.spec.queue.as_str())),
            ready: ready_steps(key, job),
        };
        self.jobs.insert(key, facts);
    }
}

/// Steps of begun occurrences that have pending tasks and whose `depends_on` steps are all done.
fn ready_steps(key: JobKey, job: &Job) -> Vec<ReadyStep> {
    let mut ready = Vec::new();
    for (occurrence, progress) in (0..).zip(&job.progress.occurrences) {
        for (step, (spec, tasks)) in (0..).zip(job.spec.steps.iter().zip(&progress.steps)) {
            let mut pending = tasks
                .iter()
                .filter(|task| task.phase == TaskPhase::Pending)
                .peekable();
            let mut needed = spec.depends_on.iter();
            if pending.peek().is_none() || !needed.all(|needed| progress.step_done(*needed)) {
                continue;
            }
            ready.push(ReadyStep {
                key: StepKey {
                    job: key,
                    occurrence,
                    step,
                },
                reservation: spec.reservation(),
                special: spec.long_running || pending.any(|task| !task.crashes.is_empty()),
            });
        }
    }
    ready
}
