//! Finds the tasks that crash their targets, and gives their jobs up.
//!
//! A crash ends all runs on its target, of which one may be the cause. Suspect are those that
//! were starting up. Their tasks start again isolated: while one starts up, its target starts
//! nothing of another job, so that a further crash shows whose it is. The crashes of a task are
//! stored with its progress.

use indexmap::{IndexMap, IndexSet};

use super::Leader;
use crate::scheduler::run::Run;
use crate::scheduler::{JobKey, JobState, JobTable, Millis, TargetId, TaskKey};

/// Crashes after which a job is given up if runs of no other job are suspected of the last one.
const CRASH_LIMIT: u32 = 3;

/// The same if others are suspected, too, or may be: a task that crashes its targets must not go
/// on to do so.
const SHARED_LIMIT: u32 = 5;

/// How the loss of a target was noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// Another incarnation, or another target, has taken its place.
    Replaced,
    /// It did not answer until its lease had expired.
    Silent,
    /// An earlier leader had placed runs on it, and it is gone.
    Unseen,
}

impl Loss {
    /// Name in the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Silent => "lease lapsed",
            Self::Unseen => "gone after a claim",
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
    /// Crashes of a task after which its job is given up.
    const fn limit(&self) -> u32 {
        match self.suspected_jobs {
            Some(1) => CRASH_LIMIT,
            _ => SHARED_LIMIT,
        }
    }
}

impl Leader {
    /// Counts the loss of a target, which last answered at `answered_at`, against the runs that
    /// may have caused it.
    pub(super) fn suspect_runs(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        runs: &IndexMap<TaskKey, Run>,
        answered_at: Option<Millis>,
        loss: Loss,
    ) {
        let suspects: Vec<(TaskKey, u32)> = runs
            .iter()
            .filter(|(_, run)| run.may_have_crashed(answered_at))
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
    ) {
        let crash = Crash {
            target: id,
            loss: Loss::Unseen,
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
        stored.crashes.count += 1;
        stored.crashes.run = run;
        let (crashes, limit) = (stored.crashes.count, crash.limit());
        let jobs = crash
            .suspected_jobs
            .map_or_else(|| "unknown".to_owned(), |jobs| jobs.to_string());
        spdlog::warn!("run_suspected", kv: {
            task = task.to_string(), run, target = crash.target.0.as_ref(), loss = crash.loss.name(),
            suspected_jobs = jobs, crashes, limit
        });
        let job = task.step.job;
        self.journal.mark_job_dirty(job);
        if crashes >= limit {
            self.end_job(table, job, JobState::Failed, "a task crashes its targets");
            self.stop_runs_of_ended_job(table, job);
        }
    }

    /// Forgets the crashes of a task whose run has gone on for long.
    pub(super) fn clear_task(&mut self, table: &mut JobTable, id: &TargetId, task: TaskKey) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.clear_suspect(task);
        let stored = table.get_mut(task.step.job);
        if let Some(stored) = stored.and_then(|job| job.progress.task_mut(task)) {
            let crashes = std::mem::take(&mut stored.crashes).count;
            spdlog::info!("task_cleared", kv: { task = task.to_string(), target = id.0.as_ref(), crashes });
            self.journal.mark_job_dirty(task.step.job);
        }
    }
}
