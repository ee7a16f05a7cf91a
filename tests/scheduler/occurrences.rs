//! Jobs with many occurrences, which come due faster than they run, wait for room, or end early.

use std::ops::Range;

use amaranthwick::scheduler::{
    Change, JobKey, JobProgress, JobSpec, JobState, MAX_TASKS, Millis, Record, Step,
};
use rstest::rstest;

use crate::fixtures::{further_seeds, job, step};
use crate::world::{MIDNIGHT_MS, World};

/// Seeds that run without `AMARANTHWICK_SEEDS`.
const SEEDS: Range<u64> = 0..20;
/// Time without a leader after which another process claims the role, in ms.
const CLAIM_AFTER_MS: Millis = 1_300;

/// A job whose steps run `count` times, the first time at `first_ms` of virtual time.
fn timed_job(steps: Vec<Step>, count: u32, first_ms: Millis, interval_ms: u64) -> JobSpec {
    JobSpec {
        occurrence_count: count,
        first_due_ms: MIDNIGHT_MS + first_ms,
        interval_ms,
        ..job(steps)
    }
}

/// A job of which all occurrences are due at once.
fn due_job(steps: Vec<Step>, count: u32) -> JobSpec {
    timed_job(steps, count, 0, 0)
}

/// Progress of a job, as last stored.
fn progress(world: &World, key: JobKey) -> JobProgress {
    let stored = world.stored();
    stored.get(key).unwrap().progress.clone()
}

/// Largest stored record of a job's progress, in bytes.
fn largest_record(world: &World, job: JobKey) -> usize {
    let records = world.log.iter().filter_map(|change| match change {
        Change::Put(record @ Record::Progress(key, _)) if *key == job => record.encode().ok(),
        _ => None,
    });
    records.map(|value| value.len()).max().unwrap_or(0)
}

/// Asserts that each task of each occurrence was done, in one run.
fn assert_all_done(world: &World, key: JobKey, spec: &JobSpec) {
    let tasks: u32 = spec.steps.iter().map(|step| step.count).sum();
    let all = (spec.occurrences() * tasks) as usize;
    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.done_tasks(key).len(), all);
    assert_eq!(world.done_runs(key), all);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a job that ends the processes which lead: all of its due occurrences were added at
/// once, each with state for its tasks. Others' jobs go on beside it.
#[rstest]
#[case::one(1, 900_000)]
#[case::several(6, 900_000)]
#[case::as_many_as_can_be(1, u32::MAX)]
fn due_occurrences_cost_nothing_until_they_begin(#[case] jobs: u64, #[case] due: u32) {
    let mut world = World::new(3, 1);
    world.claim();
    let spec = timed_job(vec![step(2, 200, &[])], due, 0, 0);
    let keys: Vec<JobKey> = (0..jobs).map(|i| world.submit(i, spec.clone())).collect();
    world.run_for(1_000);
    let other = world.submit(100, job(vec![step(4, 300, &[])]));

    world.run_for(2_000);
    world.kill();
    world.run_for(CLAIM_AFTER_MS);
    world.claim();
    world.run_for(2_000);

    assert_eq!(world.state(other), Some(JobState::Complete));
    for key in keys {
        let progress = progress(&world, key);
        // 48 tasks of one core have room.
        assert!(progress.occurrences.len() <= 48, "{progress:?}");
        assert!(largest_record(&world, key) < 4_096);
        assert!(!progress.state.ended());
    }
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against occurrences that are left out or run twice, and against starts that stop once the
/// ended ones fill the record: 70,000 of them did.
#[test]
fn occurrences_that_come_as_fast_as_they_run_are_all_run() {
    let mut world = World::new(4, 1);
    world.claim();
    let spec = timed_job(vec![step(1, 20, &[])], 5_000, 1_000, 1);
    let key = world.submit(1, spec.clone());

    world.run_for(5_500);
    let behind = 4_500 - progress(&world, key).opened;
    world.run_for(2_500);

    // 20 ms of each task, and some time for its start, leave a part of 64 cores free.
    assert!(behind < 200, "{behind}");
    assert!(largest_record(&world, key) < 16_384);
    assert_all_done(&world, key, &spec);
}

/// Guards against a record that outgrows the store: 600 waiting tasks in each of 40 occurrences
/// made one of 262,299 bytes.
#[test]
fn occurrences_of_many_tasks_fit_a_record() {
    let mut world = World::new(4, 1);
    world.claim();
    let spec = due_job(vec![step(600, 30, &[])], 40);
    let key = world.submit(1, spec.clone());

    world.run_for(40_000);

    assert_all_done(&world, key, &spec);
}

/// Guards against a job whose tasks in hand exceed what its record can hold: its tasks are as many as
/// a job may have, and most of them have room nowhere.
#[test]
fn no_more_occurrences_are_open_than_fit_a_record() {
    let mut world = World::new(20, 1);
    world.claim();
    let wide = Step {
        max_per_target: 1,
        ..step(500, 1_000, &[])
    };
    let key = world.submit(1, due_job(vec![wide], 1_000));

    world.run_for(3_000);

    let progress = progress(&world, key);
    let tasks: usize = progress.occurrences.iter().map(|o| o.steps[0].len()).sum();
    assert!(progress.occurrences.len() > 1);
    assert!(tasks as u64 <= MAX_TASKS, "{tasks}");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against occurrences that overtake those before them, or never run, because they wait for
/// room while later ones come due.
#[test]
fn occurrences_that_wait_for_room_begin_in_their_turn() {
    let mut world = World::new(1, 1);
    world.claim();
    let full = world.submit(1, job(vec![step(16, 3_000, &[])]));
    world.run_for(200);
    let spec = timed_job(vec![step(4, 100, &[])], 20, 500, 100);
    let key = world.submit(2, spec.clone());

    world.run_for(2_500);
    let waiting = progress(&world, key);
    world.run_for(6_000);

    assert_eq!(waiting.occurrences, Vec::new());
    assert_eq!(waiting.state, JobState::Queued);
    assert_eq!(world.state(full), Some(JobState::Complete));
    let numbers = world.done_tasks(key).into_iter();
    let numbers: Vec<u32> = numbers.map(|task| task.step.occurrence).collect();
    // Four occurrences have room together.
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1] + 4));
    assert_all_done(&world, key, &spec);
}

/// Guards against a step that begins before those it depends on, and against occurrences that wait for
/// the end of others although there is room.
#[test]
fn steps_of_overlapping_occurrences_run_in_order() {
    let mut world = World::new(4, 1);
    world.claim();
    let steps = vec![step(1, 900, &[]), step(6, 50, &[0]), step(1, 50, &[0, 1])];
    let spec = timed_job(steps, 30, 0, 100);
    let key = world.submit(1, spec.clone());

    world.run_for(1_800);
    let open = progress(&world, key).occurrences.len();
    world.run_for(6_000);

    assert!(open >= 8, "{open}");
    let done = world.done_tasks(key);
    let at = |occurrence, step| {
        let found = done
            .iter()
            .position(|task| task.step.occurrence == occurrence && task.step.step == step);
        found.unwrap()
    };
    assert!((0..30).all(|n| at(n, 0) < at(n, 1) && at(n, 1) < at(n, 2)));
    assert_all_done(&world, key, &spec);
}

/// Guards against a job that goes on, or whose end is not shown, with most of it to come.
#[rstest]
#[case::failed(JobState::Failed)]
#[case::cancelled(JobState::Canceled)]
fn a_job_ends_at_once_with_most_of_it_to_come(#[case] end: JobState) {
    let mut world = World::new(4, 1);
    world.claim();
    let key = world.submit(1, due_job(vec![step(2, 200, &[])], 900_000));
    world.run_for(2_000);
    let before = world.state(key);

    if end == JobState::Failed {
        world.faults.failed_runs = 1_000;
    } else {
        world.cancel(key);
    }
    world.run_for(1_500);
    let after = world.state(key);
    let running = world.running(key);

    assert_eq!(before, Some(JobState::Running));
    assert_eq!(after, Some(end));
    assert_eq!(running, Vec::new());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against sums of times that overflow.
#[rstest]
#[case::from_the_beginning(0, 0, Some(JobState::Complete))]
#[case::once_due(0, u64::MAX, Some(JobState::Running))]
#[case::never_due(u64::MAX, 0, Some(JobState::Queued))]
#[case::never_due_either(u64::MAX, u64::MAX, Some(JobState::Queued))]
fn times_may_be_as_small_or_large_as_numbers_are(
    #[case] first_due_ms: u64,
    #[case] interval_ms: u64,
    #[case] expected: Option<JobState>,
) {
    let mut world = World::new(2, 1);
    world.claim();
    let spec = JobSpec {
        occurrence_count: 20,
        first_due_ms,
        interval_ms,
        ..job(vec![step(1, 100, &[])])
    };
    let key = world.submit(1, spec);

    world.run_for(3_000);

    assert_eq!(world.state(key), expected);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against what is due by the clock before it is set back, and lost or repeated after that.
#[rstest]
#[case::before(999, 0)]
#[case::first(1_000, 1)]
#[case::between(1_099, 1)]
#[case::second(1_100, 2)]
#[case::last(u64::MAX, 7)]
fn due_occurrences_are_counted(#[case] wall_ms: u64, #[case] expected: u32) {
    let spec = JobSpec {
        occurrence_count: 7,
        first_due_ms: 1_000,
        interval_ms: 100,
        ..job(vec![step(1, 100, &[])])
    };

    let due = spec.due_count(wall_ms);

    assert_eq!(due, expected);
}

/// A play of timed jobs in which leaders are killed, targets restart and answers are lost.
fn run_among_faults(seed: u64) -> Vec<String> {
    let mut world = World::new(3, seed);
    world.holds_wait = world.rng().bool();
    world.faults.lost_answers = [0, 20][world.rng().usize(..2)];
    world.claim();
    let mut jobs = Vec::new();
    for number in 0..4 {
        let first = step(1 + world.rng().u32(..4), world.rng().u64(20..400), &[]);
        let second = step(1 + world.rng().u32(..3), world.rng().u64(20..200), &[0]);
        let (count, interval) = (world.rng().u32(5..40), world.rng().u64(0..300));
        let first_ms = world.rng().u64(..2_000);
        let spec = timed_job(vec![first, second], count, first_ms, interval);
        jobs.push((world.submit(number, spec.clone()), spec));
    }
    for _ in 0..60 {
        match world.rng().u32(..24) {
            0 => {
                world.kill();
                world.run_for(CLAIM_AFTER_MS);
                world.claim();
            }
            1 => {
                world.hand_over();
                world.run_for(200);
                world.claim();
            }
            2 => {
                let i = world.rng().usize(..3);
                let id = world.targets[i].entry.id.clone();
                world.restart(&id);
            }
            _ => {}
        }
        world.run_for(100);
    }
    world.faults.lost_answers = 0;
    for _ in 0..60 {
        world.publish_all_entries();
        world.run_for(1_000);
    }
    let mut wrong = world.violations.clone();
    for (key, spec) in jobs {
        let tasks: u32 = spec.steps.iter().map(|step| step.count).sum();
        let (state, done) = (world.state(key), world.done_tasks(key).len());
        let failed = state == Some(JobState::Failed);
        let all = (spec.occurrences() * tasks) as usize;
        if !failed && (state != Some(JobState::Complete) || done != all) {
            wrong.push(format!(
                "{key} is {state:?} with {done} of {all} tasks done"
            ));
        }
    }
    wrong
}

/// Guards against occurrences that are lost or repeated by a change of the leader in the midst of them.
#[test]
fn every_occurrence_runs_once_among_drawn_faults() {
    let plays = further_seeds(SEEDS).map(|seed| (seed, run_among_faults(seed)));

    let wrong: Vec<_> = plays.filter(|(_, wrong)| !wrong.is_empty()).collect();

    assert_eq!(wrong, Vec::new());
}
