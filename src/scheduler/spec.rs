//! What a caller hands in: a job of steps of tasks.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Capacity;

/// Tasks that all steps of a job may have together; one of this size still fits a record.
pub const MAX_TASKS: u64 = 4_096;

/// Longest text that tasks get, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Tasks of the same shape that run side by side.
#[allow(clippy::struct_excessive_bools)] // Each is a wish of the caller's of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub needs: Capacity,
    /// Declared run time of a task, in ms; often far off.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u32>,
    /// The tasks work only while all of them are present.
    pub gang: bool,
    /// A gang that is slower over more than one rack.
    pub same_rack: bool,
    /// Label that a target must have; empty for none.
    pub required_label: String,
    /// Rack that holds the data; empty for none.
    pub data_rack: String,
    /// Tasks of the step on one target at most; 0 for no limit.
    pub max_per_target: u32,
    /// Progress can be resumed from a checkpoint.
    pub checkpointable: bool,
    /// Copies of a task may run side by side.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of what the tasks run.
    pub image: String,
    /// Bound on the tail of a serving task's response times, in ms; 0 for none.
    pub response_goal_ms: u64,
    /// Takes only processor time that other tasks leave unused.
    pub uses_idle_cpu: bool,
    /// Tasks that may be away at a time through planned work; 0 when not stated.
    pub max_unavailable: u32,
}

impl Step {
    /// What a task takes of a target's capacity; filling tasks take no processor.
    #[must_use]
    pub const fn reservation(&self) -> Capacity {
        let cpu = if self.uses_idle_cpu {
            0
        } else {
            self.needs.cpu
        };
        Capacity { cpu, ..self.needs }
    }
}

/// A job as accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Queue that it was handed in to.
    pub queue: String,
    /// Pool that served the queue then; used once the queue is gone.
    pub pool: String,
    /// Team whose key came with it; `None` in open queues.
    pub team: Option<String>,
    /// Text that every task gets.
    pub payload: String,
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// Occurrences at set times; 0 for a job that runs once, at once.
    pub occurrence_count: u32,
    /// Due time of the first occurrence, in ms since 1970.
    pub first_due_ms: u64,
    /// Time between occurrences, in ms.
    pub interval_ms: u64,
    /// When it was accepted, in ms since 1970 by the clock of the accepting process.
    pub accepted_ms: u64,
}

impl JobSpec {
    /// Number of occurrences, at least 1.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.occurrence_count.max(1)
    }

    /// Due time of an occurrence, in ms since 1970; `None` when it is due at once.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        (self.occurrence_count > 0).then(|| {
            let offset = u64::from(occurrence).saturating_mul(self.interval_ms);
            self.first_due_ms.saturating_add(offset)
        })
    }

    /// True when no step ever ends by itself.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Longest chain of declared run times, in ms.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.depends_on.iter().filter_map(|i| ends.get(*i as usize));
            let start = before.copied().max().unwrap_or(0);
            ends.push(start + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Finds everything that makes the job unusable.
    #[must_use]
    pub fn validate(&self) -> Vec<SpecFault> {
        let mut faults = Vec::new();
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            faults.push(SpecFault::new("spec", "longer than 4000 bytes"));
        }
        if self.steps.is_empty() {
            faults.push(SpecFault::new("steps", "a job has at least one step"));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            faults.push(SpecFault::new("steps", "more than 4096 tasks"));
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                faults.push(SpecFault::in_step(i, "no tasks"));
            }
            if step.depends_on.iter().any(|before| *before as usize >= i) {
                faults.push(SpecFault::in_step(i, "depends on itself or a later step"));
            }
        }
        faults
    }
}

/// Why a job can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpecFault {
    /// Where: a field, or `steps[2]`.
    pub location: String,
    /// What is wrong there.
    pub detail: &'static str,
}

impl SpecFault {
    fn new(location: &str, detail: &'static str) -> Self {
        Self {
            location: location.to_owned(),
            detail,
        }
    }

    fn in_step(step: usize, detail: &'static str) -> Self {
        Self {
            location: format!("steps[{step}]"),
            detail,
        }
    }
}

impl fmt::Display for SpecFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.detail)
    }
}
