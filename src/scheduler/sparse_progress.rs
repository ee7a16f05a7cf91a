//! Stored form of the progress of a job of which some occurrences are done: they are left out.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use super::{JobProgress, JobState, Occurrence, TaskProgress};

/// [`JobProgress`] with the numbers of its occurrences.
#[derive(Serialize, Deserialize)]
pub(super) struct SparseProgress<'a> {
    state: JobState,
    opened: u32,
    /// Number of each open occurrence, and its tasks by step.
    occurrences: Vec<(u32, Cow<'a, [Vec<TaskProgress>]>)>,
    ended_ms: u64,
}

impl<'a> SparseProgress<'a> {
    pub(super) fn of(progress: &'a JobProgress) -> Self {
        let occurrences = progress.occurrences.iter();
        let occurrences = occurrences.map(|o| (o.number, Cow::Borrowed(o.steps.as_slice())));
        Self {
            state: progress.state,
            opened: progress.opened,
            occurrences: occurrences.collect(),
            ended_ms: progress.ended_ms,
        }
    }

    pub(super) fn into_progress(self) -> JobProgress {
        let occurrences = self.occurrences.into_iter();
        let occurrences = occurrences.map(|(number, steps)| Occurrence {
            number,
            steps: steps.into_owned(),
        });
        JobProgress {
            state: self.state,
            occurrences: occurrences.collect(),
            ended_ms: self.ended_ms,
            opened: self.opened,
        }
    }
}
