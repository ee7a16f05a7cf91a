//! What a caller submits: a job of steps, each of which is a number of equal tasks.

use std::fmt;

use serde::ser::SerializeMap;
use serde::{Deserialize, Serialize, Serializer};

use super::{Capacity, Millis};

/// Largest number of tasks of all steps of a job together; the progress of a job of this size
/// still fits a record.
pub const MAX_TASKS: u64 = 4_096;

/// Longest payload of a job, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4_000;

/// A step of a job: equal tasks that may run at the same time.
#[allow(clippy::struct_excessive_bools)] // Each is an independent option of the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Capacity that each task needs.
    pub needs: Capacity,
    /// Run time of a task as the caller declares it, in ms; often far off.
    pub estimate_ms: u64,
    /// Indices of earlier steps whose tasks must all be done before this step starts.
    pub depends_on: Vec<u32>,
    /// Whether the tasks make progress only while all of them run.
    pub gang: bool,
    /// Whether a gang is slower when it is spread over more than one rack.
    pub same_rack: bool,
    /// Label that a target must have to run a task; empty for none.
    pub required_label: String,
    /// Rack that holds the step's data; empty for none.
    pub data_rack: String,
    /// Largest number of the step's tasks on one target; 0 for no limit.
    pub max_per_target: u32,
    /// Whether a task can resume from a checkpoint.
    pub checkpointable: bool,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of the image that the tasks run.
    pub image: String,
    /// Goal for the tail of a serving task's response times, in ms; 0 for none.
    pub response_goal_ms: u64,
    /// Whether the tasks use only CPU time that other tasks leave unused.
    pub uses_idle_cpu: bool,
    /// Largest number of tasks that planned maintenance may make unavailable at the same time;
    /// 0 for no limit.
    pub max_unavailable: u32,
}

impl Step {
    /// Capacity that a task reserves on its target; no CPU if it uses only idle CPU time.
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

/// What a queue grants a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// Number of failed runs of a task after which the job fails, at least 1.
    pub attempts: u32,
    /// Priority of the job; 0 is the highest.
    pub priority: u32,
    /// Latency objective of the job, in ms; 0 for none.
    pub objective_ms: Millis,
}

impl QueueTerms {
    /// For a job whose queue is gone, and which an earlier build accepted without storing them.
    pub(super) const UNKNOWN: Self = Self {
        attempts: 2,
        priority: u32::MAX,
        objective_ms: 0,
    };
}

/// A job as it was accepted from a caller.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct JobSpec {
    /// Name of the queue that the job was submitted to.
    pub queue: String,
    /// Name of the queue's pool when the job was accepted; used once the queue is gone.
    pub pool: String,
    /// Team of the API key that the job was submitted with; `None` without a key, which public
    /// queues allow.
    pub team: Option<String>,
    /// Text that every task is started with.
    pub payload: String,
    /// The steps; a step depends only on earlier ones.
    pub steps: Vec<Step>,
    /// Number of occurrences at set times; 0 for a job that runs once, as soon as possible.
    pub occurrence_count: u32,
    /// Due time of the first occurrence, in ms since 1970; unused without set times.
    pub first_due_ms: u64,
    /// Time between the due times of two occurrences, in ms.
    pub interval_ms: u64,
    /// When the job was accepted, in ms since 1970 by the clock of the accepting process.
    pub accepted_ms: u64,
    /// Terms of the queue when the job was accepted; used once the queue is gone. `None` in the
    /// records of earlier builds.
    #[serde(default)]
    pub terms: Option<QueueTerms>,
}

/// It is written as a map, of which earlier builds skip the fields that they don't know; they read
/// arrays only without such.
impl Serialize for JobSpec {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(10))?;
        map.serialize_entry("queue", &self.queue)?;
        map.serialize_entry("pool", &self.pool)?;
        map.serialize_entry("team", &self.team)?;
        map.serialize_entry("payload", &self.payload)?;
        map.serialize_entry("steps", &self.steps)?;
        map.serialize_entry("occurrence_count", &self.occurrence_count)?;
        map.serialize_entry("first_due_ms", &self.first_due_ms)?;
        map.serialize_entry("interval_ms", &self.interval_ms)?;
        map.serialize_entry("accepted_ms", &self.accepted_ms)?;
        map.serialize_entry("terms", &self.terms)?;
        map.end()
    }
}

impl JobSpec {
    /// Number of times that the job runs, at least 1.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.occurrence_count.max(1)
    }

    /// Due time of the occurrence with this index, in ms since 1970; `None` when it is due at
    /// once.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        (self.occurrence_count > 0).then(|| {
            let offset = u64::from(occurrence).saturating_mul(self.interval_ms);
            self.first_due_ms.saturating_add(offset)
        })
    }

    /// Number of occurrences that are due at `wall_ms`, in ms since 1970. They come due in order.
    #[must_use]
    pub fn due_count(&self, wall_ms: u64) -> u32 {
        if self.occurrence_count == 0 {
            return 1;
        }
        let Some(passed_ms) = wall_ms.checked_sub(self.first_due_ms) else {
            return 0;
        };
        let after_first = passed_ms.checked_div(self.interval_ms).unwrap_or(u64::MAX);
        let due = after_first.saturating_add(1);
        u32::try_from(due).map_or(self.occurrence_count, |due| due.min(self.occurrence_count))
    }

    /// Number of tasks and steps of one occurrence, for which its progress has state.
    #[must_use]
    pub fn occurrence_size(&self) -> u64 {
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        tasks + self.steps.len() as u64
    }

    /// Returns whether some step is long-running, so that the job never ends by itself.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Length of the critical path in ms: the longest sum of declared run times over steps that
    /// depend on each other.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.depends_on.iter().filter_map(|i| ends.get(*i as usize));
            let start = before.copied().max().unwrap_or(0);
            ends.push(start.saturating_add(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Finds every fault that makes the job unacceptable; empty for a valid job.
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

/// A reason why a job can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpecFault {
    /// Field at fault, like `spec`, or step by its index, like `steps[2]`.
    pub location: String,
    /// What is wrong with it.
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
