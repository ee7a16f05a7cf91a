//! Faults of targets, of leaders and of the store, one at a time and together.

use amaranthwick::scheduler::{JobState, Policy};
use rstest::rstest;

use crate::capacity::cores;
use crate::fixtures::{QUEUE, further_seeds, job, long_running_step, policy, step};
use crate::target::Pace;
use crate::world::{ENTRY_LAG_MS, Faults, World};

/// Guards against tasks that are never given up: hold calls to a target that did not answer went
/// on extending its lease, so that its tasks never ran elsewhere.
#[test]
fn tasks_of_an_unreachable_target_run_again_after_its_lease() {
    let mut world = World::new(4, 1);
    world.claim();
    let key = world.submit(1, job(vec![long_running_step(3, 1)]));
    world.run_for(1_000);
    let unreachable = world.running(key)[0].0.clone();

    world.targets.get_mut(&unreachable).unwrap().reachable = false;
    world.run_for(6_000);

    let placements = world.running(key);
    assert_eq!(placements.len(), 3);
    assert!(placements.iter().all(|(id, _)| *id != unreachable));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against an endless wait: the leader waited without limit for tasks on a target that
/// answers calls although its runs have stalled.
#[test]
fn stalled_tasks_run_elsewhere() {
    let mut world = World::new(4, 1);
    world.claim();
    let key = world.submit(1, job(vec![step(8, 2_000, &[])]));
    world.run_for(500);
    let stuck = world.running(key)[0].0.clone();

    world.targets.get_mut(&stuck).unwrap().pace = Pace::Stalled;
    world.run_for(6_000);

    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_slow_task_that_makes_progress_is_not_stopped() {
    let mut world = World::new(2, 1);
    world.claim();
    let key = world.submit(1, job(vec![step(2, 500, &[])]));
    world.run_times.insert(key, 8_000);
    world.run_for(9_000);

    assert_eq!(world.state(key), Some(JobState::Complete));
}

#[test]
fn a_lost_target_is_replaced_by_another() {
    let mut world = World::new(4, 1);
    world.claim();
    let key = world.submit(1, job(vec![step(8, 2_000, &[])]));
    world.run_for(500);
    let lost = world.running(key)[0].0.clone();

    world.lose(&lost);
    world.run_for(9_000);

    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_new_leader_takes_running_tasks_over() {
    let mut world = World::new(4, 1);
    world.claim();
    let key = world.submit(1, job(vec![step(8, 3_000, &[]), step(2, 500, &[0])]));
    world.run_for(1_000);
    let before = world.running(key);

    world.kill();
    world.run_for(1_500);
    world.claim();
    world.run_for(200);
    let after = world.running(key);
    world.run_for(2_000);

    assert_eq!(before, after);
    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against long-running tasks that stay away: the next leader waited for leases that the
/// one before might have extended until it stepped down, although that one had given the role up.
#[test]
fn tasks_of_a_dark_target_run_again_soon_after_a_handover() {
    let mut world = World::new(4, 1);
    world.claim();
    let key = world.submit(1, job(vec![long_running_step(3, 1)]));
    world.run_for(1_000);
    let dark = world.running(key)[0].0.clone();

    world.targets.get_mut(&dark).unwrap().reachable = false;
    world.hand_over();
    world.run_for(200);
    world.claim();
    world.run_for(6_000);

    let placements = world.running(key);
    assert_eq!(placements.len(), 3);
    assert!(placements.iter().all(|(id, _)| *id != dark));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// A leader that was replaced without having given the role up may go on extending leases, also
/// when its successor gives the role up in order.
#[test]
fn a_handover_does_not_end_the_wait_for_a_leader_before_it() {
    let mut world = World::new(4, 1);
    world.claim();
    let key = world.submit(1, job(vec![long_running_step(3, 1)]));
    world.run_for(1_000);
    let dark = world.running(key)[0].0.clone();

    world.targets.get_mut(&dark).unwrap().reachable = false;
    world.kill();
    world.run_for(1_300);
    world.claim();
    world.run_for(200);
    world.hand_over();
    world.run_for(200);
    world.claim();
    world.run_for(9_000);

    let elsewhere = world.running(key);
    let elsewhere = elsewhere.iter().filter(|(id, _)| *id != dark).count();
    assert_eq!(elsewhere, 2);
}

/// Any fault may happen at any time; [`World`] checks that no rule is violated.
#[rstest]
fn nothing_runs_twice_whatever_happens(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64) {
    for seed in block * SEEDS..(block + 1) * SEEDS {
        let world = run_with_faults(seed);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Number of seeds in each block.
const SEEDS: u64 = 12;

/// A policy of this version with more attempts than jobs have without their queue's terms.
fn lasting_policy(version: u64) -> Policy {
    let mut policy = policy();
    policy.version = version;
    policy.queues[QUEUE].attempts = 4;
    policy
}

fn publish_policy(world: &mut World, version: u64, with_queue: bool) {
    let mut policy = lasting_policy(version);
    if !with_queue {
        policy.queues.clear();
    }
    world.publish_policy(policy);
}

/// Eight targets that differ from seed to seed in what the platform allows, with random faults.
fn faulty_world(seed: u64) -> World {
    let mut world = World::new(8, seed);
    world.faults.lost_answers = 30;
    world.faults.late_starts = 20;
    world.faults.failed_runs = 30;
    world.holds_wait = !seed.is_multiple_of(3);
    if seed % 2 == 1 {
        world.remove_admission_check();
    }
    world.set_policy(lasting_policy(1));
    if seed.is_multiple_of(4) {
        for target in world.targets.values_mut() {
            target.ends_page = 2;
        }
    }
    world
}

/// Simulates 25 s or more with random faults and then 30 s without. Every job must have ended by
/// then.
fn run_with_faults(seed: u64) -> World {
    let mut world = faulty_world(seed);
    world.claim();
    let mut keys = Vec::new();
    let mut unreachable = Vec::new();
    for round in 0..50 {
        let length = 200 + world.rng().u64(..1_500);
        let count = 1 + world.rng().u32(..6);
        let mut spec = job(vec![step(count, length, &[]), step(2, length / 2, &[0])]);
        spec.terms = Some(lasting_policy(1).queues[QUEUE].terms_for(&spec));
        keys.push(world.submit(round, spec));
        match world.rng().u32(..24) {
            0 => {
                world.kill();
                world.run_for(1_300);
                world.claim();
            }
            1 => {
                world.freeze(3_000);
                world.run_for(1_300);
                world.claim();
            }
            2 => world.store_up = false,
            3 | 4 => world.store_up = true,
            5 | 6 => {
                let i = world.rng().usize(..8);
                let id = world.targets.get_index(i).unwrap().0.clone();
                world.targets.get_mut(&id).unwrap().reachable = false;
                unreachable.push(id);
            }
            7..=9 => {
                if let Some(id) = unreachable.pop() {
                    world.targets.get_mut(&id).unwrap().reachable = true;
                }
            }
            10 => {
                let i = world.rng().usize(..8);
                let id = world.targets.get_index(i).unwrap().0.clone();
                let lag_ms = world.rng().u64(..ENTRY_LAG_MS);
                world.restart_with_lag(&id, lag_ms);
            }
            11 => {
                let i = world.rng().usize(..keys.len());
                world.cancel(keys[i]);
            }
            12 => world.expire_entries(),
            13 | 14 => world.publish_all_entries(),
            15 => {
                let i = world.rng().usize(..8);
                world.targets[i].pace = Pace::Stalled;
            }
            16 => {
                for target in world.targets.values_mut() {
                    target.pace = Pace::Normal;
                }
            }
            17 => {
                world.hand_over();
                world.run_for(200);
                world.claim();
            }
            18 => {
                let i = world.rng().usize(..8);
                let id = world.targets.get_index(i).unwrap().0.clone();
                let left = world.rng().u64(..=16);
                world.set_capacity(&id, cores(left));
            }
            19 => publish_policy(&mut world, 2 * round + 2, false),
            20 => publish_policy(&mut world, 2 * round + 3, true),
            _ => {}
        }
        world.run_for(500);
    }
    world.store_up = true;
    world.faults = Faults::default();
    for target in world.targets.values_mut() {
        target.room.change(cores(16), world.now);
    }
    world.publish_all_entries();
    for target in world.targets.values_mut() {
        target.pace = Pace::Normal;
    }
    for id in unreachable {
        world.targets.get_mut(&id).unwrap().reachable = true;
    }
    world.kill();
    world.claim();
    world.run_for(30_000);
    for key in keys {
        let ended = world.state(key).is_some_and(JobState::ended);
        if !ended {
            let state = world.state(key);
            world
                .violations
                .push(format!("{key} has no end: {state:?}"));
        }
    }
    world
}

/// Runs a range of other seeds, 96 to 103 by default. To choose them:
/// `AMARANTHWICK_SEEDS=1000..4000 cargo test --test scheduler`.
#[test]
fn nothing_runs_twice_for_further_seeds() {
    let violations: Vec<_> = further_seeds(96..104)
        .map(|seed| (seed, run_with_faults(seed).violations))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();

    assert_eq!(violations, Vec::new());
}
