//! Names of jobs, steps and tasks, and the time that decisions are made at.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Milliseconds of a steady clock since the process started.
pub type Millis = u64;

/// Length of a job's id in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// Id of a job, chosen by its caller.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

impl JobKey {
    /// Reads 16 lower-case hexadecimal digits; `None` for anything else.
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

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
}

impl StepKey {
    /// The task with number `index`.
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

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// Number of the task in its step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Reads the form that `Display` writes.
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
