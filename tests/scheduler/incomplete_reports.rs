//! Targets that list only some of their ended runs at a time.

use amaranthwick::scheduler::{JobKey, JobState, TargetId};
use rstest::rstest;

use crate::fixtures::{job, step};
use crate::world::World;

/// A target with few ended runs in each of its reports.
fn world_with_pages(ends_page: usize) -> World {
    let mut world = World::new(1, 1);
    world.targets[0].ends_page = ends_page;
    world.holds_wait = true;
    world.claim();
    world
}

/// The target is cut off for a second, in which all tasks of a job end.
fn end_tasks_during_cut(world: &mut World, count: u32) -> JobKey {
    let key = world.submit(1, job(vec![step(count, 500, &[])]));
    world.run_for(300);
    let only = TargetId("t0".into());
    world.targets[&only].reachable = false;
    world.run_for(1_000);
    world.targets[&only].reachable = true;
    key
}

/// Guards against starts of tasks that are done: runs whose ends were beyond the first ones that the
/// target lists counted as vanished.
#[rstest]
fn runs_whose_ends_are_not_listed_yet_do_not_start_again(#[values(1, 4, 8)] ends_page: usize) {
    let mut world = world_with_pages(ends_page);
    let key = end_tasks_during_cut(&mut world, 12);

    world.run_for(3_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
}

/// Guards against the same in the leader that takes the role over meanwhile.
#[test]
fn the_next_leader_waits_for_the_ends_that_are_not_listed_yet() {
    let mut world = world_with_pages(4);
    let key = end_tasks_during_cut(&mut world, 12);

    world.kill();
    world.claim();
    world.run_for(3_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
}

/// Guards against tasks that wait for ever: once all ends are listed, a run that is not is gone.
#[test]
fn runs_that_never_began_start_again_after_all_ends_are_listed() {
    let mut world = world_with_pages(2);
    let key = end_tasks_during_cut(&mut world, 8);
    world.faults.late_starts = 1_000;
    let late = world.submit(2, job(vec![step(2, 300, &[])]));
    world.run_for(500);
    world.faults.late_starts = 0;

    world.run_for(3_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.state(late), Some(JobState::Complete));
}
