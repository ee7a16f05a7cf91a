//! A task on a worker.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::program::Program;

const FULL_SPEED_PERCENT: u32 = 100;

/// Request to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Unique id of this run; a start with a known id starts nothing.
    pub id: String,
    /// Program to run, such as `echo:MS`.
    pub task: String,
    /// Input of the program; empty if absent.
    #[serde(default)]
    pub input: String,
    /// CPU cores to reserve.
    #[serde(default)]
    pub cores: u32,
    /// Memory to reserve, in MB.
    #[serde(default)]
    pub memory_mb: u32,
    /// Accelerators to reserve.
    #[serde(default)]
    pub accelerators: u32,
    /// Time without a renewal after which the task is stopped, in ms.
    pub lease_ms: u64,
    /// Checkpoint to resume from; `None` starts from the beginning.
    #[serde(default)]
    pub checkpoint: Option<String>,
}

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The program completed.
    Done,
    /// The program failed, or the worker went down.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Stopped because its lease expired.
    Lapsed,
}

/// Status of a task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the run.
    pub id: String,
    /// State of the task.
    pub state: TaskState,
    /// Output of the program, or why it ended otherwise; empty while it runs.
    pub output: String,
    /// Work done so far, in ms at full speed.
    pub progress_ms: u64,
}

/// Resources that a task used at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Id of the run.
    pub id: String,
    /// CPU usage, in thousandths of a core.
    pub millicores: u64,
    /// Memory in use, in MB.
    pub memory_mb: u32,
    /// Accelerators in use.
    pub accelerators: u32,
}

/// When and how a task ended.
#[derive(Clone, Debug)]
struct TaskEnd {
    at: Instant,
    state: TaskState,
    output: String,
}

/// A task. No timer runs for it: [`Task::advance_to`] updates its state on demand.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    spec: TaskSpec,
    program: Program,
    started: Instant,
    lease_expires: Instant,
    speed_percent: u32,
    progress: Duration,
    progress_updated_at: Instant,
    end: Option<TaskEnd>,
}

impl Task {
    /// Starts a task with `progress` already done.
    pub(crate) fn start(
        spec: TaskSpec,
        program: Program,
        progress: Duration,
        now: Instant,
    ) -> Self {
        let lease_expires = now + Duration::from_millis(spec.lease_ms);
        Self {
            spec,
            program,
            started: now,
            lease_expires,
            speed_percent: FULL_SPEED_PERCENT,
            progress,
            progress_updated_at: now,
            end: None,
        }
    }

    /// The request that started the task.
    pub(crate) const fn spec(&self) -> &TaskSpec {
        &self.spec
    }

    /// Work done so far, as time at full speed.
    pub(crate) const fn progress(&self) -> Duration {
        self.progress
    }

    /// True until the task has ended.
    pub(crate) const fn is_running(&self) -> bool {
        self.end.is_none()
    }

    /// True if the task ended before `moment`.
    pub(crate) fn ended_before(&self, moment: Instant) -> bool {
        self.end.as_ref().is_some_and(|end| end.at < moment)
    }

    /// Updates the state and the progress of the task to `now`.
    pub(crate) fn advance_to(&mut self, now: Instant) {
        if self.end.is_some() {
            return;
        }
        // A crash takes the task away with its worker: it has no end of its own.
        let completion = match self.program.crash_ms {
            Some(_) => None,
            None => self.completes_at(),
        };
        let last = now.min(self.lease_expires);
        if let Some(at) = completion.filter(|at| *at <= last) {
            let (state, output) = match &self.program.result {
                Ok(output) => (TaskState::Done, output.clone()),
                Err(message) => (TaskState::Failed, message.clone()),
            };
            self.finish(at, state, output);
        } else if self.lease_expires <= now {
            self.finish(
                self.lease_expires,
                TaskState::Lapsed,
                "lease lapsed".to_owned(),
            );
        } else {
            self.add_progress(now);
        }
    }

    /// When the task crashes its worker, if that is by `now`, and when the worker is back.
    pub(crate) fn crash_by(&self, now: Instant) -> Option<(Instant, Instant)> {
        let away = Duration::from_millis(self.program.crash_ms?);
        if !self.is_running() {
            return None;
        }
        let at = self.completes_at()?;
        (at <= now.min(self.lease_expires)).then(|| (at, at + away))
    }

    /// Sets the lease to end `lease_ms` from `now`; valid after [`Task::advance_to`].
    pub(crate) fn renew(&mut self, lease_ms: u64, now: Instant) {
        if self.is_running() {
            self.lease_expires = now + Duration::from_millis(lease_ms);
        }
    }

    /// Ends the task with `state` and `message`, unless it has ended already.
    pub(crate) fn stop(&mut self, state: TaskState, message: &str, now: Instant) {
        self.advance_to(now);
        if self.is_running() {
            self.finish(now, state, message.to_owned());
        }
    }

    /// Sets the speed in percent of full speed, 0 to pause; values over 100 count as 100. Valid
    /// after [`Task::advance_to`].
    pub(crate) fn set_speed(&mut self, speed_percent: u32) {
        if self.is_running() {
            self.speed_percent = speed_percent.min(FULL_SPEED_PERCENT);
        }
    }

    /// Status to report; valid after [`Task::advance_to`].
    pub(crate) fn status(&self) -> TaskStatus {
        let end = self.end.as_ref();
        TaskStatus {
            id: self.spec.id.clone(),
            state: end.map_or(TaskState::Running, |end| end.state),
            output: end.map(|end| end.output.clone()).unwrap_or_default(),
            progress_ms: u64::try_from(self.progress.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Usage at `moment`; `None` if the task didn't run then.
    pub(crate) fn usage(&self, moment: Instant) -> Option<Usage> {
        if moment < self.started || self.ended_before(moment) {
            return None;
        }
        Some(Usage {
            id: self.spec.id.clone(),
            millicores: u64::from(self.spec.cores) * 10 * u64::from(self.speed_percent),
            memory_mb: self.program.memory_mb.unwrap_or(self.spec.memory_mb),
            accelerators: self.spec.accelerators,
        })
    }

    fn completes_at(&self) -> Option<Instant> {
        let run = Duration::from_millis(self.program.run_ms?);
        let remaining = run.saturating_sub(self.progress);
        if remaining.is_zero() {
            return Some(self.progress_updated_at);
        }
        let wall_time = (remaining * FULL_SPEED_PERCENT).checked_div(self.speed_percent)?;
        self.progress_updated_at.checked_add(wall_time)
    }

    fn add_progress(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.progress_updated_at);
        self.progress += passed * self.speed_percent / FULL_SPEED_PERCENT;
        self.progress_updated_at = now;
    }

    fn finish(&mut self, at: Instant, state: TaskState, output: String) {
        self.add_progress(at);
        self.end = Some(TaskEnd { at, state, output });
    }
}
