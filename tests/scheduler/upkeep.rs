//! Maintenance waves.

use amaranthwick::scheduler::{Millis, Wave};

use crate::fixtures::{job, lasting, step};
use crate::world::World;

fn wave(machines: &[&str], max_down: usize) -> Wave {
    Wave {
        number: 1,
        machines: machines.iter().map(ToString::to_string).collect(),
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
    world.ask(wave(&["vm-t0", "vm-t1", "vm-t2", "vm-t3"], 2));

    world.run_for(26_000);

    assert_eq!(world.upkeeps.len(), 4);
    assert!(world.reports.contains(&(1, true)));
    assert_eq!(world.broken, Vec::<String>::new());
}

/// A member on a dark target counted as at work, so a planned stop took a second one away.
#[test]
fn a_step_that_misses_a_task_on_a_dark_target_is_left_alone() {
    let mut world = World::new(8, 1);
    world.claim();
    let key = world.submit(1, job(vec![lasting(4, 1)]));
    world.run_for(6_000);
    let homes = world.running(key);
    let dark = homes[0].0.clone();
    let wanted: Vec<String> = homes[1..]
        .iter()
        .map(|(id, _)| format!("vm-{}", id.0))
        .collect();
    let wanted: Vec<&str> = wanted.iter().map(String::as_str).collect();

    world.targets.get_mut(&dark).unwrap().reachable = false;
    world.run_for(2_000);
    world.ask(wave(&wanted, 3));
    let away_since: Millis = world.now;
    let mut fewest = usize::MAX;
    // Until the lost task has been replaced, and settled again.
    while world.now < away_since + 5_000 {
        world.run_for(50);
        let seen = world.running(key);
        fewest = fewest.min(seen.iter().filter(|(id, _)| *id != dark).count());
    }

    assert_eq!(fewest, 3);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// Upkeep took a VM away whose target had listed an end that was not stored yet: the next
/// leader knew nothing of the end, and ran the task again.
#[test]
fn a_vm_stays_until_the_ends_on_it_are_stored() {
    let mut world = World::new(2, 1);
    world.claim();
    world.run_for(5_000);
    let key = world.submit(1, job(vec![step(1, 500, &[])]));
    world.run_for(100);
    let home = world.running(key)[0].0.clone();
    let vm = format!("vm-{}", home.0);

    world.ask(wave(&[&vm], 1));
    world.run_for(300);
    world.store_up = false;
    world.run_for(700);
    let early = world.upkeeps.len();
    world.store_up = true;
    world.run_for(6_000);

    assert_eq!(early, 0);
    assert_eq!(world.upkeeps.len(), 1);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// A task counted as away until 4.5 s after it was at work again, so that a step of five
/// took 25 s to move off its VMs.
#[test]
fn tasks_that_last_move_off_their_vms_one_after_the_other() {
    let mut world = World::new(10, 1);
    world.claim();
    let key = world.submit(1, job(vec![lasting(5, 1)]));
    world.run_for(6_000);
    let homes = world.running(key);
    let wanted: Vec<String> = homes.iter().map(|(id, _)| format!("vm-{}", id.0)).collect();
    let wanted: Vec<&str> = wanted.iter().map(String::as_str).collect();

    world.ask(wave(&wanted, 5));
    let mut fewest = usize::MAX;
    for _ in 0..240 {
        world.run_for(50);
        fewest = fewest.min(world.running(key).len());
    }

    assert_eq!(world.upkeeps.len(), 5);
    assert!(fewest >= 4);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// A task that lasts was stopped for maintenance although no other target could take it.
#[test]
fn a_task_that_lasts_stays_until_another_target_can_take_it() {
    let mut world = World::new(5, 1);
    world.claim();
    let key = world.submit(1, job(vec![lasting(5, 1)]));
    world.run_for(6_000);

    world.ask(wave(&["vm-t0"], 1));
    let mut fewest = usize::MAX;
    for _ in 0..100 {
        world.run_for(50);
        fewest = fewest.min(world.running(key).len());
    }

    assert_eq!(fewest, 5);
    assert_eq!(world.broken, Vec::<String>::new());
}
