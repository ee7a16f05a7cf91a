//! Orders for VMs when the leader changes, on a platform that checks fencing tokens and on one that
//! does not.

use amaranthwick::scheduler::Wave;
use rstest::rstest;

use crate::fixtures::{job, step};
use crate::world::World;

/// Number of seeds of each case.
const SEEDS: u64 = 60;

/// Simulates leaders that are killed, and frozen while an answer of the store is on its way, with
/// orders that the network holds up.
fn run_with_changes_of_leader(seed: u64, fenced: bool) -> World {
    let mut world = World::new(16, seed);
    world.vm_service.fenced = fenced;
    world.faults.held_up_orders = 300;
    world.claim();
    let names: Vec<String> = (0..16).map(|i| format!("vm-t{i}")).collect();
    world.request_wave(Wave {
        number: 1,
        vms: names,
        limit_ms: 26_000,
        max_down: 3,
    });
    for round in 0..8 {
        for i in 0..6 {
            world.submit(round * 6 + i, job(vec![step(2, 300, &[])]));
        }
        let span = 1_000 + world.rng().u64(..3_000);
        world.run_for(span);
        if world.rng().bool() {
            world.kill();
        } else {
            let span = 3_000 + world.rng().u64(..3_000);
            world.freeze(span);
        }
        let pause = 1_000 + world.rng().u64(..300);
        world.run_for(pause);
        world.claim();
    }
    world.run_for(20_000);
    world
}

/// Guards against an order that arrives after one of a later leader: it was held up by a partition,
/// or sent by a process that had been frozen and took an old answer of the store for a new one.
#[rstest]
fn no_order_for_a_vm_follows_one_of_a_later_leader(#[values(false, true)] fenced: bool) {
    for seed in 0..SEEDS {
        let world = run_with_changes_of_leader(seed, fenced);

        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.upkeeps.len(), 16, "seed {seed}");
        assert!(world.reports.contains(&(1, true)), "seed {seed}");
    }
}
