//! Decides whether a long-running task may be stopped, so that it starts on another target.

use super::Leader;
use crate::scheduler::placement::{self, PlacementRequest, RackRuns, ReservedTargets};
use crate::scheduler::run::RunPhase;
use crate::scheduler::target::Target;
use crate::scheduler::{Millis, Step, StepKey, TargetId};

/// A long-running task that has been working for no longer than this counts as unavailable, in
/// ms, because reports of its target may be that old.
const MIN_WORKING_MS: Millis = 300;

impl Leader {
    /// Returns whether a long-running task may be stopped to start elsewhere: its step allows one
    /// more to be unavailable, or sets no limit, and another target has room.
    pub(super) fn can_move_task(
        &self,
        id: &TargetId,
        key: StepKey,
        step: &Step,
        now: Millis,
    ) -> bool {
        let within_budget = step.max_unavailable == 0
            || self.unavailable_tasks(key, step.count, now) < step.max_unavailable;
        within_budget && self.fits_elsewhere(id, key, step, now)
    }

    /// Returns whether another target of the same pool has room for a task of the step now.
    fn fits_elsewhere(&self, id: &TargetId, key: StepKey, step: &Step, now: Millis) -> bool {
        let Some(target) = self.targets.get(id) else {
            return false;
        };
        let request = PlacementRequest {
            pool: &target.entry.pool,
            key,
            step,
            suspect: false,
        };
        let runs = RackRuns::new(&self.targets, &request);
        let (targets, reserved) = (self.targets.iter(), ReservedTargets::new());
        placement::choose_target(targets, &runs, &request, &reserved, now).is_some()
    }

    /// Number of tasks of a step, out of `count`, that are not working or have not been for
    /// long.
    pub(super) fn unavailable_tasks(&self, step: StepKey, count: u32, now: Millis) -> u32 {
        let working_runs = |target: &Target| {
            let runs_of_step = target.runs.iter().filter(|(task, _)| task.step == step);
            runs_of_step
                .filter(|(_, run)| {
                    run.phase == RunPhase::Running
                        && run
                            .working_since
                            .is_some_and(|at| now - at > MIN_WORKING_MS)
                })
                .count()
        };
        // The last report of a target that does not answer may no longer be true.
        let answering = self
            .targets
            .values()
            .filter(|target| target.missed_calls == 0);
        let working: usize = answering.map(working_runs).sum();
        count.saturating_sub(u32::try_from(working).unwrap_or(u32::MAX))
    }
}
