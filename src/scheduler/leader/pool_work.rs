//! Collects what is left to do of the jobs of each pool, and the work that new jobs bring.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::Leader;
use crate::scheduler::balance::{PoolWork, RunningTask, WaitingTasks, work_of};
use crate::scheduler::urgency::Urgency;
use crate::scheduler::{Job, JobKey, JobTable, Millis, StepKey};

/// A job that is first seen longer than this after it was accepted does not count as arriving, in
/// ms: a new leader sees all jobs for the first time.
const ARRIVAL_LAG_MS: u64 = 1_000;

/// Least part of its estimate that a run is taken to go on, in percent: a run that has outlasted
/// its estimate ends at an unknown time.
const LEAST_REMAINING_PERCENT: u64 = 20;

impl Leader {
    /// Work of each of the named pools. Jobs that would end too late to be of use ask for no more
    /// than progress; what runs of them still delays the others.
    pub(super) fn pool_works<'a>(
        &self,
        table: &JobTable,
        names: impl Iterator<Item = &'a Arc<str>>,
        now: Millis,
    ) -> IndexMap<Arc<str>, PoolWork> {
        let mut works: IndexMap<Arc<str>, PoolWork> = names
            .map(|name| (Arc::clone(name), PoolWork::default()))
            .collect();
        let mut useless: IndexSet<JobKey> = IndexSet::new();
        for key in &self.active_jobs {
            let Some(job) = table.get(*key) else { continue };
            let pool = self.policy.pool_of(&job.spec.queue, &job.spec.pool);
            let Some(work) = works.get_mut(pool) else {
                continue;
            };
            let queue = self.policy.queues.get(job.spec.queue.as_str());
            let urgency = Urgency::of(*key, job, queue, self.wall_ms);
            if urgency.past_use() {
                useless.insert(*key);
                for step in waiting_tasks(*key, job, 0) {
                    work.least = work.least.max_each(&step.least());
                }
            } else {
                if !job.spec.is_long_running() {
                    let priority = queue.map_or(u32::MAX, |queue| queue.priority);
                    let highest = work.priority.map_or(priority, |other| other.min(priority));
                    work.priority = Some(highest);
                }
                let left_ms = urgency.last_useful_ms(job).saturating_sub(self.wall_ms);
                work.waiting.extend(waiting_tasks(*key, job, left_ms));
            }
        }
        for target in self.targets.values().filter(|target| target.listed) {
            let Some(work) = works.get_mut(&target.entry.pool) else {
                continue;
            };
            for (task, run) in &target.runs {
                let job = table.get(task.step.job);
                let step = job.and_then(|job| job.spec.steps.get(task.step.step as usize));
                let estimate_ms = step.map_or(0, |step| step.estimate_ms);
                let passed = run.running_since.map_or(0, |since| now - since);
                let least_ms = estimate_ms.saturating_mul(LEAST_REMAINING_PERCENT) / 100;
                let remaining_ms = if run.long_running {
                    u64::MAX
                } else {
                    estimate_ms.saturating_sub(passed).max(least_ms)
                };
                work.running.push(RunningTask {
                    reserved: run.reserved,
                    remaining_ms,
                });
                if !useless.contains(&task.step.job) {
                    work.used.add(&run.reserved);
                }
            }
        }
        works
    }

    /// Adds the jobs that have arrived since the last call to the arrivals of their pools.
    pub(super) fn note_arrivals(&mut self, table: &JobTable, now: Millis) {
        for key in self.active_jobs.difference(&self.known_jobs) {
            let Some(job) = table.get(*key) else { continue };
            if self.wall_ms.saturating_sub(job.spec.accepted_ms) < ARRIVAL_LAG_MS {
                let pool = self.policy.pool_of(&job.spec.queue, &job.spec.pool);
                let arrivals = self.arrivals.entry(Arc::from(pool)).or_default();
                arrivals.add(work_of(&job.spec.steps), now);
            }
        }
        self.known_jobs.clone_from(&self.active_jobs);
    }
}

/// The waiting tasks of a job that has `left_ms` to end, by step.
fn waiting_tasks(key: JobKey, job: &Job, left_ms: u64) -> Vec<WaitingTasks> {
    let mut waiting = Vec::new();
    for occurrence in (0..).take(job.progress.occurrences.len()) {
        // Time that the steps after each step take, in ms.
        let mut after_ms = vec![0; job.spec.steps.len()];
        for (i, spec) in job.spec.steps.iter().enumerate().rev() {
            let key = StepKey {
                job: key,
                occurrence,
                step: u32::try_from(i).unwrap_or(u32::MAX),
            };
            let after = after_ms[i];
            for needed in &spec.depends_on {
                let before = &mut after_ms[*needed as usize];
                *before = (after + spec.estimate_ms).max(*before);
            }
            let count = super::schedule::pending_tasks(job, key).len() as u64;
            if count > 0 {
                waiting.push(WaitingTasks {
                    count,
                    reservation: spec.reservation(),
                    estimate_ms: spec.estimate_ms,
                    left_ms: left_ms.saturating_sub(after),
                    gang: spec.gang,
                });
            }
        }
    }
    waiting
}
