//! Finds the tasks that crash their targets, and gives their jobs up.
//!
//! A crash ends all runs on its target, of which one may be the cause. Suspect are those that
//! were starting up. Their tasks start again isolated: while one starts up, its target starts
//! nothing of another job, so that a further crash shows whose it is. The crashes of a task are
//! stored with its progress.

use indexmap::IndexSet;

use super::Leader;
use super::verdicts::{Leaving, Loss, LostRuns, Verdict};
use crate::scheduler::target_entry::Incarnation;
use crate::scheduler::{
    Crashes, JobKey, JobState, JobTable, LostTarget, Millis, TargetEntry, TargetId, TargetState,
    TaskKey,
};

/// The loss of a target, as it counts against a run there.
#[derive(Clone, Copy, Debug)]
struct Crash<'a> {
    target: &'a Incarnation,
    /// Name of the target's VM; empty if that is not known.
    vm: &'a str,
    loss: Loss,
    /// Whether what becomes of the target will show if it crashed.
    open: bool,
    /// Number of jobs whose runs are suspected; `None` if it is not known.
    suspected_jobs: Option<usize>,
}

impl Crash<'_> {
    fn alone(&self) -> bool {
        self.suspected_jobs == Some(1)
    }

    /// Returns whether it is too much for the job of a task with these crashes, which include it.
    fn exceeds(&self, crashes: &Crashes) -> bool {
        let known_alone = self.loss == Loss::Replaced && self.alone();
        crashes.too_many() || (known_alone && crashes.too_many_seen())
    }

    /// The target, if it is open whether it crashed.
    fn lost_target(&self) -> Option<LostTarget> {
        self.open.then(|| LostTarget {
            target: self.target.id.clone(),
            born: self.target.born,
            vm: self.vm.to_owned(),
            alone: self.alone(),
        })
    }
}

impl Leader {
    /// Returns whether the end of a target is expected.
    pub(super) fn is_leaving(&self, entry: &TargetEntry) -> Leaving {
        if self.vm_tracker.has_order_for(entry) {
            Leaving::Ordered
        } else if entry.state == TargetState::Draining {
            Leaving::Drains
        } else {
            Leaving::No
        }
    }

    /// Counts the loss of a target against the runs that may have caused it.
    pub(super) fn suspect_runs(&mut self, table: &mut JobTable, lost: &LostRuns<'_>, now: Millis) {
        let verdicts: Vec<_> = lost.verdicts().collect();
        lost.log(&verdicts);
        let suspected = verdicts.iter().filter(|(.., v)| *v == Verdict::Suspected);
        let suspects: Vec<(TaskKey, u32)> = suspected.map(|(task, run, _)| (*task, *run)).collect();
        let jobs: IndexSet<JobKey> = suspects.iter().map(|(task, _)| task.step.job).collect();
        let crash = Crash {
            target: &Incarnation::of(lost.entry),
            vm: &lost.entry.vm,
            loss: lost.loss,
            open: lost.loss != Loss::Replaced && lost.leaving == Leaving::No,
            suspected_jobs: Some(jobs.len()),
        };
        for (task, run) in suspects {
            self.count_crash(table, task, run, crash, now);
        }
        for (task, run, verdict) in verdicts {
            match verdict {
                Verdict::Explained | Verdict::Stopped => {
                    self.count_unfinished(table, task, run, verdict.name());
                }
                Verdict::Suspected | Verdict::Outlasted | Verdict::NotSent => {}
            }
        }
    }

    /// Counts a run that its target has ended without being done if its task may have crashed three
    /// targets before: however its later runs end, the platform allows only two.
    pub(super) fn count_late_end(
        &mut self,
        table: &mut JobTable,
        task: TaskKey,
        run: u32,
        cause: &str,
    ) {
        let stored = table.get(task.step.job);
        let stored = stored.and_then(|job| job.progress.task(task));
        if stored.is_some_and(|task| task.crashes.limits_starts()) {
            self.count_unfinished(table, task, run, cause);
        }
    }

    /// Counts a run that was not done, without suspecting it of a crash, unless it was counted
    /// before, and gives the job up once there were too many. The platform does not limit the
    /// starts of long-running tasks.
    fn count_unfinished(&mut self, table: &mut JobTable, task: TaskKey, run: u32, cause: &str) {
        let Some(job) = table.get_mut(task.step.job) else {
            return;
        };
        let step = job.spec.steps.get(task.step.step as usize);
        let limited = step.is_some_and(|step| !step.long_running) && !job.progress.state.ended();
        let stored = job.progress.task_mut(task).filter(|_| limited);
        let Some(stored) = stored.filter(|task| task.run == run && task.crashes.run != run) else {
            return;
        };
        stored.crashes.others += 1;
        stored.crashes.run = run;
        let Crashes { count, others, .. } = stored.crashes;
        let given_up = stored.crashes.too_many();
        spdlog::info!("run_unfinished", kv: {
            task = task.to_string(), run, cause, crashes = count, others, given_up
        });
        self.journal.mark_job_dirty(task.step.job);
        if given_up {
            self.give_job_up(table, task.step.job);
        }
    }

    /// Counts the loss of a target against a run that an earlier leader had placed on it.
    pub(super) fn suspect_earlier_run(
        &mut self,
        table: &mut JobTable,
        task: TaskKey,
        run: u32,
        target: &Incarnation,
        loss: Loss,
        now: Millis,
    ) {
        let vm = self.vm_tracker.vm_of(&target.id).unwrap_or_default();
        let crash = Crash {
            target,
            vm: &vm,
            loss,
            open: loss != Loss::Replaced,
            suspected_jobs: None,
        };
        self.count_crash(table, task, run, crash, now);
    }

    /// Counts a crash against a run that is the latest one of its task, unless it was counted
    /// before, and gives the job up once there were too many.
    fn count_crash(
        &mut self,
        table: &mut JobTable,
        task: TaskKey,
        run: u32,
        crash: Crash<'_>,
        now: Millis,
    ) {
        let stored = table.get_mut(task.step.job);
        let stored = stored.and_then(|job| job.progress.task_mut(task));
        let Some(stored) = stored.filter(|task| task.run == run && task.crashes.run != run) else {
            return;
        };
        stored.crashes.count += 1;
        stored.crashes.seen += u32::from(crash.loss == Loss::Replaced);
        stored.crashes.run = run;
        if let Some(lost) = crash.lost_target() {
            self.lost_targets.add(task, &lost);
            self.vm_tracker.watch(now);
            stored.crashes.lost.push(lost);
        }
        let given_up = crash.exceeds(&stored.crashes);
        let Crashes { count, seen, .. } = stored.crashes;
        let jobs = crash
            .suspected_jobs
            .map_or_else(|| "unknown".to_owned(), |jobs| jobs.to_string());
        spdlog::warn!("run_suspected", kv: {
            task = task.to_string(), run, target = crash.target.id.0.as_ref(), loss = crash.loss.name(),
            suspected_jobs = jobs, crashes = count, seen, given_up
        });
        self.journal.mark_job_dirty(task.step.job);
        if given_up {
            self.give_job_up(table, task.step.job);
        }
    }

    /// Ends a job as failed because a task of it crashes its targets.
    pub(super) fn give_job_up(&mut self, table: &mut JobTable, job: JobKey) {
        self.end_job(table, job, JobState::Failed, "a task crashes its targets");
        self.stop_runs_of_ended_job(table, job);
    }

    /// Forgets the crashes of a task, if it has any, because its run has gone on for long.
    pub(super) fn clear_task(&mut self, table: &mut JobTable, id: &TargetId, task: TaskKey) {
        let stored = table.get_mut(task.step.job);
        let stored = stored.and_then(|job| job.progress.task_mut(task));
        let Some(stored) = stored.filter(|task| !task.crashes.is_empty()) else {
            return;
        };
        let crashes = std::mem::take(&mut stored.crashes).count;
        spdlog::info!("task_cleared", kv: { task = task.to_string(), target = id.0.as_ref(), crashes });
        self.journal.mark_job_dirty(task.step.job);
        if let Some(target) = self.targets.get_mut(id) {
            target.clear_suspect(task);
        }
    }
}
