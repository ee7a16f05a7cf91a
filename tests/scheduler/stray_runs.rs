//! Targets that report runs which are not those of the leader's tasks there.

use amaranthwick::scheduler::{EndKind, JobKey, JobState, TargetId, TaskKey};

use crate::fixtures::{job, long_running_step, step};
use crate::world::World;

/// Number of the stray run.
const STRAY: u32 = 5;

/// A world with two targets, of which one runs the only task of a job: that target, the other one, and
/// the task.
fn world_with_task(run_ms: u64) -> (World, JobKey, TargetId, TargetId, TaskKey) {
    let mut world = World::new(2, 1);
    world.claim();
    // Holds the leases of both.
    world.submit(9, job(vec![long_running_step(2, 0)]));
    world.run_for(400);
    let key = world.submit(1, job(vec![step(1, run_ms, &[])]));
    world.run_for(600);
    let (on, task) = world.running(key)[0].clone();
    let mut ids = world.targets.keys();
    let other = ids.find(|id| **id != on).unwrap().clone();
    (world, key, on, other, task)
}

/// A target begins a stray run of a task, and the leader has it stopped, which takes a while.
fn begin_and_stop_stray(world: &mut World, id: &TargetId, task: TaskKey) {
    world.begin_stray_run(id, task, STRAY);
    for _ in 0..1_000 {
        world.run_for(5);
        let run = world.targets[id].run(task, STRAY);
        if matches!(run.and_then(|run| run.end), Some((_, EndKind::Stopped))) {
            return;
        }
    }
    panic!("the stray run is not stopped");
}

/// Guards against two runs of a task: it started again while another target was known to run it.
#[test]
fn a_task_starts_again_only_after_the_end_of_its_stray_run() {
    let (mut world, key, on, other, task) = world_with_task(60_000);
    begin_and_stop_stray(&mut world, &other, task);

    world.restart(&on);
    world.run_for(100);
    assert_eq!(world.running(key), vec![(other, task)]);
    world.run_for(500);

    let (on, _) = world.running(key)[0].clone();
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.targets[&on].run_number(task), STRAY + 1);
}

/// Guards against the loss of a run that goes on when its target runs the task under another number,
/// too.
#[test]
fn only_the_stray_run_is_stopped_when_a_target_runs_a_task_twice() {
    let (mut world, key, on, _, task) = world_with_task(3_000);

    world.begin_stray_run(&on, task, STRAY);
    world.run_for(800);

    assert_eq!(world.targets[&on].run_number(task), 1);
    world.run_for(3_000);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
}

/// Guards against a target that is overloaded: the capacity of a stray run is free only once it has
/// ended.
#[test]
fn a_stray_run_keeps_its_capacity_until_it_ends() {
    let (mut world, _, _, other, task) = world_with_task(60_000);
    world.remove_admission_check();
    world.kill();
    world.claim();
    world.run_for(600);
    begin_and_stop_stray(&mut world, &other, task);

    world.submit(2, job(vec![step(40, 60_000, &[])]));
    world.run_for(100);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.targets[&other].running().count(), 16);
}
