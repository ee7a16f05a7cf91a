//! Starts and stops that were given to a target, and what it says of them.

use super::{Capacity, Millis, TaskKey};

/// A task that a target lists as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Share of its work that it does, in percent.
    pub percent: u32,
    /// For a serving task the tail of its response times in ms, for others the processor
    /// in use.
    pub load: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// All its work is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its target's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// The end of a run, as a target lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Position in the target's list of ends, from 1 in each incarnation.
    pub position: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// The intent is to be stored before the start is sent.
    Intended,
    /// The start was sent and not answered yet.
    Sent,
    /// An earlier holder of the role intended it; the target's next list tells.
    Adopted,
    /// The target has confirmed it.
    Running,
    /// A stop must be confirmed: it also bars a start that is still on its way.
    Stopping {
        /// When the stop may be sent again.
        resend_at: Millis,
        /// When the target confirmed it.
        confirmed_at: Option<Millis>,
    },
}

/// How far the work of a run has come, as its target says.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedProgress {
    percent: u32,
    /// When that was first seen.
    since: Option<Millis>,
}

impl ReportedProgress {
    /// Takes in a reading; returns for how long there has been no other, in ms.
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

/// A start that was given, or is about to be given, to a target.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) number: u32,
    pub(super) phase: RunPhase,
    /// What the task takes there.
    pub(super) reserved: Capacity,
    /// When the phase began.
    pub(super) phase_since: Millis,
    /// When its work was first seen to be whole; `None` while it starts up or is paced.
    pub(super) working_since: Option<Millis>,
    pub(super) progress: ReportedProgress,
    /// The task runs until its job is cancelled.
    pub(super) long_running: bool,
    /// Team that it counts for.
    pub(super) team: Option<String>,
}

impl Run {
    /// True when the target may still begin or run it.
    pub(super) const fn may_be_executing(&self) -> bool {
        !matches!(self.phase, RunPhase::Intended)
    }
}
