//! Lets tasks start again, and keeps on what evidence their runs were taken to have ended.

use indexmap::IndexMap;

use super::verdicts::Loss;
use super::{Leader, StartOutcome};
use crate::scheduler::run::EndKind;
use crate::scheduler::{JobTable, Millis, TargetId, TaskKey, TaskPhase};

/// Largest number of releases that are kept for the log lines of later starts.
const MAX_PAST_RUNS: usize = 10_000;

/// Evidence that a run of a task does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// Its start was not sent.
    NotSent,
    /// Its target refused the start, or the call did not reach the target.
    Refused(StartOutcome),
    /// A report lacks it, and its start or adoption was never confirmed.
    NeverBegan,
    /// A report lacks it that was asked for after the target had confirmed it.
    Vanished,
    /// Its target has restarted since it reported the run.
    Restarted,
    /// Its target is lost.
    Lost(Loss),
    /// Its target has listed its end.
    Ended(EndKind),
}

impl Evidence {
    /// Name in the log.
    const fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::Refused(outcome) => outcome.name(),
            Self::NeverBegan => "never began",
            Self::Vanished => "vanished",
            Self::Restarted => "restarted",
            Self::Lost(loss) => loss.name(),
            Self::Ended(kind) => kind.name(),
        }
    }
}

/// The end of a run, as the leader concludes it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Release<'a> {
    pub(super) task: TaskKey,
    pub(super) run: u32,
    pub(super) target: &'a TargetId,
    /// `born` of the incarnation of the target that the run was on.
    pub(super) born: u64,
    pub(super) evidence: Evidence,
    /// When the target last answered a call; `None` if it never did.
    pub(super) answered_at: Option<Millis>,
}

/// The latest run of a task that waits to start again.
#[derive(Clone, Debug)]
struct PastRun {
    number: u32,
    target: TargetId,
    evidence: Evidence,
    released_at: Millis,
}

/// What became of the latest runs of the tasks that wait to start again, for the log.
#[derive(Debug, Default)]
pub(super) struct PastRuns {
    runs: IndexMap<TaskKey, PastRun>,
}

impl PastRuns {
    fn note(&mut self, release: &Release<'_>, now: Millis) {
        if self.runs.len() >= MAX_PAST_RUNS {
            self.runs.swap_remove_index(0);
        }
        let run = PastRun {
            number: release.run,
            target: release.target.clone(),
            evidence: release.evidence,
            released_at: now,
        };
        self.runs.insert(release.task, run);
    }

    /// Forgets the latest run of a task that goes on, or of one that does not start again.
    pub(super) fn forget(&mut self, task: TaskKey) {
        self.runs.swap_remove(&task);
    }

    /// Removes what is known of the run of a task before its run `number`, and describes it.
    pub(super) fn take_description(&mut self, task: TaskKey, number: u32, now: Millis) -> String {
        match self.runs.swap_remove(&task) {
            Some(past) => format!(
                "run {} on {}: {}, {} ms ago",
                past.number,
                past.target.0,
                past.evidence.name(),
                now.saturating_sub(past.released_at)
            ),
            None if number > 1 => "not known to this leader".to_owned(),
            None => "none".to_owned(),
        }
    }
}

impl Leader {
    /// Lets a task start again whose run has ended without being done, or never began. Does
    /// nothing if the task has a later run.
    pub(super) fn release_task(
        &mut self,
        table: &mut JobTable,
        release: &Release<'_>,
        now: Millis,
    ) {
        let (task, run) = (release.task, release.run);
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
            self.past_runs.note(release, now);
            let answered_at = release.answered_at;
            spdlog::info!("task_released", kv: {
                task = task.to_string(), run, target = release.target.0.as_ref(), born = release.born,
                evidence = release.evidence.name(), epoch = self.epoch(),
                answered_ms = answered_at.map_or_else(|| "never".to_owned(), |at| now.saturating_sub(at).to_string())
            });
        }
    }
}
