//! Targets that get no starts for a while, because they refused some.

use amaranthwick::scheduler::{JobState, Millis, TargetId};

use crate::fixtures::{job, step};
use crate::world::{StartFault, World};

/// Longest pause after refused starts, in ms, and some time for a job after it.
const RECOVERY_MS: Millis = 8_000;

/// Guards against jobs that wait for good once their targets' pauses are over: nothing had the leader
/// look for room then, unless an entry, a report or a batch happened to follow.
#[test]
fn a_job_starts_once_the_pause_of_its_target_is_over() {
    let mut world = World::new(1, 1);
    world.claim();
    world.run_for(500);
    let ids: Vec<TargetId> = world.targets.keys().cloned().collect();
    world.set_start_fault(&ids, Some(StartFault::Refused));
    let key = world.submit(1, job(vec![step(6, 500, &[])]));
    world.run_for(300);

    world.set_start_fault(&ids, None);
    world.run_for(RECOVERY_MS);

    assert_eq!(world.state(key), Some(JobState::Complete));
}
