//! Maintenance waves of VMs.

use amaranthwick::scheduler::{Millis, Wave};

use crate::fixtures::{job, long_running_step, step};
use crate::world::World;

fn wave(vms: &[&str], max_down: usize) -> Wave {
    Wave {
        number: 1,
        vms: vms.iter().map(ToString::to_string).collect(),
        limit_ms: 26_000,
        max_down,
    }
}

#[test]
fn a_wave_rolls_through_within_its_cap_and_time() {
    let mut world = World::new(6, 1);
    world.claim();
    for i in 0..40 {
        world.submit(i, job(vec![step(4, 800, &[]), step(2, 400, &[0])]));
    }
    world.request_wave(wave(&["vm-t0", "vm-t1", "vm-t2", "vm-t3"], 2));

    world.run_for(26_000);

    assert_eq!(world.upkeeps.len(), 4);
    assert!(world.reports.contains(&(1, true)));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against too many missing tasks: a task on an unreachable target counted as running,
/// so that maintenance stopped a second task of the step.
#[test]
fn maintenance_spares_a_step_with_a_task_on_an_unreachable_target() {
    let mut world = World::new(8, 1);
    world.claim();
    let key = world.submit(1, job(vec![long_running_step(4, 1)]));
    world.run_for(6_000);
    let placements = world.running(key);
    let unreachable = placements[0].0.clone();
    let wanted: Vec<String> = placements[1..]
        .iter()
        .map(|(id, _)| format!("vm-{}", id.0))
        .collect();
    let wanted: Vec<&str> = wanted.iter().map(String::as_str).collect();

    world.targets.get_mut(&unreachable).unwrap().reachable = false;
    world.run_for(2_000);
    world.request_wave(wave(&wanted, 3));
    let away_since: Millis = world.now;
    let mut fewest = usize::MAX;
    // Long enough for the lost task to be replaced and to run normally again.
    while world.now < away_since + 5_000 {
        world.run_for(50);
        let seen = world.running(key);
        fewest = fewest.min(seen.iter().filter(|(id, _)| *id != unreachable).count());
    }

    assert_eq!(fewest, 3);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a task that runs twice: a VM was maintained although the end of a run on it
/// was not stored yet, so that the next leader did not know of the end and ran the task again.
#[test]
fn a_vm_stays_until_the_ends_on_it_are_stored() {
    let mut world = World::new(2, 1);
    world.claim();
    world.run_for(5_000);
    let key = world.submit(1, job(vec![step(1, 500, &[])]));
    world.run_for(100);
    let home = world.running(key)[0].0.clone();
    let vm = format!("vm-{}", home.0);

    world.request_wave(wave(&[&vm], 1));
    world.run_for(300);
    world.store_up = false;
    world.run_for(700);
    let early = world.upkeeps.len();
    world.store_up = true;
    world.run_for(6_000);

    assert_eq!(early, 0);
    assert_eq!(world.upkeeps.len(), 1);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against slow maintenance: a task counted as unavailable until 4.5 s after it had
/// started working again, so that a step of five took 25 s to move off its VMs.
#[test]
fn long_running_tasks_move_off_their_vms_one_after_the_other() {
    let mut world = World::new(10, 1);
    world.claim();
    let key = world.submit(1, job(vec![long_running_step(5, 1)]));
    world.run_for(6_000);
    let placements = world.running(key);
    let wanted: Vec<String> = placements
        .iter()
        .map(|(id, _)| format!("vm-{}", id.0))
        .collect();
    let wanted: Vec<&str> = wanted.iter().map(String::as_str).collect();

    world.request_wave(wave(&wanted, 5));
    let mut fewest = usize::MAX;
    for _ in 0..240 {
        world.run_for(50);
        fewest = fewest.min(world.running(key).len());
    }

    assert_eq!(world.upkeeps.len(), 5);
    assert!(fewest >= 4);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a needless outage: a long-running task was stopped for maintenance although
/// no other target could take it.
#[test]
fn a_long_running_task_stays_until_another_target_can_take_it() {
    let mut world = World::new(5, 1);
    world.claim();
    let key = world.submit(1, job(vec![long_running_step(5, 1)]));
    world.run_for(6_000);

    world.request_wave(wave(&["vm-t0"], 1));
    let mut fewest = usize::MAX;
    for _ in 0..100 {
        world.run_for(50);
        fewest = fewest.min(world.running(key).len());
    }

    assert_eq!(fewest, 5);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against VMs that are never maintained: a list that lacked them, because it comes in pages
/// and these are no snapshot, made the wave complete.
#[test]
fn a_vm_that_one_list_lacks_is_maintained() {
    let mut world = World::new(2, 1);
    world.claim();
    world.run_for(4_000);
    let until = world.now + 200;
    world.vm_service.unlisted.insert("vm-t0".to_owned(), until);

    world.request_wave(wave(&["vm-t0"], 1));
    world.run_for(26_000);

    assert_eq!(world.upkeeps.len(), 1);
    assert!(world.reports.contains(&(1, true)));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against more VMs down than the wave allows: one that a list lacked while it was maintained
/// counted as up.
#[test]
fn a_vm_that_one_list_lacks_while_it_is_maintained_counts_as_down() {
    let mut world = World::new(6, 1);
    world.claim();
    world.run_for(4_000);
    world.request_wave(wave(&["vm-t0", "vm-t1", "vm-t2"], 1));
    while world.upkeeps.is_empty() {
        world.run_for(5);
    }

    let (began, vm) = world.upkeeps[0].clone();
    world.run_for(1_500);
    world.vm_service.unlisted.insert(vm, began + 1_995);
    world.run_for(26_000);

    assert_eq!(world.upkeeps.len(), 3);
    assert_eq!(world.violations, Vec::<String>::new());
}
