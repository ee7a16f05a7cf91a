//! The time that decisions are made at.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::scheduler::Millis;

/// Steady clock of the process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock(Instant);

impl Clock {
    pub(super) fn start() -> Self {
        Self(Instant::now())
    }

    /// Milliseconds since the process started.
    pub(super) fn now(&self) -> Millis {
        u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Time of day, in ms since 1970. It may jump, so only due times are compared with it.
pub(super) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// A span in whole microseconds.
pub(super) fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
