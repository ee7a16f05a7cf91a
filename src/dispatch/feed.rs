//! Tracks whether the feeds that a process follows can be read.

use std::time::Duration;

use async_io::Timer;

/// Pause after a read that failed, in ms.
const FAILED_PAUSE_MS: u64 = 100;

/// Tracks whether reading a feed succeeds, and logs when it begins to fail and when it succeeds
/// again.
#[derive(Debug)]
pub(super) struct FeedStatus {
    /// Name of the feed in the log.
    feed: &'static str,
    /// Consecutive reads that failed.
    failures: u64,
}

impl FeedStatus {
    pub(super) const fn new(feed: &'static str) -> Self {
        Self { feed, failures: 0 }
    }

    /// Notes a successful read; returns whether the read before it had failed.
    pub(super) fn read_succeeded(&mut self) -> bool {
        let regained = self.failures > 0;
        if regained {
            spdlog::info!("feed_regained", kv: { feed = self.feed, failures = self.failures });
        }
        self.failures = 0;
        regained
    }

    /// Time that the next read may wait for a change, in ms: `usual_ms`, or 0 after a failure, so
    /// that the return of the store is noticed soon.
    pub(super) const fn wait_ms(&self, usual_ms: u64) -> u64 {
        if self.failures > 0 { 0 } else { usual_ms }
    }

    /// Notes a failed read and pauses before the next one.
    pub(super) async fn read_failed(&mut self, cause: &str) {
        if self.failures == 0 {
            spdlog::warn!("feed_lost", kv: { feed = self.feed, cause });
        }
        self.failures += 1;
        Timer::after(Duration::from_millis(FAILED_PAUSE_MS)).await;
    }
}
