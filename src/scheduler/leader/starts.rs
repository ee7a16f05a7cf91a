//! Sends start calls and applies the answers to them.

use indexmap::IndexSet;

use super::begun_jobs::Beginning;
use super::ends::is_gang;
use super::releases::{Evidence, Release};
use super::{Command, Leader, StartOutcome};
use crate::scheduler::run::RunPhase;
use crate::scheduler::{JobTable, Millis, StepKey, TargetId, TaskKey};

/// Time for which a target gets no further start after it refused one for another reason than
/// its health, in ms.
const START_PAUSE_MS: Millis = 200;

impl Leader {
    /// Sends the start of a run, now that the decision to start it is stored. If the target
    /// no longer accepts work or has room, or the job has ended, the task may be placed again
    /// instead.
    pub(super) fn send_start(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        task: TaskKey,
        now: Millis,
    ) {
        let lease_ms = self.settings.lease_ms;
        let epoch = self.epoch();
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let planned = target.runs.get(&task);
        let Some(run) = planned
            .filter(|run| run.phase == RunPhase::Planned)
            .map(|run| run.number)
        else {
            return;
        };
        let job = table.get(task.step.job);
        let job = job.filter(|job| !job.state().ended());
        let may_start = target.may_start(now) && target.fits_planned_run(task);
        let deadline = if job.is_some() && may_start {
            target.lease.extend(now, lease_ms)
        } else {
            None
        };
        let (Some(job), Some(deadline_ms)) = (job, deadline) else {
            self.release_planned_run(table, id, task, now);
            return;
        };
        let checkpoint = job
            .progress
            .task(task)
            .map_or_else(String::new, |task| task.checkpoint.clone());
        if let Some(run) = target.runs.get_mut(&task) {
            run.phase = RunPhase::Sent;
            run.sent_at = Some(now);
        }
        spdlog::info!("start", kv: {
            task = task.to_string(), run, target = id.0.as_ref(), born = target.entry.born, epoch,
            used_cpu = target.used.cpu, answered_ms = target.last_answer_at.map_or(0, |at| now - at),
            before = self.past_runs.take_description(task, run, now)
        });
        self.commands.push(Command::Start {
            target: target.entry.clone(),
            task,
            run,
            spec: job.spec.clone(),
            deadline_ms,
            checkpoint,
        });
    }

    /// Releases the planned runs of gangs of which some member can't start any more, since the
    /// others would wait for it in vain. Returns the remaining planned runs.
    pub(super) fn drop_broken_gangs(
        &mut self,
        table: &mut JobTable,
        planned: Vec<(TargetId, TaskKey)>,
        now: Millis,
    ) -> Vec<(TargetId, TaskKey)> {
        let broken: IndexSet<StepKey> = planned
            .iter()
            .filter(|(_, task)| {
                let job = table.get(task.step.job);
                job.is_some_and(|job| is_gang(job, *task))
            })
            .filter(|(id, task)| {
                let target = self.targets.get(id);
                !target.is_some_and(|t| t.may_start(now) && t.fits_planned_step(task.step))
            })
            .map(|(_, task)| task.step)
            .collect();
        let (dropped, kept) = planned
            .into_iter()
            .partition(|(_, task)| broken.contains(&task.step));
        for (id, task) in dropped {
            self.release_planned_run(table, &id, task, now);
        }
        kept
    }

    /// Removes a planned run, so that its task may be placed again.
    pub(super) fn release_planned_run(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        task: TaskKey,
        now: Millis,
    ) {
        let target = self.targets.get_mut(id);
        let Some(target) = target.filter(|target| {
            let run = target.runs.get(&task);
            run.is_some_and(|run| run.phase == RunPhase::Planned)
        }) else {
            return;
        };
        let (born, answered_at) = (target.entry.born, target.last_answer_at);
        if let Some(run) = target.remove_run(task, now) {
            let release = Release {
                task,
                run: run.number,
                target: id,
                born,
                evidence: Evidence::NotSent,
                answered_at,
            };
            self.release_task(table, &release, now);
        }
    }

    /// Applies the answer to a start call. One that does not match a run that was sent to this
    /// incarnation tells at most that the job has begun.
    #[allow(clippy::too_many_arguments)] // One for each field of the event.
    pub(super) fn start_answered(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        born: u64,
        task: TaskKey,
        run: u32,
        outcome: StartOutcome,
        now: Millis,
    ) {
        if outcome == StartOutcome::Running {
            self.note_begun(table, task, run, id, Beginning::Answered);
        }
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.entry.born != born {
            return;
        }
        let Some(known_run) = target.runs.get_mut(&task) else {
            return;
        };
        if known_run.number != run || known_run.phase != RunPhase::Sent {
            return;
        }
        if outcome == StartOutcome::Running {
            known_run.confirm(self.holds_sent, now);
            self.expedite_hold(id, now);
            return;
        }
        spdlog::info!("start_refused", kv: {
            task = task.to_string(), run, target = id.0.as_ref(), outcome = format!("{outcome:?}")
        });
        match outcome {
            StartOutcome::Running => {}
            StartOutcome::Unknown => {
                target.start_unanswered = true;
                return target.request_stop(task, now);
            }
            StartOutcome::Fenced => {
                self.fenced = true;
                return;
            }
            StartOutcome::Unhealthy => target.health.start_refused(now),
            StartOutcome::NoRoom
            | StartOutcome::Late
            | StartOutcome::OldRun
            | StartOutcome::Invalid
            | StartOutcome::OtherIncarnation => {
                target.starts_paused_until = now + START_PAUSE_MS;
            }
        }
        target.remove_run(task, now);
        let release = Release {
            task,
            run,
            target: id,
            born,
            evidence: Evidence::Refused(outcome),
            answered_at: target.last_answer_at,
        };
        self.release_task(table, &release, now);
    }
}
