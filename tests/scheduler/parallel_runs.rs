//! Two runs of a task at the same time, also on the same target: a target starts a run of a task
//! beside another one.

use amaranthwick::scheduler::{JobKey, JobState, TargetId, TaskKey};
use rstest::rstest;

use crate::fixtures::{job, step};
use crate::world::World;

fn only_target() -> TargetId {
    TargetId("t0".into())
}

/// A world with one target on which the tasks of a job run, which it has reported.
fn world_with_reported_job(run_ms: u64) -> (World, JobKey) {
    let mut world = World::new(1, 1);
    world.claim();
    let key = world.submit(1, job(vec![step(5, run_ms, &[])]));
    world.run_for(600);
    assert_eq!(world.running(key).len(), 5);
    (world, key)
}

/// Guards against runs that count as ended because of an entry that their target did not write.
#[rstest]
fn an_entry_of_another_writer_with_a_later_start_ends_no_run(
    #[values(1_200, 3_500)] run_ms: u64,
    #[values(1, 100_000)] later: u64,
) {
    let (mut world, key) = world_with_reported_job(run_ms);
    let born = world.targets[&only_target()].entry.born + later;

    world.publish_foreign_entry(&only_target(), born);
    world.run_for(15_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
}

/// Guards against a run whose own stop is late and that counts as stopped: the stop of a lower run
/// of its task was confirmed.
#[test]
fn the_stop_of_a_lower_run_confirms_no_other() {
    for seed in 0..20 {
        let (mut world, task) = world_with_late_second_run(seed);
        let id = only_target();

        // The target runs an earlier one, which the leader stops. The answer comes once it has given
        // up the start of the second one.
        world.begin_stray_run(&id, task, 1);
        world.faults.jitter_ms = 300;
        world.run_for(15);
        world.faults.late_stops = 1_000;
        world.run_for(600);
        world.faults.late_stops = 0;
        world.faults.jitter_ms = 0;
        world.run_for(20_000);

        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// A world in which the start of the second run of a task is late by seconds; the leader is about to
/// learn that it has no answer. Its first run has ended with another target.
fn world_with_late_second_run(seed: u64) -> (World, TaskKey) {
    let mut world = World::new(2, seed);
    world.claim();
    let key = world.submit(1, job(vec![step(8, 60_000, &[])]));
    world.run_for(600);
    let lost = TargetId("t1".into());
    let (_, task) = world
        .running(key)
        .iter()
        .find(|(on, _)| *on == lost)
        .unwrap()
        .clone();
    world.faults.late_starts = 1_000;
    world.lose(&lost);
    while run_of(&world, task) < 2 {
        world.run_for(5);
    }
    world.run_for(385);
    world.faults.late_starts = 0;
    (world, task)
}

/// Number of the latest run of a task, by the stored progress.
fn run_of(world: &World, task: TaskKey) -> u32 {
    let stored = world.stored();
    let progress = &stored.get(task.step.job).unwrap().progress;
    progress.task(task).unwrap().run
}
