//! Tasks of targets that are gone, and no longer listed, when another process takes the role.

use amaranthwick::scheduler::{JobKey, Millis};

use crate::fixtures::{job, long_running_step};
use crate::world::World;

/// Time between two looks at what runs, in ms.
const LOOK_MS: Millis = 50;

/// A leader with a long-running job on some of four targets, one of which is then lost for good.
fn with_lost_target() -> (World, JobKey) {
    let mut world = World::new(4, 1);
    world.claim();
    let key = world.submit(1, job(vec![long_running_step(3, 1)]));
    world.run_for(1_000);
    let lost = world.running(key)[0].0.clone();
    world.lose(&lost);
    (world, key)
}

/// Time until all tasks of the job run again, in ms; at most `limit`.
fn time_to_recover(world: &mut World, key: JobKey, limit: Millis) -> Millis {
    let began_at = world.now;
    while world.now < began_at + limit && world.running(key).len() < 3 {
        world.run_for(LOOK_MS);
    }
    world.now - began_at
}

/// Guards against long-running tasks that stay away: an earlier leader that has given the role up
/// extends no lease.
#[test]
fn tasks_of_a_gone_target_run_again_soon_after_a_handover() {
    let (mut world, key) = with_lost_target();

    world.hand_over();
    world.run_for(200);
    world.claim();
    let waited = time_to_recover(&mut world, key, 20_000);

    assert!(waited <= 5_300, "{waited} ms");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// The leader before may go on to extend leases until it steps down.
#[test]
fn tasks_of_a_gone_target_run_again_once_no_earlier_lease_can_hold() {
    let (mut world, key) = with_lost_target();

    world.kill();
    world.run_for(1_300);
    world.claim();
    let waited = time_to_recover(&mut world, key, 20_000);

    assert!(waited <= 11_700, "{waited} ms");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against tasks that stay away for longer than they must: the process of the earlier leader has
/// started again, and tells the next one so.
#[test]
fn tasks_of_a_gone_target_run_again_soon_after_the_leader_was_killed() {
    let (mut world, key) = with_lost_target();

    world.kill();
    world.run_for(1_300);
    world.claim();
    let waited = time_to_recover(&mut world, key, 20_000);

    assert!(waited <= 5_300, "{waited} ms");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against tasks that stay away for good: the VM of the earlier leader is lost, and never answers.
#[test]
fn tasks_of_a_gone_target_run_again_although_the_earlier_leader_is_lost() {
    let (mut world, key) = with_lost_target();

    world.lose_leader();
    world.run_for(1_300);
    world.claim();
    let waited = time_to_recover(&mut world, key, 20_000);

    assert!(waited <= 11_700, "{waited} ms");
    assert_eq!(world.violations, Vec::<String>::new());
}
