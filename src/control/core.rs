//! State of the control thread and its decisions; no I/O, `now` is handed in.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Sender;
use indexmap::IndexMap;

use super::outbox::Outbox;
use super::{ProposeError, picture};
use crate::config::Common;
use crate::id::{Incarnation, Offset, RecordId};
use crate::ledger::{Proposal, Record, Refusal, Registration, State, Trust, Verdict, encode};
use crate::membership::Roster;
use crate::peer::Heartbeat;
use crate::platform::{Batch, Vm};
use crate::view::View;

pub(super) type Answer = Result<Verdict, ProposeError>;

/// What the control thread knows.
pub(super) struct Core {
    pub(super) common: Common,
    pub(super) state: State,
    pub(super) vms: Vec<Vm>,
    pub(super) roster: Roster,
    pub(super) outbox: Outbox,
    pub(super) verified: Option<Instant>,
    pub(super) incarnation: Incarnation,
    /// True when heartbeats are exchanged, so that silence means something.
    pub(super) beats: bool,
    peer: Option<SocketAddr>,
    registering: Option<RecordId>,
    waiting: IndexMap<RecordId, Sender<Answer>>,
}

impl Core {
    pub(super) fn open(common: &Common, incarnation: Incarnation, now: Instant) -> Self {
        let trust = Trust {
            secret: common.secret.clone(),
            root: common.root_key,
        };
        Self {
            common: common.clone(),
            state: State::empty(trust),
            vms: Vec::new(),
            roster: Roster::default(),
            outbox: Outbox::open(now),
            verified: None,
            incarnation,
            beats: false,
            peer: None,
            registering: None,
            waiting: IndexMap::new(),
        }
    }

    /// Queues a proposal of this process; `answer` gets the verdict.
    pub(super) fn propose(&mut self, proposal: Proposal, answer: Sender<Answer>, now: Instant) {
        let id = self.enqueue(proposal, now);
        self.waiting.insert(id, answer);
    }

    fn enqueue(&mut self, proposal: Proposal, now: Instant) -> RecordId {
        let record = Record {
            id: RecordId::random(),
            after: self.state.offset(),
            proposal,
        };
        let bytes = encode(&record, &self.common.secret);
        self.outbox.push(record.id, bytes, now);
        record.id
    }

    /// Folds a batch; `false` when records between the fold and the batch are gone.
    pub(super) fn fold(&mut self, batch: &Batch, asked: Instant) -> bool {
        if batch.first > self.state.offset() {
            return false;
        }
        for (offset, bytes) in (batch.first.0..).zip(&batch.records) {
            if let Some((id, verdict)) = self.state.apply(Offset(offset), bytes) {
                self.settle(id, verdict);
            }
        }
        if self.state.offset() >= batch.head {
            self.verified = Some(asked);
        }
        true
    }

    fn settle(&mut self, id: RecordId, verdict: Verdict) {
        self.outbox.settle(id);
        if self.registering == Some(id) {
            self.registering = None;
            self.raise_incarnation(&verdict);
        }
        if let Some(answer) = self.waiting.swap_remove(&id) {
            let _ = answer.try_send(Ok(verdict));
        }
    }

    /// A clock that was set back draws an incarnation older than the last run's.
    fn raise_incarnation(&mut self, verdict: &Verdict) {
        if let Verdict::Refused(_, Refusal::Outdated(known)) = verdict {
            self.incarnation = known.next();
        }
    }

    /// Answers proposals whose deadline has passed.
    pub(super) fn expire(&mut self, now: Instant) {
        for overdue in self.outbox.expire(now) {
            if self.registering == Some(overdue.id) {
                self.registering = None;
            }
            if let Some(answer) = self.waiting.swap_remove(&overdue.id) {
                let _ = answer.try_send(Err(overdue.error));
            }
        }
    }

    pub(super) const fn set_peer(&mut self, peer: SocketAddr) {
        self.peer = Some(peer);
    }

    /// Proposes the registration of this process until the fold shows it.
    pub(super) fn register(&mut self, now: Instant) {
        let Some(wanted) = self.registration() else {
            return;
        };
        let known = self.state.facts().members.get(&wanted.id);
        if known == Some(&wanted) || self.registering.is_some() {
            return;
        }
        let id = self.enqueue(Proposal::Register(wanted), now);
        self.registering = Some(id);
    }

    fn registration(&self) -> Option<Registration> {
        Some(Registration {
            id: self.common.id.clone(),
            incarnation: self.incarnation,
            data_centre: self.common.data_centre.clone(),
            peer: self.peer?,
        })
    }

    /// Notes a heartbeat and what it says of the head of the log.
    pub(super) fn hear(&mut self, heartbeat: &Heartbeat, now: Instant) {
        self.roster.hear(heartbeat, now);
        let age = heartbeat.verified_ms.map(Duration::from_millis);
        let at = age.and_then(|age| now.checked_sub(age));
        if heartbeat.offset <= self.state.offset() {
            self.verified = self.verified.max(at);
        }
    }

    /// The log said that it is unavailable: nobody can append anything.
    ///
    /// It counts as a verified head only if no process has seen a later one.
    pub(super) fn note_unavailable(&mut self, asked: Instant) {
        let head = self.roster.highest();
        if self.verified.is_some() && head <= self.state.offset() {
            self.verified = Some(asked);
        }
    }

    pub(super) fn heartbeat(&self, now: Instant) -> Heartbeat {
        let age = self.verified.map(|at| now.saturating_duration_since(at));
        Heartbeat {
            member: self.common.id.clone(),
            incarnation: self.incarnation,
            offset: self.state.offset(),
            verified_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
        }
    }

    /// Keeps the roster to the registered members.
    pub(super) fn tick(&mut self, now: Instant) {
        let members = &self.state.facts().members;
        self.roster.retain(|id| members.contains_key(id));
        for (id, registration) in members {
            self.roster.watch(id, registration.incarnation, now);
        }
        self.roster.tick(now);
        self.expire(now);
        self.register(now);
    }

    pub(super) fn view(&self, now: Instant) -> View {
        picture::draw(self, now)
    }
}
