//! Learns from outcomes whether a target should get work.

use super::{JobKey, Millis};

/// Failures in a row that put a target aside.
const FAILURES: u32 = 3;

/// First time that a target is put aside after failures, in ms; doubled each time.
const ASIDE_MS: Millis = 2_000;

/// Longest time that a target is put aside, in ms.
const MAX_ASIDE_MS: Millis = 8_000;

/// First time that a target is left alone after it refused a start as unhealthy, in ms.
const REFUSED_MS: Millis = 400;

/// What outcomes say of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    last_failed: Option<JobKey>,
    refusals: u32,
    times_aside: u32,
    aside_until: Millis,
}

impl Health {
    /// A run ended as done.
    pub(super) const fn succeeded(&mut self) {
        self.failures = 0;
        self.refusals = 0;
        self.times_aside = 0;
        self.last_failed = None;
    }

    /// A run ended as failed. A job that fails twice in a row says more of itself than of
    /// the target. Returns true when the target was put aside.
    pub(super) fn failed(&mut self, job: JobKey, now: Millis) -> bool {
        if self.last_failed != Some(job) || self.times_aside > 0 {
            self.failures += 1;
        }
        self.last_failed = Some(job);
        if self.failures < FAILURES {
            return false;
        }
        // One more failure after the pause puts it aside again.
        self.failures = FAILURES - 1;
        self.put_aside(now, ASIDE_MS);
        true
    }

    /// A run made no progress for long; others there are likely to stand still, too.
    pub(super) fn stalled(&mut self, now: Millis) {
        if self.usable(now) {
            self.put_aside(now, ASIDE_MS);
        }
    }

    /// The target refused a start as unhealthy.
    pub(super) fn refused(&mut self, now: Millis) {
        self.refusals += 1;
        let pause = REFUSED_MS << self.refusals.min(4);
        self.aside_until = self.aside_until.max(now + pause);
    }

    /// True when it should get work.
    pub(super) const fn usable(&self, now: Millis) -> bool {
        now >= self.aside_until
    }

    fn put_aside(&mut self, now: Millis, first: Millis) {
        let pause = (first << self.times_aside.min(4)).min(MAX_ASIDE_MS);
        self.times_aside += 1;
        self.aside_until = self.aside_until.max(now + pause);
    }
}
