//! Makes this process known through the log.

use std::net::SocketAddr;

use crate::config::Common;
use crate::id::{Incarnation, RecordId};
use crate::ledger::{Refusal, Registration, State, Verdict};

/// Proposes the registration of this process until the fold shows it.
#[derive(Debug)]
pub(super) struct Registrar {
    pub(super) incarnation: Incarnation,
    peer: Option<SocketAddr>,
    pending: Option<RecordId>,
}

impl Registrar {
    pub(super) const fn open(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            peer: None,
            pending: None,
        }
    }

    pub(super) const fn set_peer(&mut self, peer: SocketAddr) {
        self.peer = Some(peer);
    }

    /// What to propose now, if anything.
    pub(super) fn wanted(&self, common: &Common, state: &State) -> Option<Registration> {
        let wanted = Registration {
            id: common.id.clone(),
            incarnation: self.incarnation,
            data_centre: common.data_centre.clone(),
            peer: self.peer?,
        };
        let known = state.facts().members.get(&common.id);
        (self.pending.is_none() && known != Some(&wanted)).then_some(wanted)
    }

    pub(super) const fn proposed(&mut self, id: RecordId) {
        self.pending = Some(id);
    }

    /// A clock that was set back draws an incarnation older than the last run's.
    pub(super) fn settle(&mut self, id: RecordId, verdict: Option<&Verdict>) {
        if self.pending != Some(id) {
            return;
        }
        self.pending = None;
        if let Some(Verdict::Refused(_, Refusal::Outdated(known))) = verdict {
            self.incarnation = known.next();
        }
    }
}
