//! Runs: the starts of tasks on targets, and what targets report of them.

use super::lease::Responder;
use super::{Capacity, Millis, TaskKey};

/// A running task, as its target reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// Id of the task.
    pub task: TaskKey,
    /// Number of the run: counts the starts of the task, from 1.
    pub run: u32,
    /// Name of the newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent: how much of its work is done, or for a long-running task how
    /// much of its full work it is doing.
    pub percent: u32,
    /// For a serving task the tail of its response times in ms, for others the CPU in use, as the
    /// target reports it; 0 if it reports none. The scheduler does not read it.
    pub load: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task did all its work.
    Done,
    /// The task failed.
    Failed,
    /// The leader had it stopped.
    Stopped,
    /// The target's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

impl EndKind {
    /// Name in the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// An ended run, as its target reports it until it may forget it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Position among the ended runs of the target's incarnation, from 1.
    pub position: u64,
    /// Id of the task.
    pub task: TaskKey,
    /// Number of the run, as in [`RunningTask::run`].
    pub run: u32,
    /// How the run ended.
    pub kind: EndKind,
    /// Name of the newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// State of a run, as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// The decision to start it is being stored; the start is sent after that.
    Planned,
    /// The start was sent, but is not answered yet.
    Sent,
    /// An earlier leader decided to start it; the answer to the next hold call tells whether
    /// it runs.
    Adopted,
    /// The target has confirmed that it runs.
    Running,
    /// It is being stopped. The target must confirm the stop, which also makes it refuse a
    /// start that is still on its way.
    Stopping {
        /// When the stop is sent, or sent again.
        resend_at: Millis,
        /// Number of hold calls that were sent before it was known that the target has confirmed the
        /// stop; `None` before.
        holds_before: Option<u64>,
    },
}

/// What has become of a run whose target has restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterRestart {
    /// It ended with the earlier incarnation, which had reported it, or its start was not sent.
    Ended,
    /// One of the two incarnations has accepted its start. If it was the later one, it runs there.
    MayRun,
    /// Its start is not answered. It may still reach the later incarnation.
    MayBegin,
}

/// Progress of a run as its target reported it, to detect a run that has stalled.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedProgress {
    percent: u32,
    /// When `percent` was first reported; `None` before the first report.
    since: Option<Millis>,
}

impl ReportedProgress {
    /// Returns whether any progress was reported.
    const fn begun(self) -> bool {
        self.percent > 0
    }

    /// Takes in a report; returns how long `percent` has been unchanged, in ms.
    pub(super) fn observe(&mut self, percent: u32, now: Millis) -> Millis {
        match self.since {
            Some(since) if self.percent == percent => now.saturating_sub(since),
            _ => {
                *self = Self {
                    percent,
                    since: Some(now),
                };
                0
            }
        }
    }
}

/// Time after its start in which a run may crash its target, in ms. A crash after that is put
/// down to other runs.
pub(super) const STARTUP_MS: Millis = 500;

/// Time after which a run shows that its task does not crash targets, in ms.
pub(super) const CLEARED_MS: Millis = 5_000;

/// A run of a task on a target, from the decision to start it until its end is known.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// Counts the starts of the task, from 1; 0 until the run is numbered.
    pub(super) number: u32,
    pub(super) phase: RunPhase,
    /// Capacity that the run reserves on the target.
    pub(super) reserved: Capacity,
    /// Number of hold calls that were sent before it was known that it runs, or before it was taken
    /// over. Earlier calls may have been answered before it began.
    pub(super) holds_before: u64,
    /// Since when the target has reported 100 percent; `None` while it reports less, as a
    /// task does that is starting up or slowed down.
    pub(super) working_since: Option<Millis>,
    pub(super) progress: ReportedProgress,
    /// When this leader sent its start; `None` before, and for a start of an earlier leader.
    pub(super) sent_at: Option<Millis>,
    /// When the target first confirmed that it runs; `None` before.
    pub(super) running_since: Option<Millis>,
    /// The target's clock in the first report that it runs, in ms; `None` before. Reports name the
    /// incarnation, which the answers to starts and stops do not.
    pub(super) reported_clock: Option<u64>,
    /// Which incarnation of the target has accepted its start, seen from the one that was called.
    pub(super) accepted_by: Responder,
    /// Whether it is isolated as it starts up, because a target crashed soon after an earlier start
    /// of the task.
    pub(super) suspect: bool,
    /// Whether the task runs until its job is cancelled.
    pub(super) long_running: bool,
    /// Team whose limit the reserved capacity counts against; `None` for none.
    pub(super) team: Option<String>,
}

/// A run on a target that is not the task's: it was given up, or another one began since. It is being
/// stopped.
#[derive(Clone, Debug)]
pub(super) struct StrayRun {
    /// Capacity that it reserves on the target.
    pub(super) reserved: Capacity,
    /// Team whose limit that counts against; `None` for none.
    pub(super) team: Option<String>,
    /// When its stop is sent, or sent again.
    pub(super) resend_at: Millis,
}

impl Run {
    /// Returns whether it is being stopped.
    pub(super) const fn stopping(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping { .. })
    }

    /// Notes that the target has confirmed that it runs.
    pub(super) fn confirm(&mut self, holds_sent: u64, now: Millis) {
        self.phase = RunPhase::Running;
        self.holds_before = holds_sent;
        self.running_since.get_or_insert(now);
    }

    /// What has become of it, now that its target has restarted.
    pub(super) const fn after_restart(&self) -> AfterRestart {
        match self.phase {
            RunPhase::Planned => AfterRestart::Ended,
            _ if self.reported_clock.is_some() => AfterRestart::Ended,
            RunPhase::Running => AfterRestart::MayRun,
            _ => AfterRestart::MayBegin,
        }
    }

    /// The same run on the next incarnation of its target, of which nothing is known yet.
    pub(super) fn on_next_incarnation(self, holds_sent: u64) -> Self {
        Self {
            phase: RunPhase::Adopted,
            holds_before: holds_sent,
            working_since: None,
            progress: ReportedProgress::default(),
            running_since: None,
            reported_clock: None,
            accepted_by: Responder::Unclear,
            ..self
        }
    }

    /// Returns whether it had gone on for longer than [`STARTUP_MS`] at the time `at`.
    pub(super) fn past_startup(&self, at: Millis) -> bool {
        self.has_run_for(STARTUP_MS, at)
    }

    /// Returns whether it has gone on for so long that its task is no longer suspect. Without progress
    /// it may not have reached what crashes its target.
    pub(super) fn clears_task(&self, now: Millis) -> bool {
        self.has_run_for(CLEARED_MS, now) && self.progress.begun()
    }

    fn has_run_for(&self, span_ms: Millis, at: Millis) -> bool {
        self.running_since
            .is_some_and(|since| at >= since + span_ms)
    }

    /// Returns whether it had gone on for `span_ms` when its target answered last, at `clock_ms` of
    /// the target's clock, and, if its task is suspect, with progress. By the local clock an answer
    /// may be handled long after the target gave it.
    pub(super) fn outlasted(&self, clock_ms: Option<u64>, span_ms: Millis) -> bool {
        let reported = self.reported_clock;
        let lasted = reported.is_some_and(|since| clock_ms >= Some(since + span_ms));
        lasted && (!self.suspect || self.progress.begun())
    }

    /// Returns whether its target has confirmed a stop, but never that it runs.
    pub(super) const fn stopped_unconfirmed(&self) -> bool {
        let confirmed = matches!(
            self.phase,
            RunPhase::Stopping {
                holds_before: Some(_),
                ..
            }
        );
        confirmed && self.running_since.is_none()
    }

    /// Returns whether its start was sent less than [`STARTUP_MS`] before its target answered last,
    /// at `answered_at`, or after that. False if it is not known when that was.
    pub(super) fn sent_just_before(&self, answered_at: Option<Millis>) -> bool {
        let answered_at = answered_at.unwrap_or_default();
        self.sent_at
            .is_some_and(|sent| answered_at < sent + STARTUP_MS)
    }

    /// Returns whether it may be on a later incarnation of its target than the one that was called:
    /// its start was sent, and nothing shows that the one that was called has accepted it.
    pub(super) fn may_be_on_later(&self) -> bool {
        let known = self.reported_clock.is_some() || self.accepted_by == Responder::Known;
        self.may_be_executing() && !known
    }

    /// Returns whether the target may be executing it, or may still begin to.
    pub(super) const fn may_be_executing(&self) -> bool {
        !matches!(self.phase, RunPhase::Planned)
    }
}
