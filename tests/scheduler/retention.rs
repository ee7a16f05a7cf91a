//! How long ended jobs, and cancels without a job, are kept.

use amaranthwick::scheduler::{Change, JobKey, JobState, Millis};

use crate::fixtures::{job, step};
use crate::world::World;

const JOB: JobKey = JobKey(1);

/// Time for which the model's leader keeps ended jobs, in ms.
const RETENTION_MS: Millis = 120_000;

/// Guards against a cancelled job that is forgotten soon after it came, and may then be begun by a
/// repeat of its request: the time since its cancel is counted, not that since its end.
#[test]
fn a_job_that_comes_long_after_its_cancel_is_kept_from_its_end_on() {
    let mut world = World::new(1, 1);
    world.claim();

    world.cancel(JOB);
    world.run_for(RETENTION_MS - 10_000);
    world.submit(1, job(vec![step(1, 400, &[])]));
    world.run_for(1_000);
    let state = world.state(JOB);
    world.run_for(20_000);

    assert_eq!(state, Some(JobState::Canceled));
    assert!(!world.log.contains(&Change::Forget(JOB)));
}

/// Guards against ended jobs that are kept for good: each leader counts the whole time anew, and none
/// leads for that long.
#[test]
fn ended_jobs_are_forgotten_although_the_role_changes_hands_often() {
    let mut world = World::new(1, 1);
    world.claim();
    world.submit(1, job(vec![step(1, 400, &[])]));

    for _ in 0..8 {
        world.run_for(RETENTION_MS * 3 / 4);
        world.hand_over();
        world.run_for(200);
        world.claim();
    }

    assert_eq!(world.state(JOB), None);
    assert!(world.log.contains(&Change::Forget(JOB)));
}
