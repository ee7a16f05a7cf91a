//! Faults drawn at random, several at a time, among which no task may run twice.

use std::ops::Range;

use amaranthwick::scheduler::{Capacity, JobKey, JobState, Millis, TargetId};

use crate::fixtures::{further_seeds, job, step};
use crate::world::{Faults, World};

/// Seeds that run without `AMARANTHWICK_SEEDS`.
const SEEDS: Range<u64> = 0..20;
/// Interval at which faults begin and end, in ms.
const ROUND_MS: Millis = 100;
/// Rounds in which faults begin.
const ROUNDS: u64 = 150;
/// Time in which late calls are carried out and leases lapse, in ms.
const QUIET_MS: Millis = 30_000;
/// Time after that within which all jobs end, in ms: tasks that may have caused a crash run one at
/// a time.
const END_LIMIT_MS: Millis = 300_000;
/// Time without a sign of the leader after which another process claims the role, in ms.
const CLAIM_AFTER_MS: Millis = 1_300;
/// Longest time in which an entry that had expired is listed again, in ms.
const MAX_RETURN_MS: Millis = 2_000;
/// What [`World`] reports of a job that is given up for crashes.
pub(crate) const GIVEN_UP: &str = "failed, but could be done";

/// Something that is due at a later time.
#[derive(Clone)]
enum Due {
    StoreBack { expired: bool },
    Reach(TargetId),
    Publish(TargetId),
    Claim,
}

struct Play {
    world: World,
    due: Vec<(Millis, Due)>,
    /// Restarts of a thousand rounds.
    restart_rate: u32,
    /// Entries of other writers, of a thousand rounds.
    foreign_rate: u32,
    /// Faults of other kinds, of a thousand rounds.
    fault_rate: u32,
    keys: Vec<JobKey>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut world = World::new(1, seed);
        let targets = 1 + world.rng().usize(..4);
        let mut world = World::new(targets, seed);
        world.holds_wait = world.rng().bool();
        world.faults = draw_faults(&mut world);
        let ids: Vec<TargetId> = world.targets.keys().cloned().collect();
        for id in &ids {
            let capacity = Capacity {
                cpu: 96_000,
                mem_mb: 96_000,
                gpu: 0,
            };
            world.set_capacity(id, capacity);
            world.publish_entry(id);
        }
        world.claim();
        Self {
            restart_rate: draw_rate(&mut world, 60),
            foreign_rate: draw_rate(&mut world, 30),
            fault_rate: draw_rate(&mut world, 120),
            world,
            due: Vec::new(),
            keys: Vec::new(),
        }
    }

    fn between(&mut self, range: Range<Millis>) -> Millis {
        self.world.rng().u64(range)
    }

    /// Whether something of this rate, in parts of a thousand, happens now.
    fn happens(&mut self, rate: u32) -> bool {
        self.world.rng().u32(..1_000) < rate
    }

    fn plan(&mut self, delay: Millis, due: Due) {
        self.due.push((self.world.now + delay, due));
    }

    fn any_target(&mut self) -> TargetId {
        let count = self.world.targets.len();
        let i = self.world.rng().usize(..count);
        self.world.targets[i].entry.id.clone()
    }

    fn submit(&mut self) {
        if !self.world.store_up {
            return;
        }
        let count = 2 + self.world.rng().u32(..4);
        let run_ms = self.between(600..3_500);
        let number = self.keys.len() as u64;
        let key = self
            .world
            .submit(number, job(vec![step(count, run_ms, &[])]));
        self.keys.push(key);
    }

    /// Runs a round, in which faults begin if `disturbed`.
    fn run_round(&mut self, disturbed: bool) {
        let now = self.world.now;
        let (due, later) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = later;
        let due: Vec<(Millis, Due)> = due;
        for (_, due) in due {
            self.perform(due);
        }
        if disturbed {
            if self.happens(150) {
                self.submit();
            }
            if self.happens(self.restart_rate) {
                let id = self.any_target();
                let lag_ms = self.between(0..1_500);
                self.world.restart_with_lag(&id, lag_ms);
            }
            if self.happens(self.foreign_rate) {
                self.publish_foreign_entry();
            }
            if self.happens(self.fault_rate) {
                self.disturb();
            }
        }
        self.world.run_for(ROUND_MS);
    }

    fn perform(&mut self, due: Due) {
        match due {
            Due::StoreBack { expired } => {
                self.world.store_up = true;
                if expired {
                    self.expire_entries();
                }
            }
            Due::Reach(id) => self.world.targets[&id].reachable = true,
            Due::Claim if !self.world.store_up => self.plan(500, Due::Claim),
            Due::Claim => self.world.claim(),
            Due::Publish(id) => self.world.publish_entry(&id),
        }
    }

    /// All entries expire, and each returns a while later.
    fn expire_entries(&mut self) {
        self.world.expire_entries();
        let ids: Vec<TargetId> = self.world.targets.keys().cloned().collect();
        for id in ids {
            let delay = self.between(0..MAX_RETURN_MS);
            self.plan(delay, Due::Publish(id));
        }
    }

    fn publish_foreign_entry(&mut self) {
        let id = self.any_target();
        let target = &self.world.targets[&id];
        if target.listed && self.world.store_up {
            let later = [1, 2, 100_000][self.world.rng().usize(..3)];
            let born = self.world.targets[&id].entry.born + later;
            self.world.publish_foreign_entry(&id, born);
        }
    }

    /// Lets a fault of a kind drawn at random begin.
    fn disturb(&mut self) {
        let length = self.between(1_000..9_000);
        match self.world.rng().u32(..8) {
            0 => {
                self.world.kill();
                self.plan(CLAIM_AFTER_MS, Due::Claim);
            }
            1 => self.suspend_leader(),
            2 if self.world.store_up && !self.awaits_claim() => {
                self.world.hand_over();
                self.plan(200, Due::Claim);
            }
            3 if self.world.store_up => self.stop_store(length),
            // Another process claims the role although the leader goes on.
            4 => self.plan(0, Due::Claim),
            5..=7 => {
                let id = self.any_target();
                self.world.targets[&id].reachable = false;
                self.plan(length, Due::Reach(id));
            }
            _ => {}
        }
    }

    fn awaits_claim(&self) -> bool {
        self.due.iter().any(|(_, due)| matches!(due, Due::Claim))
    }

    fn suspend_leader(&mut self) {
        let length = self.between(500..9_000);
        self.world.freeze(length);
        let claim_ms = self.between(CLAIM_AFTER_MS..9_000);
        if length > CLAIM_AFTER_MS {
            self.plan(claim_ms, Due::Claim);
        }
    }

    fn stop_store(&mut self, length: Millis) {
        self.world.store_up = false;
        let expired = self.world.rng().bool();
        self.plan(length, Due::StoreBack { expired });
        // The leader steps down after a long outage.
        if length > 5_000 || self.world.rng().bool() {
            let claim_ms = self.between(0..CLAIM_AFTER_MS);
            self.plan(length + claim_ms, Due::Claim);
        }
    }
}

/// Jobs that have not ended, as stored.
pub(crate) fn unended(world: &World, keys: &[JobKey]) -> Vec<String> {
    let table = world.stored();
    let states = keys.iter().map(|key| {
        let state = table.get(*key).map(amaranthwick::scheduler::Job::state);
        (key, state)
    });
    let unended = states.filter(|(_, state)| !state.is_some_and(JobState::ended));
    unended
        .map(|(key, state)| format!("{key} is {state:?}"))
        .collect()
}

/// A rate of up to `highest`, which is 0 in every other play.
fn draw_rate(world: &mut World, highest: u32) -> u32 {
    if world.rng().bool() {
        world.rng().u32(..=highest)
    } else {
        0
    }
}

fn draw_faults(world: &mut World) -> Faults {
    Faults {
        lost_answers: draw_rate(world, 300),
        late_starts: draw_rate(world, 50),
        late_stops: draw_rate(world, 50),
        late_holds: draw_rate(world, 50),
        jitter_ms: draw_rate(world, 300).into(),
        ..Faults::default()
    }
}

/// Simulates 15 s with random faults and then at least 30 s without. Returns the rules that were
/// violated and the jobs that did not end.
fn run_among_faults(seed: u64) -> Vec<String> {
    let mut play = Play::new(seed);
    for _ in 0..ROUNDS {
        play.run_round(true);
    }
    play.world.faults = Faults::default();
    for _ in 0..QUIET_MS / ROUND_MS {
        play.run_round(false);
    }
    let limit = play.world.now + END_LIMIT_MS;
    while play.world.now < limit && !unended(&play.world, &play.keys).is_empty() {
        play.world.run_for(1_000);
    }
    let unended = unended(&play.world, &play.keys);
    play.world.violations.into_iter().chain(unended).collect()
}

/// Seeds whose play violated a rule, with what they violated of the kind that is `wanted`.
fn wrong_seeds(wanted: impl Fn(&str) -> bool) -> Vec<(u64, Vec<String>)> {
    let seeds = further_seeds(SEEDS);
    seeds
        .map(|seed| {
            let mut violations = run_among_faults(seed);
            violations.retain(|violation| wanted(violation));
            (seed, violations)
        })
        .filter(|(_, violations)| !violations.is_empty())
        .collect()
}

/// Guards against second runs of a task, and against jobs that never end, under faults that the tests
/// of single ones do not combine.
#[test]
fn no_task_runs_twice_among_drawn_faults() {
    let wrong = wrong_seeds(|violation| !violation.ends_with(GIVEN_UP));

    assert_eq!(wrong, Vec::new());
}

/// Guards against jobs that are given up for crashes that none of their tasks caused.
#[test]
fn no_job_is_given_up_among_drawn_faults() {
    let wrong = wrong_seeds(|violation| violation.ends_with(GIVEN_UP));

    assert_eq!(wrong, Vec::new());
}
