//! What leaves an evacuated data centre, and targets that are slow after their start.

use amaranthwick::scheduler::{JobKey, Millis, TargetId};

use crate::evacuation::{is_busy, run_with_jobs, world};
use crate::fixtures::{job, long_running_step, step};
use crate::world::World;

/// Smallest number of tasks of a job that are running at once during `span_ms`.
fn fewest_running(world: &mut World, key: JobKey, span_ms: Millis) -> usize {
    let end = world.now + span_ms;
    let mut fewest = usize::MAX;
    while world.now < end {
        world.run_for(5);
        fewest = fewest.min(world.running(key).len());
    }
    fewest
}

/// Guards against an outage of a service: its long-running tasks in an evacuated data centre were
/// left there, or were stopped all at once.
#[test]
fn long_running_tasks_move_out_one_at_a_time() {
    let mut world = world(1);
    let key = world.submit(1, job(vec![long_running_step(6, 1)]));
    world.run_for(6_000);
    let placed = world.running(key).len();

    world.set_evacuated("z0", true);
    let fewest = fewest_running(&mut world, key, 15_000);

    assert!(!is_busy(&world, "z0"));
    assert_eq!((placed, fewest, world.running(key).len()), (6, 5, 6));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against an outage of a service without a limit on missing tasks, all of whose tasks in
/// an evacuated data centre were stopped at once for the room that only one of them found.
#[test]
fn tasks_that_any_number_of_may_miss_move_out_one_at_a_time_too() {
    let mut world = world(1);
    let key = world.submit(1, job(vec![long_running_step(6, 0)]));
    world.run_for(6_000);
    let busy = world.busy_data_centres();
    let there = busy.iter().filter(|name| *name == "z0").count();

    world.set_evacuated("z0", true);
    let fewest = fewest_running(&mut world, key, 10_000);

    assert!(there >= 2);
    assert!(!is_busy(&world, "z0"));
    assert_eq!((fewest, world.running(key).len()), (5, 6));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against an outage of a service: a long-running task was stopped although no target
/// elsewhere had room for it.
#[test]
fn long_running_tasks_stay_while_there_is_no_room_elsewhere() {
    let mut world = world(1);
    let key = world.submit(1, job(vec![long_running_step(9, 1)]));
    world.run_for(6_000);
    let before = world.running(key);

    world.set_evacuated("z0", true);
    world.run_for(5_000);

    assert_eq!(world.running(key).len(), 9);
    assert_eq!(world.running(key), before);
}

/// Guards against VMs that cost something and may not be used: idle ones of an evacuated data
/// centre stayed in their pool, and those of the standby pool were moved into pools.
#[test]
fn vms_of_an_evacuated_data_centre_go_to_the_standby_pool_and_stay_there() {
    let mut world = world(1);
    for i in 0..3 {
        world.add_standby_vm(&format!("vm-s{i}"), &format!("z{i}"));
    }
    world.set_evacuated("z0", true);
    world.run_for(6_000);
    let retired: Vec<String> = world
        .moves
        .drain(..)
        .map(|(vm, pool)| vm + " " + &pool)
        .collect();

    for i in 0..20 {
        world.submit(i, job(vec![step(40, 3_000, &[])]));
    }
    world.run_for(3_000);
    let mut added: Vec<String> = world
        .moves
        .iter()
        .map(|(vm, pool)| format!("{vm} {pool}"))
        .collect();
    added.sort();
    // In the model these moves do not end, and are ordered again.
    added.dedup();

    for vm in ["vm-t0", "vm-t3", "vm-t6"] {
        assert!(
            retired.contains(&format!("{vm} spare")),
            "{vm}: {retired:?}"
        );
    }
    assert_eq!(added, ["vm-s1 herd", "vm-s2 herd"]);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a pool that is short of VMs: those of an evacuated data centre counted as its
/// capacity, so that none were ordered in their place.
#[test]
fn vms_of_an_evacuated_data_centre_are_replaced() {
    let mut world = world(1);
    for i in 0..6 {
        world.add_standby_vm(&format!("vm-s{i}"), "z1");
    }
    for i in 0..3 {
        world.submit(i, job(vec![step(40, 9_000, &[])]));
    }
    world.run_for(3_000);
    let before = world.moves.len();

    world.set_evacuated("z0", true);
    world.run_for(3_000);

    let moves = world.moves[before..].iter();
    let added = moves.filter(|(_, pool)| pool == crate::fixtures::POOL);
    assert!(added.count() >= 2, "{:?}", world.moves);
}

/// Guards against a maintenance wave that stops at the VMs of an evacuated data centre.
#[test]
fn maintenance_goes_on_in_an_evacuated_data_centre() {
    let mut world = world(1);
    run_with_jobs(&mut world, 0, 1_000);
    world.set_evacuated("z0", true);
    world.request_wave(amaranthwick::scheduler::Wave {
        number: 1,
        vms: vec!["vm-t0".to_owned(), "vm-t1".to_owned(), "vm-t3".to_owned()],
        limit_ms: 20_000,
        max_down: 1,
    });

    run_with_jobs(&mut world, 100, 12_000);

    assert_eq!(world.upkeeps.len(), 3);
    assert!(world.reports.contains(&(1, true)));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against slow work: a target that has just started was chosen although another had
/// capacity free, or was never chosen again.
#[test]
fn cold_targets_are_chosen_last_until_they_are_warm() {
    let mut world = World::new(3, 1);
    world.targets[&TargetId("t1".into())].entry.cold_left_ms = 8_000;
    world.targets[&TargetId("t2".into())].entry.cold_left_ms = 8_000;
    world.claim();
    world.run_for(2_000);

    let some = world.submit(1, job(vec![step(16, 400, &[])]));
    world.run_for(200);
    let on: Vec<TargetId> = world.running(some).into_iter().map(|(id, _)| id).collect();
    world.run_for(2_000);
    let many = world.submit(2, job(vec![step(40, 400, &[])]));
    world.run_for(200);
    let full = world.running(many).len();
    world.run_for(6_000);
    let later = world.submit(3, job(vec![step(1, 400, &[])]));
    world.run_for(200);

    assert_eq!(on, vec![TargetId("t0".into()); 16]);
    assert_eq!(full, 40);
    // Of targets that are equally warm and empty, the last one is chosen.
    assert_eq!(world.running(later)[0].0, TargetId("t2".into()));
}
