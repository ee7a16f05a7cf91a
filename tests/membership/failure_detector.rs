//! Rosters of several processes in virtual time, over a network with cuts.

use std::time::{Duration, Instant};

use amaranthwick::id::{DataCentre, Incarnation, MemberId, Offset};
use amaranthwick::ledger::{RegisteredMember, Registration};
use amaranthwick::membership::{FailureDetector, HEARTBEAT_INTERVAL_MS, SUSPECT_AFTER_MS};
use amaranthwick::peer::Heartbeat;
use indexmap::IndexMap;

const SECOND: Duration = Duration::from_secs(1);
const BEAT: Duration = Duration::from_millis(HEARTBEAT_INTERVAL_MS);
/// As large as real ones, which are microseconds since 1970.
const RUN: u64 = 1_790_000_000_000_000;

/// Within this time a withdrawn key stops working wherever a process is cut off.
const KEY_LIMIT: Duration = Duration::from_secs(10);

const SUSPECT: Duration = Duration::from_millis(SUSPECT_AFTER_MS);

struct World {
    now: Instant,
    ids: Vec<MemberId>,
    members: IndexMap<MemberId, RegisteredMember>,
    rosters: Vec<FailureDetector>,
    down: Vec<bool>,
    /// Pairs of sender and receiver whose connections fail.
    cuts: Vec<(usize, usize)>,
    bytes: usize,
}

impl World {
    /// Members `m0`, `m1`, ... in the data centres given.
    fn open(places: &[&str]) -> Self {
        let now = Instant::now();
        let ids: Vec<MemberId> = (0..places.len())
            .map(|n| MemberId::new(&format!("m{n}")))
            .collect();
        let pairs = ids.iter().zip(places).map(|(id, place)| {
            let registration = Registration {
                id: id.clone(),
                incarnation: Incarnation(RUN),
                data_centre: DataCentre::new(place),
                peer_address: ([127, 0, 0, 1], 7_000).into(),
            };
            let enrolment = RegisteredMember {
                registration,
                renewed_at: Offset(0),
            };
            (id.clone(), enrolment)
        });
        let members: IndexMap<_, _> = pairs.collect();
        let rosters = (0..).zip(members.values()).map(|(seed, member)| {
            let member = &member.registration;
            FailureDetector::new(&member.id, &member.data_centre, member.incarnation, seed)
        });
        let mut world = Self {
            now,
            rosters: rosters.collect(),
            down: vec![false; ids.len()],
            cuts: Vec::new(),
            bytes: 0,
            ids,
            members,
        };
        world.watch();
        world
    }

    fn watch(&mut self) {
        for roster in &mut self.rosters {
            roster.update_members(&self.members, self.now);
        }
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / BEAT.as_millis() {
            self.tick(BEAT / 2);
            self.tick(BEAT / 2);
            for n in 0..self.ids.len() {
                if !self.down[n] {
                    self.round(n);
                }
            }
        }
    }

    fn tick(&mut self, time: Duration) {
        self.now += time;
        for (roster, down) in self.rosters.iter_mut().zip(&self.down) {
            if !down {
                roster.tick(self.now);
            }
        }
    }

    fn round(&mut self, n: usize) {
        for id in self.rosters[n].pick_receivers() {
            let to = self.index(&id);
            if self.down[to] || self.cuts.contains(&(n, to)) {
                continue;
            }
            let sent = self.heartbeat(n);
            self.rosters[to].receive(&sent, self.now);
            let answer = self.heartbeat(to);
            self.rosters[n].receive(&answer, self.now);
        }
    }

    fn heartbeat(&mut self, n: usize) -> Heartbeat {
        let heartbeat = Heartbeat {
            member: self.ids[n].clone(),
            incarnation: Incarnation(RUN),
            offset: Offset(0),
            verified_ms: Some(200),
            heard: self.rosters[n].next_heartbeat(self.now),
            zones: self.rosters[n].remote_summaries(self.now),
        };
        self.bytes += rmp_serde::to_vec(&heartbeat).expect("plain data").len();
        heartbeat
    }

    fn index(&self, id: &MemberId) -> usize {
        self.ids
            .iter()
            .position(|known| known == id)
            .expect("known")
    }

    /// Age of the oldest news that any process has of another; `None` while one has none.
    fn oldest_news(&self) -> Option<Duration> {
        let ages = self.rosters.iter().map(|roster| {
            let heard = roster.news_complete_until(self.now)?;
            Some(self.now - heard)
        });
        ages.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    fn sees(&self, from: usize, of: usize) -> bool {
        self.rosters[from].is_alive(&self.ids[of], self.now)
    }

    fn all_see(&self, of: usize) -> Vec<bool> {
        let others = (0..self.ids.len()).filter(|&n| n != of && !self.down[n]);
        others.map(|n| self.sees(n, of)).collect()
    }

    fn cut(&mut self, from: &[usize], to: &[usize]) {
        for &a in from {
            for &b in to {
                self.cuts.push((a, b));
            }
        }
    }
}

fn eight() -> World {
    World::open(&["a"; 8])
}

#[test]
fn members_that_exchange_heartbeats_stay_alive() {
    let mut world = eight();

    for _ in 0..120 {
        world.run(BEAT);
        assert!((0..8).all(|n| world.all_see(n).iter().all(|alive| *alive)));
    }
}

#[test]
fn a_dead_member_is_suspected_by_all() {
    let mut world = eight();
    world.run(10 * SECOND);
    world.down[3] = true;

    world.run(SUSPECT + 4 * BEAT);

    assert_eq!(world.all_see(3), [false; 7]);
}

#[test]
fn news_of_a_dead_member_do_not_keep_it_alive() {
    let mut world = eight();
    world.run(10 * SECOND);
    world.down[3] = true;

    world.run(60 * SECOND);

    assert_eq!(world.all_see(3), [false; 7]);
}

#[test]
fn a_cut_in_one_direction_harms_nobody() {
    let mut world = eight();
    world.cut(&[0], &[1, 2, 3, 4, 5, 6, 7]);

    world.run(60 * SECOND);

    assert!(world.all_see(0).iter().all(|alive| *alive));
    assert!((1..8).all(|n| world.sees(0, n)));
}

#[test]
fn a_cut_between_two_members_is_bridged_by_the_others() {
    let mut world = World::open(&["a"; 3]);
    world.cut(&[0], &[1]);
    world.cut(&[1], &[0]);

    world.run(60 * SECOND);

    assert!(world.sees(0, 1) && world.sees(1, 0));
}

#[test]
fn a_process_that_was_paused_does_not_suspect_the_others() {
    let mut world = eight();
    world.run(10 * SECOND);
    world.down[0] = true;
    world.run(60 * SECOND);
    world.down[0] = false;
    world.rosters[0].tick(world.now);

    assert!((1..8).all(|n| world.sees(0, n)));
    world.run(10 * SECOND);
    assert!(world.all_see(0).iter().all(|alive| *alive));
}

#[test]
fn a_newer_run_of_a_member_is_alive_again() {
    let mut world = eight();
    world.down[3] = true;
    world.run(20 * SECOND);
    let id = world.ids[3].clone();
    world.members[&id].registration.incarnation = Incarnation(RUN + 1);
    world.rosters[3] = FailureDetector::new(&id, &DataCentre::new("a"), Incarnation(RUN + 1), 3);
    world.down[3] = false;
    world.watch();

    world.run(10 * SECOND);

    assert!(world.all_see(3).iter().all(|alive| *alive));
}

#[test]
fn a_member_that_registers_anew_counts_as_heard() {
    let mut world = eight();
    world.down[3] = true;
    world.run(20 * SECOND);
    let before = world.sees(0, 3);
    let id = world.ids[3].clone();
    world.members[&id].registration.incarnation = Incarnation(RUN + 1);

    world.watch();

    assert!(!before);
    assert!(world.sees(0, 3));
}

#[test]
fn two_data_centres_that_are_cut_from_each_other_know_through_a_third() {
    let mut world = World::open(&["a", "a", "a", "b", "b", "b", "c", "c", "c"]);
    world.cut(&[0, 1, 2], &[3, 4, 5]);
    world.cut(&[3, 4, 5], &[0, 1, 2]);

    world.run(120 * SECOND);

    assert!(world.sees(0, 3) && world.sees(3, 0));
    assert!(world.oldest_news().is_some_and(|age| age <= KEY_LIMIT));
}

#[test]
fn members_of_other_data_centres_are_known_through_a_witness() {
    let mut world = World::open(&["a", "a", "a", "b", "b", "b", "c", "c", "c"]);

    world.run(60 * SECOND);

    for n in 0..9 {
        assert!(world.all_see(n).iter().all(|alive| *alive), "m{n}");
    }
    assert!(world.oldest_news().is_some_and(|age| age <= KEY_LIMIT));
}

#[test]
fn a_dead_member_of_another_data_centre_is_suspected() {
    let mut world = World::open(&["a", "a", "a", "b", "b", "b"]);
    world.run(30 * SECOND);
    world.down[4] = true;

    world.run(60 * SECOND);

    assert_eq!(world.all_see(4), [false; 5]);
}

#[test]
fn a_data_centre_that_is_cut_off_is_noticed_and_comes_back() {
    let mut world = World::open(&["a", "a", "a", "b", "b", "b"]);
    world.run(30 * SECOND);
    world.cut(&[0, 1, 2], &[3, 4, 5]);
    world.cut(&[3, 4, 5], &[0, 1, 2]);

    let cut = world.now;
    world.run(60 * SECOND);
    let heard: Vec<Option<Instant>> = world
        .rosters
        .iter()
        .map(|roster| roster.news_complete_until(world.now))
        .collect();
    let local = world.sees(0, 1) && world.sees(3, 4);
    world.cuts.clear();
    world.run(60 * SECOND);

    assert!(heard.iter().all(|at| *at <= Some(cut)), "{heard:?}");
    assert!(local);
    assert!(world.oldest_news().is_some_and(|age| age <= KEY_LIMIT));
}

#[test]
fn ten_data_centres_hear_of_each_other_all_the_time() {
    let names: Vec<String> = (0..80).map(|n| format!("dc-{}", n / 8)).collect();
    let places: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = World::open(&places);
    world.run(60 * SECOND);
    let mut oldest = Duration::ZERO;

    for _ in 0..300 {
        world.run(BEAT);
        oldest = oldest.max(world.oldest_news().expect("news of all"));
    }

    assert!(oldest < 25 * SECOND, "{oldest:?}");
}

#[test]
fn heartbeats_stay_within_the_budget_at_the_size_aimed_at() {
    let names: Vec<String> = (0..80).map(|n| format!("dc-{}", n / 8)).collect();
    let places: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = World::open(&places);
    world.run(30 * SECOND);
    world.bytes = 0;

    world.run(60 * SECOND);

    // Sent and received; the rest of 2 KB a second is for the heads of HTTP.
    let a_node_a_second = 2 * world.bytes / 80 / 60;
    assert!(a_node_a_second < 1_024, "{a_node_a_second}");
}
