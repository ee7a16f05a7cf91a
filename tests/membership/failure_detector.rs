//! Failure detectors of several processes in virtual time, over connections that may fail.

use std::time::{Duration, Instant};

use amaranthwick::id::{DataCentre, Incarnation, MemberId, Offset};
use amaranthwick::ledger::{RegisteredMember, Registration};
use amaranthwick::membership::{FailureDetector, HEARTBEAT_INTERVAL_MS, SUSPECT_AFTER_MS};
use amaranthwick::peer::Heartbeat;
use indexmap::IndexMap;

const SECOND: Duration = Duration::from_secs(1);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(HEARTBEAT_INTERVAL_MS);
/// As large as a real incarnation, which is in microseconds since 1970.
const INCARNATION: u64 = 1_790_000_000_000_000;

/// Bounds the age of news, so that a withdrawn key stops working within this time wherever a
/// process is cut off.
const MAX_NEWS_AGE: Duration = Duration::from_secs(10);

const SUSPECT_AFTER: Duration = Duration::from_millis(SUSPECT_AFTER_MS);

struct Cluster {
    now: Instant,
    ids: Vec<MemberId>,
    members: IndexMap<MemberId, RegisteredMember>,
    detectors: Vec<FailureDetector>,
    down: Vec<bool>,
    /// Pairs of sender and receiver between which nothing arrives.
    failed_connections: Vec<(usize, usize)>,
    heartbeat_bytes: usize,
}

impl Cluster {
    /// Members `m0`, `m1`, ... in the data centres given.
    fn new(data_centres: &[&str]) -> Self {
        let now = Instant::now();
        let ids: Vec<MemberId> = (0..data_centres.len())
            .map(|n| MemberId::new(&format!("m{n}")))
            .collect();
        let pairs = ids.iter().zip(data_centres).map(|(id, data_centre)| {
            let registration = Registration {
                id: id.clone(),
                incarnation: Incarnation(INCARNATION),
                data_centre: DataCentre::new(data_centre),
                peer_address: ([127, 0, 0, 1], 7_000).into(),
            };
            let member = RegisteredMember {
                registration,
                renewed_at: Offset(0),
            };
            (id.clone(), member)
        });
        let members: IndexMap<_, _> = pairs.collect();
        let detectors = (0..).zip(members.values()).map(|(seed, member)| {
            let member = &member.registration;
            FailureDetector::new(&member.id, &member.data_centre, member.incarnation, seed)
        });
        let mut cluster = Self {
            now,
            detectors: detectors.collect(),
            down: vec![false; ids.len()],
            failed_connections: Vec::new(),
            heartbeat_bytes: 0,
            ids,
            members,
        };
        cluster.watch();
        cluster
    }

    fn watch(&mut self) {
        for detector in &mut self.detectors {
            detector.update_members(&self.members, self.now);
        }
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / HEARTBEAT_INTERVAL.as_millis() {
            self.tick(HEARTBEAT_INTERVAL / 2);
            self.tick(HEARTBEAT_INTERVAL / 2);
            for n in 0..self.ids.len() {
                if !self.down[n] {
                    self.send_heartbeats(n);
                }
            }
        }
    }

    fn tick(&mut self, time: Duration) {
        self.now += time;
        for (detector, down) in self.detectors.iter_mut().zip(&self.down) {
            if !down {
                detector.tick(self.now);
            }
        }
    }

    fn send_heartbeats(&mut self, n: usize) {
        for id in self.detectors[n].pick_receivers() {
            let to = self.index(&id);
            if self.down[to] || self.failed_connections.contains(&(n, to)) {
                continue;
            }
            let sent = self.heartbeat(n);
            self.detectors[to].receive(&sent, self.now);
            let answer = self.heartbeat(to);
            self.detectors[n].receive(&answer, self.now);
        }
    }

    fn heartbeat(&mut self, n: usize) -> Heartbeat {
        let heartbeat = Heartbeat {
            member: self.ids[n].clone(),
            incarnation: Incarnation(INCARNATION),
            offset: Offset(0),
            verified_ms: Some(200),
            heard: self.detectors[n].next_heartbeat(self.now),
            data_centres: self.detectors[n].remote_summaries(self.now),
        };
        self.heartbeat_bytes += rmp_serde::to_vec(&heartbeat).expect("plain data").len();
        heartbeat
    }

    fn index(&self, id: &MemberId) -> usize {
        self.ids
            .iter()
            .position(|known| known == id)
            .expect("known")
    }

    /// Largest time since [`FailureDetector::news_complete_until`] of any process; `None`
    /// while one of them has none.
    fn max_news_age(&self) -> Option<Duration> {
        let ages = self.detectors.iter().map(|detector| {
            let heard = detector.news_complete_until(self.now)?;
            Some(self.now - heard)
        });
        ages.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    fn sees(&self, from: usize, of: usize) -> bool {
        self.detectors[from].is_alive(&self.ids[of], self.now)
    }

    fn all_see(&self, of: usize) -> Vec<bool> {
        let others = (0..self.ids.len()).filter(|&n| n != of && !self.down[n]);
        others.map(|n| self.sees(n, of)).collect()
    }

    fn cut_connections(&mut self, from: &[usize], to: &[usize]) {
        for &a in from {
            for &b in to {
                self.failed_connections.push((a, b));
            }
        }
    }
}

fn eight_members() -> Cluster {
    Cluster::new(&["a"; 8])
}

#[test]
fn members_that_exchange_heartbeats_stay_alive() {
    let mut cluster = eight_members();

    for _ in 0..120 {
        cluster.run(HEARTBEAT_INTERVAL);
        assert!((0..8).all(|n| cluster.all_see(n).iter().all(|alive| *alive)));
    }
}

#[test]
fn a_dead_member_is_suspected_by_all() {
    let mut cluster = eight_members();
    cluster.run(10 * SECOND);
    cluster.down[3] = true;

    cluster.run(SUSPECT_AFTER + 4 * HEARTBEAT_INTERVAL);

    assert_eq!(cluster.all_see(3), [false; 7]);
}

#[test]
fn news_of_a_dead_member_do_not_keep_it_alive() {
    let mut cluster = eight_members();
    cluster.run(10 * SECOND);
    cluster.down[3] = true;

    cluster.run(60 * SECOND);

    assert_eq!(cluster.all_see(3), [false; 7]);
}

#[test]
fn a_cut_in_one_direction_harms_nobody() {
    let mut cluster = eight_members();
    cluster.cut_connections(&[0], &[1, 2, 3, 4, 5, 6, 7]);

    cluster.run(60 * SECOND);

    assert!(cluster.all_see(0).iter().all(|alive| *alive));
    assert!((1..8).all(|n| cluster.sees(0, n)));
}

#[test]
fn a_cut_between_two_members_is_bridged_by_the_others() {
    let mut cluster = Cluster::new(&["a"; 3]);
    cluster.cut_connections(&[0], &[1]);
    cluster.cut_connections(&[1], &[0]);

    cluster.run(60 * SECOND);

    assert!(cluster.sees(0, 1) && cluster.sees(1, 0));
}

#[test]
fn a_process_that_was_paused_does_not_suspect_the_others() {
    let mut cluster = eight_members();
    cluster.run(10 * SECOND);
    cluster.down[0] = true;
    cluster.run(60 * SECOND);
    cluster.down[0] = false;
    cluster.detectors[0].tick(cluster.now);

    assert!((1..8).all(|n| cluster.sees(0, n)));
    cluster.run(10 * SECOND);
    assert!(cluster.all_see(0).iter().all(|alive| *alive));
}

#[test]
fn a_newer_run_of_a_member_is_alive_again() {
    let mut cluster = eight_members();
    cluster.down[3] = true;
    cluster.run(20 * SECOND);
    let id = cluster.ids[3].clone();
    cluster.members[&id].registration.incarnation = Incarnation(INCARNATION + 1);
    cluster.detectors[3] =
        FailureDetector::new(&id, &DataCentre::new("a"), Incarnation(INCARNATION + 1), 3);
    cluster.down[3] = false;
    cluster.watch();

    cluster.run(10 * SECOND);

    assert!(cluster.all_see(3).iter().all(|alive| *alive));
}

#[test]
fn a_member_that_registers_anew_counts_as_heard() {
    let mut cluster = eight_members();
    cluster.down[3] = true;
    cluster.run(20 * SECOND);
    let before = cluster.sees(0, 3);
    let id = cluster.ids[3].clone();
    cluster.members[&id].registration.incarnation = Incarnation(INCARNATION + 1);

    cluster.watch();

    assert!(!before);
    assert!(cluster.sees(0, 3));
}

#[test]
fn two_data_centres_that_are_cut_from_each_other_know_through_a_third() {
    let mut cluster = Cluster::new(&["a", "a", "a", "b", "b", "b", "c", "c", "c"]);
    cluster.cut_connections(&[0, 1, 2], &[3, 4, 5]);
    cluster.cut_connections(&[3, 4, 5], &[0, 1, 2]);

    cluster.run(120 * SECOND);

    assert!(cluster.sees(0, 3) && cluster.sees(3, 0));
    assert!(
        cluster
            .max_news_age()
            .is_some_and(|age| age <= MAX_NEWS_AGE)
    );
}

#[test]
fn members_of_other_data_centres_are_known_through_a_reporter() {
    let mut cluster = Cluster::new(&["a", "a", "a", "b", "b", "b", "c", "c", "c"]);

    cluster.run(60 * SECOND);

    for n in 0..9 {
        assert!(cluster.all_see(n).iter().all(|alive| *alive), "m{n}");
    }
    assert!(
        cluster
            .max_news_age()
            .is_some_and(|age| age <= MAX_NEWS_AGE)
    );
}

#[test]
fn a_dead_member_of_another_data_centre_is_suspected() {
    let mut cluster = Cluster::new(&["a", "a", "a", "b", "b", "b"]);
    cluster.run(30 * SECOND);
    cluster.down[4] = true;

    cluster.run(60 * SECOND);

    assert_eq!(cluster.all_see(4), [false; 5]);
}

#[test]
fn a_data_centre_that_is_cut_off_is_noticed_and_comes_back() {
    let mut cluster = Cluster::new(&["a", "a", "a", "b", "b", "b"]);
    cluster.run(30 * SECOND);
    cluster.cut_connections(&[0, 1, 2], &[3, 4, 5]);
    cluster.cut_connections(&[3, 4, 5], &[0, 1, 2]);

    let cut = cluster.now;
    cluster.run(60 * SECOND);
    let heard: Vec<Option<Instant>> = cluster
        .detectors
        .iter()
        .map(|detector| detector.news_complete_until(cluster.now))
        .collect();
    let local = cluster.sees(0, 1) && cluster.sees(3, 4);
    cluster.failed_connections.clear();
    cluster.run(60 * SECOND);

    assert!(heard.iter().all(|at| *at <= Some(cut)), "{heard:?}");
    assert!(local);
    assert!(
        cluster
            .max_news_age()
            .is_some_and(|age| age <= MAX_NEWS_AGE)
    );
}

#[test]
fn ten_data_centres_hear_of_each_other_all_the_time() {
    let names: Vec<String> = (0..80).map(|n| format!("dc-{}", n / 8)).collect();
    let data_centres: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut cluster = Cluster::new(&data_centres);
    cluster.run(60 * SECOND);
    let mut oldest = Duration::ZERO;

    for _ in 0..300 {
        cluster.run(HEARTBEAT_INTERVAL);
        oldest = oldest.max(cluster.max_news_age().expect("news of all"));
    }

    assert!(oldest < 25 * SECOND, "{oldest:?}");
}

#[test]
fn heartbeats_stay_within_the_budget_at_the_size_aimed_at() {
    let names: Vec<String> = (0..80).map(|n| format!("dc-{}", n / 8)).collect();
    let data_centres: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut cluster = Cluster::new(&data_centres);
    cluster.run(30 * SECOND);
    cluster.heartbeat_bytes = 0;

    cluster.run(60 * SECOND);

    // Sent and received. The budget is 2 KB a second; the other half is for HTTP headers.
    let bytes_per_member_and_second = 2 * cluster.heartbeat_bytes / 80 / 60;
    assert!(
        bytes_per_member_and_second < 1_024,
        "{bytes_per_member_and_second}"
    );
}
