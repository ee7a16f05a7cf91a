//! Clocks for the decisions of the scheduler.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, Timespec, clock_gettime};

use crate::scheduler::Millis;

/// Clock that starts with the process and never jumps. It also counts the time for which the VM is
/// suspended, which [`std::time::Instant`] does not: leases run out meanwhile, and another process
/// may have claimed the role.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started_ms: u64,
}

impl Clock {
    pub(super) fn start() -> Self {
        Self {
            started_ms: since_boot_ms(),
        }
    }

    /// Milliseconds since [`Self::start`].
    pub(super) fn now(self) -> Millis {
        since_boot_ms().saturating_sub(self.started_ms)
    }
}

/// Milliseconds since the VM was started.
fn since_boot_ms() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(tv_sec).unwrap_or(0);
    secs * 1_000 + u64::try_from(tv_nsec).unwrap_or(0) / 1_000_000
}

/// Time of day, in ms since 1970. It may jump, so it is used only for times that are given as
/// times of day.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Converts a duration to whole microseconds.
pub(super) fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
