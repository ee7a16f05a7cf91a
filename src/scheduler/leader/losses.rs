//! Gives up the runs of targets that are gone or whose leases have expired, so that their tasks
//! start again.

use std::sync::Arc;

use super::Leader;
use super::crashes::Loss;
use crate::scheduler::{JobTable, Millis, TargetId, TaskKey, TaskPhase};

impl Leader {
    /// Lets a task start again whose run has ended without being done, or never began. Does
    /// nothing if the task has a later run.
    pub(super) fn release_task(&mut self, table: &mut JobTable, task: TaskKey, run: u32) {
        self.needs_scheduling = true;
        let Some(job) = table.get_mut(task.step.job) else {
            return;
        };
        let Some(stored) = job.progress.task_mut(task) else {
            return;
        };
        if stored.run == run && matches!(stored.phase, TaskPhase::Placed { .. }) {
            stored.phase = TaskPhase::Pending;
            self.journal.mark_job_dirty(task.step.job);
        }
    }

    /// Gives up the runs on targets that do not answer and whose leases have certainly expired,
    /// and the tasks that may have run on unlisted targets until now.
    pub(super) fn expire_leases(&mut self, table: &mut JobTable, now: Millis) {
        let expired: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, target)| {
                let unused = target.runs.is_empty() && target.listed;
                target.missed_calls > 0 && !unused && target.lease.lapsed(now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.give_up_runs(table, &id, Loss::Silent, now);
        }
        self.release_orphans(table, now);
    }

    /// Lets the tasks start again that may have run on unlisted targets until now.
    fn release_orphans(&mut self, table: &mut JobTable, now: Millis) {
        let released: Vec<TaskKey> = self
            .orphans
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in released {
            self.orphans.swap_remove(&task);
            let job = table.get(task.step.job);
            let Some(stored) = job.and_then(|job| job.progress.task(task)) else {
                continue;
            };
            let run = stored.run;
            let target = match &stored.phase {
                TaskPhase::Placed { target, .. } => Some(target.clone()),
                _ => None,
            };
            spdlog::info!("run_given_up", kv: { task = task.to_string(), run, cause = "its target is not listed" });
            if let Some(target) = target {
                self.suspect_earlier_run(table, task, run, &target, Loss::Unlisted);
            }
            self.release_task(table, task, run);
        }
    }

    /// Gives up all runs on a target whose address another incarnation or target has taken: they
    /// have ended.
    pub(super) fn target_replaced(&mut self, table: &mut JobTable, id: &TargetId, now: Millis) {
        if let Some(target) = self.targets.get_mut(id) {
            target.listed = false;
        }
        self.give_up_runs(table, id, Loss::Replaced, now);
    }

    /// Removes all runs of a target, lets their tasks start again, and forgets the target if it
    /// is not listed.
    fn give_up_runs(&mut self, table: &mut JobTable, id: &TargetId, loss: Loss, now: Millis) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let runs = target.take_runs(now);
        let listed = target.listed;
        let (entry, answered_at) = (Arc::clone(&target.entry), target.last_answer_at);
        let leaving = self.is_leaving(&entry);
        let silent_ms = answered_at.map_or(0, |at| now - at);
        spdlog::warn!("runs_given_up", kv: {
            target = id.0.as_ref(), cause = loss.name(), silent_ms, runs = runs.len(), leaving
        });
        if !leaving {
            self.suspect_runs(table, id, &runs, answered_at, loss);
        }
        for (task, run) in runs {
            self.release_task(table, task, run.number);
        }
        if !listed {
            self.targets.swap_remove(id);
        }
    }
}
