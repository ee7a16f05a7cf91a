//! Bytes of the heartbeats that a member sends and receives, by size of the fleet, and the age of
//! what members know of each other; simulated in virtual time.

use std::time::{Duration, Instant};

use amaranthwick::id::{DataCentre, Incarnation, MemberId, Offset};
use amaranthwick::ledger::{RegisteredMember, Registration};
use amaranthwick::membership::{FailureDetector, HEARTBEAT_INTERVAL_MS};
use amaranthwick::peer::{Heartbeat, PeerRequest};
use indexmap::IndexMap;

/// Rounds of heartbeats, one every [`HEARTBEAT_INTERVAL_MS`].
const ROUNDS: u32 = 300;

/// Rounds without samples of ages, until every member has heard of every other.
const WARM_UP_ROUNDS: u32 = 30;

pub(crate) fn run() {
    for (data_centres, members_each) in [(3, 3), (3, 8), (5, 8), (10, 8)] {
        measure(data_centres, members_each);
    }
}

fn measure(data_centres: usize, members_each: usize) {
    let mut simulation = Simulation::open(data_centres, members_each);
    let mut ages = Vec::new();
    for round in 0..ROUNDS {
        simulation.run_round();
        if round >= WARM_UP_ROUNDS {
            ages.extend(simulation.news_ages());
        }
    }
    ages.sort_unstable();
    let age_p50 = ages[ages.len() / 2].as_secs_f64();
    let age_p99 = ages[ages.len() * 99 / 100].as_secs_f64();
    let age_max = ages[ages.len() - 1].as_secs_f64();
    let members = (data_centres * members_each) as f64;
    let seconds = f64::from(ROUNDS) * HEARTBEAT_INTERVAL_MS as f64 / 1_000.0;
    let bytes = 2.0 * simulation.bytes as f64 / members / seconds;
    let messages = 2.0 * simulation.messages as f64 / members / seconds;
    println!(
        "heartbeat=bodies data_centres={data_centres} members_each={members_each} \
         bytes_per_s={bytes:.0} messages_per_s={messages:.2} \
         news_age_p50_s={age_p50:.1} news_age_p99_s={age_p99:.1} news_age_max_s={age_max:.1}"
    );
}

/// Members that exchange heartbeats without loss or delay.
struct Simulation {
    start: Instant,
    now: Instant,
    ids: Vec<MemberId>,
    detectors: Vec<FailureDetector>,
    /// Bytes of all heartbeats sent so far, those in answers included.
    bytes: usize,
    /// Number of these heartbeats.
    messages: usize,
}

impl Simulation {
    fn open(data_centres: usize, members_each: usize) -> Self {
        let now = Instant::now();
        let members_by_id: IndexMap<MemberId, RegisteredMember> = (0..data_centres * members_each)
            .map(|n| registered_member(n, n % data_centres))
            .map(|member| (member.registration.id.clone(), member))
            .collect();
        let detectors = (0..).zip(members_by_id.values()).map(|(seed, member)| {
            let registration = &member.registration;
            let mut detector = FailureDetector::new(
                &registration.id,
                &registration.data_centre,
                registration.incarnation,
                seed,
            );
            detector.update_members(&members_by_id, now);
            detector
        });
        Self {
            start: now,
            now,
            detectors: detectors.collect(),
            ids: members_by_id.keys().cloned().collect(),
            bytes: 0,
            messages: 0,
        }
    }

    /// Passes one heartbeat interval; then every member sends its heartbeats and gets answers.
    fn run_round(&mut self) {
        for _ in 0..2 {
            self.now += Duration::from_millis(HEARTBEAT_INTERVAL_MS / 2);
            for detector in &mut self.detectors {
                detector.tick(self.now);
            }
        }
        for n in 0..self.ids.len() {
            for id in self.detectors[n].pick_receivers() {
                let receiver = self
                    .ids
                    .iter()
                    .position(|known| *known == id)
                    .expect("known");
                let sent = self.heartbeat(n);
                self.detectors[receiver].receive(&sent, self.now);
                let answer = self.heartbeat(receiver);
                self.detectors[n].receive(&answer, self.now);
            }
        }
    }

    /// For each member, the age of the oldest among the newest heartbeats that it knows of the
    /// others; counted from the start while none is known of some.
    fn news_ages(&self) -> Vec<Duration> {
        let heard = |detector: &FailureDetector| {
            detector.news_complete_until(self.now).unwrap_or(self.start)
        };
        let ages = self
            .detectors
            .iter()
            .map(|detector| self.now - heard(detector));
        ages.collect()
    }

    /// Next heartbeat of member `n`; counts its bytes.
    fn heartbeat(&mut self, n: usize) -> Heartbeat {
        let heartbeat = Heartbeat {
            member: self.ids[n].clone(),
            incarnation: Incarnation(1_790_000_000_000_000),
            offset: Offset(1_000_000),
            verified_ms: Some(200),
            heard: self.detectors[n].next_heartbeat(self.now),
            data_centres: self.detectors[n].remote_summaries(self.now),
        };
        let message = PeerRequest::Heartbeat(heartbeat.clone());
        self.bytes += rmp_serde::to_vec(&message).expect("plain data").len();
        self.messages += 1;
        heartbeat
    }
}

/// Registration of member `n` in the given data centre.
fn registered_member(n: usize, data_centre: usize) -> RegisteredMember {
    RegisteredMember {
        registration: Registration {
            id: MemberId::new(&format!("entry-{n:02}")),
            incarnation: Incarnation(1_790_000_000_000_000),
            data_centre: DataCentre::new(&format!("dc-{data_centre}")),
            peer_address: ([10, 0, 0, 1], 7_000).into(),
        },
        renewed_at: Offset(0),
    }
}
