//! Holds the planner role: renews its own claim and takes over a silent one.

use std::time::{Duration, Instant};

use crate::id::{Epoch, MemberId, Offset};
use crate::ledger::{Claim, Role, RoleHolder};

/// Renewals that fit into one lease, so that two may be lost.
const RENEWALS: u32 = 3;

/// Decides when to claim; all times are of this process's monotonic clock.
#[derive(Debug)]
pub struct Claimant {
    own: MemberId,
    lease: Duration,
    /// The last renewal seen, and when it was first seen.
    seen: Option<Sighting>,
    proposed: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Sighting {
    renewed: Offset,
    at: Instant,
}

impl Claimant {
    /// A claimant that has seen nothing yet.
    #[must_use]
    pub const fn new(own: MemberId, lease: Duration) -> Self {
        Self {
            own,
            lease,
            seen: None,
            proposed: None,
        }
    }

    /// The claim to propose now, if any.
    pub fn step(&mut self, held: Option<&RoleHolder>, now: Instant) -> Option<Claim> {
        let Some(held) = held else {
            return self.propose(Epoch(1), None, now);
        };
        let since = self.observe(held.renewed_at, now);
        if held.member == self.own {
            let due = since >= self.lease / RENEWALS;
            return due.then(|| self.propose(held.epoch, Some(held.renewed_at), now))?;
        }
        let lapsed = since >= self.lease;
        lapsed.then(|| self.propose(held.epoch.next(), Some(held.renewed_at), now))?
    }

    /// True if this process is the holder, whether its lease has lapsed or not.
    #[must_use]
    pub fn is_own(&self, held: &RoleHolder) -> bool {
        held.member == self.own
    }

    /// True while this process holds the role and nobody may have taken it over.
    #[must_use]
    pub fn holds(&self, held: Option<&RoleHolder>, now: Instant) -> bool {
        let own = held.is_some_and(|held| held.member == self.own);
        let fresh = self
            .seen
            .is_some_and(|seen| now.saturating_duration_since(seen.at) < self.lease);
        own && fresh
    }

    /// Time since the renewal was first seen.
    fn observe(&mut self, renewed: Offset, now: Instant) -> Duration {
        let known = self.seen.filter(|seen| seen.renewed == renewed);
        let seen = known.unwrap_or(Sighting { renewed, at: now });
        self.seen = Some(seen);
        now.saturating_duration_since(seen.at)
    }

    /// At most one proposal a third of a lease.
    fn propose(&mut self, epoch: Epoch, renewal: Option<Offset>, now: Instant) -> Option<Claim> {
        let gap = self.lease / RENEWALS;
        let early = self
            .proposed
            .is_some_and(|at| now.saturating_duration_since(at) < gap);
        if early {
            return None;
        }
        self.proposed = Some(now);
        Some(Claim {
            role: Role::Planner,
            holder: self.own.clone(),
            epoch,
            last_renewal: renewal,
        })
    }
}
