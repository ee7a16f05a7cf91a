//! Cancels that are stored beside the ends of their jobs.

use std::collections::BTreeMap;

use amaranthwick::scheduler::{
    Change, Event, Job, JobKey, JobProgress, JobState, JobTable, Record, StoredTable,
};

use crate::bare_leader::{Fixture, done};
use crate::fixtures::{job, step};

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
