//! Bounds the load that retries add.

use std::sync::atomic::{AtomicU32, Ordering};

/// Retries that a quiet process may do at once.
const MAX_BUDGET_TENTHS: u32 = 100;

/// One retry costs as much as ten first attempts earn.
const RETRY_COST_TENTHS: u32 = 10;

/// Retries that may be sent: at most a tenth of the first attempts.
#[derive(Debug)]
pub(crate) struct RetryBudget(AtomicU32);

impl RetryBudget {
    pub(crate) const fn new() -> Self {
        Self(AtomicU32::new(MAX_BUDGET_TENTHS))
    }

    /// Counts a first attempt.
    pub(crate) fn deposit(&self) {
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |tenths| {
                (tenths < MAX_BUDGET_TENTHS).then(|| tenths + 1)
            });
    }

    /// Takes the cost of one retry; false when the budget is used up.
    pub(crate) fn withdraw(&self) -> bool {
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |tenths| {
                tenths.checked_sub(RETRY_COST_TENTHS)
            })
            .is_ok()
    }
}
