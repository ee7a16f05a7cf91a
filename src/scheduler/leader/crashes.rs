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

/// Crashes after which a job is given up if its runs alone are suspected of the last one.
const CRASH_LIMIT: u32 = 3;

/// The same if the target went silent, which a broken network shows as well.
const SILENCE_LIMIT: u32 = 3;

/// The same if runs of other jobs are suspected of the last one, too: a task that crashes its
/// targets must not go on to do so.
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
            Self::Unseen => "not listed after a claim",
        }
    }

    /// Crashes after which a job is given up, if its runs alone are suspected.
    const fn limit(self) -> u32 {
        match self {
            Self::Replaced => CRASH_LIMIT,
            Self::Silent => SILENCE_LIMIT,
            Self::Unseen => SHARED_LIMIT,
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
        let limit = if jobs.len() == 1 {
            loss.limit()
        } else {
            SHARED_LIMIT
        };
        for (task, run) in suspects {
            self.count_crash(table, task, run, id, loss, jobs.len(), limit);
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
        let limit = Loss::Unseen.limit();
        self.count_crash(table, task, run, id, Loss::Unseen, 0, limit);
    }

    /// Forgets the crashes of a task whose run has gone on for long.
    pub(super) fn clear_task(&mut self, table: &mut JobTable, id: &TargetId, task: TaskKey) {
        let target = self.targets.get_mut(id);
        let run = target.and_then(|target| {
            target.suspect_runs -= 1;
            target.runs.get_mut(&task)
        });
        let Some(run) = run else { return };
        run.suspect = false;
        let stored = table.get_mut(task.step.job);
        if let Some(stored) = stored.and_then(|job| job.progress.task_mut(task)) {
            let crashes = std::mem::take(&mut stored.crashes);
            spdlog::info!("task_cleared", kv: { task = task.to_string(), run = run.number, target = id.0.as_ref(), crashes });
            self.journal.mark_job_dirty(task.step.job);
        }
    }

    /// Counts a crash of a target against a run, and gives the job up at `limit`.
    #[allow(clippy::too_many_arguments)] // What the decision is logged with.
    fn count_crash(
        &mut self,
        table: &mut JobTable,
        task: TaskKey,
        run: u32,
        id: &TargetId,
        loss: Loss,
        jobs: usize,
        limit: u32,
    ) {
        let stored = table.get_mut(task.step.job);
        let Some(stored) = stored.and_then(|job| job.progress.task_mut(task)) else {
            return;
        };
        if stored.run != run {
            return;
        }
        stored.crashes += 1;
        let crashes = stored.crashes;
        spdlog::warn!("run_suspected", kv: {
            task = task.to_string(), run, target = id.0.as_ref(), loss = loss.name(),
            crashes, limit, suspected_jobs = jobs
        });
        self.journal.mark_job_dirty(task.step.job);
        if crashes >= limit {
            self.end_job(
                table,
                task.step.job,
                JobState::Failed,
                "a task crashes its targets",
            );
            self.stop_runs_of_ended_job(table, task.step.job);
        }
    }
}
