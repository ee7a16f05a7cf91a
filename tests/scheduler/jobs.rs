//! Jobs on a platform without faults.

use amaranthwick::scheduler::JobState;

use crate::fixtures::{job, long_running_step, step};
use crate::world::{MIDNIGHT_MS, World};

#[test]
fn steps_run_in_order_and_the_job_completes() {
    let mut world = World::new(4, 1);
    world.claim();
    let key = world.submit(1, job(vec![step(6, 500, &[]), step(3, 400, &[0])]));

    world.run_for(300);
    let first = world.running(key);
    world.run_for(500);
    let second = world.running(key);
    world.run_for(1_000);

    assert_eq!(first.len(), 6);
    assert!(first.iter().all(|(_, task)| task.step.step == 0));
    assert_eq!(second.len(), 3);
    assert!(second.iter().all(|(_, task)| task.step.step == 1));
    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_task_that_fails_each_time_fails_its_job_after_its_attempts() {
    let mut world = World::new(4, 1);
    world.faults.failed_runs = 1_000;
    world.claim();
    let key = world.submit(1, job(vec![step(1, 100, &[])]));

    world.run_for(2_000);

    assert_eq!(world.state(key), Some(JobState::Failed));
}

#[test]
fn a_cancel_stops_what_runs() {
    let mut world = World::new(4, 1);
    world.claim();
    let key = world.submit(1, job(vec![long_running_step(3, 1)]));
    world.run_for(1_000);
    let before = world.running(key).len();

    world.cancel(key);
    world.run_for(1_000);

    assert_eq!(before, 3);
    assert_eq!(world.running(key), Vec::new());
    assert_eq!(world.state(key), Some(JobState::Canceled));
}

#[test]
fn occurrences_start_at_their_times() {
    let mut world = World::new(4, 1);
    world.claim();
    let mut spec = job(vec![step(1, 100, &[])]);
    spec.occurrence_count = 2;
    spec.first_due_ms = MIDNIGHT_MS + 1_000;
    spec.interval_ms = 1_000;
    let key = world.submit(1, spec);

    world.run_for(950);
    let early = world.running(key);
    world.run_for(100);
    let first = world.running(key);
    world.run_for(1_000);
    let second = world.running(key);
    world.run_for(1_000);

    assert_eq!(early, Vec::new());
    assert_eq!(first[0].1.step.occurrence, 0);
    assert_eq!(second[0].1.step.occurrence, 1);
    assert_eq!(world.state(key), Some(JobState::Complete));
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut world = World::new(1, 1);
    world.claim();
    let mut gang = step(10, 500, &[]);
    gang.gang = true;
    let first = world.submit(1, job(vec![step(8, 600, &[])]));
    world.run_for(100);
    let second = world.submit(2, job(vec![gang]));

    world.run_for(300);
    let waiting = world.running(second);
    world.run_for(600);
    let together = world.running(second);

    assert_eq!(world.state(first), Some(JobState::Complete));
    assert_eq!(waiting, Vec::new());
    assert_eq!(together.len(), 10);
}

/// Guards against starvation: short tasks took each core as it became free, so that a large
/// long-running task never found enough free cores on one target.
#[test]
fn a_large_long_running_task_gets_room_in_a_full_pool() {
    let mut world = World::new(2, 1);
    world.claim();
    for i in 0..300 {
        world.submit(i, job(vec![step(1, 500 + i * 37 % 900, &[])]));
    }
    world.run_for(2_000);
    let mut large = long_running_step(1, 1);
    large.needs.cpu = 6_000;

    let key = world.submit(1_000, job(vec![large]));
    world.run_for(2_000);

    assert_eq!(world.running(key).len(), 1);
}
