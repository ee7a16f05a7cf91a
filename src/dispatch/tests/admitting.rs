//! Tests of how long jobs count as unsettled.

use std::time::{Duration, Instant};

use crate::dispatch::admitting::Admissions;
use crate::scheduler::JobKey;

const KEY: JobKey = JobKey(1);

/// Guards against "not run" within 10 s of the last unanswered append, because the time counts from
/// an earlier one.
#[test]
fn a_repeat_renews_the_time_for_which_a_job_may_be_stored() {
    let mut admissions = Admissions::default();

    admissions.mark_unsettled(KEY, true, 0);
    admissions.mark_unsettled(KEY, true, 9_000);
    admissions.mark_unsettled(JobKey(2), false, 15_000);

    assert!(admissions.maybe_stored(KEY, 19_000));
    assert!(!admissions.maybe_stored(KEY, 19_001));
}

/// Guards against a repeat that was accepted but not stored, and makes the entry forget that an
/// earlier append had no usable answer.
#[test]
fn a_job_that_may_be_stored_stays_so_when_it_is_accepted_again() {
    let mut admissions = Admissions::default();

    admissions.mark_unsettled(KEY, true, 0);
    admissions.mark_unsettled(KEY, false, 9_000);

    assert!(admissions.maybe_stored(KEY, 10_000));
}

/// Guards against records that stay for ever because one before them was renewed, and against new
/// jobs that count as stored because of an expired record of the same id.
#[test]
fn expired_jobs_are_forgotten_in_the_order_of_their_last_tries() {
    let mut admissions = Admissions::default();

    admissions.mark_unsettled(KEY, true, 0);
    admissions.mark_unsettled(JobKey(2), true, 1_000);
    admissions.mark_unsettled(KEY, true, 5_000);
    admissions.mark_unsettled(JobKey(3), false, 12_000);
    let after_first = admissions.unsettled_jobs();
    admissions.mark_unsettled(KEY, false, 16_000);

    assert_eq!(after_first, 2);
    assert!(!admissions.maybe_stored(KEY, 16_000));
}

/// Guards against a state lock that is held for long while many jobs expire after a burst.
#[test]
fn many_expired_jobs_are_forgotten_at_once() {
    let mut admissions = Admissions::default();
    for key in 0..50_000 {
        admissions.mark_unsettled(JobKey(key), false, 0);
    }

    let begun = Instant::now();
    admissions.mark_unsettled(JobKey(50_000), false, 20_000);
    let elapsed = begun.elapsed();

    assert_eq!(admissions.unsettled_jobs(), 1);
    assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
}
