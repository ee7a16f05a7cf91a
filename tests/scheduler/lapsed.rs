//! Entries of targets that lapse while the store is away, although the targets live.

use amaranthwick::scheduler::{JobState, Wave};

use crate::fixtures::{job, lasting, step};
use crate::world::World;

/// Targets whose entries had lapsed got no work until they were listed again.
#[test]
fn targets_get_work_while_their_entries_come_back() {
    let mut world = World::new(4, 1);
    world.claim();
    world.run_for(1_000);

    world.lapse_entries();
    let key = world.submit(1, job(vec![step(4, 400, &[])]));
    world.run_for(1_000);

    assert_eq!(world.state(key), Some(JobState::Complete));
}

#[test]
fn an_entry_that_stays_away_means_that_its_target_is_gone() {
    let mut world = World::new(2, 1);
    world.claim();
    world.run_for(1_000);

    world.lapse_entries();
    world.run_for(3_000);
    let key = world.submit(1, job(vec![step(1, 400, &[])]));
    world.run_for(1_000);

    assert_eq!(world.state(key), Some(JobState::Queued));
}

/// A leader that had claimed the role before the entries were back stopped all that ran.
#[test]
fn a_new_leader_keeps_what_runs_on_targets_that_are_listed_late() {
    let mut world = World::new(6, 1);
    world.claim();
    let key = world.submit(1, job(vec![lasting(4, 1)]));
    world.run_for(2_000);
    let before = world.running(key);

    world.lapse_entries();
    world.kill();
    world.run_for(500);
    world.claim();
    world.run_for(1_500);
    world.announce_all();
    let mut fewest = before.len();
    for _ in 0..100 {
        world.run_for(50);
        fewest = fewest.min(world.running(key).len());
    }

    assert_eq!(fewest, before.len());
    assert_eq!(world.running(key), before);
}

/// A VM whose target was not listed yet was taken for idle and maintained at once.
#[test]
fn a_vm_whose_target_is_not_listed_is_not_taken_for_idle() {
    let mut world = World::new(4, 1);
    world.claim();
    world.submit(1, job(vec![lasting(4, 0)]));
    world.run_for(2_000);
    world.ask(Wave {
        number: 1,
        machines: (0..4).map(|i| format!("vm-t{i}")).collect(),
        limit_ms: 26_000,
        max_down: 4,
    });

    world.lapse_entries();
    world.kill();
    world.claim();
    world.run_for(3_800);
    world.announce_all();
    world.run_for(2_000);

    assert_eq!(world.broken, Vec::<String>::new());
}

/// Targets that had left while records were missing stayed in the list for good.
#[test]
fn a_target_that_a_new_list_lacks_is_gone() {
    let mut world = World::new(2, 1);
    world.claim();
    world.run_for(1_000);

    for target in world.targets.values_mut() {
        target.listed = false;
    }
    world.list_again();
    let key = world.submit(1, job(vec![step(1, 400, &[])]));
    world.run_for(1_000);

    assert_eq!(world.state(key), Some(JobState::Queued));
}
