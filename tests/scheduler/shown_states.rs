//! States of jobs that callers were shown: they never go back, and no task starts after `complete`.

use std::ops::Range;
use std::sync::Arc;

use amaranthwick::scheduler::{JobKey, JobState, Millis, TargetId};
use rstest::rstest;

use crate::drawn_parallel_runs::{GIVEN_UP, unended};
use crate::fixtures::{further_seeds, job, step};
use crate::world::{Returns, World};

/// Seeds that run without `AMARANTHWICK_SEEDS`.
const SEEDS: Range<u64> = 0..30;
/// Interval at which faults begin and end, in ms.
const ROUND_MS: Millis = 100;
/// Rounds in which faults begin.
const ROUNDS: u64 = 200;
/// Time without faults after them, in ms.
const QUIET_MS: Millis = 30_000;
/// Time after that within which all jobs end, in ms.
const END_LIMIT_MS: Millis = 300_000;
/// Time without a leader after which another process claims the role, in ms.
const CLAIM_AFTER_MS: Millis = 1_300;
/// Time from one try to claim the role to the next, in ms.
const CLAIM_RETRY_MS: Millis = 300;
/// Time for which targets can't be reached, in ms; longer than their leases.
const OUT_OF_REACH_MS: Millis = 18_000;

/// How a process loses the role while the store is silent.
#[derive(Clone, Copy)]
enum Loss {
    Killed,
    SteppedDown,
}

/// What happens to the targets before another process claims the role.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    AllRestart,
    AllOutOfReach,
    /// Only the targets that ran tasks are out of reach.
    UsedOutOfReach,
}

/// The store is silent, and only the leader knows that all jobs have ended.
struct UnstoredEnds {
    world: World,
    keys: Vec<JobKey>,
    /// Targets that ran tasks.
    used: Vec<TargetId>,
}

impl UnstoredEnds {
    fn new() -> Self {
        let mut world = World::new(8, 1);
        world.claim();
        let submit = |number| world.submit(number, job(vec![step(1, 1_500, &[])]));
        let keys: Vec<JobKey> = (0..4).map(submit).collect();
        world.run_for(1_000);
        let runs = keys.iter().flat_map(|key| world.running(*key));
        let used = runs.map(|(id, _)| id).collect();
        world.silence_store();
        world.run_for(2_500);
        Self { world, keys, used }
    }

    fn suffer(&mut self, trouble: Trouble) {
        let world = &mut self.world;
        let all: Vec<TargetId> = world.targets.keys().cloned().collect();
        match trouble {
            Trouble::None => {}
            Trouble::AllRestart => all.iter().for_each(|id| world.restart(id)),
            Trouble::AllOutOfReach => set_reachable(world, &all, false),
            Trouble::UsedOutOfReach => set_reachable(world, &self.used, false),
        }
    }

    fn change_leader(&mut self, loss: Loss) {
        let world = &mut self.world;
        match loss {
            Loss::Killed => {
                world.kill();
                world.run_for(1_000);
            }
            Loss::SteppedDown => world.run_for(7_000),
        }
        assert!(!world.leads());
        world.end_silence(false);
        world.run_for(CLAIM_AFTER_MS);
        world.claim();
    }

    /// Runs on until all targets have been in reach for a while.
    fn recover(&mut self) {
        self.world.run_for(OUT_OF_REACH_MS);
        let all: Vec<TargetId> = self.world.targets.keys().cloned().collect();
        set_reachable(&mut self.world, &all, true);
        self.world.run_for(10_000);
    }
}

/// Changes whether the targets, or those that have taken their VMs over, are in reach.
fn set_reachable(world: &mut World, ids: &[TargetId], reachable: bool) {
    let vm = |id: &TargetId| Arc::clone(&world.targets[id].entry.vm);
    let vms: Vec<Arc<str>> = ids.iter().map(vm).collect();
    for target in world.targets.values_mut() {
        if vms.contains(&target.entry.vm) {
            target.reachable = reachable;
        }
    }
}

/// Guards against states that were shown although they were not stored, and are lost with the leader.
#[rstest]
fn no_job_shown_as_complete_goes_back_or_starts_again(
    #[values(Loss::Killed, Loss::SteppedDown)] loss: Loss,
    #[values(
        Trouble::None,
        Trouble::AllRestart,
        Trouble::AllOutOfReach,
        Trouble::UsedOutOfReach
    )]
    trouble: Trouble,
) {
    let mut play = UnstoredEnds::new();

    play.suffer(trouble);
    play.change_leader(loss);
    play.recover();

    let world = &play.world;
    let complete = |key: &JobKey| world.state(*key) == Some(JobState::Complete);
    assert!(play.keys.iter().all(complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against starts that a leader had planned before it was suspended and sends once it goes on:
/// a target that has restarted since does not know of the later leader.
#[test]
fn a_leader_that_was_suspended_starts_no_task_again() {
    let mut world = World::new(2, 1);
    world.claim();
    world.run_for(500);
    let key = world.submit(1, job(vec![step(1, 300, &[])]));
    while world.state(key) != Some(JobState::Running) {
        world.run_for(5);
    }

    world.freeze(6_000);
    world.run_for(CLAIM_AFTER_MS);
    world.claim();
    world.run_for(2_000);
    assert_eq!(world.state(key), Some(JobState::Complete));
    world.kill();
    world.silence_store();
    for id in world.targets.keys().cloned().collect::<Vec<_>>() {
        world.restart(&id);
    }
    world.run_for(5_000);

    assert_eq!(world.violations, Vec::<String>::new());
}

/// Something that is due at a later time.
enum Due {
    StoreBack { expired: bool },
    Reach(Vec<TargetId>),
    Claim,
}

struct Play {
    world: World,
    due: Vec<(Millis, Due)>,
    /// Faults of a thousand rounds.
    fault_rate: u32,
    keys: Vec<JobKey>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut world = World::new(1, seed);
        let targets = world.rng().usize(2..9);
        let mut world = World::new(targets, seed);
        world.holds_wait = world.rng().bool();
        world.faults.lost_answers = [0, 30, 200][world.rng().usize(..3)];
        world.crashes.return_ms = world.rng().u64(500..6_000);
        world.crashes.returns = [Returns::SameId, Returns::NewId][world.rng().usize(..2)];
        world.claim();
        Self {
            fault_rate: world.rng().u32(20..150),
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

    /// Some of the targets that run, or all of them.
    fn any_targets(&mut self) -> Vec<TargetId> {
        let share = [200, 600, 1_000][self.world.rng().usize(..3)];
        let up = self.world.targets.values().filter(|target| target.is_up());
        let up: Vec<TargetId> = up.map(|target| target.entry.id.clone()).collect();
        up.into_iter().filter(|_| self.happens(share)).collect()
    }

    /// Callers submit a job, and may cancel a recent one.
    fn submit(&mut self) {
        if self.world.store_is_silent() {
            return;
        }
        let count = 1 + self.world.rng().u32(..3);
        let run_ms = self.between(300..2_500);
        let number = self.keys.len() as u64;
        let spec = job(vec![step(count, run_ms, &[])]);
        self.keys.push(self.world.submit(number, spec));
        if self.happens(150) {
            let recent = self.keys.len().saturating_sub(8)..self.keys.len();
            let i = self.world.rng().usize(recent);
            self.world.cancel(self.keys[i]);
        }
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
        let awaits_claim = self.due.iter().any(|(_, due)| matches!(due, Due::Claim));
        if !self.world.leads() && !awaits_claim {
            let delay = self.between(CLAIM_AFTER_MS..4_000);
            self.plan(delay, Due::Claim);
        }
        if disturbed {
            if self.happens(250) {
                self.submit();
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
                self.world.end_silence(expired);
            }
            Due::Reach(ids) => set_reachable(&mut self.world, &ids, true),
            Due::Claim if self.world.store_is_silent() => self.plan(CLAIM_RETRY_MS, Due::Claim),
            Due::Claim => self.world.claim(),
        }
    }

    /// Lets a fault of a kind drawn at random begin.
    fn disturb(&mut self) {
        let silent = self.world.store_is_silent();
        match self.world.rng().u32(..8) {
            0 | 1 if !silent => {
                self.world.silence_store();
                let length = self.between(300..12_000);
                let expired = self.world.rng().bool();
                self.plan(length, Due::StoreBack { expired });
            }
            2 => self.world.kill(),
            3 => {
                let length = self.between(500..9_000);
                self.world.freeze(length);
            }
            4 if !silent && self.world.leads() => self.world.hand_over(),
            // Another process claims the role although the leader goes on.
            4 => self.plan(0, Due::Claim),
            5 => {
                for id in self.any_targets() {
                    let lag_ms = self.between(0..1_500);
                    self.world.restart_with_lag(&id, lag_ms);
                }
            }
            6 => {
                for id in self.any_targets() {
                    self.world.crash(&id);
                }
            }
            7 => {
                let ids = self.any_targets();
                set_reachable(&mut self.world, &ids, false);
                let length = self.between(1_000..OUT_OF_REACH_MS);
                self.plan(length, Due::Reach(ids));
            }
            _ => {}
        }
    }
}

/// Simulates 20 s with random faults and then at least 30 s without. Jobs that do not end count as
/// violations.
fn run_among_faults(seed: u64) -> World {
    let mut play = Play::new(seed);
    for _ in 0..ROUNDS {
        play.run_round(true);
    }
    play.world.faults.lost_answers = 0;
    for _ in 0..QUIET_MS / ROUND_MS {
        play.run_round(false);
    }
    let limit = play.world.now + END_LIMIT_MS;
    while play.world.now < limit && !unended(&play.world, &play.keys).is_empty() {
        play.world.run_for(1_000);
    }
    let mut world = play.world;
    world.violations.extend(unended(&world, &play.keys));
    world
}

/// Seeds whose play violated a rule, with what they violated of the kind that is `wanted`.
fn wrong_seeds(wanted: impl Fn(&str) -> bool) -> Vec<(u64, Vec<String>)> {
    let mut repeats = 0;
    let mut wrong = Vec::new();
    for seed in further_seeds(SEEDS) {
        let mut world = run_among_faults(seed);
        repeats += world.callers.repeats;
        world.violations.retain(|violation| wanted(violation));
        if !world.violations.is_empty() {
            wrong.push((seed, world.violations));
        }
    }
    eprintln!("{repeats} starts after the job was shown as complete");
    wrong
}

/// Guards against states that go back, and tasks that start again, when the store is silent, targets
/// are lost and the role changes hands in any order.
#[test]
fn no_shown_state_goes_back_among_drawn_faults() {
    let wrong = wrong_seeds(|violation| !violation.ends_with(GIVEN_UP));

    assert_eq!(wrong, Vec::new());
}

/// Guards against jobs that are given up for crashes that none of their tasks caused.
#[test]
fn no_job_is_given_up_beside_a_silent_store() {
    let wrong = wrong_seeds(|violation| violation.ends_with(GIVEN_UP));

    assert_eq!(wrong, Vec::new());
}
