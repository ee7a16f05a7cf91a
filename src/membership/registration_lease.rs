//! How long this process may use the shares of ceilings that it holds.
//!
//! A silent process is retired by others and its shares go to the reserve. A process that
//! is cut off stops using them before that can happen: it goes on only while its
//! registration was renewed in the log within [`FENCE_AFTER_MS`], or while a majority of
//! its data centre's members has heard it within that time. Whoever retires it hears a
//! majority too, and so at least one member that would have passed its heartbeat on.

use std::time::{Duration, Instant};

/// Time between two renewals of the own registration, in ms.
pub const RENEW_INTERVAL_MS: u64 = 15_000;

/// Time after the last renewal, or the last heartbeat acknowledged by a majority, after
/// which a process stops using its shares, in ms.
pub const FENCE_AFTER_MS: u64 = 40_000;

/// Time without a newer heartbeat after which a member is retired, in ms; the longest run
/// of a request is added to it.
///
/// It exceeds [`FENCE_AFTER_MS`] by [`SUSPECT_AFTER_MS`](super::SUSPECT_AFTER_MS), since a
/// heartbeat passed on by others is at most that old, and by 5 s for clocks that run at
/// different speeds.
pub const RETIRE_AFTER_MS: u64 = FENCE_AFTER_MS + super::SUSPECT_AFTER_MS + 5_000;

/// When a registration of this run was last proposed that the log then accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegistrationLease {
    confirmed_at: Option<Instant>,
}

impl RegistrationLease {
    /// Renews the lease: a registration that was proposed at `at` has been accepted.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Time until which the shares of this process may be used; `None` before it may use any.
    ///
    /// `majority_ack` is when the newest heartbeat was made that a majority of the data
    /// centre's members has acknowledged. A run that started while the log was unavailable
    /// depends on it alone.
    #[must_use]
    pub fn expires_at(&self, majority_ack: Option<Instant>) -> Option<Instant> {
        let confirmed_at = self.confirmed_at.max(majority_ack)?;
        Some(confirmed_at + Duration::from_millis(FENCE_AFTER_MS))
    }
}
