//! How far a job has come; stored whole with each change.

use serde::{Deserialize, Serialize};

use super::{JobSpec, TargetId};

/// Where a job stands, as its caller sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// Some task has started.
    Running,
    /// All tasks of all occurrences are done.
    Complete,
    /// A task has failed as often as its queue allows.
    Failed,
    /// Cancelled by its caller.
    Canceled,
}

impl JobState {
    /// True when nothing more will be started.
    #[must_use]
    pub const fn ended(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Canceled)
    }
}

/// Where a task stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// Not started, or ended without being done.
    #[default]
    Pending,
    /// Its start on a target is intended, and may have been carried out.
    Placed {
        /// The target.
        target: TargetId,
        /// Incarnation of the target: its start, in ms since 1970.
        born: u64,
    },
    /// Ended as done.
    Done,
}

/// One task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Where it stands.
    pub phase: TaskPhase,
    /// Number of its latest start; 0 before the first.
    pub run: u32,
    /// Runs that ended as failed.
    pub failures: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// The tasks of one occurrence, by step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Tasks of each step; emptied once all are done.
    pub steps: Vec<Vec<TaskProgress>>,
}

impl Occurrence {
    /// All tasks pending.
    #[must_use]
    pub fn new(spec: &JobSpec) -> Self {
        let steps = spec.steps.iter();
        Self {
            steps: steps
                .map(|step| vec![TaskProgress::default(); step.count as usize])
                .collect(),
        }
    }

    /// True when every task is done.
    #[must_use]
    pub fn done(&self) -> bool {
        self.steps
            .iter()
            .flatten()
            .all(|t| t.phase == TaskPhase::Done)
    }

    /// True when every task of `step` is done.
    #[must_use]
    pub fn step_done(&self, step: u32) -> bool {
        let tasks = self.steps.get(step as usize);
        tasks.is_none_or(|tasks| tasks.iter().all(|t| t.phase == TaskPhase::Done))
    }
}

/// How far a job has come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// As shown to callers.
    pub state: JobState,
    /// Occurrences that have come due, in order.
    pub occurrences: Vec<Occurrence>,
    /// When the job ended, in ms since 1970; 0 before.
    pub ended_ms: u64,
}

impl JobProgress {
    /// The task, if its occurrence has begun and is not done.
    #[must_use]
    pub fn task(&self, key: super::TaskKey) -> Option<&TaskProgress> {
        let steps = &self.occurrences.get(key.step.occurrence as usize)?.steps;
        steps.get(key.step.step as usize)?.get(key.index as usize)
    }

    /// The same for changing it.
    pub fn task_mut(&mut self, key: super::TaskKey) -> Option<&mut TaskProgress> {
        let occurrence = self.occurrences.get_mut(key.step.occurrence as usize)?;
        let tasks = occurrence.steps.get_mut(key.step.step as usize)?;
        tasks.get_mut(key.index as usize)
    }
}
