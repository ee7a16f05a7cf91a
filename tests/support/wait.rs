//! Waits for changes in other threads and processes.

use std::thread;
use std::time::{Duration, Instant};

/// Longest time of a wait: ten times what a busy machine takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls until `condition` is true; panics with `what` after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not seen in time: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
