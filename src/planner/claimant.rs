//! Claims the planner role, renews the claim, and takes the role over from a holder that
//! no longer renews its own.

use std::time::{Duration, Instant};

use crate::id::{Epoch, MemberId, Offset};
use crate::ledger::{Claim, Role, RoleHolder};

/// Renewals in the time of one lease, so that two in a row may be lost.
const RENEWALS_PER_LEASE: u32 = 3;

/// Decides when this process claims the planner role.
///
/// Times are taken from this process's monotonic clock and count from when a renewal was
/// first seen here, so that the clocks of processes need not agree.
#[derive(Debug)]
pub struct Claimant {
    own_id: MemberId,
    lease: Duration,
    /// The newest renewal, by any holder, that this process has seen.
    last_seen: Option<SeenRenewal>,
    /// When `next_claim` last returned a claim.
    last_proposed: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct SeenRenewal {
    /// Offset of the renewal in the log.
    renewed: Offset,
    /// When this process first saw it.
    at: Instant,
}

impl Claimant {
    /// A claimant that has seen no renewal yet.
    ///
    /// `lease` is the time without a renewal after which another process may take the role.
    #[must_use]
    pub const fn new(own_id: MemberId, lease: Duration) -> Self {
        Self {
            own_id,
            lease,
            last_seen: None,
            last_proposed: None,
        }
    }

    /// The claim to propose now, if any: for a free role, as a renewal once a third of the
    /// lease is over, or as a takeover once a whole lease has passed without a renewal.
    ///
    /// `holding` is the accepted claim; `None` while nobody holds the role.
    pub fn next_claim(&mut self, holding: Option<&RoleHolder>, now: Instant) -> Option<Claim> {
        let Some(holding) = holding else {
            return self.claim_unless_recent(Epoch(1), None, now);
        };
        let age = self.renewal_age(holding.renewed_at, now);
        if holding.member == self.own_id {
            let due = age >= self.lease / RENEWALS_PER_LEASE;
            return due
                .then(|| self.claim_unless_recent(holding.epoch, Some(holding.renewed_at), now))?;
        }
        let lapsed = age >= self.lease;
        lapsed.then(|| {
            self.claim_unless_recent(holding.epoch.next(), Some(holding.renewed_at), now)
        })?
    }

    /// True if this process made the accepted claim, even if its lease has lapsed.
    #[must_use]
    pub fn is_holder(&self, holding: &RoleHolder) -> bool {
        holding.member == self.own_id
    }

    /// True while this process is the holder and its lease has not lapsed, so that no other
    /// process may have taken the role over.
    #[must_use]
    pub fn holds_role(&self, holding: Option<&RoleHolder>, now: Instant) -> bool {
        let is_holder = holding.is_some_and(|holding| holding.member == self.own_id);
        let in_lease = self
            .last_seen
            .is_some_and(|seen| now.saturating_duration_since(seen.at) < self.lease);
        is_holder && in_lease
    }

    /// Time since this process first saw the renewal at offset `renewed`.
    fn renewal_age(&mut self, renewed: Offset, now: Instant) -> Duration {
        let known = self.last_seen.filter(|seen| seen.renewed == renewed);
        let seen = known.unwrap_or(SeenRenewal { renewed, at: now });
        self.last_seen = Some(seen);
        now.saturating_duration_since(seen.at)
    }

    /// The claim, unless another one was returned within the last third of a lease.
    fn claim_unless_recent(
        &mut self,
        epoch: Epoch,
        renewal: Option<Offset>,
        now: Instant,
    ) -> Option<Claim> {
        let interval = self.lease / RENEWALS_PER_LEASE;
        let early = self
            .last_proposed
            .is_some_and(|at| now.saturating_duration_since(at) < interval);
        if early {
            return None;
        }
        self.last_proposed = Some(now);
        Some(Claim {
            role: Role::Planner,
            holder: self.own_id.clone(),
            epoch,
            last_renewal: renewal,
        })
    }
}
