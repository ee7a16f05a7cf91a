//! Progress of a job. A batch that stores a change of it has the whole progress.

use serde::{Deserialize, Serialize};

use super::crash_count::Crashes;
use super::{JobKey, JobSpec, StepKey, TargetId, TaskKey};

/// State of a job, as its caller sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has begun on a target yet; some may be placed.
    #[default]
    Queued,
    /// Some task has begun on a target. It may have been lost since.
    Running,
    /// Every task of every occurrence is done.
    Complete,
    /// A task has failed as often as the job's queue allows.
    Failed,
    /// Cancelled by its caller.
    Canceled,
}

impl JobState {
    /// Returns whether the job has ended: none of its tasks will be started any more.
    #[must_use]
    pub const fn ended(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Canceled)
    }
}

/// State of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// Not placed: it has not started yet, or its latest run ended without being done.
    #[default]
    Pending,
    /// Placed on a target. Its start may not be sent yet, or may have been carried out.
    Placed {
        /// Id of the target.
        target: TargetId,
        /// Incarnation of the target: when it started, in ms since 1970.
        born: u64,
    },
    /// A run of it ended as done.
    Done,
}

impl TaskPhase {
    /// Name in the log.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Placed { .. } => "placed",
            Self::Done => "done",
        }
    }
}

/// Stored progress of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Whether the task is pending, placed or done.
    pub phase: TaskPhase,
    /// Number of its latest run, from 1; 0 before the first.
    pub run: u32,
    /// Number of its runs that ended as failed.
    pub failures: u32,
    /// Name of its newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Targets that it may have crashed. Left out of the stored record while there are none, so
    /// that earlier builds read those records.
    #[serde(default, skip_serializing_if = "Crashes::is_empty")]
    pub crashes: Crashes,
}

/// One open occurrence of a job: the progress of its tasks, by step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Number of the occurrence, from 0. It is not part of the record's first format, in which
    /// occurrences lie in the order of their numbers.
    #[serde(skip)]
    pub number: u32,
    /// Tasks of each step, in the order of the spec; a step whose tasks are all done has none.
    pub steps: Vec<Vec<TaskProgress>>,
}

impl Occurrence {
    /// The occurrence with this number, with all tasks of `spec` pending.
    #[must_use]
    pub fn new(number: u32, spec: &JobSpec) -> Self {
        let steps = spec.steps.iter();
        Self {
            number,
            steps: steps
                .map(|step| vec![TaskProgress::default(); step.count as usize])
                .collect(),
        }
    }

    /// Returns whether every task is done.
    #[must_use]
    pub fn done(&self) -> bool {
        self.steps
            .iter()
            .flatten()
            .all(|t| t.phase == TaskPhase::Done)
    }

    /// Returns whether every task of the step with index `step` is done.
    #[must_use]
    pub fn step_done(&self, step: u32) -> bool {
        let tasks = self.steps.get(step as usize);
        tasks.is_none_or(|tasks| tasks.iter().all(|t| t.phase == TaskPhase::Done))
    }

    /// Clears the tasks of steps that are done.
    fn clear_done_steps(&mut self) {
        for tasks in &mut self.steps {
            if tasks.iter().all(|task| task.phase == TaskPhase::Done) {
                tasks.clear();
            }
        }
    }

    /// Number of its tasks that are not cleared, and of its steps.
    fn size(&self) -> u64 {
        let tasks: usize = self.steps.iter().map(Vec::len).sum();
        (tasks + self.steps.len()) as u64
    }
}

/// Progress of a job.
///
/// It has state for the open occurrences only: those of which a task has been placed and that are not
/// done. That of a job without set times is opened at once. Occurrences are opened in the order of
/// their numbers, so that each one below `opened` which is not among them is done, and a count tells
/// all of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// State that callers see, apart from a cancel that is not applied yet.
    pub state: JobState,
    /// Open occurrences, in the order of their numbers. That of a job without set times stays when it
    /// is done.
    pub occurrences: Vec<Occurrence>,
    /// When the job ended, in ms since 1970; 0 while it has not.
    pub ended_ms: u64,
    /// Number of occurrences that have been opened.
    #[serde(skip)]
    pub opened: u32,
}

impl JobProgress {
    /// Returns whether the open occurrences are all that have been opened, as the first format of the
    /// record takes for granted.
    pub(super) fn is_dense(&self) -> bool {
        self.occurrences.len() == self.opened as usize
    }

    /// Numbers the occurrences of a record of the first format.
    pub(super) fn number_occurrences(&mut self) {
        for (number, occurrence) in (0..).zip(&mut self.occurrences) {
            occurrence.number = number;
        }
        self.opened = u32::try_from(self.occurrences.len()).unwrap_or(u32::MAX);
    }

    /// Opens the next occurrence of the job, with all its tasks pending; returns its number.
    pub(super) fn open_next(&mut self, spec: &JobSpec) -> u32 {
        let number = self.opened;
        self.occurrences.push(Occurrence::new(number, spec));
        self.opened += 1;
        number
    }

    /// Takes back the opening of the last occurrence, of which nothing was placed.
    pub(super) fn close_last(&mut self) {
        if self.occurrences.pop().is_some() {
            self.opened -= 1;
        }
    }

    /// The open occurrence with this number.
    #[must_use]
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        let index = self.index_of(number)?;
        self.occurrences.get(index)
    }

    fn index_of(&self, number: u32) -> Option<usize> {
        let found = self.occurrences.binary_search_by_key(&number, |o| o.number);
        found.ok()
    }

    /// Tasks of a step of an open occurrence; none once all of them are done.
    pub(super) fn step_mut(&mut self, key: StepKey) -> Option<&mut Vec<TaskProgress>> {
        let index = self.index_of(key.occurrence)?;
        self.occurrences[index].steps.get_mut(key.step as usize)
    }

    /// Number of tasks and steps of the open occurrences, which the size of the record follows.
    pub(super) fn size(&self) -> u64 {
        self.occurrences.iter().map(Occurrence::size).sum()
    }

    /// Clears the steps that are done, and closes the occurrences that are.
    pub(super) fn settle(&mut self, spec: &JobSpec) {
        for occurrence in &mut self.occurrences {
            occurrence.clear_done_steps();
        }
        if spec.occurrence_count > 0 {
            self.occurrences.retain(|occurrence| !occurrence.done());
        }
    }

    /// Returns whether every task of every occurrence is done.
    pub(super) fn is_complete(&self, spec: &JobSpec) -> bool {
        self.opened == spec.occurrences() && self.occurrences.iter().all(Occurrence::done)
    }

    /// Progress of all tasks that have any, of the job with this key.
    pub(super) fn tasks(&self, job: JobKey) -> impl Iterator<Item = (TaskKey, &TaskProgress)> {
        let steps = self.occurrences.iter().flat_map(move |occurrence| {
            (0..).zip(&occurrence.steps).map(move |(step, tasks)| {
                let key = StepKey {
                    job,
                    occurrence: occurrence.number,
                    step,
                };
                (key, tasks)
            })
        });
        steps.flat_map(|(step, tasks)| {
            (0..)
                .zip(tasks)
                .map(move |(index, task)| (step.task(index), task))
        })
    }

    /// Returns whether any task is placed or done.
    pub(super) fn has_placed_tasks(&self) -> bool {
        let mut steps = self
            .occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.steps);
        // A step that is done has no tasks.
        steps.any(|tasks| {
            let mut tasks_left = tasks.iter();
            tasks.is_empty() || tasks_left.any(|task| task.phase != TaskPhase::Pending)
        })
    }

    /// Progress of a task; `None` when its occurrence is not open, or all tasks of its step are done.
    #[must_use]
    pub fn task(&self, key: TaskKey) -> Option<&TaskProgress> {
        let steps = &self.occurrence(key.step.occurrence)?.steps;
        steps.get(key.step.step as usize)?.get(key.index as usize)
    }

    /// Like [`Self::task`], for changing the progress.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut TaskProgress> {
        self.step_mut(key.step)?.get_mut(key.index as usize)
    }
}
