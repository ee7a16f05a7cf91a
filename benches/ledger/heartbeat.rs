//! Bytes of heartbeats that a member sends and receives, by members of the fleet.

use std::time::{Duration, Instant};

use amaranthwick::id::{DataCentre, Incarnation, MemberId, Offset};
use amaranthwick::ledger::{RegisteredMember, Registration};
use amaranthwick::membership::{FailureDetector, HEARTBEAT_INTERVAL_MS};
use amaranthwick::peer::{Heartbeat, PeerRequest};
use indexmap::IndexMap;

const ROUNDS: u32 = 300;

/// Rounds until every member has heard of every other.
const WARM_ROUNDS: u32 = 30;

pub(crate) fn run() {
    for (places, members) in [(3, 3), (3, 8), (5, 8), (10, 8)] {
        measure(places, members);
    }
}

fn measure(places: usize, members: usize) {
    let mut world = World::open(places, members);
    let mut ages = Vec::new();
    for round in 0..ROUNDS {
        world.round();
        if round >= WARM_ROUNDS {
            ages.extend(world.news_ages());
        }
    }
    ages.sort_unstable();
    let age_p50 = ages[ages.len() / 2].as_secs_f64();
    let age_p99 = ages[ages.len() * 99 / 100].as_secs_f64();
    let age_max = ages[ages.len() - 1].as_secs_f64();
    let nodes = (places * members) as f64;
    let seconds = f64::from(ROUNDS) * HEARTBEAT_INTERVAL_MS as f64 / 1_000.0;
    let bytes = 2.0 * world.bytes as f64 / nodes / seconds;
    let messages = 2.0 * world.messages as f64 / nodes / seconds;
    println!(
        "heartbeat=bodies data_centres={places} members_each={members} \
         bytes_per_s={bytes:.0} messages_per_s={messages:.2} \
         news_age_p50_s={age_p50:.1} news_age_p99_s={age_p99:.1} news_age_max_s={age_max:.1}"
    );
}

struct World {
    start: Instant,
    now: Instant,
    ids: Vec<MemberId>,
    rosters: Vec<FailureDetector>,
    bytes: usize,
    messages: usize,
}

impl World {
    fn open(places: usize, members: usize) -> Self {
        let now = Instant::now();
        let enrolments: IndexMap<MemberId, RegisteredMember> = (0..places * members)
            .map(|n| enrolment(n, n % places))
            .map(|enrolment| (enrolment.registration.id.clone(), enrolment))
            .collect();
        let rosters = (0..).zip(enrolments.values()).map(|(seed, enrolment)| {
            let own = &enrolment.registration;
            let mut roster = FailureDetector::new(&own.id, &own.data_centre, own.incarnation, seed);
            roster.update_members(&enrolments, now);
            roster
        });
        Self {
            start: now,
            now,
            rosters: rosters.collect(),
            ids: enrolments.keys().cloned().collect(),
            bytes: 0,
            messages: 0,
        }
    }

    fn round(&mut self) {
        for _ in 0..2 {
            self.now += Duration::from_millis(HEARTBEAT_INTERVAL_MS / 2);
            for roster in &mut self.rosters {
                roster.tick(self.now);
            }
        }
        for n in 0..self.ids.len() {
            for id in self.rosters[n].pick_receivers() {
                let to = self
                    .ids
                    .iter()
                    .position(|known| *known == id)
                    .expect("known");
                let sent = self.heartbeat(n);
                self.rosters[to].receive(&sent, self.now);
                let answer = self.heartbeat(to);
                self.rosters[n].receive(&answer, self.now);
            }
        }
    }

    /// Age of the oldest news that each member has of any other.
    fn news_ages(&self) -> Vec<Duration> {
        let heard =
            |roster: &FailureDetector| roster.news_complete_until(self.now).unwrap_or(self.start);
        let ages = self.rosters.iter().map(|roster| self.now - heard(roster));
        ages.collect()
    }

    fn heartbeat(&mut self, n: usize) -> Heartbeat {
        let heartbeat = Heartbeat {
            member: self.ids[n].clone(),
            incarnation: Incarnation(1_790_000_000_000_000),
            offset: Offset(1_000_000),
            verified_ms: Some(200),
            heard: self.rosters[n].next_heartbeat(self.now),
            data_centres: self.rosters[n].remote_summaries(self.now),
        };
        let message = PeerRequest::Heartbeat(heartbeat.clone());
        self.bytes += rmp_serde::to_vec(&message).expect("plain data").len();
        self.messages += 1;
        heartbeat
    }
}

fn enrolment(n: usize, place: usize) -> RegisteredMember {
    RegisteredMember {
        registration: Registration {
            id: MemberId::new(&format!("entry-{n:02}")),
            incarnation: Incarnation(1_790_000_000_000_000),
            data_centre: DataCentre::new(&format!("dc-{place}")),
            peer_address: ([10, 0, 0, 1], 7_000).into(),
        },
        renewed_at: Offset(0),
    }
}
