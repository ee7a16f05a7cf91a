//! Collects what the runs of each pool reserve, and what its waiting tasks need.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::Leader;
use crate::scheduler::step_status::{StepStatus, step_statuses};
use crate::scheduler::urgency::Urgency;
use crate::scheduler::work::multiply;
use crate::scheduler::{Capacity, JobKey, JobTable};

/// Demand of a pool's jobs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolWork {
    /// What the runs and the tasks that could start now of jobs that are of use reserve.
    pub(super) demand: Capacity,
    /// The most that a waiting step of a job past its use needs to make progress.
    pub(super) least: Capacity,
    /// Highest priority of the jobs that are of use and run to an end; `None` without one.
    pub(super) priority: Option<u32>,
}

impl Leader {
    /// Work of each of the named pools. Jobs that would end too late to be of use ask for no more
    /// than progress.
    pub(super) fn pool_works<'a>(
        &self,
        table: &JobTable,
        names: impl Iterator<Item = &'a Arc<str>>,
    ) -> IndexMap<Arc<str>, PoolWork> {
        let mut works: IndexMap<Arc<str>, PoolWork> = names
            .map(|name| (Arc::clone(name), PoolWork::default()))
            .collect();
        let mut useless_jobs: IndexSet<JobKey> = IndexSet::new();
        for key in &self.active_jobs {
            let Some(job) = table.get(*key) else { continue };
            let pool = self.policy.pool_of(&job.spec.queue, &job.spec.pool);
            let Some(work) = works.get_mut(pool) else {
                continue;
            };
            let terms = self.policy.terms_of(&job.spec);
            let useless = Urgency::of(*key, job, terms, self.wall_ms).past_use();
            if useless {
                useless_jobs.insert(*key);
            } else if !job.spec.is_long_running() {
                let priorities = work.priority.into_iter().chain([terms.priority]);
                work.priority = priorities.min();
            }
            let statuses = step_statuses(*key, job, self.due.waiting(*key, job));
            for status in statuses.filter(StepStatus::ready) {
                let reservation = status.spec.reservation();
                if useless {
                    // The members of a gang make progress only together.
                    let least = if status.spec.gang { status.pending } else { 1 };
                    work.least = work.least.max_each(&multiply(&reservation, least));
                } else {
                    work.demand
                        .add(&multiply(&reservation, status.pending_in_all()));
                }
            }
        }
        for target in self.targets.values().filter(|target| target.listed) {
            let Some(work) = works.get_mut(&target.entry.pool) else {
                continue;
            };
            let runs = target.runs.iter();
            for (_, run) in runs.filter(|(task, _)| !useless_jobs.contains(&task.step.job)) {
                work.demand.add(&run.reserved);
            }
        }
        works
    }
}
