//! Findings of the review of incident 0019: states that were shown go back.

use std::collections::BTreeMap;

use amaranthwick::scheduler::{
    Change, EndKind, EndedRun, Event, Job, JobKey, JobProgress, JobState, JobTable, Millis, Record,
    RunningTask, StoredTable,
};

use crate::bare_leader::{Fixture, done, entry, running};
use crate::fixtures::{job, step, task};
use crate::world::World;

const JOB: JobKey = JobKey(1);

/// What a process shows that has read `log` from its beginning.
fn read(log: &[Change]) -> Option<JobState> {
    let mut table = StoredTable::default();
    for change in log {
        table.apply_read(change.clone());
    }
    table.table().get(JOB).map(Job::state)
}

/// What a process shows that loads the newest record of each key, in the order of the keys.
fn load(log: &[Change]) -> Option<JobState> {
    let mut newest = BTreeMap::new();
    for change in log {
        if let Change::Put(record) = change {
            newest.insert(record.key(), record.clone());
        }
    }
    let mut loaded = JobTable::default();
    loaded.apply_newest(newest.into_values().map(Change::Put).collect());
    let mut table = StoredTable::default();
    table.load_began();
    assert!(table.loaded(loaded));
    table.table().get(JOB).map(Job::state)
}

/// Guards against an end that was shown for long and becomes a cancel in a process that starts or
/// loads: the job was cancelled after its end was stored.
#[test]
fn a_cancel_after_a_stored_end_changes_nothing_in_a_load() {
    let progress = JobProgress {
        state: JobState::Complete,
        ..JobProgress::default()
    };
    let log = [
        Record::Job(JOB, job(vec![step(1, 400, &[])])),
        Record::Progress(JOB, progress),
        Record::Cancel(JOB),
    ]
    .map(Change::Put);

    let states = (read(&log), load(&log));

    assert_eq!(states, (Some(JobState::Complete), Some(JobState::Complete)));
}

/// Guards against a leader that stores another end over one that is stored and shown: it reads the
/// batch with the end and a later cancel before it is told that the batch is stored.
#[test]
fn a_cancel_that_is_read_after_an_end_does_not_replace_it() {
    let mut fixture = Fixture::with_running_task();
    fixture.settle(20);
    while fixture.holds.is_empty() {
        fixture.now += 50;
        fixture.settle(fixture.now);
    }
    fixture.hold_answered(fixture.now, &[], &[done(1)]);
    fixture.poll(fixture.now + 5);
    let (batch, records) = fixture.batch.take().unwrap();

    fixture.log.extend(records.into_iter().map(Change::Put));
    let shown = read(&fixture.log);
    fixture.cancel(1);
    fixture.handle(Event::BatchStored { batch });
    fixture.settle(fixture.now + 5);
    let newest = fixture.log.iter().rev().find_map(|change| match change {
        Change::Put(Record::Progress(_, progress)) => Some(progress.state),
        _ => None,
    });

    assert_eq!(shown, Some(JobState::Complete));
    assert_eq!(newest, Some(JobState::Complete));
}

/// Time for which the model's leader keeps ended jobs, in ms.
const RETENTION_MS: Millis = 120_000;

/// Guards against a cancelled job that is forgotten soon after it came, and may then be begun by a
/// repeat of its request: the time since its cancel is counted, not that since its end.
#[test]
fn a_job_that_comes_long_after_its_cancel_is_kept_from_its_end_on() {
    let mut world = World::new(1, 1);
    world.claim();

    world.cancel(JOB);
    world.run_for(RETENTION_MS - 10_000);
    world.submit(1, job(vec![step(1, 400, &[])]));
    world.run_for(1_000);
    let state = world.state(JOB);
    world.run_for(20_000);

    assert_eq!(state, Some(JobState::Canceled));
    assert!(!world.log.contains(&Change::Forget(JOB)));
}

/// Guards against ended jobs that are kept for good: each leader counts the whole time anew, and none
/// leads for that long.
#[test]
fn ended_jobs_are_forgotten_although_the_role_changes_hands_often() {
    let mut world = World::new(1, 1);
    world.claim();
    world.submit(1, job(vec![step(1, 400, &[])]));

    for _ in 0..8 {
        world.run_for(RETENTION_MS * 3 / 4);
        world.hand_over();
        world.run_for(200);
        world.claim();
    }

    assert_eq!(world.state(JOB), None);
    assert!(world.log.contains(&Change::Forget(JOB)));
}

/// A gang whose first runs were given up with t0, while t0 was not listed, and of which t0, back again,
/// still runs the members.
fn gang_with_strays() -> Fixture {
    let mut gang = step(2, 400, &[]);
    gang.gang = true;
    let change = Change::Put(Record::Job(JOB, job(vec![gang])));
    let mut earlier = Fixture::new();
    earlier.log.push(change.clone());
    earlier.table.apply(change);
    earlier.handle(Event::JobChanged(JOB));
    earlier.settle(10);
    assert_eq!(earlier.starts.len(), 2);
    let mut fixture = Fixture::take_over(2_000, earlier.log, vec![entry("t1")], 1_000);
    for now in (2_000..7_300).step_by(20) {
        fixture.poll(now);
        answer(&mut fixture, "t1", &[], &[]);
        if fixture.batch.is_some() && now < 7_200 {
            fixture.batch_stored();
        }
    }
    fixture.handle(Event::TargetEntry(entry("t0")));
    fixture.poll(7_400);
    fixture.now = 7_405;
    answer(&mut fixture, "t0", &members(), &[]);
    for now in (7_410..7_500).step_by(10) {
        fixture.settle(now);
    }
    assert_eq!(fixture.starts, Vec::new());
    fixture
}

/// The first runs of the members of the gang.
fn members() -> Vec<RunningTask> {
    let member = |index| RunningTask {
        task: task(1, index),
        ..running(1)
    };
    vec![member(0), member(1)]
}

/// Answers the hold calls to a target.
fn answer(fixture: &mut Fixture, id: &str, runs: &[RunningTask], ended: &[EndedRun]) {
    let now = fixture.now;
    while let Some(i) = fixture.holds.iter().position(|(e, _)| *e.id.0 == *id) {
        fixture.holds.swap(0, i);
        fixture.hold_answered(now, runs, ended);
    }
}

/// Guards against a gang that never starts again, or beside its stray runs, at the next leader.
#[test]
fn the_next_leader_starts_a_gang_once_after_the_end_of_its_stray_runs() {
    let earlier = gang_with_strays();
    let entries = vec![entry("t0"), entry("t1")];
    let mut fixture = Fixture::take_over(7_500, earlier.log, entries, 7_000);

    for now in (7_500..8_000).step_by(10) {
        fixture.settle(now);
        answer(&mut fixture, "t1", &[], &[]);
        answer(&mut fixture, "t0", &members(), &[]);
    }
    let beside = fixture.starts.len();
    let stopped = |position, index| EndedRun {
        position,
        task: task(1, index),
        kind: EndKind::Stopped,
        ..done(1)
    };
    for now in (8_000..8_500).step_by(10) {
        fixture.settle(now);
        answer(&mut fixture, "t1", &[], &[]);
        answer(&mut fixture, "t0", &[], &[stopped(1, 0), stopped(2, 1)]);
    }

    assert_eq!(beside, 0);
    assert_eq!(fixture.starts.len(), 2);
}
