//! Whether this process may still use what the fold says that it holds.
//!
//! A silent process is retired by others and its parts of the ceilings go to the
//! reserve. A process that is cut off stops using them before that can happen:
//! it goes on only while the log has taken its renewal within [`FENCE_AFTER_MS`], or
//! while most members of its data centre have heard it within that time. Whoever
//! retires it hears most members too, so at least one of them would have told.

use std::time::{Duration, Instant};

/// Time between two renewals of a registration, in ms.
pub const RENEW_INTERVAL_MS: u64 = 15_000;

/// Time after which a process that nobody has confirmed uses nothing, in ms.
pub const FENCE_AFTER_MS: u64 = 40_000;

/// Silence after which a member is retired, in ms, besides the longest run of a
/// request; news of a member are at most [`SUSPECT_AFTER_MS`](super::SUSPECT_AFTER_MS) old, and the
/// rest is for clocks that run apart.
pub const RETIRE_AFTER_MS: u64 = FENCE_AFTER_MS + super::SUSPECT_AFTER_MS + 5_000;

/// When the log last took a registration of this run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegistrationLease {
    confirmed_at: Option<Instant>,
}

impl RegistrationLease {
    /// The fold has accepted a registration that was proposed at `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Until when what is held may be used; `heard` is when the newest beat was made
    /// that most members of the data centre have heard. A run that started while the log
    /// was away has only that.
    #[must_use]
    pub fn expires_at(&self, majority_ack: Option<Instant>) -> Option<Instant> {
        let confirmed_at = self.confirmed_at.max(majority_ack)?;
        Some(confirmed_at + Duration::from_millis(FENCE_AFTER_MS))
    }
}
