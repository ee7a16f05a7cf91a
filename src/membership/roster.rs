//! Decides which processes are suspected of having failed.
//!
//! Each process counts its heartbeats. A member is alive while its count is seen
//! to grow, directly or through others, so a cut in one direction does no harm.

use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexMap;

use super::echo::Echoes;
use super::zones::{Zones, age_ms};
use crate::id::{DataCentre, Incarnation, MemberId};
use crate::ledger::RegisteredMember;
use crate::peer::{Heard, Heartbeat, Zone};

/// Time between two rounds of heartbeats of a member, in ms.
pub const BEAT_MS: u64 = 2_000;

/// Silence after which a member of the own data centre is suspected, in ms.
///
/// Four heartbeats; news of a member reaches eight others within three.
pub const SUSPECT_MS: u64 = 8_000;

/// Other data centres that one heartbeat tells of, so that its size is bounded.
const MAX_ZONES: usize = 12;

/// Members of a data centre that speak to another one in a round, on average.
const SPEAKERS: usize = 2;

/// Gap between two ticks, in ms, after which this process itself was paused.
const PAUSE_MS: u64 = 2_000;

/// What was last heard of each member.
#[derive(Debug)]
pub struct Roster {
    pub(super) own: Heard,
    pub(super) home: DataCentre,
    pub(super) members: IndexMap<MemberId, Contact>,
    zones: Zones,
    pub(super) echoes: Echoes,
    ticked: Option<Instant>,
    rng: Rng,
}

#[derive(Clone, Debug)]
pub(super) struct Contact {
    pub(super) data_centre: DataCentre,
    incarnation: Incarnation,
    beat: u64,
    pub(super) at: Instant,
    /// When the beat was made; not moved by a pause of this process.
    made: Option<Instant>,
}

impl Contact {
    /// True if `heard` is newer than what is known.
    fn is_behind(&self, heard: &Heard) -> bool {
        (self.incarnation, self.beat) < (heard.incarnation, heard.beat)
    }

    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(SUSPECT_MS);
        now.saturating_duration_since(self.at) < limit
    }
}

impl Roster {
    /// The roster of a process that has heard of nobody; `seed` decides whom it asks first.
    #[must_use]
    pub fn open(id: &MemberId, home: &DataCentre, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            own: Heard {
                member: id.clone(),
                incarnation,
                beat: 0,
                age_ms: 0,
            },
            home: home.clone(),
            members: IndexMap::new(),
            zones: Zones::default(),
            echoes: Echoes::default(),
            ticked: None,
            rng: Rng::with_seed(seed),
        }
    }

    /// Changes the incarnation that this process announces.
    pub const fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.own.incarnation = incarnation;
    }

    /// Keeps to the registered members; a new one counts as heard now.
    pub fn watch(&mut self, members: &IndexMap<MemberId, RegisteredMember>, now: Instant) {
        self.members.retain(|id, _| members.contains_key(id));
        for (id, enrolment) in members {
            if *id != self.own.member {
                self.watch_one(enrolment, now);
            }
        }
    }

    fn watch_one(&mut self, enrolment: &RegisteredMember, now: Instant) {
        let registration = &enrolment.registration;
        let fresh = Contact {
            data_centre: registration.data_centre.clone(),
            incarnation: registration.incarnation,
            beat: 0,
            at: now,
            made: None,
        };
        match self.members.get_mut(&registration.id) {
            Some(known) if known.incarnation >= registration.incarnation => {}
            Some(known) => *known = fresh,
            None => {
                if registration.data_centre != self.home {
                    self.zones.watch(&registration.data_centre, now);
                }
                self.members.insert(registration.id.clone(), fresh);
            }
        }
    }

    /// The signs of life for a heartbeat; each call counts as one beat.
    pub fn beat(&mut self, now: Instant) -> Vec<Heard> {
        self.own.beat += 1;
        self.echoes.made(self.own.beat, now);
        let local = self
            .members
            .iter()
            .filter(|(_, contact)| contact.data_centre == self.home && contact.is_fresh(now));
        let others = local.map(|(id, contact)| Heard {
            member: id.clone(),
            incarnation: contact.incarnation,
            beat: contact.beat,
            age_ms: contact.made.map_or(u64::MAX, |made| age_ms(made, now)),
        });
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// What is known of some other data centres, for a heartbeat; others have their turn.
    #[must_use]
    pub fn zones(&mut self, now: Instant) -> Vec<Zone> {
        let known = self.zones.summary(now);
        self.rng.choose_multiple(known, MAX_ZONES)
    }

    /// Notes a heartbeat and what its sender has heard of others.
    pub fn hear(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let mut lives = false;
        for heard in &heartbeat.heard {
            self.echo(&heartbeat.member, heard);
            let news = self.note(heard, now);
            lives |= news && heard.member == heartbeat.member;
        }
        if lives && let Some(zone) = self.zone_of(heartbeat) {
            self.zones.hear(&zone, now);
        }
        for zone in &heartbeat.zones {
            if zone.data_centre != self.home && self.note(&zone.witness, now) {
                self.zones.hear(zone, now);
            }
        }
    }

    fn echo(&mut self, from: &MemberId, heard: &Heard) {
        if heard.member == self.own.member && heard.incarnation == self.own.incarnation {
            self.echoes.hear(from, heard.beat);
        }
    }

    /// True if it is news. A sign of life of an older run says nothing of the newer.
    fn note(&mut self, heard: &Heard, now: Instant) -> bool {
        let Some(contact) = self.members.get_mut(&heard.member) else {
            return false;
        };
        if !contact.is_behind(heard) {
            return false;
        }
        contact.incarnation = heard.incarnation;
        contact.beat = heard.beat;
        contact.at = now;
        contact.made = now.checked_sub(Duration::from_millis(heard.age_ms));
        true
    }

    /// A heartbeat from another data centre is itself a summary of it.
    fn zone_of(&self, heartbeat: &Heartbeat) -> Option<Zone> {
        let sender = self.members.get(&heartbeat.member)?;
        if sender.data_centre == self.home {
            return None;
        }
        let heard = &heartbeat.heard;
        let witness = heard.iter().find(|h| h.member == heartbeat.member)?;
        let is_heard = |id: &MemberId| heard.iter().any(|h| h.member == *id);
        let suspects = self
            .members
            .iter()
            .filter(|(id, contact)| contact.data_centre == sender.data_centre && !is_heard(id));
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
        let last = self.ticked.replace(now);
        let gap = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        if gap < Duration::from_millis(PAUSE_MS) {
            return;
        }
        for contact in self.members.values_mut() {
            contact.at = (contact.at + gap).min(now);
        }
        self.zones.excuse(gap, now);
    }

    /// True unless the member has been silent for too long.
    #[must_use]
    pub fn is_alive(&self, id: &MemberId, now: Instant) -> bool {
        let Some(contact) = self.members.get(id) else {
            return *id == self.own.member;
        };
        if contact.data_centre == self.home {
            return contact.is_fresh(now);
        }
        self.zones.is_alive(&contact.data_centre, now)
            && !self.zones.is_suspected(&contact.data_centre, id)
    }

    /// Until when every member that is not suspected is known to have heard no more of
    /// the log than this process; `None` while a data centre is silent.
    ///
    /// Each sign of life travels with the highest head that its sender knew.
    #[must_use]
    pub fn heard_of_all(&self, now: Instant) -> Option<Instant> {
        let mut oldest = now;
        for contact in self.members.values() {
            let local = contact.data_centre == self.home;
            if local && !contact.is_fresh(now) {
                continue;
            }
            let heard = if local {
                contact.made
            } else {
                self.zones.heard(&contact.data_centre)
            };
            oldest = oldest.min(heard?);
        }
        Some(oldest)
    }

    /// Members to send a heartbeat to now: one of the own data centre and, once a
    /// round for the whole data centre, one of another.
    pub fn receivers(&mut self) -> Vec<MemberId> {
        let home = self.home.clone();
        let local = self.pick(|contact| contact.data_centre == home);
        let peers = self.count_local();
        let speaks = self.rng.usize(0..=peers) < SPEAKERS;
        let remote = speaks.then(|| self.pick(|contact| contact.data_centre != home));
        local.into_iter().chain(remote.flatten()).collect()
    }

    fn count_local(&self) -> usize {
        let members = self.members.values();
        members
            .filter(|contact| contact.data_centre == self.home)
            .count()
    }

    fn pick(&mut self, wanted: impl Fn(&Contact) -> bool) -> Option<MemberId> {
        let found = self.members.iter().filter(|(_, contact)| wanted(contact));
        let ids: Vec<MemberId> = found.map(|(id, _)| id.clone()).collect();
        self.rng.choice(ids)
    }
}
