//! Finds the tasks that crash their targets, and gives their jobs up.
//!
//! A crash ends all runs on its target, of which one may be the cause. Suspect are those that
//! were starting up. Their tasks start again isolated: while one starts up, its target starts
//! nothing of another job, so that a further crash shows whose it is. The crashes of a task are
//! stored with its progress.

use indexmap::{IndexMap, IndexSet};

use super::Leader;
use crate::scheduler::run::{CLEARED_MS, Run, STARTUP_MS};
use crate::scheduler::{
    Crashes, JobKey, JobState, JobTable, Millis, TargetEntry, TargetId, TargetState, TaskKey,
};

/// Targets known to have crashed after which a job is given up, if runs of no other job are
/// suspected of the last crash.
const SEEN_LIMIT: u32 = 3;

/// Targets that crashed, or may have, after which a job is given up in any case: a task that
/// crashes its targets must not go on to do so.
const LIMIT: u32 = 5;

/// How the loss of a target was noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// Another incarnation, or another target, has taken its place.
    Replaced,
    /// It did not answer until its lease had expired.
    Silent,
    /// An earlier leader had placed runs on it, and it was not listed until its lease had expired.
    Unlisted,
}

impl Loss {
    /// Name in the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Silent => "lease lapsed",
            Self::Unlisted => "not listed",
        }
    }
}

/// The loss of a target, as it counts against a run there.
#[derive(Clone, Copy, Debug)]
struct Crash<'a> {
    target: &'a TargetId,
    loss: Loss,
    /// Number of jobs whose runs are suspected; `None` if it is not known.
    suspected_jobs: Option<usize>,
}

impl Crash<'_> {
    /// Returns whether it is too much for the job of a task with these crashes, which include it.
    fn exceeds(&self, crashes: &Crashes) -> bool {
        let alone = self.loss == Loss::Replaced && self.suspected_jobs == Some(1);
        crashes.count >= LIMIT || (alone && crashes.seen >= SEEN_LIMIT)
    }
}

impl Leader {
    /// Returns whether the end of a target is expected: it drains, or its VM was ordered to be moved
    /// or maintained while it was there.
    pub(super) fn is_leaving(&self, entry: &TargetEntry) -> bool {
        entry.state == TargetState::Draining || self.vm_tracker.has_order_for(entry)
    }

    /// Counts the loss of a target, which last answered at `answered_at`, against the runs that
    /// may have caused it: those that were starting up or, if all were of one job, any that had
    /// not gone on for long.
    pub(super) fn suspect_runs(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        runs: &IndexMap<TaskKey, Run>,
        answered_at: Option<Millis>,
        loss: Loss,
    ) {
        let mut others = runs.keys().skip(1);
        let first = runs.keys().next();
        let lone = others.all(|task| first.is_some_and(|first| first.step.job == task.step.job));
        let window_ms = if lone { CLEARED_MS } else { STARTUP_MS };
        let suspects: Vec<(TaskKey, u32)> = runs
            .iter()
            .filter(|(_, run)| run.may_have_crashed(answered_at, window_ms))
            .map(|(task, run)| (*task, run.number))
            .collect();
        let jobs: IndexSet<JobKey> = suspects.iter().map(|(task, _)| task.step.job).collect();
        let crash = Crash {
            target: id,
            loss,
            suspected_jobs: Some(jobs.len()),
        };
        for (task, run) in suspects {
            self.count_crash(table, task, run, crash);
        }
    }

    /// Counts the loss of a target against a run that an earlier leader had placed on it.
    pub(super) fn suspect_earlier_run(
        &mut self,
        table: &mut JobTable,
        task: TaskKey,
        run: u32,
        id: &TargetId,
        loss: Loss,
    ) {
        let crash = Crash {
            target: id,
            loss,
            suspected_jobs: None,
        };
        self.count_crash(table, task, run, crash);
    }

    /// Counts a crash against a run that is the latest one of its task, unless it was counted
    /// before, and gives the job up once there were too many.
    fn count_crash(&mut self, table: &mut JobTable, task: TaskKey, run: u32, crash: Crash<'_>) {
        let stored = table.get_mut(task.step.job);
        let stored = stored.and_then(|job| job.progress.task_mut(task));
        let Some(stored) = stored.filter(|task| task.run == run && task.crashes.run != run) else {
            return;
        };
        stored.crashes = Crashes {
            count: stored.crashes.count + 1,
            seen: stored.crashes.seen + u32::from(crash.loss == Loss::Replaced),
            run,
        };
        let given_up = crash.exceeds(&stored.crashes);
        let Crashes { count, seen, .. } = stored.crashes;
        let jobs = crash
            .suspected_jobs
            .map_or_else(|| "unknown".to_owned(), |jobs| jobs.to_string());
        spdlog::warn!("run_suspected", kv: {
            task = task.to_string(), run, target = crash.target.0.as_ref(), loss = crash.loss.name(),
            suspected_jobs = jobs, crashes = count, seen, given_up
        });
        let job = task.step.job;
        self.journal.mark_job_dirty(job);
        if given_up {
            self.end_job(table, job, JobState::Failed, "a task crashes its targets");
            self.stop_runs_of_ended_job(table, job);
        }
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
