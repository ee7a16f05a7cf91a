//! Wall-clock time, used only for maintenance cycles of weeks.

use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds since 1970; 0 on a clock before that.
pub(super) fn unix_now_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
