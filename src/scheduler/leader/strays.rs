//! Stray runs: those that a target reports although the leader has another run of the task there, or
//! none.
//!
//! Such a run was released too early, or its start was carried out late. A task that waits to start
//! again takes its latest run back. Any other stray run is stopped, and until it has ended, its task
//! is not started anywhere. Until then a task that waits is stored as placed on the stray run's target,
//! so that the next leader waits for that target's report, or for the end of its lease.

use indexmap::IndexSet;

use super::takeover::adopted_run;
use super::{Command, Leader, StopOutcome};
use crate::scheduler::run::{RunPhase, StrayRun};
use crate::scheduler::target_entry::Incarnation;
use crate::scheduler::{
    JobKey, JobProgress, JobTable, Millis, RunningTask, StepKey, TargetId, TargetReport, TaskKey,
    TaskPhase,
};

impl Leader {
    /// Applies that a target reported a run that is not the one that the leader has of the task there.
    pub(super) fn stray_reported(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        running: &RunningTask,
        now: Millis,
    ) {
        let (task, number) = (running.task, running.run);
        let Some(target) = self.targets.get(id) else {
            return;
        };
        if target.strays.contains_key(&(task, number)) {
            return;
        }
        let known = target.runs.get(&task).map_or(0, |run| run.number);
        let stored = table.get(task.step.job);
        let stored = stored.and_then(|job| job.progress.task(task));
        spdlog::warn!("unknown_run", kv: {
            task = task.to_string(), run = number, target = id.0.as_ref(), born = target.entry.born,
            known, latest = stored.map_or(0, |task| task.run), phase = stored.map_or("unknown", |task| task.phase.name())
        });
        if !self.take_run_back(table, id, task, number, now) {
            self.add_stray(table, id, task, number, now);
        }
    }

    /// Makes a run that was released the run of its task again, if that waits to start and has had no
    /// later run. The members of a gang work only together, so theirs are not taken back.
    fn take_run_back(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        task: TaskKey,
        number: u32,
        now: Millis,
    ) -> bool {
        let run = adopted_run(table, task, number, self.holds_sent);
        let Some(job) = table.get_mut(task.step.job) else {
            return false;
        };
        let step = job.spec.steps.get(task.step.step as usize);
        let wanted = step.is_some_and(|step| !step.gang) && !job.state().ended() && !job.cancelled;
        let stored = job.progress.task_mut(task).filter(|_| wanted);
        let waiting = stored.filter(|task| task.phase == TaskPhase::Pending && task.run <= number);
        let (Some(stored), Some(target), Some(mut run)) = (waiting, self.targets.get_mut(id), run)
        else {
            return false;
        };
        stored.run = number;
        stored.phase = TaskPhase::Placed {
            target: id.clone(),
            born: target.entry.born,
        };
        run.confirm(self.holds_sent, now);
        run.reported_clock = target.lease.clock_ms();
        target.add_run(task, run);
        self.past_runs.forget(task);
        self.journal.mark_job_dirty(task.step.job);
        spdlog::info!("run_adopted", kv: {
            task = task.to_string(), run = number, target = id.0.as_ref(), cause = "its task waits to start again",
            job = format!("{:?}", job.state())
        });
        true
    }

    /// Has a stray run stopped, and takes back the plan of another run of its task.
    fn add_stray(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        task: TaskKey,
        number: u32,
        now: Millis,
    ) {
        let job = table.get(task.step.job);
        let step = job.and_then(|job| job.spec.steps.get(task.step.step as usize));
        let gang = step.is_some_and(|step| step.gang);
        let job_active = job.is_some_and(|job| !job.state().ended());
        let stray = StrayRun {
            reserved: step
                .map(crate::scheduler::Step::reservation)
                .unwrap_or_default(),
            team: job.and_then(|job| job.spec.team.clone()),
            resend_at: now,
        };
        if let Some(target) = self.targets.get_mut(id) {
            target.add_stray(task, number, stray);
        }
        if job_active {
            self.journal.mark_job_dirty(task.step.job);
            let highest = self.stray_numbers.entry(task).or_default();
            *highest = number.max(*highest);
        }
        self.release_plans(table, now, |planned| {
            planned == task || (gang && planned.step == task.step)
        });
    }

    /// Releases the planned runs of some tasks, whose starts were not sent yet.
    fn release_plans(
        &mut self,
        table: &mut JobTable,
        now: Millis,
        concerns: impl Fn(TaskKey) -> bool,
    ) {
        let planned: Vec<(TargetId, TaskKey)> = self
            .targets
            .iter()
            .flat_map(|(id, target)| target.runs.iter().map(move |(task, run)| (id, task, run)))
            .filter(|(_, task, run)| run.phase == RunPhase::Planned && concerns(**task))
            .map(|(id, task, _)| (id.clone(), *task))
            .collect();
        for (id, task) in planned {
            self.release_planned_run(table, &id, task, now);
        }
    }

    /// Removes the stray runs of a target that its complete report lacks.
    pub(super) fn remove_ended_strays(&mut self, id: &TargetId, report: &TargetReport) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let ended = target.strays.keys().filter(|(task, number)| {
            let mut rows = report.running.iter();
            !rows.any(|row| row.task == *task && row.run == *number)
        });
        let ended: Vec<(TaskKey, u32)> = ended.copied().collect();
        for (task, number) in ended {
            self.stray_ended(id, task, number);
        }
    }

    /// Removes a stray run that has ended; returns whether there was one.
    pub(super) fn stray_ended(&mut self, id: &TargetId, task: TaskKey, number: u32) -> bool {
        let target = self.targets.get_mut(id);
        let found = target.is_some_and(|target| target.remove_stray(task, number));
        if found {
            spdlog::info!("stray_run_ended", kv: { task = task.to_string(), run = number, target = id.0.as_ref() });
            self.needs_scheduling = true;
            self.journal.mark_job_dirty(task.step.job);
        }
        found
    }

    /// Stray runs, with the incarnations of the targets that they are on.
    pub(super) fn located_strays(&self) -> Vec<(TaskKey, u32, Incarnation)> {
        let targets = self.targets.values();
        targets
            .filter(|target| !target.strays.is_empty())
            .flat_map(|target| {
                let place = Incarnation::of(&target.entry);
                let strays = target.strays.keys();
                strays.map(move |(task, number)| (*task, *number, place.clone()))
            })
            .collect()
    }

    /// Sends the stop calls of stray runs that are due.
    pub(super) fn stop_strays(&mut self, resend_after_ms: Millis, now: Millis) {
        let targets = self.targets.values_mut();
        for target in targets.filter(|target| !target.strays.is_empty()) {
            for ((task, number), stray) in &mut target.strays {
                if stray.resend_at > now {
                    continue;
                }
                stray.resend_at = now + resend_after_ms;
                self.commands.push(Command::Stop {
                    target: target.entry.clone(),
                    task: *task,
                    run: *number,
                });
            }
        }
    }

    /// Logs the answer to the stop of a stray run, and has its end looked for.
    pub(super) fn stray_stop_answered(
        &mut self,
        id: &TargetId,
        task: TaskKey,
        number: u32,
        outcome: StopOutcome,
        now: Millis,
    ) {
        let target = self.targets.get(id);
        if !target.is_some_and(|target| target.strays.contains_key(&(task, number))) {
            return;
        }
        spdlog::info!("stray_stop_answered", kv: {
            task = task.to_string(), run = number, target = id.0.as_ref(), outcome = format!("{outcome:?}")
        });
        self.expedite_hold(id, now);
    }

    /// Tasks with stray runs.
    pub(super) fn stray_tasks(&self) -> IndexSet<TaskKey> {
        let strays = self
            .targets
            .values()
            .flat_map(|target| target.strays.keys());
        strays.map(|(task, _)| *task).collect()
    }

    /// Returns whether a step has a task with a stray run, by the set of these tasks.
    pub(super) fn step_has_strays(strays: &IndexSet<TaskKey>, step: StepKey) -> bool {
        strays.iter().any(|task| task.step == step)
    }
}

/// Progress of a job as it is stored: a waiting task with one of the `strays`, each given with its
/// number and place, is stored as placed there. The leader's own copy keeps it waiting.
pub(super) fn progress_with_strays(
    job: JobKey,
    progress: &JobProgress,
    strays: &[(TaskKey, u32, Incarnation)],
) -> JobProgress {
    let mut progress = progress.clone();
    let own = strays.iter().filter(|(task, ..)| task.step.job == job);
    for (task, number, place) in own {
        let stored = progress.task_mut(*task);
        if let Some(stored) = stored.filter(|task| task.phase == TaskPhase::Pending) {
            // Under its own number, the next leader would take the stray run for the task's.
            stored.run = stored.run.max(number + 1);
            stored.phase = TaskPhase::Placed {
                target: place.id.clone(),
                born: place.born,
            };
        }
    }
    progress
}
