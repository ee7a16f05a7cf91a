//! Facts on jobs that the order and the placement of their tasks depend on. A pass over thousands
//! of jobs reads them many times a second, while few jobs change in between.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::history::QueueHistory;
use crate::scheduler::due_occurrences::DueOccurrences;
use crate::scheduler::step_status::{StepStatus, step_statuses};
use crate::scheduler::urgency::Deadlines;
use crate::scheduler::{Capacity, JobKey, JobSpec, JobTable, Millis, Policy, Step, StepKey};

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
    /// Index of the job's queue among [`FactsCache::histories`].
    pub(crate) queue: usize,
    spec: Arc<JobSpec>,
    pub(crate) deadlines: Deadlines,
    /// Whether some task of it is placed or done.
    pub(crate) placed: bool,
    /// Work of its tasks that are not placed, in thousandths of a core times ms.
    pub(crate) pending_work: u64,
    /// Number of its steps that are not done.
    pub(crate) open_steps: u64,
    /// Steps with pending tasks whose `depends_on` steps are all done, last those of the next occurrence
    /// if it is due and not open.
    pub(crate) ready: Vec<ReadyStep>,
}

impl JobFacts {
    /// Name of the job's team.
    pub(crate) fn team(&self) -> Option<&str> {
        self.spec.team.as_deref()
    }

    /// Takes in where a step of the job stands.
    fn add_step(&mut self, status: &StepStatus<'_>) {
        self.placed |= status.pending < u64::from(status.spec.count);
        self.open_steps += u64::from(!status.done());
        let pending = work_of(status.spec, status.pending_in_all());
        self.pending_work = self.pending_work.saturating_add(pending);
        if status.ready() {
            self.ready.push(ReadyStep {
                key: status.key,
                reservation: status.spec.reservation(),
                special: status.spec.long_running || status.suspect,
            });
        }
    }
}

/// Facts on all jobs that have not ended, the names of their pools, and what is known of their
/// queues.
#[derive(Debug, Default)]
pub(crate) struct FactsCache {
    jobs: IndexMap<JobKey, JobFacts>,
    pools: IndexSet<Arc<str>>,
    /// Histories of queues by name.
    queues: IndexMap<Arc<str>, QueueHistory>,
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

    /// Facts on all jobs that have not ended.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (JobKey, &JobFacts)> {
        self.jobs.iter().map(|(key, facts)| (*key, facts))
    }

    /// What is known of the queues.
    pub(crate) fn histories(&self) -> Vec<&QueueHistory> {
        self.queues.values().collect()
    }

    /// Takes in the size of a job that has become known.
    pub(crate) fn note_job(&mut self, spec: &JobSpec) {
        let size = spec
            .steps
            .iter()
            .map(|step| work_of(step, step.count.into()));
        let size = size.fold(0, u64::saturating_add);
        if !spec.is_long_running() {
            self.history_of(&spec.queue).1.note_job(size);
        }
    }

    /// Takes in how long a task of the step ran that is done.
    pub(crate) fn note_run(&mut self, spec: &JobSpec, step: &Step, ran_ms: Millis) {
        let history = self.history_of(&spec.queue).1;
        history.note_run(ran_ms, step.estimate_ms);
    }

    fn history_of(&mut self, queue: &str) -> (usize, &mut QueueHistory) {
        let index = match self.queues.get_index_of(queue) {
            Some(index) => index,
            None => {
                self.queues
                    .insert_full(Arc::from(queue), QueueHistory::default())
                    .0
            }
        };
        (index, &mut self.queues[index])
    }

    /// Facts on a job that has not ended.
    pub(crate) fn get(&self, job: JobKey) -> Option<&JobFacts> {
        self.jobs.get(&job)
    }

    /// Computes the facts anew on jobs that have changed, and on all of `active` after a change of
    /// the policy.
    pub(crate) fn refresh(
        &mut self,
        table: &JobTable,
        policy: &Policy,
        active: &IndexSet<JobKey>,
        due: &DueOccurrences,
    ) {
        if self.policy_version != Some(policy.version) {
            self.policy_version = Some(policy.version);
            self.jobs.clear();
            self.pools.clear();
            self.changed.extend(active);
        }
        for key in std::mem::take(&mut self.changed) {
            self.update(table, policy, active, due, key);
        }
        for _ in 0..RECHECKED_JOBS.min(active.len()) {
            self.next_check = (self.next_check + 1) % active.len();
            let key = active[self.next_check];
            let before = cfg!(debug_assertions).then(|| self.jobs.get(&key).cloned());
            self.update(table, policy, active, due, key);
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
        due: &DueOccurrences,
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
        let mut facts = JobFacts {
            pool,
            queue: self.history_of(&job.spec.queue).0,
            spec: Arc::clone(&job.spec),
            deadlines: Deadlines::of(job, policy.terms_of(&job.spec)),
            // Occurrences that are not open any more are done.
            placed: !job.progress.is_dense(),
            pending_work: 0,
            open_steps: 0,
            ready: Vec::new(),
        };
        for status in step_statuses(key, job, due.waiting(key, job)) {
            facts.add_step(&status);
        }
        self.jobs.insert(key, facts);
    }
}

/// Work of a number of tasks of a step by their estimate, in thousandths of a core times ms.
const fn work_of(step: &Step, tasks: u64) -> u64 {
    let task = step.reservation().cpu.saturating_mul(step.estimate_ms);
    task.saturating_mul(tasks)
}
