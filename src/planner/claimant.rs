//! Holds the planner role: renews its own claim and takes over a silent one.

use std::time::{Duration, Instant};

use crate::id::{Epoch, MemberId, Offset};
use crate::ledger::{Claim, Holding, Role};

/// Renewals that fit into one lease, so that two may be lost.
const RENEWALS_PER_LEASE: u32 = 3;

/// Decides when to claim; all times are of this process's monotonic clock.
#[derive(Debug)]
pub struct Claimant {
    own_id: MemberId,
    lease: Duration,
    /// The last renewal seen, and when it was first seen.
    last_seen: Option<SeenRenewal>,
    last_proposed: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct SeenRenewal {
    renewed: Offset,
    at: Instant,
}

impl Claimant {
    /// A claimant that has seen nothing yet.
    #[must_use]
    pub const fn new(own_id: MemberId, lease: Duration) -> Self {
        Self {
            own_id,
            lease,
            last_seen: None,
            last_proposed: None,
        }
    }

    /// The claim to propose now, if any.
    pub fn next_claim(&mut self, holding: Option<&Holding>, now: Instant) -> Option<Claim> {
        let Some(holding) = holding else {
            return self.claim_unless_recent(Epoch(1), None, now);
        };
        let age = self.renewal_age(holding.renewed, now);
        if holding.holder == self.own_id {
            let due = age >= self.lease / RENEWALS_PER_LEASE;
            return due
                .then(|| self.claim_unless_recent(holding.epoch, Some(holding.renewed), now))?;
        }
        let lapsed = age >= self.lease;
        lapsed
            .then(|| self.claim_unless_recent(holding.epoch.next(), Some(holding.renewed), now))?
    }

    /// True if this process is the holder, whether its lease has lapsed or not.
    #[must_use]
    pub fn is_holder(&self, holding: &Holding) -> bool {
        holding.holder == self.own_id
    }

    /// True while this process holds the role and nobody may have taken it over.
    #[must_use]
    pub fn holds_role(&self, holding: Option<&Holding>, now: Instant) -> bool {
        let is_holder = holding.is_some_and(|holding| holding.holder == self.own_id);
        let in_lease = self
            .last_seen
            .is_some_and(|seen| now.saturating_duration_since(seen.at) < self.lease);
        is_holder && in_lease
    }

    /// Time since the renewal was first seen.
    fn renewal_age(&mut self, renewed: Offset, now: Instant) -> Duration {
        let known = self.last_seen.filter(|seen| seen.renewed == renewed);
        let seen = known.unwrap_or(SeenRenewal { renewed, at: now });
        self.last_seen = Some(seen);
        now.saturating_duration_since(seen.at)
    }

    /// At most one proposal a third of a lease.
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
            renewal,
        })
    }
}
