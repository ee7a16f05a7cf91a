//! Runs that make no progress.

use super::Leader;
use crate::scheduler::{JobTable, Millis, TargetId, TaskKey};

/// Least time without progress after which a run counts as stalled, in ms: enough for a cold
/// start and one lost report.
const MIN_STALL_MS: Millis = 800;

/// Factor by which a slow target may exceed the estimated duration of a task.
const MAX_SLOWDOWN: u64 = 10;

impl Leader {
    /// Stops a run that has stalled. All runs on a faulty target may stall, so it also gets no
    /// new work for a while.
    pub(super) fn stop_stalled_run(
        &mut self,
        id: &TargetId,
        running: &crate::scheduler::RunningTask,
        unchanged_ms: Millis,
        now: Millis,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        spdlog::warn!("run_stalled", kv: {
            task = running.task.to_string(), run = running.run, target = id.0.as_ref(),
            percent = running.percent, unchanged_ms
        });
        target.request_stop(running.task, now);
        target.health.run_stalled(now);
    }
}

/// Time without progress after which a run of the task counts as stalled, in ms: the time that
/// one percent takes on a slow target, and [`MIN_STALL_MS`]. `None` for a task whose progress
/// may stand still: it is long-running, or may be waiting for the rest of its gang.
pub(super) fn stall_ms(table: &JobTable, task: TaskKey) -> Option<Millis> {
    let job = table.get(task.step.job)?;
    let step = job.spec.steps.get(task.step.step as usize)?;
    let shows_stalls = !step.long_running && !step.gang;
    shows_stalls.then(|| MIN_STALL_MS + step.estimate_ms * MAX_SLOWDOWN / 100)
}
