//! Judges what the loss of a target says of each run that was on it.

use indexmap::IndexMap;

use crate::scheduler::run::{CLEARED_MS, Run, STARTUP_MS};
use crate::scheduler::{Millis, TargetEntry, TaskKey};

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

/// Whether the end of a target was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leaving {
    No,
    /// It had announced that it drains, which takes 2 s or more.
    Drains,
    /// Its VM was ordered to be moved or maintained while it was there.
    Ordered,
}

impl Leaving {
    /// Name in the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Drains => "drains",
            Self::Ordered => "ordered",
        }
    }
}

/// What the loss of a target says of a run there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It may have caused the loss.
    Suspected,
    /// It may have begun, but the target was about to end in any case.
    Explained,
    /// It may have begun, but its stop was confirmed, and nothing had shown that it had begun.
    Stopped,
    /// It had gone on for too long to be the cause.
    Outlasted,
    /// Its start had not been sent.
    NotSent,
}

impl Verdict {
    /// Name in the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Suspected => "suspected",
            Self::Explained => "explained",
            Self::Stopped => "stopped",
            Self::Outlasted => "outlasted",
            Self::NotSent => "not sent",
        }
    }
}

/// A target that was lost, with its runs.
#[derive(Clone, Copy)]
pub(super) struct LostRuns<'a> {
    pub(super) entry: &'a TargetEntry,
    /// When the target answered last; `None` if it never did.
    pub(super) answered_at: Option<Millis>,
    /// The target's clock in that answer, in ms.
    pub(super) clock_ms: Option<u64>,
    pub(super) runs: &'a IndexMap<TaskKey, Run>,
    pub(super) loss: Loss,
    pub(super) leaving: Leaving,
}

impl LostRuns<'_> {
    /// Returns whether all runs are of one job.
    fn of_one_job(&self) -> bool {
        let mut jobs = self.runs.keys().map(|task| task.step.job);
        let first = jobs.next();
        jobs.all(|job| Some(job) == first)
    }

    /// What the loss says of each run. Suspected are those that were starting up or, if all were
    /// of one job, any that had not gone on for long. A drain explains the end of all but those
    /// that had just been sent, and an order that of all; only those that were starting up may then
    /// have ended otherwise.
    pub(super) fn verdicts(&self) -> impl Iterator<Item = (TaskKey, u32, Verdict)> {
        let one_job = self.of_one_job();
        self.runs
            .iter()
            .map(move |(task, run)| (*task, run.number, self.verdict(run, one_job)))
    }

    fn verdict(&self, run: &Run, one_job: bool) -> Verdict {
        let explained = match self.leaving {
            Leaving::No => false,
            Leaving::Drains => !run.sent_just_before(self.answered_at),
            Leaving::Ordered => true,
        };
        let window_ms = if one_job && !explained {
            CLEARED_MS
        } else {
            STARTUP_MS
        };
        if !run.may_be_executing() {
            Verdict::NotSent
        } else if run.outlasted(self.clock_ms, window_ms) {
            Verdict::Outlasted
        } else if run.stopped_unconfirmed() {
            Verdict::Stopped
        } else if explained {
            Verdict::Explained
        } else {
            Verdict::Suspected
        }
    }

    /// Logs why the loss of a target counts against its runs or not: how many there are of each verdict.
    pub(super) fn log(&self, verdicts: &[(TaskKey, u32, Verdict)]) {
        if verdicts.is_empty() {
            return;
        }
        let mut counts: IndexMap<&str, usize> = IndexMap::new();
        for (.., verdict) in verdicts {
            *counts.entry(verdict.name()).or_default() += 1;
        }
        let counts: Vec<String> = counts
            .iter()
            .map(|(name, count)| format!("{name}:{count}"))
            .collect();
        spdlog::info!("loss_judged", kv: {
            target = self.entry.id.0.as_ref(), loss = self.loss.name(), leaving = self.leaving.name(),
            verdicts = counts.join(",")
        });
    }
}
