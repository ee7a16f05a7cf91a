//! Sends stop calls and applies the answers to them. A stop ends a run, and makes the target
//! refuse a start of it that is still on its way.

use super::{Command, Leader, StopOutcome};
use crate::scheduler::run::RunPhase;
use crate::scheduler::{JobKey, JobTable, Millis, TargetId, TaskKey};

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

    /// Sends the stop calls that are due.
    pub(super) fn send_stops(&mut self, now: Millis) {
        let resend_after_ms = self.settings.stop_timeout_ms + RETRY_MS;
        for target in self.targets.values_mut() {
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
        let Some(run) = target.runs.get_mut(&task) else {
            return;
        };
        let number = run.number;
        let RunPhase::Stopping {
            resend_at,
            confirmed_at,
        } = &mut run.phase
        else {
            return;
        };
        if outcome != StopOutcome::Confirmed {
            spdlog::info!("stop_unconfirmed", kv: {
                task = task.to_string(), run = number, target = id.0.as_ref(), outcome = format!("{outcome:?}")
            });
            *resend_at = now + RETRY_MS;
            return;
        }
        if confirmed_at.is_none() {
            spdlog::info!("stop_confirmed", kv: { task = task.to_string(), run = number, target = id.0.as_ref() });
        }
        confirmed_at.get_or_insert(now);
        self.expedite_hold(id, now);
    }
}
