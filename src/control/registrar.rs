//! Makes this process known through the log.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::config::Common;
use crate::id::{Incarnation, RecordId};
use crate::ledger::{Refusal, Registration, State, Verdict};
use crate::membership::{RENEW_INTERVAL_MS, RegistrationLease};

/// Proposes the registration of this process until the fold shows it, and renews it.
#[derive(Debug)]
pub(super) struct Registrar {
    pub(super) incarnation: Incarnation,
    pub(super) tenure: RegistrationLease,
    peer: Option<SocketAddr>,
    pending: Option<Pending>,
    renewed: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    id: RecordId,
    at: Instant,
}

impl Registrar {
    pub(super) fn open(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            tenure: RegistrationLease::default(),
            peer: None,
            pending: None,
            renewed: None,
        }
    }

    pub(super) const fn set_peer(&mut self, peer: SocketAddr) {
        self.peer = Some(peer);
    }

    /// Address at which others reach this process, once it has one.
    pub(super) const fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// The registration of this run, once it has an address.
    pub(super) fn registration(&self, common: &Common) -> Option<Registration> {
        Some(Registration {
            id: common.id.clone(),
            incarnation: self.incarnation,
            data_centre: common.data_centre.clone(),
            peer_address: self.peer?,
        })
    }

    /// What to propose now, if anything.
    pub(super) fn wanted(
        &self,
        common: &Common,
        state: &State,
        now: Instant,
    ) -> Option<Registration> {
        let wanted = self.registration(common)?;
        let known = state.facts().members.get(&common.id);
        let shown = known.is_some_and(|known| known.registration == wanted);
        let due = !shown || self.is_due(now);
        (self.pending.is_none() && due).then_some(wanted)
    }

    fn is_due(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(RENEW_INTERVAL_MS);
        self.renewed
            .is_none_or(|at| now.saturating_duration_since(at) >= limit)
    }

    pub(super) const fn proposed(&mut self, id: RecordId, now: Instant) {
        self.pending = Some(Pending { id, at: now });
    }

    /// A clock that was set back draws an incarnation older than the last run's.
    pub(super) fn settle(&mut self, id: RecordId, verdict: Option<&Verdict>) {
        let Some(pending) = self.pending.filter(|pending| pending.id == id) else {
            return;
        };
        self.pending = None;
        match verdict {
            Some(Verdict::Accepted(_)) => {
                self.renewed = Some(pending.at);
                self.tenure.confirm(pending.at);
            }
            Some(Verdict::Refused(_, Refusal::Outdated(known))) => {
                self.incarnation = known.next();
            }
            _ => {}
        }
    }
}
