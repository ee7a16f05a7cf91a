//! State of the control thread and its decisions; no I/O, `now` is handed in.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Sender;
use indexmap::IndexMap;

use super::freshness::Freshness;
use super::inventory::{Inventory, ListFault};
use super::keeper::Keeper;
use super::outbox::Outbox;
use super::registrar::Registrar;
use super::retirer::Retirer;
use super::{ProposeError, Settings, picture};
use crate::config::Common;
use crate::id::{Incarnation, MemberId, Offset, RecordId};
use crate::ledger::{Proposal, Record, Refusal, State, TrustedKeys, Verdict, encode_record};
use crate::membership::{DemandReport, FailureDetector, QuotaManager};
use crate::peer::Heartbeat;
use crate::services::{Batch, Listing, LogError};
use crate::view::View;

/// Answer to a proposal.
pub type Answer = Result<Verdict, ProposeError>;

/// What the control thread knows.
#[derive(Debug)]
pub struct Core {
    pub(super) common: Common,
    pub(super) state: State,
    pub(super) vms: Inventory,
    pub(super) roster: FailureDetector,
    pub(super) outbox: Outbox,
    pub(super) freshness: Freshness,
    pub(super) keeper: Keeper,
    pub(super) registrar: Registrar,
    pub(super) quota: QuotaManager,
    retirer: Retirer,
    /// True when heartbeats are exchanged, so that silence means something.
    pub(super) beats: bool,
    waiting: IndexMap<RecordId, Sender<Answer>>,
}

/// Records between the fold and what the log still has are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap;

impl Core {
    /// The control state of a process that knows nothing yet.
    #[must_use]
    pub fn open(
        common: &Common,
        settings: &Settings,
        incarnation: Incarnation,
        now: Instant,
    ) -> Self {
        let trust = TrustedKeys {
            secret: common.secret.clone(),
            root: common.root_key,
        };
        let (id, home) = (&common.id, &common.data_centre);
        Self {
            common: common.clone(),
            state: State::empty(trust),
            vms: Inventory::default(),
            roster: FailureDetector::new(id, home, incarnation, incarnation.0),
            outbox: Outbox::open(now),
            freshness: Freshness::default(),
            keeper: Keeper::open(id, settings.snapshot_every, now),
            registrar: Registrar::open(incarnation),
            quota: QuotaManager::new(id),
            retirer: Retirer::default(),
            beats: settings.beats,
            waiting: IndexMap::new(),
        }
    }

    /// The fold.
    #[must_use]
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// Takes over an answer of the VM list.
    ///
    /// # Errors
    /// Says why the answer is not believed; the list stays as it was.
    pub fn apply_vms(&mut self, listing: Listing, now: Instant) -> Result<(), ListFault> {
        self.vms.apply(listing, now)
    }

    /// When the head of the log was last known to be folded.
    #[must_use]
    pub const fn verified(&self) -> Option<Instant> {
        self.freshness.verified()
    }

    /// The own next offset, and the highest head of the log that is known.
    #[must_use]
    pub fn heads(&self) -> (Offset, Offset) {
        (self.state.offset(), self.freshness.head())
    }

    /// Addresses of the other members.
    #[must_use]
    pub fn other_peers(&self) -> Vec<SocketAddr> {
        let members = self.state.facts().members.values();
        members
            .map(|member| &member.registration)
            .filter(|member| member.id != self.common.id)
            .map(|member| member.peer_address)
            .collect()
    }

    /// Queues a proposal of this process; `answer` gets the verdict.
    pub fn propose(&mut self, proposal: Proposal, answer: Sender<Answer>, now: Instant) {
        let id = self.enqueue(proposal, now);
        self.waiting.insert(id, answer);
    }

    pub(super) fn enqueue(&mut self, proposal: Proposal, now: Instant) -> RecordId {
        let record = Record {
            id: RecordId::random(),
            proposed_at: self.state.offset(),
            proposal,
        };
        let bytes = encode_record(&record, &self.common.secret);
        self.outbox.push(record.id, bytes, now);
        record.id
    }

    /// Records to append now.
    pub fn take(&mut self, now: Instant) -> Vec<Vec<u8>> {
        self.outbox.take(now)
    }

    /// Notes how the append of the records last taken ended.
    pub fn appended(&mut self, result: Result<Offset, &LogError>, now: Instant) {
        match result {
            Ok(_) => self.outbox.succeed(),
            Err(error) => self.outbox.fail(error, now),
        }
    }

    /// Folds records read by a question asked at `asked`.
    ///
    /// # Errors
    /// Folds nothing when records before the batch are missing.
    pub fn fold(&mut self, batch: &Batch, asked: Instant, now: Instant) -> Result<(), Gap> {
        if batch.first > self.state.offset() {
            return Err(Gap);
        }
        for (offset, bytes) in (batch.first.0..).zip(&batch.records) {
            if let Some((id, verdict)) = self.state.apply(Offset(offset), bytes) {
                self.settle(id, verdict);
            }
            let leads = self.leads();
            self.keeper.look(&self.state, leads, now);
        }
        self.freshness.read(batch.head, self.state.offset(), asked);
        Ok(())
    }

    /// Takes over a later state of the same log; `false` when it is not later.
    pub fn adopt(&mut self, state: State) -> bool {
        if state.offset() <= self.state.offset() {
            return false;
        }
        self.state = state;
        self.quota.settle_missed(&self.state);
        let ids: Vec<RecordId> = self.waiting.keys().copied().collect();
        for id in ids {
            if let Some(verdict) = self.state.verdict(id).cloned() {
                self.settle(id, verdict);
            }
        }
        true
    }

    fn settle(&mut self, id: RecordId, verdict: Verdict) {
        self.outbox.settle(id);
        self.registrar.settle(id, Some(&verdict));
        self.quota.settle(id, &verdict);
        self.retirer.settle(id);
        self.roster.set_incarnation(self.registrar.incarnation);
        if let Verdict::Refused(offset, Refusal::Digest) = verdict {
            spdlog::error!("snapshot_digest_differs", kv: { offset = offset.0 });
        }
        if let Some(answer) = self.waiting.swap_remove(&id) {
            let _ = answer.try_send(Ok(verdict));
        }
    }

    fn leads(&self) -> bool {
        let held = self.state.facts().planner.as_ref();
        held.is_some_and(|held| held.member == self.common.id)
    }

    /// Sets the address at which others reach this process, and registers it.
    pub fn set_peer(&mut self, peer: SocketAddr, now: Instant) {
        self.registrar.set_peer(peer);
        self.register(now);
    }

    fn register(&mut self, now: Instant) {
        let wanted = self.registrar.wanted(&self.common, &self.state, now);
        if let Some(wanted) = wanted {
            let id = self.enqueue(Proposal::Register(wanted), now);
            self.registrar.proposed(id, now);
        }
    }

    /// The log said that it is unavailable: nobody can append anything.
    pub fn note_unavailable(&mut self, asked: Instant) {
        self.freshness.closed(self.state.offset(), asked);
    }

    /// The log gave no answer; as long as every data centre is heard of and none knows
    /// more, nothing can have been accepted.
    pub fn note_unreachable(&mut self, asked: Instant) {
        if !self.beats {
            return;
        }
        if let Some(heard) = self.roster.news_complete_until(asked) {
            self.freshness.closed(self.state.offset(), heard);
        }
    }

    /// Notes a heartbeat and what it says of the head of the log.
    pub fn hear(&mut self, heartbeat: &Heartbeat, now: Instant) {
        self.roster.receive(heartbeat, now);
        let age = heartbeat.verified_ms.map(Duration::from_millis);
        let folded = self.state.offset();
        self.freshness.hear(heartbeat.offset, age, folded, now);
    }

    /// A new heartbeat of this process.
    pub fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        let verified = self.freshness.verified();
        let age = verified.map(|at| now.saturating_duration_since(at));
        Heartbeat {
            member: self.common.id.clone(),
            incarnation: self.registrar.incarnation,
            offset: self.state.offset().max(self.freshness.head()),
            verified_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
            heard: self.roster.next_heartbeat(now),
            zones: self.roster.remote_summaries(now),
        }
    }

    /// Addresses to send a heartbeat to now.
    pub fn receivers(&mut self) -> Vec<SocketAddr> {
        let ids = self.roster.pick_receivers();
        let members = &self.state.facts().members;
        let address = |id: &MemberId| {
            members
                .get(id)
                .map(|member| member.registration.peer_address)
        };
        ids.iter().filter_map(address).collect()
    }

    /// Looks at deadlines and members; called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.roster.update_members(&self.state.facts().members, now);
        self.roster.tick(now);
        for overdue in self.outbox.expire(now) {
            self.registrar.settle(overdue.id, None);
            self.retirer.settle(overdue.id);
            if matches!(overdue.error, ProposeError::NotAppended(_)) {
                self.quota.abandon(overdue.id);
            }
            if let Some(answer) = self.waiting.swap_remove(&overdue.id) {
                let _ = answer.try_send(Err(overdue.error));
            }
        }
        self.register(now);
        self.retire(now);
        self.quota.settle_missed(&self.state);
        self.balance(now);
    }

    /// Takes and gives parts of ceilings as demand asks.
    pub fn balance(&mut self, now: Instant) {
        let run = self.registrar.incarnation;
        let heard = self.heard(now).is_some();
        for ask in self.quota.plan_transfers(&self.state, run, heard, now) {
            let id = self.enqueue(ask.proposal, now);
            self.quota.record_proposed(&ask.team, id, &self.state);
        }
    }

    /// Notes what the traffic threads run.
    pub fn report(&mut self, report: &DemandReport, now: Instant) {
        self.quota.apply_report(report, now);
        self.balance(now);
    }

    /// Until when this process may use its parts of ceilings; `None` before it has any.
    #[must_use]
    pub fn tenure_end(&self, now: Instant) -> Option<Instant> {
        self.registrar.tenure.expires_at(self.heard(now))
    }

    /// When the newest beat was made that most members of the data centre have heard.
    fn heard(&self, now: Instant) -> Option<Instant> {
        let takes_part = self.beats && self.registrar.peer().is_some();
        takes_part
            .then(|| self.roster.newest_majority_ack(now))
            .flatten()
    }

    fn retire(&mut self, now: Instant) {
        if !self.beats {
            return;
        }
        let (state, roster) = (&self.state, &self.roster);
        if let Some(proposal) = self.retirer.wanted(state, roster, &self.freshness, now) {
            let id = self.enqueue(proposal, now);
            spdlog::warn!("member_silent", kv: { record = id.to_string() });
            self.retirer.proposed(id);
        }
    }

    /// What traffic threads are to know.
    #[must_use]
    pub fn view(&self, now: Instant) -> View {
        picture::draw(self, now)
    }
}
