//! Exponential backoff with jitter.

use std::time::Duration;

/// Upper bound of the first wait, in ms.
const INITIAL_WAIT_MS: u64 = 50;
/// Upper bound of every wait, in ms.
const MAX_WAIT_MS: u64 = 2_000;

/// Computes the waits between attempts that fail in a row.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    bound_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            bound_ms: INITIAL_WAIT_MS,
        }
    }
}

impl Backoff {
    /// Returns to the shortest wait; called after a success.
    pub const fn reset(&mut self) {
        self.bound_ms = INITIAL_WAIT_MS;
    }

    /// Returns a random wait between half of the current bound and the bound, and doubles the
    /// bound.
    pub fn next_wait(&mut self) -> Duration {
        let bound = self.bound_ms;
        self.bound_ms = (bound * 2).min(MAX_WAIT_MS);
        Duration::from_millis(fastrand::u64(bound / 2..=bound))
    }
}
