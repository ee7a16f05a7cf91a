//! Decides from the outcomes of runs and starts whether a target should get new work.

use super::{JobKey, Millis};

/// Consecutive failures after which a target is suspended.
const FAILURES_TO_SUSPEND: u32 = 3;

/// Length of a target's first suspension, in ms; doubled each further time.
const SUSPENSION_MS: Millis = 2_000;

/// Longest suspension of a target, in ms.
const MAX_SUSPENSION_MS: Millis = 8_000;

/// Half the length of the first pause after a target refuses a start as unhealthy, in ms: the
/// first pause is twice this value, 800 ms. It doubles with each further refusal, up to the
/// fourth.
const REFUSAL_PAUSE_MS: Millis = 400;

/// Health of a target as its outcomes show it. A suspended target gets no new work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    /// Consecutive failures that count against the target.
    failures: u32,
    /// Job of the latest failure; `None` after a run is done.
    last_failed_job: Option<JobKey>,
    /// Starts refused as unhealthy since a run was last done.
    refusals: u32,
    /// Suspensions since a run was last done.
    suspensions: u32,
    suspended_until: Millis,
}

impl Health {
    /// Takes in that a run ended as done, which clears all counts.
    pub(super) const fn run_done(&mut self) {
        self.failures = 0;
        self.refusals = 0;
        self.suspensions = 0;
        self.last_failed_job = None;
    }

    /// Takes in that a run ended as failed. Consecutive failures of one job count once,
    /// because they are more likely the job's fault than the target's; after a suspension
    /// each failure counts. Returns whether the target was suspended.
    pub(super) fn run_failed(&mut self, job: JobKey, now: Millis) -> bool {
        if self.last_failed_job != Some(job) || self.suspensions > 0 {
            self.failures += 1;
        }
        self.last_failed_job = Some(job);
        if self.failures < FAILURES_TO_SUSPEND {
            return false;
        }
        // One more failure after the suspension suspends the target again.
        self.failures = FAILURES_TO_SUSPEND - 1;
        self.suspend(now, SUSPENSION_MS);
        true
    }

    /// Takes in that a run has stalled: other runs on the target are likely to stall too,
    /// so it is suspended.
    pub(super) fn run_stalled(&mut self, now: Millis) {
        if self.usable(now) {
            self.suspend(now, SUSPENSION_MS);
        }
    }

    /// Takes in that the target refused a start as unhealthy.
    pub(super) fn start_refused(&mut self, now: Millis) {
        self.refusals += 1;
        let pause = REFUSAL_PAUSE_MS << self.refusals.min(4);
        self.suspended_until = self.suspended_until.max(now + pause);
    }

    /// Returns whether the target is not suspended at `now`.
    pub(super) const fn usable(&self, now: Millis) -> bool {
        now >= self.suspended_until
    }

    fn suspend(&mut self, now: Millis, first: Millis) {
        let pause = (first << self.suspensions.min(4)).min(MAX_SUSPENSION_MS);
        self.suspensions += 1;
        self.suspended_until = self.suspended_until.max(now + pause);
    }
}
