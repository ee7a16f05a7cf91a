//! Applies ended runs to the states of their tasks and jobs.

use super::Leader;
use super::begun_jobs::Beginning;
use super::releases::{Evidence, Release};
use crate::scheduler::run::{EndKind, EndedRun};
use crate::scheduler::{
    Job, JobKey, JobState, JobTable, Millis, StepKey, TargetId, TaskKey, TaskPhase,
};

impl Leader {
    /// Applies an ended run that a target reported for the first time.
    pub(super) fn apply_ended_run(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        end: &EndedRun,
        now: Millis,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.applied_end = end.position;
        self.note_begun(table, end.task, end.run, id, Beginning::Ended);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let is_current_run = target
            .runs
            .get(&end.task)
            .is_some_and(|run| run.number == end.run);
        if is_current_run {
            let run = target.remove_run(end.task, now);
            let since = run.and_then(|run| run.running_since);
            if let Some(since) = since.filter(|_| end.kind == EndKind::Done)
                && let Some(job) = table.get(end.task.step.job)
                && let Some(step) = job.spec.steps.get(end.task.step.step as usize)
            {
                self.facts.note_run(&job.spec, step, now - since);
            }
        }
        let is_stray = self.stray_ended(id, end.task, end.run);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        match end.kind {
            EndKind::Done => target.health.run_done(),
            EndKind::Failed if target.health.run_failed(end.task.step.job, now) => {
                spdlog::warn!("target_suspended", kv: { target = id.0.as_ref(), cause = "failures" });
            }
            _ => {}
        }
        spdlog::info!("run_ended", kv: {
            task = end.task.to_string(), run = end.run, target = id.0.as_ref(),
            end = format!("{:?}", end.kind), number = end.position
        });
        self.needs_scheduling = true;
        if end.kind == EndKind::Done {
            self.mark_task_done(table, id, end, now);
        } else if is_current_run || is_stray {
            self.apply_unfinished_run(table, id, end, now);
        }
        self.update_job_state(table, end.task.step.job);
    }

    /// Marks a task as done, for a gang all its tasks, and stops other runs of it. None but the
    /// latest run of a task goes on: before that one was placed, the others had ended, or their
    /// stop was requested.
    fn mark_task_done(&mut self, table: &mut JobTable, id: &TargetId, end: &EndedRun, now: Millis) {
        let (task, run) = (end.task, end.run);
        let Some(job) = table.get_mut(task.step.job) else {
            return;
        };
        let gang = is_gang(job, task);
        let Some(tasks) = job.progress.step_mut(task.step) else {
            return;
        };
        let latest = tasks.get(task.index as usize);
        let latest_ended = latest.is_some_and(|stored| {
            let placed = matches!(&stored.phase, TaskPhase::Placed { target, .. } if target == id);
            placed && stored.run == run
        });
        if gang {
            // A gang is done as a whole: the first member that reports its end counts for all.
            for task in tasks {
                task.phase = TaskPhase::Done;
            }
        } else if let Some(stored) = tasks.get_mut(task.index as usize) {
            stored.phase = TaskPhase::Done;
        }
        self.journal.mark_job_dirty(task.step.job);
        if gang {
            self.stop_other_gang_runs(task.step, run, now);
        } else if !latest_ended {
            self.stop_other_runs(task, now);
        }
    }

    /// Stops any run of a task that is done.
    fn stop_other_runs(&mut self, task: TaskKey, now: Millis) {
        for target in self.targets.values_mut() {
            target.request_stop(task, now);
        }
    }

    /// Stops any runs of a gang but those numbered `run`, whose members end together.
    fn stop_other_gang_runs(&mut self, gang: StepKey, run: u32, now: Millis) {
        for target in self.targets.values_mut() {
            let runs = target.runs.iter();
            let others = runs.filter(|(task, other)| task.step == gang && other.number != run);
            let others: Vec<TaskKey> = others.map(|(task, _)| *task).collect();
            for task in others {
                target.request_stop(task, now);
            }
        }
    }

    /// Applies the end of a run that was not done: keeps its checkpoint, counts a failure and
    /// lets the task start again.
    fn apply_unfinished_run(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        end: &EndedRun,
        now: Millis,
    ) {
        let Some(job) = table.get_mut(end.task.step.job) else {
            return;
        };
        let gang = is_gang(job, end.task);
        let Some(tasks) = job.progress.step_mut(end.task.step) else {
            return;
        };
        if !end.checkpoint.is_empty() {
            let from = if gang { 0 } else { end.task.index as usize };
            let count = if gang { tasks.len() } else { 1 };
            for task in tasks.iter_mut().skip(from).take(count) {
                task.checkpoint.clone_from(&end.checkpoint);
            }
        }
        let Some(task) = tasks.get_mut(end.task.index as usize) else {
            return;
        };
        if end.kind == EndKind::Failed {
            task.failures += 1;
        }
        self.journal.mark_job_dirty(end.task.step.job);
        let release = Release {
            task: end.task,
            run: end.run,
            target: id,
            born: self.targets.get(id).map_or(0, |target| target.entry.born),
            evidence: Evidence::Ended(end.kind),
            answered_at: Some(now),
        };
        self.release_task(table, &release, now);
        self.count_late_end(table, end.task, end.run, end.kind.name());
    }

    /// Closes the occurrences of a job that are done, and ends a job that was cancelled, has failed or
    /// is complete.
    fn update_job_state(&mut self, table: &mut JobTable, key: JobKey) {
        let Some(job) = table.get_mut(key) else {
            return;
        };
        if job.progress.state.ended() {
            self.cancel_unstored_end(table, key);
            return;
        }
        let attempts = self.policy.attempts_of(&job.spec);
        let failed = failed_step(job, attempts);
        job.progress.settle(&job.spec);
        let state = if job.cancelled {
            JobState::Canceled
        } else if failed.is_some() {
            JobState::Failed
        } else if job.progress.is_complete(&job.spec) {
            JobState::Complete
        } else {
            return;
        };
        let cause = match failed {
            Some(step) if state == JobState::Failed => {
                format!("{attempts} failed runs of a task of step {step}")
            }
            _ => String::new(),
        };
        self.end_job(table, key, state, &cause);
    }

    /// Ends a job as cancelled that was cancelled before its end was stored: its caller was shown the
    /// cancel.
    fn cancel_unstored_end(&mut self, table: &mut JobTable, key: JobKey) {
        let Some(job) = table.get_mut(key) else {
            return;
        };
        let overtaken = job.cancelled && job.progress.state != JobState::Canceled;
        if overtaken && self.unstored_ends.contains(key) {
            spdlog::info!("job_ended", kv: {
                job = key.to_string(), state = format!("{:?}", JobState::Canceled),
                cause = format!("cancelled before it was stored as {:?}", job.progress.state)
            });
            job.progress.state = JobState::Canceled;
            self.journal.mark_job_dirty(key);
        }
    }

    /// Ends a job that has not ended, in the given state.
    pub(super) fn end_job(
        &mut self,
        table: &mut JobTable,
        key: JobKey,
        state: JobState,
        cause: &str,
    ) {
        let job = table.get_mut(key);
        let Some(job) = job.filter(|job| !job.progress.state.ended()) else {
            return;
        };
        job.progress.state = state;
        job.progress.ended_ms = self.wall_ms;
        spdlog::info!("job_ended", kv: { job = key.to_string(), state = format!("{state:?}"), cause });
        self.unstored_ends.add(key, state, self.now);
        self.active_jobs.swap_remove(&key);
        self.due.remove(key);
        self.stray_numbers.retain(|task, _| task.step.job != key);
        self.journal.mark_job_dirty(key);
    }

    /// Applies a caller's cancel. It comes too late for a job that callers are shown to have ended
    /// otherwise, even if the answer to the batch with that end is not handled yet.
    pub(super) fn job_cancelled(
        &mut self,
        table: &mut JobTable,
        key: JobKey,
        shown: Option<JobState>,
    ) {
        if shown.is_none_or(|state| state == JobState::Canceled) {
            self.job_changed(table, key);
        }
    }

    /// Applies that a job was accepted or cancelled, or was found at the takeover.
    pub(super) fn job_changed(&mut self, table: &mut JobTable, key: JobKey) {
        self.needs_scheduling = true;
        self.facts.note_change(key);
        let Some(job) = table.get_mut(key) else {
            return;
        };
        if job.progress.state.ended() {
            self.active_jobs.swap_remove(&key);
            self.due.remove(key);
        } else {
            if self.active_jobs.insert(key) {
                self.facts.note_job(&job.spec);
            }
            self.due.add(key, job);
        }
        self.update_job_state(table, key);
        open_at_once(table, key);
        self.stop_runs_of_ended_job(table, key);
    }
}

pub(super) fn is_gang(job: &Job, task: TaskKey) -> bool {
    let step = job.spec.steps.get(task.step.step as usize);
    step.is_some_and(|step| step.gang)
}

/// Opens the only occurrence of a job without set times.
fn open_at_once(table: &mut JobTable, key: JobKey) {
    let job = table.get_mut(key);
    let job = job.filter(|job| !job.progress.state.ended() && job.spec.occurrence_count == 0);
    if let Some(job) = job.filter(|job| job.progress.opened == 0) {
        job.progress.open_next(&job.spec);
    }
}

/// Index of a step with a task that has failed `attempts` times or more; `None` without one.
/// Long-running tasks may fail any number of times.
fn failed_step(job: &Job, attempts: u32) -> Option<usize> {
    let occurrences = job.progress.occurrences.iter();
    occurrences
        .flat_map(|occurrence| occurrence.steps.iter().enumerate())
        .find_map(|(i, tasks)| {
            let long_running = job.spec.steps.get(i).is_some_and(|step| step.long_running);
            let failed = tasks.iter().any(|task| task.failures >= attempts);
            (failed && !long_running).then_some(i)
        })
}
