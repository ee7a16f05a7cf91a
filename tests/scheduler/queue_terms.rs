//! Jobs whose queue is away for a while: the operators remove it and add it again.

use std::sync::Arc;

use amaranthwick::scheduler::{JobKey, JobSpec, JobState, Policy};
use rstest::rstest;

use crate::fixtures::{POOL, QUEUE, job, policy, step};
use crate::world::World;

const ATTEMPTS: u32 = 4;
/// Another queue on the same pool, of the lowest priority.
const OTHER_QUEUE: &str = "other";

/// A policy of this version, with or without the usual queue.
fn policy_version(version: u64, with_queue: bool) -> Policy {
    let mut policy = policy();
    policy.version = version;
    let queue = &mut policy.queues[QUEUE];
    queue.attempts = ATTEMPTS;
    let mut other = queue.clone();
    other.name = Arc::from(OTHER_QUEUE);
    other.priority = 3;
    other.objective_ms = 60_000;
    policy.queues.insert(Arc::from(OTHER_QUEUE), other);
    if !with_queue {
        policy.queues.shift_remove(QUEUE);
    }
    policy
}

/// A job as a process accepts it.
fn accepted_job(queue: &str, count: u32, length_ms: u64) -> JobSpec {
    let mut spec = job(vec![step(count, length_ms, &[])]);
    queue.clone_into(&mut spec.queue);
    let policy = policy_version(1, true);
    spec.terms = Some(policy.queues[queue].terms_for(&spec));
    spec
}

fn world_with_targets(count: usize) -> World {
    let mut world = World::new(count, 1);
    world.set_policy(policy_version(1, true));
    world.claim();
    world
}

fn failures(world: &World, key: JobKey) -> u32 {
    let stored = world.stored();
    let progress = &stored.get(key).unwrap().progress;
    let tasks = progress.occurrences.iter().flat_map(|o| &o.steps).flatten();
    tasks.map(|task| task.failures).max().unwrap_or(0)
}

/// Lets each run fail until some task of the job has failed so often.
fn fail_runs(world: &mut World, key: JobKey, count: u32) {
    world.faults.failed_runs = 1_000;
    while failures(world, key) < count {
        world.run_for(5);
        assert!(world.now < 30_000, "too few failures");
    }
    world.faults.failed_runs = 0;
}

/// Guards against jobs that are failed too early: while their queue was away, two failed runs of a task
/// were enough, whatever the queue had allowed.
#[rstest]
fn a_job_keeps_its_attempts_while_its_queue_is_away(
    #[values(0, 1)] failed_before: u32,
    #[values(false, true)] new_leader: bool,
) {
    let mut world = world_with_targets(2);
    let key = world.submit(1, accepted_job(QUEUE, 2, 400));
    fail_runs(&mut world, key, failed_before);

    world.publish_policy(policy_version(2, false));
    if new_leader {
        world.kill();
        world.claim();
    }
    fail_runs(&mut world, key, ATTEMPTS - 1);
    world.publish_policy(policy_version(3, true));
    world.run_for(3_000);

    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against tasks that start more often than their queue allowed while it is away.
#[test]
fn a_job_fails_after_its_attempts_while_its_queue_is_away() {
    let mut world = world_with_targets(2);
    let key = world.submit(1, accepted_job(QUEUE, 1, 400));

    world.publish_policy(policy_version(2, false));
    fail_runs(&mut world, key, ATTEMPTS);
    world.run_for(3_000);

    assert_eq!(world.state(key), Some(JobState::Failed));
    assert_eq!(failures(&world, key), ATTEMPTS);
}

/// Guards against jobs that lose their place: without their queue they had the lowest priority and no
/// objective, and so started after all others.
#[test]
fn a_job_keeps_its_place_while_its_queue_is_away() {
    let mut world = world_with_targets(1);
    let before = world.submit(1, accepted_job(OTHER_QUEUE, 16, 1_000));
    world.run_for(300);
    let urgent = world.submit(2, accepted_job(QUEUE, 16, 500));
    let others = [3, 4].map(|n| world.submit(n, accepted_job(OTHER_QUEUE, 16, 1_000)));

    world.publish_policy(policy_version(2, false));
    world.run_for(1_100);

    assert_eq!(world.state(before), Some(JobState::Complete));
    assert_eq!(world.running(urgent).len(), 16);
    assert!(others.iter().all(|key| world.running(*key).is_empty()));
    assert_eq!(world.targets[0].entry.pool.as_ref(), POOL);
}
