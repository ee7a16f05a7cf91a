//! Leases of targets that have restarted, which may be the longest that a target accepts.

use crate::fixtures::{job, long_running_step};
use crate::world::World;

/// Guards against two runs of a task: a leader assumed that a restarted target had the longest lease,
/// and gave it that with its own calls. The next leader did not know.
#[test]
fn the_next_leader_waits_for_the_lease_of_a_restarted_target() {
    let mut world = World::new(3, 1);
    world.claim();
    world.run_for(1_000);
    let ids: Vec<_> = world.targets.keys().cloned().collect();
    for id in &ids {
        world.restart(id);
    }
    world.run_for(200);
    let key = world.submit(1, job(vec![long_running_step(2, 1)]));
    world.run_for(200);
    let silent = world.running(key)[0].0.clone();

    world.hand_over();
    world.run_for(200);
    world.claim();
    world.run_for(100);
    world.targets[&silent].reachable = false;
    world.run_for(8_000);

    assert_eq!(world.running(key).len(), 2);
    assert_eq!(world.violations, Vec::<String>::new());
}
