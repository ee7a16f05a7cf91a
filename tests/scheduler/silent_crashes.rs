//! Losses of targets that only later prove to be crashes, or not to be.

use amaranthwick::scheduler::{JobKey, JobState, Millis};
use rstest::rstest;

use crate::fixtures::{job, step, task};
use crate::world::{Returns, World};

/// Targets that one task may crash where a crash proves to be one only after the task has started
/// again.
const MAX_LATE_CRASHES: u32 = 4;
/// Time of a cut after which the lease of a target has expired, in ms.
const CUT_MS: Millis = 4_300;

fn crashing_world(returns: Returns, return_ms: Millis) -> World {
    let mut world = World::new(8, 1);
    world.crashes.returns = returns;
    world.crashes.return_ms = return_ms;
    world.claim();
    world
}

fn submit_deadly(world: &mut World) -> JobKey {
    world.crashes.deadly.insert(task(1, 0));
    world.submit(1, job(vec![step(1, 800, &[])]))
}

fn submit_ordinary(world: &mut World) -> Vec<JobKey> {
    let numbers = 1_000..1_012;
    let spec = || job(vec![step(6, 800, &[]), step(2, 400, &[0])]);
    numbers.map(|number| world.submit(number, spec())).collect()
}

fn all_complete(world: &World, keys: &[JobKey]) -> bool {
    keys.iter()
        .all(|key| world.state(*key) == Some(JobState::Complete))
}

/// Guards against losses that stay uncertain for good, so that a task crashes five targets: they
/// return only after the lease, under their id, as another target, or on another VM.
#[rstest]
fn a_silent_loss_that_proves_to_be_a_crash_is_known(
    #[values(Returns::SameId, Returns::NewId, Returns::NewAddress, Returns::NewVm)]
    returns: Returns,
    #[values(4_500, 6_000, 7_500)] return_ms: Millis,
) {
    let mut world = crashing_world(returns, return_ms);
    let ordinary = submit_ordinary(&mut world);
    let deadly = submit_deadly(&mut world);

    world.run_for(40_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 0)) <= MAX_LATE_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    assert!(all_complete(&world, &ordinary));
}

/// Guards against losses that stay uncertain because the leader that counted them is killed before
/// the target returns.
#[rstest]
fn the_next_leader_learns_that_a_silent_loss_was_a_crash(
    #[values(Returns::SameId, Returns::NewId, Returns::NewAddress, Returns::NewVm)]
    returns: Returns,
    #[values(1, 2)] crashes: usize,
    #[values(4_300, 4_900, 5_800)] killed_after_ms: Millis,
) {
    let mut world = crashing_world(returns, 6_000);
    world.crashes.delay_ms = 400;
    let deadly = submit_deadly(&mut world);
    world.run_until_crashes(crashes, 12_000);
    world.run_for(killed_after_ms);

    world.kill();
    world.run_for(1_300);
    world.claim();
    world.run_for(50_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 0)) <= MAX_LATE_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
}

/// Guards against a job that fails although no target crashed: each target that started its task was
/// cut off until the lease had expired, and returned as it was.
#[rstest]
fn targets_that_return_as_they_were_count_no_longer(#[values(false, true)] killed: bool) {
    let mut world = crashing_world(Returns::SameId, 3_200);
    let lone = world.submit(1, job(vec![step(1, 8_000, &[])]));

    for round in 0..8 {
        let mut left = 1_500;
        while world.running(lone).is_empty() && left > 0 {
            world.run_for(5);
            left -= 1;
        }
        let (id, _) = world.running(lone)[0].clone();
        world.run_for(100);
        world.targets[&id].reachable = false;
        world.run_for(CUT_MS);
        if killed && round % 3 == 2 {
            world.kill();
            world.run_for(1_300);
            world.claim();
        }
        world.targets[&id].reachable = true;
        world.run_for(1_000);
    }
    world.run_for(30_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(lone), Some(JobState::Complete));
}

/// Guards against losses that stay uncertain because the store is unavailable when the targets
/// return.
#[rstest]
fn a_silent_loss_is_known_after_an_outage_of_the_store(
    #[values(Returns::SameId, Returns::NewAddress, Returns::NewVm)] returns: Returns,
    #[values(2_000, 5_000)] outage_ms: Millis,
) {
    let mut world = crashing_world(returns, 6_000);
    let ordinary = submit_ordinary(&mut world);
    let deadly = submit_deadly(&mut world);
    world.run_until_crashes(2, 12_000);
    world.run_for(CUT_MS);

    world.store_up = false;
    world.run_for(outage_ms);
    world.store_up = true;
    world.run_for(40_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 0)) <= MAX_LATE_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    assert!(all_complete(&world, &ordinary));
}
