//! One worker and the tasks on it.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::program::Program;
use super::task::{Task, TaskSpec, TaskState, TaskStatus, Usage};

const TASK_RETENTION: Duration = Duration::from_hours(1);

/// Resources of a worker, or a part of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Resources {
    /// Cores.
    pub(crate) cores: u32,
    /// Memory in MB.
    pub(crate) memory_mb: u32,
    /// Accelerators.
    pub(crate) accelerators: u32,
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

/// Why a start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartRefused {
    /// The worker is off.
    Off,
    /// What is free is less than what was asked for.
    Full(Resources),
}

/// What a start did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StartOutcome {
    /// The task runs from now on.
    New(TaskStatus),
    /// The id was known; nothing was started.
    Known(TaskStatus),
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    resources: Resources,
    data_centre: String,
    off: bool,
    broken: bool,
    tasks: IndexMap<String, Task>,
}

impl Worker {
    /// A worker without tasks.
    pub(crate) fn new(resources: Resources, data_centre: &str) -> Self {
        Self {
            resources,
            data_centre: data_centre.to_owned(),
            off: false,
            broken: false,
            tasks: IndexMap::new(),
        }
    }

    /// Where it is.
    pub(crate) fn data_centre(&self) -> &str {
        &self.data_centre
    }

    /// Its whole size.
    pub(crate) const fn resources(&self) -> Resources {
        self.resources
    }

    /// True while it is off.
    pub(crate) const fn is_off(&self) -> bool {
        self.off
    }

    /// Brings all tasks up to `now`.
    pub(crate) fn advance_to(&mut self, now: Instant) {
        for task in self.tasks.values_mut() {
            task.advance_to(now);
        }
        if let Some(before) = now.checked_sub(TASK_RETENTION) {
            self.tasks.retain(|_, task| !task.ended_before(before));
        }
    }

    /// What running tasks leave free; valid after [`Worker::advance_to`].
    pub(crate) fn free(&self) -> Resources {
        let running = self.tasks.values().filter(|task| task.is_running());
        running.fold(self.resources, |free, task| {
            free.minus(Resources::of(task.spec()))
        })
    }

    /// Tasks that run; valid after [`Worker::advance_to`].
    pub(crate) fn running(&self) -> u64 {
        self.tasks.values().filter(|task| task.is_running()).count() as u64
    }

    /// Starts a task unless its id is known.
    pub(crate) fn start(
        &mut self,
        spec: &TaskSpec,
        progress: Duration,
        now: Instant,
    ) -> Result<StartOutcome, StartRefused> {
        self.advance_to(now);
        if self.off {
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

    /// A task, brought up to `now`.
    pub(crate) fn task(&mut self, id: &str, now: Instant) -> Option<&mut Task> {
        let task = self.tasks.get_mut(id)?;
        task.advance_to(now);
        Some(task)
    }

    /// All tasks; valid after [`Worker::advance_to`].
    pub(crate) fn statuses(&self) -> Vec<TaskStatus> {
        self.tasks.values().map(Task::status).collect()
    }

    /// What its tasks used at a moment; valid after [`Worker::advance_to`].
    pub(crate) fn usage(&self, moment: Instant) -> Vec<Usage> {
        let used = self.tasks.values().filter_map(|task| task.usage(moment));
        used.collect()
    }

    /// Switches it off or on; running tasks are lost when it goes off.
    pub(crate) fn set_powered(&mut self, on: bool, now: Instant) {
        self.off = !on;
        if on {
            return;
        }
        for task in self.tasks.values_mut() {
            task.stop(TaskState::Failed, "worker went down", now);
        }
    }

    /// Makes every later task fail at once, or ends that.
    pub(crate) fn set_broken(&mut self, broken: bool) {
        self.broken = broken;
    }
}
