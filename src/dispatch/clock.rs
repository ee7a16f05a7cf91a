//! Clocks for the decisions of the scheduler.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::scheduler::Millis;

/// Monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock(Instant);

impl Clock {
    pub(super) fn start() -> Self {
        Self(Instant::now())
    }

    /// Milliseconds since [`Self::start`].
    pub(super) fn now(&self) -> Millis {
        u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Time of day, in ms since 1970. It may jump, so it is used only for times that are given as
/// times of day.
pub(super) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Converts a duration to whole microseconds.
pub(super) fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
