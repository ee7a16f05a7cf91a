//! Tasks that are stored as placed on targets.

use indexmap::IndexMap;

use crate::scheduler::{Job, JobKey, JobTable, TargetId, TaskKey, TaskPhase};

/// `born` of the latest incarnation of each target that tasks are placed on.
pub(super) fn latest_placed(table: &JobTable) -> IndexMap<TargetId, u64> {
    let mut latest: IndexMap<TargetId, u64> = IndexMap::new();
    for (key, job) in table.iter() {
        for (_, target, born, _) in placed_tasks(key, job) {
            let known = latest.entry(target).or_default();
            *known = born.max(*known);
        }
    }
    latest
}

/// Placed tasks of a job: each with its target, `born` of the target's incarnation and the
/// number of the run.
pub(super) fn placed_tasks(key: JobKey, job: &Job) -> Vec<(TaskKey, TargetId, u64, u32)> {
    let tasks = job.progress.tasks(key);
    tasks
        .filter_map(|(key, task)| match &task.phase {
            TaskPhase::Placed { target, born } => Some((key, target.clone(), *born, task.run)),
            _ => None,
        })
        .collect()
}
