//! Growing waits between attempts, with jitter.

use std::time::Duration;

const FIRST_MS: u64 = 50;
const MAX_MS: u64 = 2_000;

/// Waits between attempts that fail in a row.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    wait_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { wait_ms: FIRST_MS }
    }
}

impl Backoff {
    /// Starts again with the shortest wait.
    pub const fn reset(&mut self) {
        self.wait_ms = FIRST_MS;
    }

    /// The next wait: between half and the whole of the current bound, which doubles.
    pub fn grow(&mut self) -> Duration {
        let bound = self.wait_ms;
        self.wait_ms = (bound * 2).min(MAX_MS);
        Duration::from_millis(fastrand::u64(bound / 2..=bound))
    }
}
