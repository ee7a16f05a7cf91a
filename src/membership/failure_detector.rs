//! Failure detection by gossip.
//!
//! Each process counts its heartbeats and passes on the counts that it knows of others. A
//! member is alive while its count is seen to grow, directly or through others, so a
//! connection that fails in one direction causes no suspicion.

use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexMap;

use super::heartbeat_acks::HeartbeatAcks;
use super::remote_data_centres::{RemoteDataCentres, age_ms};
use crate::id::{DataCentre, Incarnation, MemberId};
use crate::ledger::RegisteredMember;
use crate::peer::{DataCentreSummary, Heartbeat, LastHeard};

/// Time between two rounds in which a member sends heartbeats, in ms.
pub const HEARTBEAT_INTERVAL_MS: u64 = 2_000;

/// Time without a newer heartbeat after which a member of the own data centre is
/// suspected, in ms.
///
/// This is four rounds; a heartbeat reaches eight other members within three.
pub const SUSPECT_AFTER_MS: u64 = 8_000;

/// Summaries of other data centres in one heartbeat, so that its size is bounded.
const MAX_SUMMARIES: usize = 12;

/// Members of a data centre that send to another one in a round, on average.
const REMOTE_SENDERS: usize = 2;

/// Gap between two ticks from which on this process counts as having been paused, in ms.
const MIN_PAUSE_MS: u64 = 2_000;

/// The newest heartbeat known of each member, and which members that makes suspect.
#[derive(Debug)]
pub struct FailureDetector {
    pub(super) own: LastHeard,
    pub(super) data_centre: DataCentre,
    pub(super) members: IndexMap<MemberId, MemberLiveness>,
    remote: RemoteDataCentres,
    pub(super) acks: HeartbeatAcks,
    last_tick: Option<Instant>,
    rng: Rng,
}

/// Newest heartbeat known of a member.
#[derive(Clone, Debug)]
pub(super) struct MemberLiveness {
    pub(super) data_centre: DataCentre,
    incarnation: Incarnation,
    /// Number of heartbeats that the incarnation has made; 0 before the first is known.
    heartbeat_count: u64,
    /// When a newer heartbeat was last learned of; moved on by a pause of this process.
    pub(super) last_heard: Instant,
    /// When that heartbeat was made; unlike `last_heard` not moved by a pause of this
    /// process, and `None` before the first.
    sent_at: Option<Instant>,
}

impl MemberLiveness {
    /// True if `heard` is a later heartbeat than the newest known one.
    fn is_older_than(&self, heard: &LastHeard) -> bool {
        (self.incarnation, self.heartbeat_count) < (heard.incarnation, heard.heartbeat_count)
    }

    pub(super) fn is_recently_heard(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(SUSPECT_AFTER_MS);
        now.saturating_duration_since(self.last_heard) < limit
    }
}

impl FailureDetector {
    /// A detector that knows no other member. `seed` drives the random choice of receivers.
    #[must_use]
    pub fn new(
        id: &MemberId,
        data_centre: &DataCentre,
        incarnation: Incarnation,
        seed: u64,
    ) -> Self {
        Self {
            own: LastHeard {
                member: id.clone(),
                incarnation,
                heartbeat_count: 0,
                age_ms: 0,
            },
            data_centre: data_centre.clone(),
            members: IndexMap::new(),
            remote: RemoteDataCentres::default(),
            acks: HeartbeatAcks::default(),
            last_tick: None,
            rng: Rng::with_seed(seed),
        }
    }

    /// Changes the incarnation that this process states in its heartbeats.
    pub const fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.own.incarnation = incarnation;
    }

    /// Takes over the registered members and drops others. A new member, or a new incarnation
    /// of one, counts as heard now.
    pub fn update_members(&mut self, members: &IndexMap<MemberId, RegisteredMember>, now: Instant) {
        self.members.retain(|id, _| members.contains_key(id));
        for (id, registered) in members {
            if *id != self.own.member {
                self.update_member(registered, now);
            }
        }
    }

    fn update_member(&mut self, registered: &RegisteredMember, now: Instant) {
        let registration = &registered.registration;
        let new_member = MemberLiveness {
            data_centre: registration.data_centre.clone(),
            incarnation: registration.incarnation,
            heartbeat_count: 0,
            last_heard: now,
            sent_at: None,
        };
        match self.members.get_mut(&registration.id) {
            Some(known) if known.incarnation >= registration.incarnation => {}
            Some(known) => *known = new_member,
            None => {
                if registration.data_centre != self.data_centre {
                    self.remote.insert(&registration.data_centre, now);
                }
                self.members.insert(registration.id.clone(), new_member);
            }
        }
    }

    /// Counts a heartbeat of this process and returns the newest heartbeats of itself and of
    /// the members of its data centre that are not suspected.
    pub fn next_heartbeat(&mut self, now: Instant) -> Vec<LastHeard> {
        self.own.heartbeat_count += 1;
        self.acks.record_sent(self.own.heartbeat_count, now);
        let local = self.members.iter().filter(|(_, member)| {
            member.data_centre == self.data_centre && member.is_recently_heard(now)
        });
        let others = local.map(|(id, member)| LastHeard {
            member: id.clone(),
            incarnation: member.incarnation,
            heartbeat_count: member.heartbeat_count,
            age_ms: member
                .sent_at
                .map_or(u64::MAX, |sent_at| age_ms(sent_at, now)),
        });
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// Summaries of other data centres for a heartbeat; a random choice if there are more
    /// than fit.
    #[must_use]
    pub fn remote_summaries(&mut self, now: Instant) -> Vec<DataCentreSummary> {
        let known = self.remote.summaries(now);
        self.rng.choose_multiple(known, MAX_SUMMARIES)
    }

    /// Takes over a received heartbeat and the newest ones of others that it contains.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let mut sender_is_newer = false;
        for heard in &heartbeat.heard {
            self.receive_ack(&heartbeat.member, heard);
            let is_newer = self.record_heartbeat(heard, now);
            sender_is_newer |= is_newer && heard.member == heartbeat.member;
        }
        if sender_is_newer && let Some(summary) = self.summarize_sender(heartbeat) {
            self.remote.update(&summary, now);
        }
        for summary in &heartbeat.data_centres {
            if summary.data_centre != self.data_centre
                && self.record_heartbeat(&summary.reporter, now)
            {
                self.remote.update(summary, now);
            }
        }
    }

    fn receive_ack(&mut self, from: &MemberId, heard: &LastHeard) {
        if heard.member == self.own.member && heard.incarnation == self.own.incarnation {
            self.acks.record_ack(from, heard.heartbeat_count);
        }
    }

    /// Takes over a heartbeat of a member; `false` if it is not newer than the known one. One
    /// of an earlier incarnation says nothing about the current one.
    fn record_heartbeat(&mut self, heard: &LastHeard, now: Instant) -> bool {
        let Some(member) = self.members.get_mut(&heard.member) else {
            return false;
        };
        if !member.is_older_than(heard) {
            return false;
        }
        member.incarnation = heard.incarnation;
        member.heartbeat_count = heard.heartbeat_count;
        member.last_heard = now;
        member.sent_at = now.checked_sub(Duration::from_millis(heard.age_ms));
        true
    }

    /// Summary of the sender's data centre; `None` if that is the own one.
    fn summarize_sender(&self, heartbeat: &Heartbeat) -> Option<DataCentreSummary> {
        let sender = self.members.get(&heartbeat.member)?;
        if sender.data_centre == self.data_centre {
            return None;
        }
        let heard = &heartbeat.heard;
        let reporter = heard.iter().find(|h| h.member == heartbeat.member)?;
        let is_heard = |id: &MemberId| heard.iter().any(|h| h.member == *id);
        let suspects = self
            .members
            .iter()
            .filter(|(id, member)| member.data_centre == sender.data_centre && !is_heard(id));
        let ages = heard.iter().map(|h| h.age_ms);
        Some(DataCentreSummary {
            data_centre: sender.data_centre.clone(),
            reporter: reporter.clone(),
            suspects: suspects.map(|(id, _)| id.clone()).collect(),
            age_ms: ages.max()?,
        })
    }

    /// Must be called at least once a second. After a pause of this process the silence of
    /// others proves nothing, so their deadlines are extended by the pause.
    pub fn tick(&mut self, now: Instant) {
        let last = self.last_tick.replace(now);
        let gap = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        if gap < Duration::from_millis(MIN_PAUSE_MS) {
            return;
        }
        for member in self.members.values_mut() {
            member.last_heard = (member.last_heard + gap).min(now);
        }
        self.remote.extend_deadlines(gap, now);
    }

    /// False if the member is suspected or not registered; this process itself is alive.
    #[must_use]
    pub fn is_alive(&self, id: &MemberId, now: Instant) -> bool {
        let Some(member) = self.members.get(id) else {
            return *id == self.own.member;
        };
        if member.data_centre == self.data_centre {
            return member.is_recently_heard(now);
        }
        self.remote.is_alive(&member.data_centre, now)
            && !self.remote.is_suspected(&member.data_centre, id)
    }

    /// Time of the oldest among the newest heartbeats of all members that are not suspected;
    /// `None` while none is known of some other data centre or unsuspected member.
    ///
    /// Each heartbeat carries the highest head of the log that its sender knew. Up to this
    /// time, none of these members knew of a later head than this process does now.
    #[must_use]
    pub fn news_complete_until(&self, now: Instant) -> Option<Instant> {
        let mut oldest = now;
        for member in self.members.values() {
            let local = member.data_centre == self.data_centre;
            if local && !member.is_recently_heard(now) {
                continue;
            }
            let heard = if local {
                member.sent_at
            } else {
                self.remote.complete_until(&member.data_centre)
            };
            oldest = oldest.min(heard?);
        }
        Some(oldest)
    }

    /// Members to send a heartbeat to in this round: a random one of the own data centre and,
    /// for two members of the data centre on average, one of another.
    pub fn pick_receivers(&mut self) -> Vec<MemberId> {
        let data_centre = self.data_centre.clone();
        let local = self.pick_random(|member| member.data_centre == data_centre);
        let peers = self.count_local();
        let sends_remote = self.rng.usize(0..=peers) < REMOTE_SENDERS;
        let remote =
            sends_remote.then(|| self.pick_random(|member| member.data_centre != data_centre));
        local.into_iter().chain(remote.flatten()).collect()
    }

    fn count_local(&self) -> usize {
        let members = self.members.values();
        members
            .filter(|member| member.data_centre == self.data_centre)
            .count()
    }

    fn pick_random(&mut self, wanted: impl Fn(&MemberLiveness) -> bool) -> Option<MemberId> {
        let found = self.members.iter().filter(|(_, member)| wanted(member));
        let ids: Vec<MemberId> = found.map(|(id, _)| id.clone()).collect();
        self.rng.choice(ids)
    }
}
