//! Tests of the table from which callers are answered: no state that was shown goes back, in whatever
//! order batches are read and acknowledged.

use std::sync::Arc;

use amaranthwick::scheduler::{
    BatchId, Change, Holder, Job, JobKey, JobProgress, JobSpec, JobState, JobTable, JobUpdate,
    Record, StoredTable, WaveProgress,
};

use crate::fixtures::{job as spec_of, step};

const JOB: JobKey = JobKey(1);
const OTHER: JobKey = JobKey(2);

fn spec() -> JobSpec {
    spec_of(vec![step(1, 1_000, &[])])
}

fn holder(epoch: u64, batch: u64) -> Record {
    Record::Holder(Holder {
        member: format!("node-{epoch}"),
        incarnation: epoch,
        epoch,
        released: false,
        batch,
    })
}

fn progress(job: JobKey, state: JobState) -> Record {
    let progress = JobProgress {
        state,
        ..JobProgress::default()
    };
    Record::Progress(job, progress)
}

/// A batch of a leader with one change of a job.
fn batch(epoch: u64, number: u64, job: JobKey, state: JobState) -> Vec<Record> {
    vec![progress(job, state), holder(epoch, number)]
}

const fn id(epoch: u64, number: u64) -> BatchId {
    BatchId { epoch, number }
}

fn read(table: &mut StoredTable, records: &[Record]) {
    for record in records {
        table.apply_read(Change::Put(record.clone()));
    }
}

/// A table with two jobs, read up to the first leader's claim.
fn claimed() -> StoredTable {
    let mut table = StoredTable::default();
    let jobs = [JOB, OTHER].map(|job| Record::Job(job, spec()));
    read(&mut table, &jobs);
    read(&mut table, &[holder(1, 0)]);
    table
}

fn state(table: &StoredTable, job: JobKey) -> Option<JobState> {
    table.table().get(job).map(Job::state)
}

/// What a load brings: the jobs, and these records.
fn loaded(records: &[Record]) -> JobTable {
    let mut table = JobTable::default();
    for job in [JOB, OTHER] {
        table.apply(Change::Put(Record::Job(job, spec())));
    }
    for record in records {
        table.apply(Change::Put(record.clone()));
    }
    table
}

/// Guards against states that go back because an acknowledged batch is read after the next one was
/// acknowledged.
#[test]
fn a_batch_that_was_acknowledged_is_skipped_when_it_is_read() {
    let mut table = claimed();
    let first = batch(1, 1, JOB, JobState::Running);
    let second = batch(1, 2, JOB, JobState::Complete);

    table.batch_stored(id(1, 1), first.clone());
    table.batch_stored(id(1, 2), second.clone());
    read(&mut table, &first);
    let after_first = state(&table, JOB);
    read(&mut table, &second);
    read(&mut table, &batch(1, 3, OTHER, JobState::Running));

    assert_eq!(after_first, Some(JobState::Complete));
    assert_eq!(state(&table, JOB), Some(JobState::Complete));
    assert_eq!(state(&table, OTHER), Some(JobState::Running));
    assert_eq!(table.read(), id(1, 3));
}

/// Guards against states that go back because the answer to an append comes after the batch and a
/// later one were read.
#[test]
fn a_batch_that_was_read_is_skipped_when_it_is_acknowledged() {
    let mut table = claimed();
    let first = batch(1, 1, JOB, JobState::Running);

    read(&mut table, &first);
    read(&mut table, &batch(1, 2, JOB, JobState::Complete));
    table.batch_stored(id(1, 1), first);

    assert_eq!(state(&table, JOB), Some(JobState::Complete));
}

/// Guards against records of a later leader that are undone by a late answer to an earlier one.
#[test]
fn a_late_answer_of_an_earlier_term_changes_nothing() {
    let mut table = claimed();
    let late = batch(1, 7, JOB, JobState::Running);

    read(&mut table, &[holder(2, 0)]);
    read(&mut table, &batch(2, 1, JOB, JobState::Complete));
    table.batch_stored(id(1, 7), late);

    assert_eq!(state(&table, JOB), Some(JobState::Complete));
}

/// Guards against records of a later leader that are skipped because an earlier one had acknowledged
/// batches of the same numbers.
#[test]
fn batches_of_another_term_are_read_whatever_was_acknowledged() {
    let mut table = claimed();

    table.batch_stored(id(1, 5), batch(1, 5, JOB, JobState::Running));
    read(&mut table, &[holder(2, 0)]);
    read(&mut table, &batch(2, 1, JOB, JobState::Complete));

    assert_eq!(state(&table, JOB), Some(JobState::Complete));
}

/// Guards against states that go back because the next page begins inside a batch that was
/// acknowledged meanwhile, as was the one after it.
#[test]
fn a_batch_that_two_pages_split_is_applied_once() {
    let mut table = claimed();
    let split = vec![
        progress(JOB, JobState::Running),
        progress(OTHER, JobState::Running),
        holder(1, 1),
    ];

    read(&mut table, &split[..1]);
    table.batch_stored(id(1, 1), split.clone());
    table.batch_stored(id(1, 2), batch(1, 2, OTHER, JobState::Complete));
    read(&mut table, &split[1..]);

    assert_eq!(state(&table, JOB), Some(JobState::Running));
    assert_eq!(state(&table, OTHER), Some(JobState::Complete));
}

/// Guards against a released role whose record repeats the number of an earlier batch: the batches
/// of the next leader count anew.
#[test]
fn a_released_role_hides_no_batch_of_the_next_leader() {
    let mut table = claimed();
    let Record::Holder(claim) = holder(1, 4) else {
        unreachable!()
    };
    let released = Record::Holder(Holder {
        epoch: 2,
        released: true,
        ..claim
    });

    table.batch_stored(id(1, 5), batch(1, 5, JOB, JobState::Running));
    read(&mut table, &batch(1, 5, JOB, JobState::Running));
    read(&mut table, &[released, holder(3, 0)]);
    table.batch_stored(id(3, 1), batch(3, 1, JOB, JobState::Complete));

    assert_eq!(state(&table, JOB), Some(JobState::Complete));
}

/// Guards against a wave's progress that is lost or goes back like that of a job.
#[test]
fn the_progress_of_a_wave_does_not_go_back() {
    let mut table = claimed();
    let wave = |begun: &[&str]| {
        let begun = begun.iter().map(|vm| (*vm).to_owned()).collect();
        let complete = false;
        Record::Wave(1, WaveProgress { begun, complete })
    };

    table.batch_stored(id(1, 1), vec![wave(&["a"]), holder(1, 1)]);
    table.batch_stored(id(1, 2), vec![wave(&["a", "b"]), holder(1, 2)]);
    read(&mut table, &[wave(&["a"]), holder(1, 1)]);

    assert_eq!(table.table().wave(1).unwrap().begun, ["a", "b"]);
}

/// Guards against a job that is shown as cancelled and later as complete, because the leader had ended
/// it otherwise when it learned of the cancel; and against a cancel that changes a stored end.
#[test]
fn the_first_end_that_is_stored_stands() {
    let mut table = claimed();

    table.apply_acknowledged(Record::Cancel(JOB));
    table.batch_stored(id(1, 1), batch(1, 1, JOB, JobState::Complete));
    let cancelled_first = state(&table, JOB);
    table.batch_stored(id(1, 2), batch(1, 2, OTHER, JobState::Complete));
    table.apply_acknowledged(Record::Cancel(OTHER));
    table.batch_stored(id(1, 3), batch(1, 3, OTHER, JobState::Canceled));

    assert_eq!(cancelled_first, Some(JobState::Canceled));
    assert_eq!(state(&table, OTHER), Some(JobState::Complete));
}

/// Guards against a load that replaces what was shown by something older.
#[test]
fn loaded_records_replace_the_others_unless_they_lack_a_batch() {
    let mut table = claimed();
    let end = batch(1, 2, JOB, JobState::Complete);

    table.load_began();
    table.batch_stored(id(1, 2), end.clone());
    let earlier = table.loaded(loaded(&batch(1, 1, JOB, JobState::Running)));
    let kept = state(&table, JOB);
    let complete = table.loaded(loaded(&end));

    assert!(!earlier);
    assert_eq!(kept, Some(JobState::Complete));
    assert!(complete);
    assert_eq!(state(&table, JOB), Some(JobState::Complete));
    assert_eq!(table.read(), id(1, 2));
}

/// Guards against a cancel or a job that is shown, and then is not, because the load that was
/// underway lacks it.
#[test]
fn callers_records_that_were_acknowledged_outlast_a_load() {
    let mut table = claimed();
    let added = JobKey(3);

    table.load_began();
    table.apply_acknowledged(Record::Cancel(JOB));
    table.apply_acknowledged(Record::Job(added, spec()));
    table.loaded(loaded(&[holder(1, 0)]));

    assert_eq!(state(&table, JOB), Some(JobState::Canceled));
    assert_eq!(state(&table, added), Some(JobState::Queued));
}

/// Guards against a leader that lacks a change of a caller, and against a copy of each spec.
#[test]
fn a_leader_is_told_of_callers_changes_and_shares_the_spec() {
    let mut table = claimed();
    let added = JobKey(3);

    let accepted = table.apply_acknowledged(Record::Job(added, spec()));
    let cancelled = table.apply_read(Change::Put(Record::Cancel(JOB)));
    let forgotten = table.apply_read(Change::Forget(OTHER));
    let own = table.apply_read(Change::Put(progress(JOB, JobState::Running)));

    let stored = &table.table().get(added).unwrap().spec;
    assert!(matches!(&accepted, Some(JobUpdate::Accepted(key, spec))
        if *key == added && Arc::ptr_eq(spec, stored)));
    assert!(matches!(
        cancelled,
        Some(JobUpdate::Cancelled(JOB, Some(JobState::Canceled)))
    ));
    assert!(matches!(forgotten, Some(JobUpdate::Forgotten(OTHER))));
    assert!(own.is_none());
}
