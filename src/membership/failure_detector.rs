//! Decides which processes are suspected of having failed.
//!
//! Each process counts its heartbeats. A member is alive while its count is seen
//! to grow, directly or through others, so a cut in one direction does no harm.

use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexMap;

use super::heartbeat_acks::HeartbeatAcks;
use super::remote_data_centres::{RemoteDataCentres, age_ms};
use crate::id::{DataCentre, Incarnation, MemberId};
use crate::ledger::RegisteredMember;
use crate::peer::{Heard, Heartbeat, Zone};

/// Time between two rounds of heartbeats of a member, in ms.
pub const HEARTBEAT_INTERVAL_MS: u64 = 2_000;

/// Silence after which a member of the own data centre is suspected, in ms.
///
/// Four heartbeats; news of a member reaches eight others within three.
pub const SUSPECT_AFTER_MS: u64 = 8_000;

/// Other data centres that one heartbeat tells of, so that its size is bounded.
const MAX_SUMMARIES: usize = 12;

/// Members of a data centre that speak to another one in a round, on average.
const REMOTE_SENDERS: usize = 2;

/// Gap between two ticks, in ms, after which this process itself was paused.
const MIN_PAUSE_MS: u64 = 2_000;

/// What was last heard of each member.
#[derive(Debug)]
pub struct FailureDetector {
    pub(super) own: Heard,
    pub(super) data_centre: DataCentre,
    pub(super) members: IndexMap<MemberId, MemberLiveness>,
    remote: RemoteDataCentres,
    pub(super) acks: HeartbeatAcks,
    last_tick: Option<Instant>,
    rng: Rng,
}

#[derive(Clone, Debug)]
pub(super) struct MemberLiveness {
    pub(super) data_centre: DataCentre,
    incarnation: Incarnation,
    beat: u64,
    pub(super) last_heard: Instant,
    /// When the beat was made; not moved by a pause of this process.
    sent_at: Option<Instant>,
}

impl MemberLiveness {
    /// True if `heard` is newer than what is known.
    fn is_older_than(&self, heard: &Heard) -> bool {
        (self.incarnation, self.beat) < (heard.incarnation, heard.beat)
    }

    pub(super) fn is_recently_heard(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(SUSPECT_AFTER_MS);
        now.saturating_duration_since(self.last_heard) < limit
    }
}

impl FailureDetector {
    /// The roster of a process that has heard of nobody; `seed` decides whom it asks first.
    #[must_use]
    pub fn new(
        id: &MemberId,
        data_centre: &DataCentre,
        incarnation: Incarnation,
        seed: u64,
    ) -> Self {
        Self {
            own: Heard {
                member: id.clone(),
                incarnation,
                beat: 0,
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

    /// Changes the incarnation that this process announces.
    pub const fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.own.incarnation = incarnation;
    }

    /// Keeps to the registered members; a new one counts as heard now.
    pub fn update_members(&mut self, members: &IndexMap<MemberId, RegisteredMember>, now: Instant) {
        self.members.retain(|id, _| members.contains_key(id));
        for (id, enrolment) in members {
            if *id != self.own.member {
                self.update_member(enrolment, now);
            }
        }
    }

    fn update_member(&mut self, enrolment: &RegisteredMember, now: Instant) {
        let registration = &enrolment.registration;
        let new_member = MemberLiveness {
            data_centre: registration.data_centre.clone(),
            incarnation: registration.incarnation,
            beat: 0,
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

    /// The signs of life for a heartbeat; each call counts as one beat.
    pub fn next_heartbeat(&mut self, now: Instant) -> Vec<Heard> {
        self.own.beat += 1;
        self.acks.record_sent(self.own.beat, now);
        let local = self.members.iter().filter(|(_, member)| {
            member.data_centre == self.data_centre && member.is_recently_heard(now)
        });
        let others = local.map(|(id, member)| Heard {
            member: id.clone(),
            incarnation: member.incarnation,
            beat: member.beat,
            age_ms: member
                .sent_at
                .map_or(u64::MAX, |sent_at| age_ms(sent_at, now)),
        });
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// What is known of some other data centres, for a heartbeat; others have their turn.
    #[must_use]
    pub fn remote_summaries(&mut self, now: Instant) -> Vec<Zone> {
        let known = self.remote.summaries(now);
        self.rng.choose_multiple(known, MAX_SUMMARIES)
    }

    /// Notes a heartbeat and what its sender has heard of others.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let mut sender_is_newer = false;
        for heard in &heartbeat.heard {
            self.receive_ack(&heartbeat.member, heard);
            let is_newer = self.record_heartbeat(heard, now);
            sender_is_newer |= is_newer && heard.member == heartbeat.member;
        }
        if sender_is_newer && let Some(zone) = self.summarize_sender(heartbeat) {
            self.remote.update(&zone, now);
        }
        for zone in &heartbeat.zones {
            if zone.data_centre != self.data_centre && self.record_heartbeat(&zone.witness, now) {
                self.remote.update(zone, now);
            }
        }
    }

    fn receive_ack(&mut self, from: &MemberId, heard: &Heard) {
        if heard.member == self.own.member && heard.incarnation == self.own.incarnation {
            self.acks.record_ack(from, heard.beat);
        }
    }

    /// True if it is news. A sign of life of an older run says nothing of the newer.
    fn record_heartbeat(&mut self, heard: &Heard, now: Instant) -> bool {
        let Some(member) = self.members.get_mut(&heard.member) else {
            return false;
        };
        if !member.is_older_than(heard) {
            return false;
        }
        member.incarnation = heard.incarnation;
        member.beat = heard.beat;
        member.last_heard = now;
        member.sent_at = now.checked_sub(Duration::from_millis(heard.age_ms));
        true
    }

    /// A heartbeat from another data centre is itself a summary of it.
    fn summarize_sender(&self, heartbeat: &Heartbeat) -> Option<Zone> {
        let sender = self.members.get(&heartbeat.member)?;
        if sender.data_centre == self.data_centre {
            return None;
        }
        let heard = &heartbeat.heard;
        let witness = heard.iter().find(|h| h.member == heartbeat.member)?;
        let is_heard = |id: &MemberId| heard.iter().any(|h| h.member == *id);
        let suspects = self
            .members
            .iter()
            .filter(|(id, member)| member.data_centre == sender.data_centre && !is_heard(id));
        let ages = heard.iter().map(|h| h.age_ms);
        Some(Zone {
            data_centre: sender.data_centre.clone(),
            witness: witness.clone(),
            suspects: suspects.map(|(id, _)| id.clone()).collect(),
            age_ms: ages.max()?,
        })
    }

    /// Called at least once a second. After a pause of this process the others'
    /// silence proves nothing, so they get the time of the pause on top.
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

    /// True unless the member has been silent for too long.
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

    /// Until when every member that is not suspected is known to have heard no more of
    /// the log than this process; `None` while a data centre is silent.
    ///
    /// Each sign of life travels with the highest head that its sender knew.
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

    /// Members to send a heartbeat to now: one of the own data centre and, once a
    /// round for the whole data centre, one of another.
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
