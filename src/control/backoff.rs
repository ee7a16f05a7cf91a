//! Growing waits between attempts, with jitter.

use std::time::Duration;

const INITIAL_WAIT_MS: u64 = 50;
const MAX_WAIT_MS: u64 = 2_000;

/// Waits between attempts that fail in a row.
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
    /// Starts again with the shortest wait.
    pub const fn reset(&mut self) {
        self.bound_ms = INITIAL_WAIT_MS;
    }

    /// The next wait: between half and the whole of the current bound, which doubles.
    pub fn next_wait(&mut self) -> Duration {
        let bound = self.bound_ms;
        self.bound_ms = (bound * 2).min(MAX_WAIT_MS);
        Duration::from_millis(fastrand::u64(bound / 2..=bound))
    }
}
