//! Measures the work that jobs bring to a pool as they arrive.

use std::collections::VecDeque;

use crate::scheduler::{Capacity, Millis};

/// Time over which arrivals are measured, in ms. A turn of the demand lasts a few seconds, and a VM
/// that is ordered after the first second of it still serves most of it.
const ARRIVAL_WINDOW_MS: Millis = 1_000;

/// Part of the rate of arrivals that a pool asks for, in percent. A pool that grows must also catch up
/// with what arrives while its VMs are being moved, and tasks take longer than estimated.
const ARRIVAL_PERCENT: u64 = 130;

/// Least time over which the rate is computed, in ms, so that a single job does not count as many.
const MIN_SPAN_MS: Millis = 500;

/// Work that arrived in the last [`ARRIVAL_WINDOW_MS`].
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    /// Times, and work in capacity times ms, oldest first.
    recent: VecDeque<(Millis, Capacity)>,
}

impl Arrivals {
    /// Adds the work of a job that arrived at `now`.
    pub(crate) fn add(&mut self, work: Capacity, now: Millis) {
        self.recent.push_back((now, work));
    }

    /// Capacity to hold for the arriving work, without accelerators. This is known as soon as the
    /// jobs have arrived, long before their later steps wait for room.
    pub(crate) fn capacity(&mut self, now: Millis) -> Capacity {
        while let Some((at, _)) = self.recent.front()
            && now - at >= ARRIVAL_WINDOW_MS
        {
            self.recent.pop_front();
        }
        let mut work = Capacity::default();
        for (_, arrived) in &self.recent {
            work.add(arrived);
        }
        let since = self.recent.front().map_or(now, |(at, _)| *at);
        let span_ms = (now - since).clamp(MIN_SPAN_MS, ARRIVAL_WINDOW_MS);
        let percent = |work: u64| work.saturating_mul(ARRIVAL_PERCENT) / 100;
        Capacity {
            cpu: percent(work.cpu).div_ceil(span_ms),
            mem_mb: percent(work.mem_mb).div_ceil(span_ms),
            gpu: 0,
        }
    }
}
