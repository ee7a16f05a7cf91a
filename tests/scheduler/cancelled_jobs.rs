//! Runs of cancelled jobs that the leader learns of only after the cancel.

use amaranthwick::scheduler::{Change, JobKey, JobState, Millis, Record};
use rstest::rstest;

use crate::bare_leader::{Fixture, done};
use crate::fixtures::{job, long_running_step, step};
use crate::world::World;

/// Time after a cancel in which the runs of the job must have ended, in ms, once calls arrive and
/// all targets are listed.
const CANCEL_LIMIT_MS: Millis = 3_400;

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

/// Guards against a job that was shown as cancelled and is complete for a process that loads the
/// records: the leader had ended it before it learned of the cancel, but had not stored that.
#[rstest]
fn a_cancel_stands_against_an_end_that_is_not_stored(#[values(false, true)] in_flight: bool) {
    let mut fixture = Fixture::with_running_task();
    fixture.settle(20);
    if !in_flight {
        fixture.poll(400);
    }
    while fixture.holds.is_empty() {
        fixture.now += 50;
        fixture.poll(fixture.now);
    }
    fixture.hold_answered(fixture.now, &[], &[done(1)]);
    fixture.poll(fixture.now + 5);

    fixture.cancel(1);
    while fixture.batch.is_some() {
        fixture.batch_stored();
        fixture.poll(fixture.now + 5);
    }

    let stored = fixture.log.iter().rev().find_map(|change| match change {
        Change::Put(Record::Progress(_, progress)) => Some(progress.state),
        _ => None,
    });
    assert_eq!(stored, Some(JobState::Canceled));
}

/// Guards against runs that no stop reaches: the leader named its own number of the run, and a
/// target that runs a later one does not end that.
#[rstest]
fn a_run_under_another_number_stops_with_its_job(#[values(1, 5)] reported: u32) {
    let (mut world, key) = world_with_second_run();
    let (id, task) = world.running(key)[0].clone();

    world.targets[&id].renumber_run(task, reported);
    world.cancel(key);
    world.run_for(CANCEL_LIMIT_MS);

    assert_eq!(world.running(key), Vec::new());
}

/// Guards against a task that stays with a run which its target does not have.
#[rstest]
fn a_task_that_runs_under_another_number_starts_anew(#[values(1, 5)] reported: u32) {
    let (mut world, key) = world_with_second_run();
    let (id, task) = world.running(key)[0].clone();

    world.targets[&id].renumber_run(task, reported);
    world.run_for(CANCEL_LIMIT_MS);

    let number = world
        .running(key)
        .first()
        .map(|(id, task)| world.targets[id].run_number(*task));
    assert_eq!(number, Some(reported.max(2) + 1));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// A world with a job of one long-running task, which runs for the second time because its
/// target has restarted.
fn world_with_second_run() -> (World, JobKey) {
    let mut world = World::new(2, 1);
    world.claim();
    let key = world.submit(1, job(vec![long_running_step(1, 0)]));
    world.run_for(1_000);
    let (id, _) = world.running(key)[0].clone();
    world.restart(&id);
    world.run_for(1_000);
    (world, key)
}

/// Cancels may come at any time; once faults are over, no run of a cancelled job goes on.
#[rstest]
fn no_run_outlives_the_cancel_of_its_job(#[values(0, 1, 2, 3)] block: u64) {
    for seed in block * SEEDS..(block + 1) * SEEDS {
        let (world, cancelled) = run_with_cancels(seed);
        for (key, state) in cancelled {
            assert_eq!(world.running(key), Vec::new(), "seed {seed}");
            // The end of the job may have been on its way to the store before the cancel.
            let expected = state.filter(|state| *state == JobState::Complete);
            let expected = expected.or(Some(JobState::Canceled));
            assert_eq!(world.state(key), expected, "seed {seed}");
        }
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Number of seeds in each block.
const SEEDS: u64 = 12;

/// Time in which a batch that is on its way is stored, in ms.
const IN_FLIGHT_MS: Millis = 10;

/// Simulates about 12 s in which entries lapse, leaders change and targets restart while jobs
/// are cancelled, and then [`CANCEL_LIMIT_MS`] without faults. Returns the cancelled jobs,
/// too, each with its state right after its cancel.
fn run_with_cancels(seed: u64) -> (World, Vec<(JobKey, Option<JobState>)>) {
    let mut world = World::new(8, seed);
    world.faults.lost_answers = 30;
    world.claim();
    let mut running = Vec::new();
    let mut cancelled = Vec::new();
    for round in 0..24 {
        let steps = match round % 2 {
            0 => vec![long_running_step(3, 0)],
            _ => vec![step(3, 8_000, &[])],
        };
        running.push(world.submit(round, job(steps)));
        match world.rng().u32(..8) {
            0 => {
                world.expire_entries();
                world.kill();
                world.run_for(1_300);
                world.claim();
            }
            1 => world.expire_entries(),
            2 | 3 => world.publish_all_entries(),
            4 => {
                world.hand_over();
                world.run_for(200);
                world.claim();
            }
            5 => {
                let i = world.rng().usize(..8);
                let id = world.targets.get_index(i).unwrap().0.clone();
                world.restart(&id);
            }
            _ => {}
        }
        if world.rng().bool() {
            let i = world.rng().usize(..running.len());
            let key = running.swap_remove(i);
            if world.state(key).is_some_and(|state| !state.ended()) {
                world.cancel(key);
                world.run_for(IN_FLIGHT_MS);
                cancelled.push((key, world.state(key)));
            }
        }
        world.run_for(400);
    }
    world.faults.lost_answers = 0;
    world.publish_all_entries();
    world.run_for(CANCEL_LIMIT_MS);
    (world, cancelled)
}

/// Guards against a job that runs after its cancel was acknowledged: its own record was stored later
/// than that.
#[test]
fn a_job_that_is_stored_after_its_cancel_does_not_run() {
    let mut world = World::new(2, 1);
    world.claim();
    let key = JobKey(1);

    world.cancel(key);
    world.run_for(2_000);
    world.kill();
    world.claim();
    world.submit(1, job(vec![step(2, 500, &[])]));
    world.run_for(1_000);

    assert_eq!(world.state(key), Some(JobState::Canceled));
    assert_eq!(
        world.stored().get(key).unwrap().progress.occurrences.len(),
        0
    );
}

/// Guards against records of cancels that stay in the store for good.
#[test]
fn the_cancel_of_a_job_that_never_comes_is_forgotten() {
    let mut world = World::new(1, 1);
    world.claim();

    world.cancel(JobKey(1));
    world.run_for(100_000);
    let early = world.log.contains(&Change::Forget(JobKey(1)));
    world.run_for(40_000);

    assert!(!early);
    assert!(world.log.contains(&Change::Forget(JobKey(1))));
}
