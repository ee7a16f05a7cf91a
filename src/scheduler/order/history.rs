//! What is learned of a queue from its jobs: how large they are, and how far their estimates are
//! off. It is lost with the leader, and learned anew from the jobs that the next one finds.

use std::collections::VecDeque;

use crate::scheduler::{JobKey, Millis};

/// Number of the latest jobs of a queue whose sizes are compared.
const COMPARED_JOBS: usize = 256;

/// Least number of jobs that sizes are compared among.
const MIN_JOBS: usize = 16;

/// Arrivals after which the sizes are sorted again.
const SORT_EVERY: usize = 16;

/// Jobs below the largest three tenths, in percent. The fraction served of the largest tenth and of
/// the fifth below it may not fall under half of that of all jobs.
const SMALLER_PERCENT: usize = 70;

/// Share of the large jobs that go before others as often as jobs of the other sizes do once they
/// are deferred, in percent. They are past use more often all the same, as they take longer.
const PROTECTED_PERCENT: u64 = 75;

/// Weight of a run in the averages of the error of estimates, as a divisor.
const RUN_WEIGHT: f64 = 64.0;

/// Bounds of the learned factor on estimates.
const FACTOR_BOUNDS: (f64, f64) = (0.7, 2.5);

/// Sizes of the latest jobs of a queue.
#[derive(Debug, Default)]
struct RecentSizes {
    latest: VecDeque<u64>,
    sorted: Vec<u64>,
    /// Arrivals since `sorted` was computed.
    unsorted: usize,
}

impl RecentSizes {
    fn note(&mut self, size: u64) {
        if self.latest.len() == COMPARED_JOBS {
            self.latest.pop_front();
        }
        self.latest.push_back(size);
        self.unsorted += 1;
        if self.unsorted >= SORT_EVERY {
            self.unsorted = 0;
            self.sorted = self.latest.iter().copied().collect();
            self.sorted.sort_unstable();
        }
    }

    /// What serving a job of this size counts for among deferred jobs: its size, but for a
    /// protected share of the large ones that of some smaller job.
    fn deferred_cost(&self, job: JobKey, size: u64) -> u64 {
        let smaller = self.sorted.len() * SMALLER_PERCENT / 100;
        if self.sorted.len() < MIN_JOBS || size <= self.sorted[smaller] {
            return size;
        }
        let mixed = mix(job.0);
        if mixed % 100 >= PROTECTED_PERCENT {
            return size;
        }
        let position = usize::try_from((mixed / 100) % smaller as u64).unwrap_or_default();
        self.sorted[position]
    }
}

/// Error of the estimates of a queue's tasks, from runs that ended as done.
#[derive(Debug)]
struct EstimateError {
    /// Mean of run time by estimate.
    mean: f64,
    /// Mean distance from `mean`.
    deviation: f64,
}

impl Default for EstimateError {
    /// Estimates are taken to be a fifth off until runs show more.
    fn default() -> Self {
        Self {
            mean: 1.0,
            deviation: 0.2,
        }
    }
}

impl EstimateError {
    #[allow(clippy::cast_precision_loss)] // Run times are far below 2^52 ms.
    fn note(&mut self, ran_ms: Millis, estimate_ms: u64) {
        let (_, most) = FACTOR_BOUNDS;
        let ratio = (ran_ms as f64 / estimate_ms.max(1) as f64).min(2.0 * most);
        self.mean += (ratio - self.mean) / RUN_WEIGHT;
        self.deviation += ((ratio - self.mean).abs() - self.deviation) / RUN_WEIGHT;
    }

    /// Factor on estimates with a margin for their error.
    fn factor(&self) -> f64 {
        let (least, most) = FACTOR_BOUNDS;
        (self.mean + self.deviation).clamp(least, most)
    }
}

/// What is learned of one queue.
#[derive(Debug, Default)]
pub(crate) struct QueueHistory {
    sizes: RecentSizes,
    error: EstimateError,
}

impl QueueHistory {
    /// Takes in the size of a job, in thousandths of a core times ms.
    pub(crate) fn note_job(&mut self, size: u64) {
        self.sizes.note(size);
    }

    /// Takes in how long a task ran that is done.
    pub(crate) fn note_run(&mut self, ran_ms: Millis, estimate_ms: u64) {
        self.error.note(ran_ms, estimate_ms);
    }

    /// What serving a job of this size counts for among deferred jobs, of which those that count
    /// for least go first.
    pub(crate) fn deferred_cost(&self, job: JobKey, size: u64) -> u64 {
        self.sizes.deferred_cost(job, size)
    }

    /// An estimated time with a margin for its error, in ms.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )] // Run times are far below 2^52 ms.
    pub(crate) fn with_margin(&self, estimate_ms: u64) -> u64 {
        (estimate_ms as f64 * self.error.factor()) as u64
    }

    /// Work by estimates, corrected by the mean error.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )] // Work is far below 2^52.
    pub(crate) fn corrected(&self, work: u64) -> u64 {
        let (least, most) = FACTOR_BOUNDS;
        (work as f64 * self.error.mean.clamp(least, most)) as u64
    }
}

/// Spreads ids evenly, whatever ids callers choose (the finalizer of `SplitMix64`).
const fn mix(id: u64) -> u64 {
    let id = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let id = (id ^ (id >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    id ^ (id >> 31)
}
