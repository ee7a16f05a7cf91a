//! Learns from outcomes whether a target should get work.

use super::{JobKey, Millis};

/// Failures in a row that put a target aside.
const FAILURES_TO_SUSPEND: u32 = 3;

/// First time that a target is put aside after failures, in ms; doubled each time.
const SUSPENSION_MS: Millis = 2_000;

/// Longest time that a target is put aside, in ms.
const MAX_SUSPENSION_MS: Millis = 8_000;

/// First time that a target is left alone after it refused a start as unhealthy, in ms.
const REFUSAL_PAUSE_MS: Millis = 400;

/// What outcomes say of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    last_failed_job: Option<JobKey>,
    refusals: u32,
    suspensions: u32,
    suspended_until: Millis,
}

impl Health {
    /// A run ended as done.
    pub(super) const fn run_done(&mut self) {
        self.failures = 0;
        self.refusals = 0;
        self.suspensions = 0;
        self.last_failed_job = None;
    }

    /// A run ended as failed. A job that fails twice in a row says more of itself than of
    /// the target. Returns true when the target was put aside.
    pub(super) fn run_failed(&mut self, job: JobKey, now: Millis) -> bool {
        if self.last_failed_job != Some(job) || self.suspensions > 0 {
            self.failures += 1;
        }
        self.last_failed_job = Some(job);
        if self.failures < FAILURES_TO_SUSPEND {
            return false;
        }
        // One more failure after the pause puts it aside again.
        self.failures = FAILURES_TO_SUSPEND - 1;
        self.suspend(now, SUSPENSION_MS);
        true
    }

    /// A run made no progress for long; others there are likely to stand still, too.
    pub(super) fn run_stalled(&mut self, now: Millis) {
        if self.usable(now) {
            self.suspend(now, SUSPENSION_MS);
        }
    }

    /// The target refused a start as unhealthy.
    pub(super) fn start_refused(&mut self, now: Millis) {
        self.refusals += 1;
        let pause = REFUSAL_PAUSE_MS << self.refusals.min(4);
        self.suspended_until = self.suspended_until.max(now + pause);
    }

    /// True when it should get work.
    pub(super) const fn usable(&self, now: Millis) -> bool {
        now >= self.suspended_until
    }

    fn suspend(&mut self, now: Millis, first: Millis) {
        let pause = (first << self.suspensions.min(4)).min(MAX_SUSPENSION_MS);
        self.suspensions += 1;
        self.suspended_until = self.suspended_until.max(now + pause);
    }
}
