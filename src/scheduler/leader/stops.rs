//! Sends stop calls and applies the answers to them. A stop ends a run, and makes the target
//! refuse a start of it that is still on its way.

use super::{Command, Leader, StopOutcome};
use crate::scheduler::run::RunPhase;
use crate::scheduler::{Job, JobKey, JobState, JobTable, Millis, TargetId, TaskKey};

/// Pause before a stop call is repeated that was not confirmed, in ms.
const RETRY_MS: Millis = 250;

impl Leader {
    /// Stops all runs of a job that has ended. Runs whose start was not sent yet are removed.
    pub(super) fn stop_runs_of_ended_job(&mut self, table: &JobTable, key: JobKey) {
        let Some(job) = table.get(key).filter(|job| job.progress.state.ended()) else {
            return;
        };
        let state = job.progress.state;
        let now = self.now;
        for (id, target) in &mut self.targets {
            let tasks: Vec<TaskKey> = target
                .runs
                .keys()
                .filter(|task| task.step.job == key)
                .copied()
                .collect();
            for task in tasks {
                let planned = target.runs[&task].phase == RunPhase::Planned;
                if planned {
                    target.remove_run(task, now);
                } else {
                    spdlog::info!("run_stopping", kv: {
                        task = task.to_string(), run = target.runs[&task].number, target = id.0.as_ref(),
                        cause = "its job has ended", state = format!("{state:?}")
                    });
                    target.request_stop(task, now);
                }
            }
        }
    }

    /// Stops a run of a job that was cancelled or has failed, and returns whether it is one. The
    /// leader may learn of a run only after that, from a report or because its target is listed
    /// late. Runs of a complete job are left to end by themselves: the members of a gang end
    /// together.
    pub(super) fn stop_unwanted_run(
        &mut self,
        table: &JobTable,
        id: &TargetId,
        task: TaskKey,
        now: Millis,
    ) -> bool {
        let state = table.get(task.step.job).map(Job::state);
        if !matches!(state, None | Some(JobState::Canceled | JobState::Failed)) {
            return false;
        }
        let Some(target) = self.targets.get_mut(id) else {
            return true;
        };
        if let Some(run) = target.runs.get(&task).filter(|run| !run.stopping()) {
            spdlog::info!("run_stopping", kv: {
                task = task.to_string(), run = run.number, target = id.0.as_ref(),
                cause = "it still runs, and its job has ended"
            });
            target.request_stop(task, now);
        }
        true
    }

    /// Sends the stop calls that are due.
    pub(super) fn send_stops(&mut self, now: Millis) {
        let resend_after_ms = self.settings.stop_timeout_ms + RETRY_MS;
        self.stop_strays(resend_after_ms, now);
        let targets = self.targets.values_mut();
        for target in targets.filter(|target| target.stopping_runs > 0) {
            for (task, run) in &mut target.runs {
                let RunPhase::Stopping { resend_at, .. } = &mut run.phase else {
                    continue;
                };
                if *resend_at > now {
                    continue;
                }
                *resend_at = now + resend_after_ms;
                self.commands.push(Command::Stop {
                    target: target.entry.clone(),
                    task: *task,
                    run: run.number,
                });
            }
        }
    }

    /// Applies the answer to a stop call.
    pub(super) fn stop_answered(
        &mut self,
        id: &TargetId,
        born: u64,
        task: TaskKey,
        run: u32,
        outcome: StopOutcome,
        now: Millis,
    ) {
        let epoch = self.epoch();
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.entry.born != born {
            return;
        }
        if outcome == StopOutcome::Fenced {
            spdlog::warn!("fenced", kv: { target = id.0.as_ref(), epoch, call = "stop" });
            self.fenced = true;
            return;
        }
        let known = target.runs.get_mut(&task);
        let Some(known) = known.filter(|known| known.number == run) else {
            return self.stray_stop_answered(id, task, run, outcome, now);
        };
        let RunPhase::Stopping {
            resend_at,
            holds_before,
        } = &mut known.phase
        else {
            return;
        };
        if outcome != StopOutcome::Confirmed {
            spdlog::info!("stop_unconfirmed", kv: {
                task = task.to_string(), run, target = id.0.as_ref(), outcome = format!("{outcome:?}")
            });
            *resend_at = now + RETRY_MS;
            return;
        }
        if holds_before.is_none() {
            spdlog::info!("stop_confirmed", kv: { task = task.to_string(), run, target = id.0.as_ref() });
        }
        holds_before.get_or_insert(self.holds_sent);
        self.expedite_hold(id, now);
    }
}
