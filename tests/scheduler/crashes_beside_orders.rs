//! Tasks that crash their targets beside orders for VMs and targets that leave.

use amaranthwick::scheduler::{JobKey, JobState, Millis, TargetId, Wave};
use rstest::rstest;

use crate::fixtures::{job, long_running_step, step, task};
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

/// Runs the simulation until the task of the job runs on a target, and returns that.
fn run_until_started(world: &mut World, key: JobKey) -> Option<TargetId> {
    for _ in 0..1_500 {
        if let Some((id, _)) = world.running(key).first() {
            return Some(id.clone());
        }
        world.run_for(5);
    }
    None
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
    #[values(Returns::SameId, Returns::NewId, Returns::NewAddress)] returns: Returns,
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

/// As above, beside a wave that goes through all VMs, and across a change of the leader.
#[rstest]
fn crashes_count_beside_a_maintenance_wave(
    #[values(Returns::SameId, Returns::NewId, Returns::NewAddress)] returns: Returns,
    #[values(false, true)] killed: bool,
) {
    let mut world = crashing_world(8, returns);
    let lasting = world.submit(2, job(vec![long_running_step(4, 1)]));
    world.run_for(3_500);
    let all = (0..8).map(|i| format!("vm-t{i}")).collect();
    world.request_wave(Wave {
        max_down: 2,
        ..wave(1, all)
    });
    let deadly = submit_deadly(&mut world);
    world.run_until_crashes(2, 20_000);
    if killed {
        world.kill();
        world.run_for(1_300);
        world.claim();
    }

    world.run_for(60_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 0)) <= MAX_CRASHES + 1);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    assert_eq!(world.running(lasting).len(), 4);
}

/// Guards against crashes that nobody is suspected of because the target had just announced that it
/// drains: a drain ends no task that has just started.
#[rstest]
fn a_crash_counts_although_its_target_drains(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
    #[values(2_000, 4_000)] notice_ms: Millis,
    #[values(200, 400)] delay_ms: Millis,
) {
    let mut world = crashing_world(8, returns);
    world.crashes.delay_ms = delay_ms;
    let deadly = submit_deadly(&mut world);

    for _ in 0..ROUNDS {
        let Some(id) = run_until_started(&mut world, deadly) else {
            break;
        };
        world.drain(&id, notice_ms);
        world.run_for(delay_ms + 100);
    }
    world.run_for(10_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 0)) <= MAX_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
}

/// Guards against a job that fails although its targets only left: each drains soon after the task
/// started there.
#[rstest]
fn targets_that_leave_fail_no_job(
    #[values(2_000, 3_000, 4_000)] notice_ms: Millis,
    #[values(5, 300, 700, 1_500)] after_ms: Millis,
) {
    let mut world = crashing_world(8, Returns::NewId);
    let lasting = world.submit(1, job(vec![long_running_step(1, 1)]));

    for _ in 0..ROUNDS {
        let id = run_until_started(&mut world, lasting).expect("it starts again");
        world.run_for(after_ms);
        world.drain(&id, notice_ms);
        world.run_for(notice_ms + 100);
    }
    world.run_for(10_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.running(lasting).len(), 1);
}

/// Guards against a job that fails because targets that were only cut off were maintained after
/// that, and so came back as others.
#[test]
fn targets_cut_off_and_then_maintained_fail_no_job() {
    let mut world = crashing_world(8, Returns::SameId);
    let lone = world.submit(1, job(vec![step(1, 8_000, &[])]));
    world.run_for(3_500);

    for round in 1..=4 {
        let id = run_until_started(&mut world, lone).expect("it starts again");
        world.run_for(100);
        world.targets[&id].reachable = false;
        world.run_for(4_300);
        let vm = world.targets[&id].entry.vm.to_string();
        world.request_wave(wave(round, vec![vm]));
        world.run_for(3_000);
        world.targets[&id].reachable = false;
    }
    for target in world.targets.values_mut() {
        target.reachable = true;
    }
    world.run_for(30_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.upkeeps.len(), 4);
    assert_eq!(world.state(lone), Some(JobState::Complete));
}
