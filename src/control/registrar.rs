//! Registers this process in the log and renews the registration.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::config::CommonConfig;
use crate::id::{Incarnation, RecordId};
use crate::ledger::{Refusal, Registration, State, Verdict};
use crate::membership::{RENEW_INTERVAL_MS, RegistrationLease};

/// Proposes the registration of this process until the folded state shows it, and renews it
/// every [`RENEW_INTERVAL_MS`].
#[derive(Debug)]
pub(super) struct Registrar {
    pub(super) incarnation: Incarnation,
    pub(super) registration_lease: RegistrationLease,
    peer: Option<SocketAddr>,
    pending: Option<Pending>,
    /// When the last accepted registration of this run was proposed.
    renewed_at: Option<Instant>,
}

/// A proposed registration without a verdict.
#[derive(Clone, Copy, Debug)]
struct Pending {
    id: RecordId,
    proposed_at: Instant,
}

impl Registrar {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            registration_lease: RegistrationLease::default(),
            peer: None,
            pending: None,
            renewed_at: None,
        }
    }

    pub(super) const fn set_peer_address(&mut self, peer: SocketAddr) {
        self.peer = Some(peer);
    }

    /// Address at which peers reach this process; `None` until it is set.
    pub(super) const fn peer_address(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// Registration of this run; `None` until the peer address is set.
    pub(super) fn registration(&self, common: &CommonConfig) -> Option<Registration> {
        Some(Registration {
            id: common.id.clone(),
            incarnation: self.incarnation,
            data_centre: common.data_centre.clone(),
            peer_address: self.peer?,
        })
    }

    /// Registration to propose now, if the state lacks it or a renewal is due.
    pub(super) fn due_registration(
        &self,
        common: &CommonConfig,
        state: &State,
        now: Instant,
    ) -> Option<Registration> {
        let registration = self.registration(common)?;
        let known = state.facts().members.get(&common.id);
        let shown = known.is_some_and(|known| known.registration == registration);
        let due = !shown || self.is_renewal_due(now);
        (self.pending.is_none() && due).then_some(registration)
    }

    fn is_renewal_due(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(RENEW_INTERVAL_MS);
        self.renewed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= limit)
    }

    pub(super) const fn note_proposed(&mut self, id: RecordId, now: Instant) {
        self.pending = Some(Pending {
            id,
            proposed_at: now,
        });
    }

    /// Notes the verdict on a record, or `None` if it got none in time.
    ///
    /// An incarnation is taken from the clock. If the clock was set back since the last run,
    /// the registration is refused as outdated, and the next one uses the incarnation after
    /// the known one.
    pub(super) fn settle(&mut self, id: RecordId, verdict: Option<&Verdict>) {
        let Some(pending) = self.pending.filter(|pending| pending.id == id) else {
            return;
        };
        self.pending = None;
        match verdict {
            Some(Verdict::Accepted(_)) => {
                self.renewed_at = Some(pending.proposed_at);
                self.registration_lease.confirm(pending.proposed_at);
            }
            Some(Verdict::Refused(_, Refusal::Outdated(known))) => {
                self.incarnation = known.next();
            }
            _ => {}
        }
    }
}
