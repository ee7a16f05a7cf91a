//! Occurrences of jobs with set times that have come due, of which only a count is kept.

use indexmap::IndexMap;

use super::{Job, JobKey, JobTable};

/// Number of due occurrences of each job with set times that has not ended.
#[derive(Debug, Default)]
pub(super) struct DueOccurrences {
    counts: IndexMap<JobKey, u32>,
    /// When the next occurrence of a job comes due, in ms since 1970.
    next_ms: u64,
}

impl DueOccurrences {
    /// Adds a job that has not ended.
    pub(super) fn add(&mut self, key: JobKey, job: &Job) {
        if job.spec.occurrence_count > 0 && !self.counts.contains_key(&key) {
            self.counts.insert(key, 0);
            self.next_ms = 0;
        }
    }

    /// Removes a job that has ended.
    pub(super) fn remove(&mut self, key: JobKey) {
        self.counts.swap_remove(&key);
    }

    /// Counts what is due at `wall_ms`, in ms since 1970, and returns the jobs of which more is due
    /// than before. What has come due stays so if the clock is set back.
    pub(super) fn advance(&mut self, table: &JobTable, wall_ms: u64) -> Vec<JobKey> {
        if wall_ms < self.next_ms {
            return Vec::new();
        }
        self.next_ms = u64::MAX;
        let mut changed = Vec::new();
        for (key, count) in &mut self.counts {
            let Some(job) = table.get(*key) else { continue };
            let due = job.spec.due_count(wall_ms).max(*count);
            if due > *count {
                *count = due;
                changed.push(*key);
            }
            let next = (due < job.spec.occurrences()).then(|| job.spec.due_ms(due));
            self.next_ms = self.next_ms.min(next.flatten().unwrap_or(u64::MAX));
        }
        changed
    }

    /// Number of occurrences of a job that are due and have not been opened.
    pub(super) fn waiting(&self, key: JobKey, job: &Job) -> u32 {
        let due = if job.spec.occurrence_count == 0 {
            1
        } else {
            self.counts.get(&key).copied().unwrap_or(0)
        };
        due.saturating_sub(job.progress.opened)
    }

    /// Jobs with set times that have not ended.
    pub(super) fn jobs(&self) -> impl Iterator<Item = JobKey> {
        self.counts.keys().copied()
    }
}
