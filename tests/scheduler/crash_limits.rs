//! Losses of targets that no task causes, and crashes that are hard to see.

use amaranthwick::scheduler::{JobState, Millis, Wave};
use rstest::rstest;

use crate::fixtures::{job, long_running_step, step, task};
use crate::world::{Returns, World};

/// Time from a crash until the leader knows that the target has returned, in ms.
const RETURN_MS: Millis = 3_500;
/// Longest time that a task may wait while most of its pool is free, in ms.
const START_LIMIT_MS: Millis = 3_000;

fn crashing_world(targets: usize, returns: Returns) -> World {
    let mut world = World::new(targets, 1);
    world.crashes.returns = returns;
    world.claim();
    world
}

/// Guards against a job that fails although no target crashed: each time its task started, the
/// network cut the target off until the task had started elsewhere.
#[rstest]
fn targets_cut_off_as_a_task_starts_fail_no_job(#[values(1, 2, 3)] cuts: u32) {
    let mut world = crashing_world(8, Returns::SameId);
    let lone = world.submit(1, job(vec![step(1, 8_000, &[])]));

    for _ in 0..cuts {
        let mut left = 2_000;
        while !world
            .targets
            .values()
            .any(|t| t.reachable && t.running().next().is_some())
            && left > 0
        {
            world.run_for(5);
            left -= 1;
        }
        world.run_for(100);
        for target in world.targets.values_mut() {
            let idle = target.running().next().is_none();
            target.reachable = idle;
        }
        world.run_for(4_000);
    }
    for target in world.targets.values_mut() {
        target.reachable = true;
    }
    world.run_for(30_000);

    assert_eq!(world.state(lone), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against maintenance that ends the tasks of a target which has replaced another on its
/// VM: the list of VMs still names the other.
#[rstest]
fn maintenance_waits_for_the_tasks_of_a_target_that_replaced_another(
    #[values(10, 400)] delay_ms: u64,
) {
    let mut world = crashing_world(8, Returns::NewId);
    world.crashes.delay_ms = delay_ms;
    for number in [8, 9] {
        world.submit(number, job(vec![long_running_step(8, 1)]));
    }
    world.run_for(3_500);
    world.request_wave(Wave {
        number: 1,
        vms: (0..8).map(|i| format!("vm-t{i}")).collect(),
        limit_ms: 100_000,
        max_down: 2,
    });
    world.run_for(100);
    world.crashes.deadly.insert(task(1, 0));
    let deadly = world.submit(1, job(vec![step(1, 800, &[])]));

    world.run_for(60_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(deadly), Some(JobState::Failed));
}

/// Guards against a task that crashes its targets some time after its start, again and again.
#[rstest]
fn a_task_that_crashes_targets_late_is_given_up(
    #[values(490, 510, 600, 1_000, 1_500, 3_000)] delay_ms: u64,
) {
    let mut world = crashing_world(8, Returns::SameId);
    world.crashes.delay_ms = delay_ms;
    world.crashes.deadly.insert(task(1, 0));
    let deadly = world.submit(1, job(vec![step(1, 8_000, &[])]));

    world.run_for(60_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(deadly), Some(JobState::Failed));
}

/// Guards against tasks that wait although most of their pool is free: half of the targets crashed
/// as they started up, and each target that is up takes the tasks of one job at a time.
#[test]
fn tasks_of_many_jobs_start_soon_after_their_targets_crashed() {
    let mut world = crashing_world(8, Returns::NewId);
    let jobs: Vec<_> = (0..60)
        .map(|number| world.submit(number, job(vec![step(1, 6_000, &[])])))
        .collect();
    world.run_for(100);
    let mut ids: Vec<_> = world.targets.keys().cloned().collect();
    ids.sort_by_key(|id| std::cmp::Reverse(world.targets[id].running().count()));

    for id in ids.iter().take(4) {
        world.crash(id);
    }
    world.run_for(RETURN_MS + START_LIMIT_MS);
    let waiting = jobs.iter().filter(|key| world.running(**key).is_empty());

    assert_eq!(waiting.count(), 0);
}

/// Guards against a suspect task that never starts while more urgent short ones keep starting on
/// the only target of its pool.
#[rstest]
fn a_suspect_task_starts_beside_a_stream_of_short_ones(#[values(1, 2)] targets: usize) {
    let mut world = crashing_world(targets, Returns::SameId);
    let suspect = world.submit(1, job(vec![step(1, 2_000, &[])]));
    world.run_for(100);
    let (id, _) = world.running(suspect)[0].clone();
    world.restart(&id);
    let mut longest = 0;
    let mut absent = 0;
    for n in 0..150 {
        world.submit(1_000 + n, job(vec![step(1, 300, &[])]));
        for _ in 0..20 {
            world.run_for(10);
            let done = world.state(suspect) == Some(JobState::Complete);
            absent = if world.running(suspect).is_empty() && !done {
                absent + 10
            } else {
                0
            };
            longest = longest.max(absent);
        }
    }
    assert!(
        longest < RETURN_MS + START_LIMIT_MS,
        "away for {longest} ms"
    );
}

/// Guards against a crash that counts for nobody: the leader is lost with the target, and the next
/// one finds another incarnation, or no entry. The latter may also be a target that is cut off.
#[rstest]
fn a_crash_that_only_the_next_leader_learns_of_counts(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
    #[values(3_600, 5_000)] away_ms: u64,
) {
    let mut world = crashing_world(8, returns);
    world.crashes.deadly.insert(task(1, 0));
    let deadly = world.submit(1, job(vec![step(1, 800, &[])]));
    world.run_until_crashes(1, 1_000);

    world.kill();
    world.run_for(away_ms);
    world.claim();
    world.run_for(40_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    let certain = match returns {
        Returns::SameId => 3,
        _ => 4,
    };
    assert_eq!(world.crashes.under(task(1, 0)), certain);
}

/// Guards against tasks that wait for those of another job to end, though they need only wait
/// until these have started up.
#[test]
fn tasks_of_two_jobs_start_one_after_the_other_once_their_target_crashed() {
    let mut world = crashing_world(1, Returns::SameId);
    let jobs = [1, 2].map(|number| world.submit(number, job(vec![step(1, 8_000, &[])])));
    world.run_for(100);
    let (id, _) = world.running(jobs[0])[0].clone();

    world.restart(&id);
    world.run_for(START_LIMIT_MS);

    assert_eq!(jobs.map(|key| world.running(key).len()), [1, 1]);
}

/// Guards against a suspect task that waits although it is the most urgent: less urgent ones keep
/// starting up on the only target of its pool.
#[test]
fn an_urgent_suspect_task_starts_before_others() {
    let mut world = crashing_world(1, Returns::SameId);
    let suspect = world.submit(1, job(vec![step(1, 400, &[])]));
    world.run_for(100);
    let (id, _) = world.running(suspect)[0].clone();
    for number in 0..4 {
        world.submit(1_000 + number, job(vec![step(1, 700, &[])]));
    }
    world.restart(&id);
    world.run_for(20);

    for number in 0..15 {
        world.submit(2_000 + number, job(vec![step(1, 700, &[])]));
        world.run_for(200);
    }

    assert_eq!(world.state(suspect), Some(JobState::Complete));
}
