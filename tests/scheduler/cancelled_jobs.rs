//! Runs of cancelled jobs that the leader learns of only after the cancel.

use amaranthwick::scheduler::JobState;
use rstest::rstest;

use crate::fixtures::{job, long_running_step};
use crate::world::World;

/// When a job is cancelled whose targets are not listed while another process claims the role.
#[derive(Clone, Copy, Debug)]
enum CancelAt {
    BeforeClaim,
    AfterClaim,
}

/// Guards against long-running tasks that run on after their job was cancelled: a leader that
/// adopted them when their targets were listed again never stopped them.
#[rstest]
fn tasks_of_a_cancelled_job_stop_on_targets_that_are_listed_late(
    #[values(CancelAt::BeforeClaim, CancelAt::AfterClaim)] cancel_at: CancelAt,
) {
    let mut world = World::new(6, 1);
    world.claim();
    let key = world.submit(1, job(vec![long_running_step(4, 1)]));
    world.run_for(2_000);
    let before = world.running(key).len();

    world.expire_entries();
    world.kill();
    if matches!(cancel_at, CancelAt::BeforeClaim) {
        world.cancel(key);
    }
    world.run_for(500);
    world.claim();
    world.run_for(500);
    if matches!(cancel_at, CancelAt::AfterClaim) {
        world.cancel(key);
    }
    world.run_for(1_000);
    world.publish_all_entries();
    world.run_for(2_000);

    assert_eq!(before, 4);
    assert_eq!(world.running(key), Vec::new());
    assert_eq!(world.state(key), Some(JobState::Canceled));
}
