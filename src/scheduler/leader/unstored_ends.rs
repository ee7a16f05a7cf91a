//! Ends of jobs that the leader has decided on and that no stored batch is known to contain.

use indexmap::{IndexMap, IndexSet};

use super::Leader;
use crate::scheduler::{JobKey, JobState, JobTable, Millis};

/// A decision that a job has ended.
#[derive(Clone, Copy, Debug)]
struct Decision {
    state: JobState,
    /// Time of the leader's last poll before the decision.
    decided_at: Millis,
}

/// Decisions that are not known to be stored, by job.
#[derive(Debug, Default)]
pub(super) struct UnstoredEnds {
    decisions: IndexMap<JobKey, Decision>,
}

impl UnstoredEnds {
    pub(super) fn add(&mut self, job: JobKey, state: JobState, decided_at: Millis) {
        self.decisions.insert(job, Decision { state, decided_at });
    }

    /// Returns whether this leader has ended the job and does not know that to be stored.
    pub(super) fn contains(&self, job: JobKey) -> bool {
        self.decisions.contains_key(&job)
    }

    /// Returns which of the `jobs` in a batch have ends that are not stored yet. Drops those whose
    /// records are deleted.
    pub(super) fn in_batch(&mut self, jobs: &IndexSet<JobKey>, table: &JobTable) -> Vec<JobKey> {
        let mut ended = Vec::new();
        for job in jobs {
            if table.get(*job).is_none() {
                self.decisions.swap_remove(job);
            } else if self.decisions.contains_key(job) {
                ended.push(*job);
            }
        }
        ended
    }
}

impl Leader {
    /// Number of jobs whose end is decided on and not known to be stored.
    #[must_use]
    pub fn unstored_end_count(&self) -> usize {
        self.unstored_ends.decisions.len()
    }

    /// Notes and logs that the ends of `jobs` are stored.
    pub(super) fn ends_stored(&mut self, jobs: &[JobKey], batch: u64, now: Millis) {
        let epoch = self.epoch();
        for job in jobs {
            let Some(decision) = self.unstored_ends.decisions.swap_remove(job) else {
                continue;
            };
            spdlog::info!("job_end_stored", kv: {
                job = job.to_string(), state = format!("{:?}", decision.state), batch, epoch,
                elapsed_ms = now.saturating_sub(decision.decided_at)
            });
        }
    }
}
