//! Tests of what is logged of jobs that callers are shown as ended.

use crate::dispatch::shown_jobs::{ChangedEnd, Grounds, ShownEnd, ShownJobs};
use crate::scheduler::{JobKey, JobState};

const KEY: JobKey = JobKey(1);

/// Most jobs that may be remembered.
const MAX_REMEMBERED: usize = 40_000;

const GROUNDS: Grounds = Grounds {
    epoch: 3,
    table_ms: Some(20),
};

/// Guards against a line for each lookup, and against a line that lacks the grounds.
#[test]
fn a_job_is_logged_once_as_ended_with_its_grounds() {
    let mut jobs = ShownJobs::default();

    let read = jobs.state_stored(KEY, JobState::Complete, 100);
    let first = jobs.show(KEY, JobState::Complete, GROUNDS, 150);
    let second = jobs.show(KEY, JobState::Complete, GROUNDS, 160);

    let expected = ShownEnd {
        job: KEY,
        state: JobState::Complete,
        grounds: GROUNDS,
        stored_ms: Some(50),
    };
    assert_eq!(read, None);
    assert_eq!(first, Some(expected));
    assert_eq!(second, None);
}

/// Guards against an age that starts anew with each read, and an age of an end that was not read.
#[test]
fn the_age_of_a_stored_end_counts_from_its_first_read() {
    let mut jobs = ShownJobs::default();

    jobs.state_stored(KEY, JobState::Failed, 100);
    jobs.state_stored(KEY, JobState::Failed, 190);
    let read = jobs.show(KEY, JobState::Failed, GROUNDS, 200).unwrap();
    let unread = jobs.show(JobKey(2), JobState::Failed, GROUNDS, 200);

    assert_eq!(read.stored_ms, Some(100));
    assert_eq!(unread.unwrap().stored_ms, None);
}

/// Guards against a job that goes on after it was shown as ended, without a line; and against lines
/// for jobs that were read as ended and never shown.
#[test]
fn a_shown_job_that_goes_on_is_logged_once() {
    let mut jobs = ShownJobs::default();
    jobs.show(KEY, JobState::Complete, GROUNDS, 100);
    jobs.state_stored(JobKey(2), JobState::Complete, 100);

    let same = jobs.state_stored(KEY, JobState::Complete, 110);
    let changed = jobs.state_stored(KEY, JobState::Running, 120);
    let repeated = jobs.state_stored(KEY, JobState::Running, 130);
    let not_shown = jobs.state_stored(JobKey(2), JobState::Running, 140);

    let expected = ChangedEnd {
        job: KEY,
        shown: JobState::Complete,
        state: JobState::Running,
    };
    assert_eq!(same, None);
    assert_eq!(changed, Some(expected));
    assert_eq!(repeated, None);
    assert_eq!(not_shown, None);
}

/// Guards against a second end, after the job went on, that is shown without a line or with the age
/// of the first.
#[test]
fn a_job_that_ends_again_is_logged_again() {
    let mut jobs = ShownJobs::default();
    jobs.show(KEY, JobState::Complete, GROUNDS, 100);
    jobs.state_stored(KEY, JobState::Running, 110);

    jobs.state_stored(KEY, JobState::Complete, 500);
    let again = jobs.show(KEY, JobState::Complete, GROUNDS, 540);

    assert_eq!(again.and_then(|shown| shown.stored_ms), Some(40));
}

/// Guards against memory that grows with the jobs of the past.
#[test]
fn only_the_latest_jobs_are_remembered() {
    let mut jobs = ShownJobs::default();

    for key in 0..100_000 {
        jobs.show(JobKey(key), JobState::Complete, GROUNDS, 100);
        assert!(jobs.len() <= MAX_REMEMBERED);
    }
    let latest = jobs.show(JobKey(99_999), JobState::Complete, GROUNDS, 200);
    jobs.forget(JobKey(99_999));
    let forgotten = jobs.show(JobKey(99_999), JobState::Complete, GROUNDS, 300);

    assert_eq!(latest, None);
    assert!(forgotten.is_some());
}
