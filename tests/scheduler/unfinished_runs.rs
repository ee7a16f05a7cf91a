//! Tasks that crash their targets, of which some runs are lost or end so that no crash shows.

use amaranthwick::scheduler::{JobKey, JobState, Millis, TargetId, Wave};
use rstest::rstest;

use crate::fixtures::{job, step, task};
use crate::target::Pace;
use crate::world::{Returns, World};

/// Time from a crash to the target's return, in ms: so long that no loss proves to be a crash.
const NEVER_MS: Millis = 600_000;
/// Estimate of a task that counts as stalled after 880 ms without progress, in ms.
const SHORT_MS: Millis = 800;
/// Estimate of a task that counts as stalled only after 10,800 ms without progress, in ms.
const LONG_MS: Millis = 100_000;
/// Time for which the task and its targets are watched, in ms.
const WATCHED_MS: Millis = 60_000;
/// Longest time until a task starts again, in ms: the lease of a silent target has to expire.
const START_LIMIT_MS: Millis = 12_000;

/// A platform with a task that crashes each target 450 ms after it has started there. The targets
/// stay silent.
fn crashing_world(estimate_ms: Millis) -> (World, JobKey) {
    let mut world = World::new(16, 1);
    world.crashes.returns = Returns::SameId;
    world.crashes.return_ms = NEVER_MS;
    world.crashes.delay_ms = 450;
    world.claim();
    world.crashes.deadly.insert(task(1, 0));
    let key = world.submit(1, job(vec![step(1, estimate_ms, &[])]));
    (world, key)
}

/// Runs the simulation until the job's task runs; returns where.
fn run_until_started(world: &mut World, key: JobKey) -> TargetId {
    let end = world.now + START_LIMIT_MS;
    while world.now < end {
        world.run_for(5);
        let running = world.running(key);
        let here = running.iter().find(|(id, _)| world.targets[id].is_up());
        if let Some((id, _)) = here {
            return id.clone();
        }
    }
    panic!("the task does not start");
}

fn next_leader(world: &mut World) {
    world.kill();
    world.run_for(1_300);
    world.claim();
}

/// Asserts that the job is given up before its task starts three times more after the third crash.
fn assert_given_up(world: &mut World, key: JobKey) {
    world.run_for(WATCHED_MS);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(key), Some(JobState::Failed));
}

/// Guards against a crash that counts for nobody because the next leader finds the target draining,
/// which would explain the end of a run that began earlier.
#[rstest]
fn a_crash_while_the_target_drains_counts_after_a_change_of_the_leader(
    #[values(0, 1, 3)] earlier_crashes: usize,
) {
    let (mut world, key) = crashing_world(SHORT_MS);
    world.run_until_crashes(earlier_crashes, 60_000);
    let id = run_until_started(&mut world, key);

    world.drain(&id, 4_000);
    world.run_until_crashes(earlier_crashes + 1, 1_000);
    next_leader(&mut world);

    assert_given_up(&mut world, key);
}

/// Guards against a crash that counts for nobody because the answer to the start was lost: the run
/// was being stopped when it crashed its target, as if it had never begun.
#[rstest]
fn a_crash_while_an_unconfirmed_run_is_stopped_counts(#[values(0, 1, 3)] earlier_crashes: usize) {
    let (mut world, key) = crashing_world(SHORT_MS);
    world.run_until_crashes(earlier_crashes, 60_000);
    world.faults.lost_starts = 1_000;
    run_until_started(&mut world, key);
    world.faults.lost_starts = 0;

    assert_given_up(&mut world, key);
}

/// Guards against starts without limit of a task that has crashed three targets, when its next runs
/// end by a failure, or are stopped because they make no progress.
#[rstest]
fn runs_that_end_otherwise_after_the_third_crash_count(#[values(false, true)] stalled: bool) {
    let (mut world, key) = crashing_world(SHORT_MS);
    world.run_until_crashes(3, 60_000);
    world.crashes.suspended = true;
    if stalled {
        set_pace(&mut world, Pace::Stalled);
    } else {
        world.faults.failed_runs = 1_000;
    }
    run_until_started(&mut world, key);
    while !world.running(key).is_empty() {
        world.run_for(5);
    }
    world.faults.failed_runs = 0;
    set_pace(&mut world, Pace::Normal);
    world.crashes.suspended = false;

    assert_given_up(&mut world, key);
}

/// Guards against a task that is cleared because its run has taken long, although it made no progress
/// all the while.
#[test]
fn a_run_without_progress_does_not_clear_its_task() {
    let (mut world, key) = crashing_world(LONG_MS);
    world.run_until_crashes(3, 60_000);
    world.crashes.suspended = true;
    set_pace(&mut world, Pace::Stalled);
    let id = run_until_started(&mut world, key);
    world.run_for(8_000);
    set_pace(&mut world, Pace::Normal);
    world.crashes.suspended = false;
    world.crash(&id);

    assert_given_up(&mut world, key);
}

/// Guards against a crash that counts for nobody because an answer from before it was handled late, by
/// a leader that was suspended meanwhile: the run seemed to have outlasted its start-up.
#[rstest]
fn a_crash_while_the_leader_is_suspended_counts(
    #[values(5, 10, 15, 20)] suspended_after_ms: Millis,
    #[values(0, 1)] earlier_crashes: usize,
) {
    let (mut world, key) = crashing_world(SHORT_MS);
    world.submit(2, job(vec![step(60, 2_000, &[])]));
    world.run_until_crashes(earlier_crashes, 60_000);
    run_until_started(&mut world, key);
    world.run_for(suspended_after_ms);

    world.freeze(3_000);

    assert_given_up(&mut world, key);
}

/// Guards against jobs that fail because their targets were to leave: a task that loses target after
/// target to drains and waves has crashed none.
#[rstest]
fn targets_that_were_to_leave_fail_no_job(#[values(false, true)] killed: bool) {
    let mut world = World::new(16, 1);
    world.claim();
    let key = world.submit(1, job(vec![step(1, 8_000, &[])]));

    for round in 0..4 {
        let id = run_until_started(&mut world, key);
        world.run_for(600);
        world.request_wave(Wave {
            number: round + 1,
            vms: vec![world.targets[&id].entry.vm.to_string()],
            limit_ms: 26_000,
            max_down: 4,
        });
        world.drain(&id, 2_000);
        if killed {
            next_leader(&mut world);
        }
        world.run_for(2_500);
    }
    world.run_for(30_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
}

fn set_pace(world: &mut World, pace: Pace) {
    for target in world.targets.values_mut() {
        target.pace = pace;
    }
}
