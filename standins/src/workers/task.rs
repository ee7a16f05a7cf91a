//! One task on a worker.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::program::Program;

const FULL_SPEED_PERCENT: u32 = 100;

/// What a start asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Unique id of this run.
    pub id: String,
    /// Name of the program.
    pub task: String,
    /// Its input.
    #[serde(default)]
    pub input: String,
    /// Cores.
    #[serde(default)]
    pub cores: u32,
    /// Memory in MB.
    #[serde(default)]
    pub memory_mb: u32,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Time without a renewal after which the task is stopped, in ms.
    pub lease_ms: u64,
    /// Checkpoint that it resumes from.
    #[serde(default)]
    pub checkpoint: Option<String>,
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Runs.
    Running,
    /// Ended well.
    Done,
    /// Ended badly.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Stopped because its lease lapsed.
    Lapsed,
}

/// A task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the run.
    pub id: String,
    /// Where it stands.
    pub state: TaskState,
    /// Its output or its error, once it has ended.
    pub output: String,
    /// Work done so far, in ms at full speed.
    pub progress_ms: u64,
}

/// What a task used at a moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Id of the run.
    pub id: String,
    /// Processor use, in thousandths of a core.
    pub millicores: u64,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

/// End of a task.
#[derive(Clone, Debug)]
struct TaskEnd {
    at: Instant,
    state: TaskState,
    output: String,
}

/// A task; its state is worked out when it is asked for.
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
    /// Starts a task that has `progress` behind it.
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

    /// What was asked for.
    pub(crate) const fn spec(&self) -> &TaskSpec {
        &self.spec
    }

    /// Work done so far, at full speed.
    pub(crate) const fn progress(&self) -> Duration {
        self.progress
    }

    /// True until the task has ended.
    pub(crate) const fn is_running(&self) -> bool {
        self.end.is_none()
    }

    /// True when the task ended before a moment.
    pub(crate) fn ended_before(&self, moment: Instant) -> bool {
        self.end.as_ref().is_some_and(|end| end.at < moment)
    }

    /// Brings the task up to `now`.
    pub(crate) fn advance_to(&mut self, now: Instant) {
        if self.end.is_some() {
            return;
        }
        let completion = self.completes_at();
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

    /// Extends the lease; valid after [`Task::advance_to`].
    pub(crate) fn renew(&mut self, lease_ms: u64, now: Instant) {
        if self.is_running() {
            self.lease_expires = now + Duration::from_millis(lease_ms);
        }
    }

    /// Ends the task.
    pub(crate) fn stop(&mut self, state: TaskState, message: &str, now: Instant) {
        self.advance_to(now);
        if self.is_running() {
            self.finish(now, state, message.to_owned());
        }
    }

    /// Sets its speed, in percent of full speed; valid after [`Task::advance_to`].
    pub(crate) fn set_speed(&mut self, speed_percent: u32) {
        if self.is_running() {
            self.speed_percent = speed_percent.min(FULL_SPEED_PERCENT);
        }
    }

    /// As it is reported; valid after [`Task::advance_to`].
    pub(crate) fn status(&self) -> TaskStatus {
        let end = self.end.as_ref();
        TaskStatus {
            id: self.spec.id.clone(),
            state: end.map_or(TaskState::Running, |end| end.state),
            output: end.map(|end| end.output.clone()).unwrap_or_default(),
            progress_ms: u64::try_from(self.progress.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// What it used at a moment, if it ran then.
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
