//! Targets that crash and return.

use amaranthwick::scheduler::JobState;
use rstest::rstest;

use crate::fixtures::{job, step};
use crate::world::{Returns, World};

#[rstest]
fn a_target_that_crashed_gets_work_once_it_has_returned(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
    #[values(0, 10)] delay_ms: u64,
    #[values(3_200, 6_000)] return_ms: u64,
) {
    let mut world = World::new(1, 1);
    world.crashes.returns = returns;
    world.crashes.delay_ms = delay_ms;
    world.crashes.return_ms = return_ms;
    world.claim();
    let (task, spec) = (crate::fixtures::task(1, 0), job(vec![step(1, 500, &[])]));
    world.crashes.deadly.insert(task);
    let deadly = world.submit(1, spec.clone());
    world.run_until_crashes(1, 1_000);

    world.cancel(deadly);
    let waiting = world.submit(2, spec);
    world.run_for(return_ms - 100);
    let early = world.running(waiting);
    world.run_for(1_500);

    assert_eq!(early, Vec::new());
    assert_eq!(world.state(waiting), Some(JobState::Complete));
    assert_eq!(world.crashes.under(task), 1);
    assert_eq!(world.violations, Vec::<String>::new());
}
