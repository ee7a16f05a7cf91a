//! Wall-clock time, used only for maintenance cycles, which last weeks.

use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds since 1970; 0 if the clock is set to an earlier time.
pub(super) fn unix_now_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
