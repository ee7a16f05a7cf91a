//! Finds the jobs whose records are no longer kept.

use indexmap::IndexMap;

use super::Leader;
use super::journal::MAX_BATCH_JOBS;
use crate::scheduler::{JobKey, JobTable, Millis};

/// Number of times the retention of an ended job after which the time of day alone has it forgotten.
const MAX_RETENTIONS: u64 = 5;

/// Time between two searches for ended jobs that may be forgotten, in ms.
pub(super) const FORGET_INTERVAL_MS: Millis = 5_000;

impl Leader {
    /// Ended jobs, and cancels of jobs that never came, that have been kept long enough, at most as many
    /// as fit a batch. The time of day may jump, so it counts only by a multiple of that time: for
    /// jobs that ended before leaders which did not last.
    pub(super) fn expired_jobs(
        &mut self,
        table: &JobTable,
        now: Millis,
        wall_ms: u64,
    ) -> Vec<JobKey> {
        if now < self.journal.next_forget_at {
            return Vec::new();
        }
        self.journal.next_forget_at = now + FORGET_INTERVAL_MS;
        let retention_ms = self.settings.job_retention_ms;
        let ended: Vec<(JobKey, u64)> = table
            .iter()
            .filter(|(_, job)| job.progress.state.ended())
            .map(|(key, job)| (key, job.progress.ended_ms))
            .collect();
        let keys = ended.iter().map(|(key, _)| *key);
        note_first_seen(&mut self.journal.ended_since, keys, now);
        note_first_seen(&mut self.journal.early_cancels, table.early_cancels(), now);
        let is_old = |since: &Millis| now - since > retention_ms;
        let ended_since = &self.journal.ended_since;
        let ended = ended.iter().filter(|(key, ended_ms)| {
            ended_since.get(key).is_some_and(is_old)
                || wall_ms.saturating_sub(*ended_ms) > retention_ms * MAX_RETENTIONS
        });
        let early_cancels = self.journal.early_cancels.iter();
        let old_cancels = early_cancels.filter(|(_, since)| is_old(since));
        let expired = ended.map(|(key, _)| *key);
        let expired = expired.chain(old_cancels.map(|(key, _)| *key));
        expired.take(MAX_BATCH_JOBS).collect()
    }
}

/// Replaces the keys of `seen` by `keys`, with the time when each was first among them.
fn note_first_seen(
    seen: &mut IndexMap<JobKey, Millis>,
    keys: impl Iterator<Item = JobKey>,
    now: Millis,
) {
    let before = std::mem::take(seen);
    *seen = keys
        .map(|key| (key, before.get(&key).copied().unwrap_or(now)))
        .collect();
}
