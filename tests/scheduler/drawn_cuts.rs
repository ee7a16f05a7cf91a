//! Data centres that are cut off beside outages of the store, with changes of the leader, drawn at
//! random.

use std::ops::Range;

use amaranthwick::scheduler::{JobKey, Millis, Step};

use crate::drawn_parallel_runs::{GIVEN_UP, unended};
use crate::fixtures::{further_seeds, job, long_running_step, step};
use crate::world::World;

/// Seeds that run without `AMARANTHWICK_SEEDS`.
const SEEDS: Range<u64> = 1_000..1_030;
/// Interval at which faults begin and end, in ms.
const ROUND_MS: Millis = 20;
/// Time in which faults begin, in ms.
const DISTURBED_MS: Millis = 30_000;
/// Time after that within which all jobs end, in ms.
const END_LIMIT_MS: Millis = 200_000;
/// Time without a sign of the leader after which another process claims the role, in ms.
const CLAIM_AFTER_MS: Millis = 1_300;
/// Time for which a target is silent until its entry expires, in ms.
const ENTRY_EXPIRY_MS: Millis = 4_500;
/// The data centres of the model's targets.
const DATA_CENTRES: [&str; 3] = ["z0", "z1", "z2"];

/// Something that is due at a later time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    StoreBack,
    Cut(&'static str),
    Expire(&'static str),
    EndCut,
    Claim,
    LeaderFault,
}

struct Play {
    world: World,
    due: Vec<(Millis, Due)>,
    /// Data centre of the process that claimed the role last.
    leader_at: &'static str,
    keys: Vec<JobKey>,
    /// Jobs that run until they are cancelled.
    endless: Vec<JobKey>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut world = World::new(9, seed);
        world.holds_wait = world.rng().bool();
        let mut play = Self {
            world,
            due: Vec::new(),
            leader_at: DATA_CENTRES[0],
            keys: Vec::new(),
            endless: Vec::new(),
        };
        play.claim();
        play
    }

    fn between(&mut self, range: Range<Millis>) -> Millis {
        self.world.rng().u64(range)
    }

    fn one_of(&mut self, of: u32) -> bool {
        self.world.rng().u32(..of) == 0
    }

    fn plan(&mut self, delay: Millis, due: Due) {
        self.due.push((self.world.now + delay, due));
    }

    fn is_due(&self, what: &Due) -> bool {
        self.due.iter().any(|(_, due)| due == what)
    }

    /// A process in a data centre that reaches the store claims the role.
    fn claim(&mut self) {
        let world = &mut self.world;
        let reached: Vec<&'static str> = DATA_CENTRES
            .into_iter()
            .filter(|name| !world.is_cut_off(name))
            .collect();
        self.leader_at = reached[world.rng().usize(..reached.len())];
        world.claim_in(self.leader_at);
    }

    fn submit(&mut self) {
        let count = 1 + self.world.rng().u32(..12);
        let run_ms = self.between(300..9_000);
        let number = (self.keys.len() + self.endless.len()) as u64;
        let endless = self.endless.len() < 2 && self.one_of(8);
        let tasks = if endless {
            long_running_step(count, 0)
        } else {
            step(count, run_ms, &[])
        };
        let spread = Step {
            max_per_target: 1 + self.world.rng().u32(..3),
            ..tasks
        };
        let key = self.world.submit(number, job(vec![spread]));
        if endless {
            self.endless.push(key);
        } else {
            self.keys.push(key);
        }
    }

    fn run_round(&mut self, disturbed: bool) {
        let now = self.world.now;
        let due: Vec<(Millis, Due)>;
        (due, self.due) = self.due.drain(..).partition(|(at, _)| *at <= now);
        for (_, due) in due {
            self.perform(due);
        }
        let silent = self.world.store_is_silent();
        if disturbed && !silent && self.one_of(12) {
            self.submit();
        }
        if disturbed && !silent && self.due.is_empty() && self.one_of(40) {
            self.disturb();
        }
        let leads = self.world.leads() && !self.world.is_cut_off(self.leader_at);
        if !leads && !silent && !self.is_due(&Due::Claim) {
            let delay = CLAIM_AFTER_MS + self.between(0..1_000);
            self.plan(delay, Due::Claim);
        }
        self.world.run_for(ROUND_MS);
    }

    /// A data centre is cut off, mostly that of the leader, often as the store returns without the
    /// entries of the targets, and at times once more straight after.
    fn disturb(&mut self) {
        let drawn = DATA_CENTRES[self.world.rng().usize(..3)];
        let name = if self.one_of(3) {
            drawn
        } else {
            self.leader_at
        };
        let mut begins_ms = 0;
        if !self.one_of(3) {
            let outage_ms = self.between(1_500..4_500);
            self.world.silence_store();
            self.plan(outage_ms, Due::StoreBack);
            begins_ms = outage_ms.saturating_sub(self.between(0..900));
        }
        let mut ends_ms = begins_ms + self.between(2_000..9_000);
        self.plan(begins_ms, Due::Cut(name));
        self.plan(begins_ms + ENTRY_EXPIRY_MS, Due::Expire(name));
        self.plan(ends_ms, Due::EndCut);
        if self.one_of(3) {
            ends_ms += 2 * ROUND_MS;
            self.plan(ends_ms, Due::Cut(name));
            ends_ms += self.between(2_000..9_000);
            self.plan(ends_ms, Due::EndCut);
        }
        if self.one_of(2) {
            let delay = begins_ms + self.between(1_500..ends_ms + 1_000);
            self.plan(delay, Due::LeaderFault);
        }
    }

    fn perform(&mut self, due: Due) {
        match due {
            Due::StoreBack => self.world.end_silence(true),
            Due::Cut(name) => self.world.cut_off(name),
            Due::Expire(name) if self.world.is_cut_off(name) => self.world.expire_entries_in(name),
            Due::Expire(_) => {}
            Due::EndCut => self.world.end_cut(),
            Due::Claim if self.world.store_is_silent() => self.plan(100, Due::Claim),
            Due::Claim => self.claim(),
            Due::LeaderFault => self.disturb_leader(),
        }
    }

    fn disturb_leader(&mut self) {
        if !self.world.leads() {
            return;
        }
        match self.world.rng().u32(..3) {
            0 => self.world.kill(),
            1 => self.world.lose_leader(),
            _ => {
                let length_ms = self.between(1_000..6_000);
                self.world.freeze(length_ms);
            }
        }
    }
}

/// Simulates the faults and then the time until all jobs have ended. Jobs that do not end count as
/// violations.
fn run_with_cuts(seed: u64) -> Vec<String> {
    let mut play = Play::new(seed);
    while play.world.now < DISTURBED_MS {
        play.run_round(true);
    }
    while !play.due.is_empty() {
        play.run_round(false);
    }
    for key in std::mem::take(&mut play.endless) {
        play.world.cancel(key);
        play.keys.push(key);
    }
    let limit = play.world.now + END_LIMIT_MS;
    while play.world.now < limit && !unended(&play.world, &play.keys).is_empty() {
        play.run_round(false);
    }
    let unended = unended(&play.world, &play.keys);
    let violations = play.world.violations.into_iter().chain(unended);
    violations.filter(|v| !v.ends_with(GIVEN_UP)).collect()
}

/// Guards against second runs of a task: a leader that is cut off together with targets extends their
/// leases, while the next leaders start the tasks elsewhere.
#[test]
fn no_task_runs_twice_when_data_centres_are_cut_off() {
    let wrong: Vec<(u64, Vec<String>)> = further_seeds(SEEDS)
        .map(|seed| (seed, run_with_cuts(seed)))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();

    assert_eq!(wrong, Vec::new());
}
