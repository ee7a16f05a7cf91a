//! A worker and its tasks.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::program::Program;
use super::task::{Task, TaskSpec, TaskState, TaskStatus, Usage};

const TASK_RETENTION: Duration = Duration::from_hours(1);

/// Resources of a worker, or of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// CPU cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators, such as GPUs.
    pub accelerators: u32,
}

impl Resources {
    const fn of(spec: &TaskSpec) -> Self {
        Self {
            cores: spec.cores,
            memory_mb: spec.memory_mb,
            accelerators: spec.accelerators,
        }
    }

    const fn minus(self, other: Self) -> Self {
        Self {
            cores: self.cores.saturating_sub(other.cores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    const fn covers(self, other: Self) -> bool {
        other.cores <= self.cores
            && other.memory_mb <= self.memory_mb
            && other.accelerators <= self.accelerators
    }
}

/// Why a task was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartRefused {
    /// The worker is powered off, or away after a crash.
    Off,
    /// The free resources, given here, don't cover those that the task asks for.
    Full(Resources),
}

/// Result of an accepted start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StartOutcome {
    /// The task was started.
    New(TaskStatus),
    /// The id is known already; nothing was started.
    Known(TaskStatus),
}

/// A worker VM with its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    resources: Resources,
    data_centre: String,
    off: bool,
    /// When the worker is back after a crash; `None` while it is not away.
    back_at: Option<Instant>,
    broken: bool,
    tasks: IndexMap<String, Task>,
}

impl Worker {
    /// Creates a worker without tasks.
    pub(crate) fn new(resources: Resources, data_centre: &str) -> Self {
        Self {
            resources,
            data_centre: data_centre.to_owned(),
            off: false,
            back_at: None,
            broken: false,
            tasks: IndexMap::new(),
        }
    }

    /// Data centre of the worker.
    pub(crate) fn data_centre(&self) -> &str {
        &self.data_centre
    }

    /// Total resources of the worker.
    pub(crate) const fn resources(&self) -> Resources {
        self.resources
    }

    /// Replaces the total resources; tasks that run go on, also those that no longer fit.
    pub(crate) const fn set_resources(&mut self, resources: Resources) {
        self.resources = resources;
    }

    /// True while the worker is powered off, or away after a crash; valid after
    /// [`Worker::advance_to`].
    pub(crate) const fn is_off(&self) -> bool {
        self.off || self.back_at.is_some()
    }

    /// Updates the worker and its tasks to `now`: a crash by then ends its tasks without a
    /// trace. Forgets tasks that ended over an hour ago.
    pub(crate) fn advance_to(&mut self, now: Instant) {
        let crashes = self.tasks.values().filter_map(|task| task.crash_by(now));
        if let Some((_, back_at)) = crashes.min() {
            self.tasks.clear();
            self.back_at = Some(back_at);
        }
        self.back_at = self.back_at.filter(|at| now < *at);
        for task in self.tasks.values_mut() {
            task.advance_to(now);
        }
        if let Some(before) = now.checked_sub(TASK_RETENTION) {
            self.tasks.retain(|_, task| !task.ended_before(before));
        }
    }

    /// Resources that running tasks leave free; valid after [`Worker::advance_to`].
    pub(crate) fn free(&self) -> Resources {
        let running = self.tasks.values().filter(|task| task.is_running());
        running.fold(self.resources, |free, task| {
            free.minus(Resources::of(task.spec()))
        })
    }

    /// Number of running tasks; valid after [`Worker::advance_to`].
    pub(crate) fn running(&self) -> u64 {
        self.tasks.values().filter(|task| task.is_running()).count() as u64
    }

    /// Starts a task with `progress` already done, unless its id is known.
    pub(crate) fn start(
        &mut self,
        spec: &TaskSpec,
        progress: Duration,
        now: Instant,
    ) -> Result<StartOutcome, StartRefused> {
        self.advance_to(now);
        if self.is_off() {
            return Err(StartRefused::Off);
        }
        if let Some(task) = self.tasks.get(&spec.id) {
            return Ok(StartOutcome::Known(task.status()));
        }
        let free = self.free();
        if !free.covers(Resources::of(spec)) {
            return Err(StartRefused::Full(free));
        }
        let program = if self.broken {
            Program::failing("worker is broken")
        } else {
            Program::parse(&spec.task, &spec.input).limited_to_memory(self.resources.memory_mb)
        };
        let mut task = Task::start(spec.clone(), program, progress, now);
        task.advance_to(now);
        let status = task.status();
        self.tasks.insert(spec.id.clone(), task);
        Ok(StartOutcome::New(status))
    }

    /// Updates the worker to `now` and returns one of its tasks; `None` if the id is unknown.
    pub(crate) fn task(&mut self, id: &str, now: Instant) -> Option<&mut Task> {
        self.advance_to(now);
        self.tasks.get_mut(id)
    }

    /// Status of each task; valid after [`Worker::advance_to`].
    pub(crate) fn statuses(&self) -> Vec<TaskStatus> {
        self.tasks.values().map(Task::status).collect()
    }

    /// Usage of the tasks that ran at `moment`; valid after [`Worker::advance_to`].
    pub(crate) fn usage(&self, moment: Instant) -> Vec<Usage> {
        let used = self.tasks.values().filter_map(|task| task.usage(moment));
        used.collect()
    }

    /// Powers the worker on or off; powering off fails its running tasks.
    pub(crate) fn set_powered(&mut self, on: bool, now: Instant) {
        self.advance_to(now);
        self.off = !on;
        if on {
            return;
        }
        for task in self.tasks.values_mut() {
            task.stop(TaskState::Failed, "worker went down", now);
        }
    }

    /// Sets whether every task started from now on fails at once.
    pub(crate) fn set_broken(&mut self, broken: bool) {
        self.broken = broken;
    }
}
