//! Tasks that crash their targets among waves, drains, cuts and changes of the leader, at random.

use std::ops::Range;

use amaranthwick::scheduler::{JobKey, JobState, Millis, TargetId, Wave};
use rstest::rstest;

use crate::fixtures::{further_seeds, job, step, task};
use crate::world::{Faults, Returns, World};

/// Seeds that run without `AMARANTHWICK_SEEDS`.
const SEEDS: Range<u64> = 100..116;
/// Rounds of 500 ms with faults.
const ROUNDS: u64 = 40;

/// Disturbances beside the crashes.
#[derive(Clone)]
struct Troubles {
    /// Time from a crash to the target's return, in ms.
    away_ms: Range<Millis>,
    /// Runs that fail, of a thousand.
    failed_runs: u32,
    /// Whether leaders are suspended for up to 4 s.
    suspensions: bool,
}

/// Guards against tasks that crash targets beside other faults and are never given up, and against
/// jobs that are given up for the losses of others; [`World`] checks both.
#[rstest]
fn tasks_that_crash_targets_are_given_up_beside_orders_and_drains(
    #[values(Returns::SameId, Returns::NewId, Returns::NewAddress, Returns::NewVm)]
    returns: Returns,
) {
    let troubles = Troubles {
        away_ms: 1_000..7_000,
        failed_runs: 0,
        suspensions: false,
    };

    let wrong = wrong_runs(returns, &troubles);

    assert_eq!(wrong, Vec::new());
}

/// Guards against starts beyond the limit of tasks whose runs also fail, whose targets stay away for
/// longer than their leases, and whose leaders are suspended.
#[rstest]
fn tasks_that_crash_targets_are_given_up_beside_failures_and_suspended_leaders(
    #[values(Returns::SameId, Returns::NewId, Returns::NewAddress, Returns::NewVm)]
    returns: Returns,
) {
    let troubles = Troubles {
        away_ms: 3_000..14_000,
        failed_runs: 100,
        suspensions: true,
    };

    let wrong = wrong_runs(returns, &troubles);

    assert_eq!(wrong, Vec::new());
}

/// Seeds with rules that were violated or jobs that did not end as they should.
fn wrong_runs(returns: Returns, troubles: &Troubles) -> Vec<(u64, Vec<String>)> {
    let seeds = further_seeds(SEEDS);
    seeds
        .map(|seed| (seed, run_among_troubles(seed, returns, troubles)))
        .filter(|(_, faults)| !faults.is_empty())
        .collect()
}

/// Simulates 20 s or more with random faults and then 60 s without. Returns the rules that were
/// violated and the jobs that did not end as they should.
fn run_among_troubles(seed: u64, returns: Returns, troubles: &Troubles) -> Vec<String> {
    let mut world = World::new(12, seed);
    world.faults.failed_runs = troubles.failed_runs;
    world.crashes.returns = returns;
    world.crashes.return_ms = world.rng().u64(troubles.away_ms.clone());
    world.crashes.delay_ms = world.rng().u64(..450);
    world.faults.lost_answers = 20;
    world.claim();
    let mut jobs = Vec::new();
    for round in 0..ROUNDS {
        let length = 500 + world.rng().u64(..1_500);
        let count = 1 + world.rng().u32(..5);
        let spec = job(vec![step(count, length, &[]), step(2, length / 2, &[0])]);
        let deadly = world.rng().u32(..10) == 0;
        if deadly {
            world.crashes.deadly.insert(task(round, 0));
        }
        jobs.push((world.submit(round, spec), deadly));
        disturb(&mut world, round);
        if troubles.suspensions && world.rng().u32(..10) == 0 {
            let for_ms = world.rng().u64(500..4_000);
            world.freeze(for_ms);
        }
        world.run_for(500);
    }
    world.store_up = true;
    world.faults = Faults::default();
    reach_all(&mut world);
    world.kill();
    world.run_for(1_300);
    world.claim();
    world.run_for(60_000);
    let wrong = jobs
        .into_iter()
        .filter_map(|(key, deadly)| wrong_end(&world, key, deadly));
    let wrong: Vec<String> = wrong.collect();
    world.violations.into_iter().chain(wrong).collect()
}

/// How the job did not end as it should; `None` if it did.
fn wrong_end(world: &World, key: JobKey, deadly: bool) -> Option<String> {
    let state = world.state(key);
    let right = match state {
        Some(JobState::Failed) => deadly || world.crashes.may_fail(key),
        Some(JobState::Complete) => !deadly,
        _ => false,
    };
    (!right).then(|| format!("{key} is {state:?}"))
}

/// Lets a random fault begin or end, or none.
fn disturb(world: &mut World, round: u64) {
    match world.rng().u32(..24) {
        0 => {
            world.kill();
            world.run_for(1_300);
            world.claim();
        }
        1 => {
            world.hand_over();
            world.run_for(200);
            world.claim();
        }
        2 => world.store_up = false,
        3 | 4 => world.store_up = true,
        5 | 6 => {
            let id = any_target(world);
            world.targets[&id].reachable = false;
        }
        7 => {
            let rack = world.rng().u32(..3);
            let rack = format!("r{rack}");
            let of_rack = world.targets.values_mut();
            for target in of_rack.filter(|target| target.entry.rack() == rack) {
                target.reachable = false;
            }
        }
        8..=11 => reach_all(world),
        12 | 13 => {
            let id = any_target(world);
            if world.targets[&id].is_up() && world.store_up {
                let notice_ms = 2_000 + world.rng().u64(..2_000);
                world.drain(&id, notice_ms);
            }
        }
        14 | 15 => {
            let vms = (0..3).map(|_| any_target(world));
            let vms: Vec<TargetId> = vms.collect();
            let vms = vms.iter().map(|id| world.targets[id].entry.vm.to_string());
            let wave = Wave {
                number: round + 1,
                vms: vms.collect(),
                limit_ms: 26_000,
                max_down: 36,
            };
            world.request_wave(wave);
        }
        _ => {}
    }
}

fn any_target(world: &mut World) -> TargetId {
    let known = world.targets.len();
    let i = world.rng().usize(..known);
    world.targets[i].entry.id.clone()
}

fn reach_all(world: &mut World) {
    for target in world.targets.values_mut() {
        target.reachable = true;
    }
}
