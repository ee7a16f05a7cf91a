//! Tasks that crash their targets beside orders for VMs.

use amaranthwick::scheduler::{JobKey, JobState, Millis, Wave};
use rstest::rstest;

use crate::fixtures::{job, step, task};
use crate::world::{Returns, World};

/// Targets that one task may crash before its job has ended.
const MAX_CRASHES: u32 = 3;
/// Rounds after which a task that is not given up has crashed more targets than it may.
const ROUNDS: usize = 6;

fn crashing_world(targets: usize, returns: Returns) -> World {
    let mut world = World::new(targets, 1);
    world.crashes.returns = returns;
    world.claim();
    world
}

fn submit_deadly(world: &mut World) -> JobKey {
    world.crashes.deadly.insert(task(1, 0));
    world.submit(1, job(vec![step(1, 8_000, &[])]))
}

fn wave(number: u64, vms: Vec<String>) -> Wave {
    Wave {
        number,
        vms,
        limit_ms: 26_000,
        max_down: 8,
    }
}

/// Runs the simulation until `count` targets have crashed; false if that does not happen.
fn runs_until_crashes(world: &mut World, count: usize) -> bool {
    for _ in 0..2_000 {
        if world.crashes.seen.len() >= count {
            return true;
        }
        world.run_for(5);
    }
    false
}

/// Guards against crashes that nobody is suspected of: a new target comes up on the VM, and the VM
/// gets an order, before the lease of the crashed one has expired.
#[rstest]
fn a_crash_counts_although_its_vm_gets_an_order_afterwards(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
    #[values(3_300, 3_500)] order_after_ms: Millis,
) {
    let mut world = crashing_world(8, returns);
    let deadly = submit_deadly(&mut world);

    for round in 1..=ROUNDS {
        if !runs_until_crashes(&mut world, round) {
            break;
        }
        let (_, id) = world.crashes.seen[round - 1].clone();
        world.run_for(order_after_ms);
        let vm = world.targets[&id].entry.vm.to_string();
        world.request_wave(wave(round as u64, vec![vm]));
    }
    world.run_for(10_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(!world.upkeeps.is_empty());
    assert!(world.crashes.under(task(1, 0)) <= MAX_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
}

/// Guards against crashes that nobody is suspected of because the target's previous incarnation was
/// maintained a moment ago, and the order is still taken to be open.
#[rstest]
fn a_crash_counts_just_after_the_maintenance_of_its_vm(#[values(50, 300)] return_ms: Millis) {
    let mut world = crashing_world(1, Returns::SameId);
    world.crashes.return_ms = return_ms;
    world.crashes.delay_ms = 0;
    world.run_for(3_500);
    world.request_wave(wave(1, vec!["vm-t0".to_owned()]));
    world.run_for(100);
    let deadly = submit_deadly(&mut world);

    world.run_for(30_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.upkeeps.len(), 1);
    assert_eq!(world.crashes.under(task(1, 0)), MAX_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
}
