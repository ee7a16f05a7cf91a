//! Entries of targets that expire while the store is unavailable, although the targets are
//! alive.

use amaranthwick::scheduler::{JobState, Wave};

use crate::fixtures::{job, long_running_step, step};
use crate::world::World;

/// Guards against idle targets: those whose entries had expired got no work until they were
/// listed again.
#[test]
fn targets_get_work_while_their_entries_come_back() {
    let mut world = World::new(4, 1);
    world.claim();
    world.run_for(1_000);

    world.expire_entries();
    let key = world.submit(1, job(vec![step(4, 400, &[])]));
    world.run_for(1_000);

    assert_eq!(world.state(key), Some(JobState::Complete));
}

#[test]
fn an_entry_that_stays_away_means_that_its_target_is_gone() {
    let mut world = World::new(2, 1);
    world.claim();
    world.run_for(1_000);

    world.expire_entries();
    world.run_for(3_000);
    let key = world.submit(1, job(vec![step(1, 400, &[])]));
    world.run_for(1_000);

    assert_eq!(world.state(key), Some(JobState::Queued));
}

/// Guards against lost runs: a leader that claimed the role before the entries were back
/// stopped everything that ran on the targets.
#[test]
fn a_new_leader_keeps_what_runs_on_targets_that_are_listed_late() {
    let mut world = World::new(6, 1);
    world.claim();
    let key = world.submit(1, job(vec![long_running_step(4, 1)]));
    world.run_for(2_000);
    let before = world.running(key);

    world.expire_entries();
    world.kill();
    world.run_for(500);
    world.claim();
    world.run_for(1_500);
    world.publish_all_entries();
    let mut fewest = before.len();
    for _ in 0..100 {
        world.run_for(50);
        fewest = fewest.min(world.running(key).len());
    }

    assert_eq!(fewest, before.len());
    assert_eq!(world.running(key), before);
}

/// Guards against maintenance under running tasks: a VM whose target was not listed yet was
/// taken for idle and maintained at once.
#[test]
fn a_vm_whose_target_is_not_listed_is_not_taken_for_idle() {
    let mut world = World::new(4, 1);
    world.claim();
    world.submit(1, job(vec![long_running_step(4, 0)]));
    world.run_for(2_000);
    world.request_wave(Wave {
        number: 1,
        vms: (0..4).map(|i| format!("vm-t{i}")).collect(),
        limit_ms: 26_000,
        max_down: 4,
    });

    world.expire_entries();
    world.kill();
    world.claim();
    world.run_for(3_800);
    world.publish_all_entries();
    world.run_for(2_000);

    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against stale targets: those that had left while changes of the list were missed
/// stayed known for good.
#[test]
fn a_target_that_a_new_list_lacks_is_gone() {
    let mut world = World::new(2, 1);
    world.claim();
    world.run_for(1_000);

    for target in world.targets.values_mut() {
        target.listed = false;
    }
    world.relist_targets();
    let key = world.submit(1, job(vec![step(1, 400, &[])]));
    world.run_for(1_000);

    assert_eq!(world.state(key), Some(JobState::Queued));
}
