//! What the leader knows of whether the end of a job is stored.

use amaranthwick::scheduler::{Job, JobKey, JobState};

use crate::bare_leader::{Fixture, done};

const KEY: JobKey = JobKey(1);

/// A leader that has read the end of the only task of job 1 while it stores a batch.
fn with_end_beside_a_batch() -> Fixture {
    let mut fixture = Fixture::with_running_task();
    fixture.submit(2);
    fixture.poll(500);
    assert!(fixture.batch.is_some());
    fixture.now = 1_020;
    fixture.hold_answered(1_018, &[], &[done(1)]);
    fixture.poll(1_022);
    fixture
}

/// Guards against an end that counts as stored by a batch that was sent before it.
#[test]
fn the_end_of_a_job_is_stored_with_the_batch_that_contains_it() {
    let mut fixture = with_end_beside_a_batch();
    let state = fixture.table.get(KEY).map(Job::state);
    let decided = fixture.leader.unstored_end_count();

    fixture.batch_stored();
    let after_earlier_batch = fixture.leader.unstored_end_count();
    fixture.poll(1_030);
    let in_flight = fixture.leader.unstored_end_count();
    fixture.batch_stored();

    assert_eq!(state, Some(JobState::Complete));
    assert_eq!(decided, 1);
    assert_eq!(after_earlier_batch, 1);
    assert_eq!(in_flight, 1);
    assert_eq!(fixture.leader.unstored_end_count(), 0);
}

/// Guards against an end of an earlier term that counts as not stored.
#[test]
fn an_end_that_was_found_at_the_takeover_is_stored() {
    let mut earlier = with_end_beside_a_batch();
    earlier.batch_stored();
    earlier.settle(1_030);

    let fixture = Fixture::take_over(2_000, earlier.log, Vec::new(), 0);

    assert_eq!(fixture.leader.unstored_end_count(), 0);
}
