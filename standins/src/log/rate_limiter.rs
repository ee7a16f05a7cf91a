//! Limit on appends per second.

use std::time::Instant;

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Token bucket that holds the appends of one second.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    per_second: u64,
    /// End of the time that the tokens taken so far need to refill.
    reserved_until: Instant,
}

impl RateLimiter {
    /// Creates a full bucket; a rate of 0 refuses everything.
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: u64::from(per_second),
            reserved_until: now,
        }
    }

    /// Takes one token; false if the bucket is empty.
    pub(crate) fn try_acquire(&mut self, now: Instant) -> bool {
        let Some(cost) = NANOS_PER_SECOND.checked_div(self.per_second) else {
            return false;
        };
        let start = self.reserved_until.max(now);
        let ahead = start.duration_since(now).as_nanos();
        if ahead + u128::from(cost) > u128::from(NANOS_PER_SECOND) {
            return false;
        }
        self.reserved_until = start + std::time::Duration::from_nanos(cost);
        true
    }
}
