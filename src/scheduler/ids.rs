//! Identifiers of jobs, steps and tasks, and the scheduler's unit of time.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A time on the process's monotonic clock, in ms since the process started, or a length
/// of time in ms.
pub type Millis = u64;

/// Length of a job's id in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// Id of a job, chosen by its caller; written as 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

impl JobKey {
    /// Parses exactly 16 lower-case hexadecimal digits; `None` for anything else.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == ID_DIGITS
            && text
                .bytes()
                .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        digits
            .then(|| u64::from_str_radix(text, 16).ok().map(Self))
            .flatten()
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Id of one step of one occurrence of a job; written as `job.occurrence.step`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepKey {
    /// Id of the job.
    pub job: JobKey,
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step in its job, from 0.
    pub step: u32,
}

impl StepKey {
    /// The id of the step's task with this index, from 0.
    #[must_use]
    pub const fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Id of one task of a step; written as `job.occurrence.step.index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// Id of the task's step.
    pub step: StepKey,
    /// Index of the task in its step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Parses the form that `Display` writes; `None` for anything else.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = JobKey::parse(parts.next()?)?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        let step = StepKey {
            job,
            occurrence,
            step,
        };
        parts.next().is_none().then_some(Self { step, index })
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}
