//! Limits the load that retries add.

use std::sync::atomic::{AtomicU32, Ordering};

/// Largest balance, enough for ten retries in a row; in tenths of a retry.
const MAX_BUDGET_TENTHS: u32 = 100;

/// Cost of a retry, in tenths of a retry; a first attempt adds one tenth.
const RETRY_COST_TENTHS: u32 = 10;

/// Balance of retries that may still be sent, in tenths of a retry. In the long run, retries
/// are at most a tenth of the first attempts.
#[derive(Debug)]
pub(crate) struct RetryBudget(AtomicU32);

impl RetryBudget {
    pub(crate) const fn new() -> Self {
        Self(AtomicU32::new(MAX_BUDGET_TENTHS))
    }

    /// Adds a tenth of a retry, for a first attempt.
    pub(crate) fn deposit(&self) {
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |tenths| {
                (tenths < MAX_BUDGET_TENTHS).then(|| tenths + 1)
            });
    }

    /// Takes the cost of one retry; false if the balance is too low for it.
    pub(crate) fn withdraw(&self) -> bool {
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |tenths| {
                tenths.checked_sub(RETRY_COST_TENTHS)
            })
            .is_ok()
    }
}
