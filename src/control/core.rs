//! State and decisions of the control thread, without I/O; the caller passes in the time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Sender;
use indexmap::IndexMap;

use super::freshness::Freshness;
use super::inventory::{Inventory, ListFault};
use super::outbox::Outbox;
use super::registrar::Registrar;
use super::retirement::RetirementProposer;
use super::snapshotter::Snapshotter;
use super::{ProposeError, Settings, view_builder};
use crate::config::CommonConfig;
use crate::id::{Incarnation, MemberId, Offset, RecordId};
use crate::ledger::{Proposal, Record, Refusal, State, TrustedKeys, Verdict, encode_record};
use crate::membership::{DemandReport, FailureDetector, QuotaManager};
use crate::peer::Heartbeat;
use crate::services::{Batch, Listing, LogError};
use crate::view::View;

/// Result of a proposal: its verdict, or why none was seen.
pub type ProposeResult = Result<Verdict, ProposeError>;

/// State of the control thread, apart from its tasks and connections.
#[derive(Debug)]
pub struct Core {
    pub(super) common: CommonConfig,
    pub(super) state: State,
    pub(super) inventory: Inventory,
    pub(super) failure_detector: FailureDetector,
    pub(super) outbox: Outbox,
    pub(super) freshness: Freshness,
    pub(super) snapshotter: Snapshotter,
    pub(super) registrar: Registrar,
    pub(super) quota: QuotaManager,
    retirement: RetirementProposer,
    /// True when this process exchanges heartbeats, so that a silent member may have failed.
    pub(super) heartbeats: bool,
    /// Where to send the results of proposals that have no verdict yet.
    proposers: IndexMap<RecordId, Sender<ProposeResult>>,
}

/// The log no longer has the records that would have to be folded next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogGap;

impl Core {
    /// Creates the state of a process that has read nothing from the log yet.
    #[must_use]
    pub fn new(
        common: &CommonConfig,
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
            inventory: Inventory::default(),
            failure_detector: FailureDetector::new(id, home, incarnation, incarnation.0),
            outbox: Outbox::new(now),
            freshness: Freshness::default(),
            snapshotter: Snapshotter::new(id, settings.snapshot_every, now),
            registrar: Registrar::new(incarnation),
            quota: QuotaManager::new(id),
            retirement: RetirementProposer::default(),
            heartbeats: settings.heartbeats,
            proposers: IndexMap::new(),
        }
    }

    /// State folded from the log so far.
    #[must_use]
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// Applies an answer of the VM list.
    ///
    /// # Errors
    /// Returns why the answer was rejected; the known list is unchanged.
    pub fn apply_vm_list(&mut self, listing: Listing, now: Instant) -> Result<(), ListFault> {
        self.inventory.apply(listing, now)
    }

    /// Latest time at which the state was known to include the head of the log; `None` if it
    /// never was.
    #[must_use]
    pub const fn verified(&self) -> Option<Instant> {
        self.freshness.verified()
    }

    /// Next offset that this process folds, and the highest head of the log that is known.
    #[must_use]
    pub fn folded_and_head(&self) -> (Offset, Offset) {
        (self.state.offset(), self.freshness.head())
    }

    /// Peer addresses of the other registered members.
    #[must_use]
    pub fn other_member_addresses(&self) -> Vec<SocketAddr> {
        let members = self.state.facts().members.values();
        members
            .map(|member| &member.registration)
            .filter(|member| member.id != self.common.id)
            .map(|member| member.peer_address)
            .collect()
    }

    /// Queues a proposal of this process; the result is sent to `answer`.
    pub fn propose(&mut self, proposal: Proposal, answer: Sender<ProposeResult>, now: Instant) {
        let id = self.enqueue(proposal, now);
        self.proposers.insert(id, answer);
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

    /// Returns the encoded records to append now; empty when none is due.
    pub fn take_batch(&mut self, now: Instant) -> Vec<Vec<u8>> {
        self.outbox.take_batch(now)
    }

    /// Notes the result of appending the last batch from [`take_batch`](Self::take_batch).
    pub fn note_append_result(&mut self, result: Result<Offset, &LogError>, now: Instant) {
        match result {
            Ok(_) => self.outbox.mark_appended(),
            Err(error) => self.outbox.mark_failed(error, now),
        }
    }

    /// Folds the records of a read that was sent at `asked_at`.
    ///
    /// # Errors
    /// Folds nothing if records before the batch are missing.
    pub fn fold(&mut self, batch: &Batch, asked_at: Instant, now: Instant) -> Result<(), LogGap> {
        if batch.first > self.state.offset() {
            return Err(LogGap);
        }
        for (offset, bytes) in (batch.first.0..).zip(&batch.records) {
            if let Some((id, verdict)) = self.state.apply(Offset(offset), bytes) {
                self.settle(id, verdict);
            }
            let is_planner = self.is_planner();
            self.snapshotter.observe(&self.state, is_planner, now);
        }
        self.freshness
            .note_read(batch.head, self.state.offset(), asked_at);
        Ok(())
    }

    /// Replaces the state by a later state of the same log, such as a restored snapshot.
    ///
    /// Returns `false` and changes nothing if `state` is not later.
    pub fn adopt(&mut self, state: State) -> bool {
        if state.offset() <= self.state.offset() {
            return false;
        }
        self.state = state;
        self.quota.settle_missed(&self.state);
        let ids: Vec<RecordId> = self.proposers.keys().copied().collect();
        for id in ids {
            if let Some(verdict) = self.state.verdict(id).cloned() {
                self.settle(id, verdict);
            }
        }
        true
    }

    /// Passes the verdict on a record to whoever waits for it.
    fn settle(&mut self, id: RecordId, verdict: Verdict) {
        self.outbox.settle(id);
        self.registrar.settle(id, Some(&verdict));
        self.quota.settle(id, &verdict);
        self.retirement.settle(id);
        self.failure_detector
            .set_incarnation(self.registrar.incarnation);
        if let Verdict::Refused(offset, Refusal::Digest) = verdict {
            spdlog::error!("snapshot_digest_differs", kv: { offset = offset.0 });
        }
        if let Some(answer) = self.proposers.swap_remove(&id) {
            let _ = answer.try_send(Ok(verdict));
        }
    }

    fn is_planner(&self) -> bool {
        let held = self.state.facts().planner.as_ref();
        held.is_some_and(|held| held.member == self.common.id)
    }

    /// Sets the address at which peers reach this process, and registers it in the log.
    pub fn set_peer_address(&mut self, peer: SocketAddr, now: Instant) {
        self.registrar.set_peer_address(peer);
        self.register(now);
    }

    fn register(&mut self, now: Instant) {
        let registration = self
            .registrar
            .due_registration(&self.common, &self.state, now);
        if let Some(registration) = registration {
            let id = self.enqueue(Proposal::Register(registration), now);
            self.registrar.note_proposed(id, now);
        }
    }

    /// Notes that the log answered a request sent at `asked_at` with "unavailable": nobody
    /// can append, so the head can't have moved.
    pub fn note_log_unavailable(&mut self, asked_at: Instant) {
        self.freshness
            .note_no_appends(self.state.offset(), asked_at);
    }

    /// Notes that the log gave no answer to a request sent at `asked_at`.
    ///
    /// As long as every data centre is heard of and none knows of a later head, no record
    /// can have been accepted since.
    pub fn note_log_unreachable(&mut self, asked_at: Instant) {
        if !self.heartbeats {
            return;
        }
        if let Some(heard) = self.failure_detector.news_complete_until(asked_at) {
            self.freshness.note_no_appends(self.state.offset(), heard);
        }
    }

    /// Notes a heartbeat of another process and the head of the log that it reports.
    pub fn receive_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        self.failure_detector.receive(heartbeat, now);
        let age = heartbeat.verified_ms.map(Duration::from_millis);
        let folded = self.state.offset();
        self.freshness.note_peer(heartbeat.offset, age, folded, now);
    }

    /// Creates the next heartbeat of this process.
    pub fn make_heartbeat(&mut self, now: Instant) -> Heartbeat {
        let verified = self.freshness.verified();
        let age = verified.map(|at| now.saturating_duration_since(at));
        Heartbeat {
            member: self.common.id.clone(),
            incarnation: self.registrar.incarnation,
            offset: self.state.offset().max(self.freshness.head()),
            verified_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
            heard: self.failure_detector.next_heartbeat(now),
            data_centres: self.failure_detector.remote_summaries(now),
        }
    }

    /// Picks the peer addresses to send a heartbeat to in this round.
    pub fn heartbeat_receivers(&mut self) -> Vec<SocketAddr> {
        let ids = self.failure_detector.pick_receivers();
        let members = &self.state.facts().members;
        let address = |id: &MemberId| {
            members
                .get(id)
                .map(|member| member.registration.peer_address)
        };
        ids.iter().filter_map(address).collect()
    }

    /// Handles expired proposals, silent members, registrations and ceilings; called several
    /// times a second.
    pub fn tick(&mut self, now: Instant) {
        self.failure_detector
            .update_members(&self.state.facts().members, now);
        self.failure_detector.tick(now);
        for overdue in self.outbox.expire(now) {
            self.registrar.settle(overdue.id, None);
            self.retirement.settle(overdue.id);
            if matches!(overdue.error, ProposeError::NotAppended(_)) {
                self.quota.abandon(overdue.id);
            }
            if let Some(answer) = self.proposers.swap_remove(&overdue.id) {
                let _ = answer.try_send(Err(overdue.error));
            }
        }
        self.register(now);
        self.propose_retirement(now);
        self.quota.settle_missed(&self.state);
        self.rebalance(now);
    }

    /// Proposes transfers between this process's parts of the teams' ceilings and the
    /// reserve, according to demand.
    pub fn rebalance(&mut self, now: Instant) {
        let run = self.registrar.incarnation;
        let heard = self.heard_by_majority(now).is_some();
        for ask in self.quota.plan_transfers(&self.state, run, heard, now) {
            let id = self.enqueue(ask.proposal, now);
            self.quota.record_proposed(&ask.team, id, &self.state);
        }
    }

    /// Notes the demand that the traffic threads report, and rebalances the ceilings.
    pub fn receive_report(&mut self, report: &DemandReport, now: Instant) {
        self.quota.apply_report(report, now);
        self.rebalance(now);
    }

    /// Time until which this process may use its parts of the ceilings; `None` before its
    /// first confirmation by the log or by most members of its data centre.
    #[must_use]
    pub fn lease_expires_at(&self, now: Instant) -> Option<Instant> {
        self.registrar
            .registration_lease
            .expires_at(self.heard_by_majority(now))
    }

    /// Time of this process's newest heartbeat that most members of its data centre have
    /// heard; `None` if there is none or this process does not take part.
    fn heard_by_majority(&self, now: Instant) -> Option<Instant> {
        let takes_part = self.heartbeats && self.registrar.peer_address().is_some();
        takes_part
            .then(|| self.failure_detector.newest_majority_ack(now))
            .flatten()
    }

    fn propose_retirement(&mut self, now: Instant) {
        if !self.heartbeats {
            return;
        }
        let (state, failure_detector) = (&self.state, &self.failure_detector);
        if let Some(proposal) =
            self.retirement
                .due_proposal(state, failure_detector, &self.freshness, now)
        {
            let id = self.enqueue(proposal, now);
            spdlog::warn!("member_silent", kv: { record = id.to_string() });
            self.retirement.note_proposed(id);
        }
    }

    /// Builds the view for the traffic threads.
    #[must_use]
    pub fn view(&self, now: Instant) -> View {
        view_builder::build(self, now)
    }
}
