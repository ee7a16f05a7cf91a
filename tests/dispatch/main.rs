//! Tests of what becomes of callers' jobs while the leader refuses some, does not answer, or runs an
//! earlier build.

mod cancels_beside_ends;
mod fakes;
#[allow(unreachable_pub)] // Shared with tests that use it as public.
#[path = "../support/log_fields.rs"]
mod log_fields;
mod process;
mod shown;
mod shown_ends;
mod successors;

use std::thread;
use std::time::{Duration, Instant};

use amaranthwick::dispatch::{
    AppendOutcome, CancelOutcome, ForwardAnswer, Lookup, PeerBuild, Submission,
};
use amaranthwick::scheduler::{JobKey, JobState, Record, RefusalCause};
use async_io::block_on;

use process::{Process, REFUSAL, job, overloaded_summary, refusing, stored};

/// Guards against a caller that is told a refused job was accepted, or waits for its deadline.
#[test]
fn a_caller_is_told_of_the_leaders_refusal_at_once() {
    let process = Process::start(false);
    process.services.script().forward = refusing(100);

    let begun = Instant::now();
    let refused = process.submit(100);
    let elapsed = begun.elapsed();
    let accepted = process.submit(101);

    assert_eq!(refused, Submission::Refused(REFUSAL));
    assert_eq!(accepted, Submission::Accepted(JobState::Queued));
    assert!(elapsed < Duration::from_millis(100), "{elapsed:?}");
    assert!(process.stored_keys().is_empty());
}

/// Guards against "not run" for a job that an earlier, unanswered append may still store.
#[test]
fn a_job_that_may_be_stored_is_not_reported_as_not_run() {
    let process = Process::start(false);
    process.services.script().forward = ForwardAnswer::plain(AppendOutcome::Unknown);
    process.services.script().append = AppendOutcome::Unknown;
    let first = process.submit(100);

    // The entry forwards to the leader again after a second.
    thread::sleep(Duration::from_millis(1_100));
    process.services.script().forward = refusing(100);
    let second = process.submit(100);

    assert_eq!(first, Submission::Unknown);
    assert_eq!(second, Submission::Unknown);
}

/// Guards against "not run" for a job that an earlier, unanswered append may still store, while the
/// store refuses appends or the stream can't be read.
#[test]
fn a_job_that_may_be_stored_is_not_reported_as_not_run_by_an_unavailable_store() {
    let process = Process::start(false);
    process.services.script().forward = ForwardAnswer::plain(AppendOutcome::Unknown);
    process.services.script().append = AppendOutcome::Unknown;
    let first = process.submit(100);

    process.services.script().forward = ForwardAnswer::plain(AppendOutcome::Busy);
    process.services.script().append = AppendOutcome::Busy;
    let busy = process.submit(100);
    let other = process.submit(101);
    process.services.script().readable = false;
    thread::sleep(Duration::from_millis(1_300));
    let outdated = process.submit(100);
    let other_outdated = process.submit(101);

    assert_eq!(first, Submission::Unknown);
    assert_eq!(busy, Submission::Unknown);
    assert_eq!(outdated, Submission::Unknown);
    for other in [other, other_outdated] {
        let Submission::Refused(refusal) = other else {
            panic!("{other:?}");
        };
        assert_eq!(refusal.cause, RefusalCause::StoreUnavailable);
    }
}

/// Guards against overload by an entry that has lost its leader, and against refusals by old
/// figures: it decides by the last summary while that is fresh.
#[test]
fn an_entry_without_a_leader_decides_by_its_last_summary() {
    let process = Process::start(false);
    process.services.script().forward.summary = Some(overloaded_summary());
    let with_summary = process.submit(100);
    process.services.script().forward = ForwardAnswer::plain(AppendOutcome::Busy);

    let lost = process.submit(101);
    let known = process.submit(100);
    thread::sleep(Duration::from_millis(2_100));
    let old = process.submit(102);

    assert_eq!(with_summary, Submission::Accepted(JobState::Queued));
    let Submission::Refused(refusal) = lost else {
        panic!("{lost:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::NoCapacity);
    assert!(refusal.retry_s > 1);
    assert_eq!(known, Submission::Accepted(JobState::Queued));
    assert_eq!(old, Submission::Accepted(JobState::Queued));
    assert_eq!(process.stored_keys(), ["j/0000000000000066"]);
    let ages = process.services.script().summary_ages.clone();
    assert_eq!(ages.first(), Some(&None));
    assert!(ages.last().unwrap().is_some_and(|age| age >= 2_000));
}

/// Guards against jobs that are lost or refused while the leader runs an earlier build, whose
/// answers have no body.
#[test]
fn an_entry_without_a_summary_accepts() {
    let process = Process::start(false);
    let forwarded = process.submit(100);
    process.services.script().forward = ForwardAnswer::plain(AppendOutcome::Busy);
    let bypassed = process.submit(101);

    assert_eq!(forwarded, Submission::Accepted(JobState::Queued));
    assert_eq!(bypassed, Submission::Accepted(JobState::Queued));
    assert_eq!(process.stored_keys(), ["j/0000000000000065"]);
}

/// Guards against a message whose jobs are all accepted or all refused: the leader decides on each
/// by itself, and before anything is stored.
#[test]
fn the_leader_decides_on_each_job_of_a_message() {
    let process = Process::start(true);
    let mut long_running = job();
    long_running.steps[0].long_running = true;
    let records = vec![
        Record::Job(JobKey(100), job()),
        Record::Job(JobKey(101), long_running),
        Record::Job(JobKey(3), job()),
        Record::Cancel(JobKey(4)),
    ];
    let peer = PeerBuild::WithAdmission {
        summary_age_ms: None,
    };

    let answer = block_on(process.dispatch.store_forwarded(records, peer));

    assert_eq!(answer.appended.outcome, stored());
    let refused: Vec<JobKey> = answer.appended.refused.iter().map(|r| r.key).collect();
    assert_eq!(refused, [JobKey(100)]);
    assert!(answer.summary.is_some());
    let expected = [
        "j/0000000000000065",
        "j/0000000000000003",
        "c/0000000000000004",
    ];
    assert_eq!(process.stored_keys(), expected);
    let lookup = block_on(process.dispatch.look_up(JobKey(100)));
    assert_eq!(lookup, Lookup::NotFound);
    let own = process.submit(102);
    assert!(matches!(own, Submission::Refused(_)), "{own:?}");
}

/// Guards against "not run" for a job that is stored, because a message has two records with its id
/// of which only one would be refused.
#[test]
fn records_with_one_id_in_a_message_are_all_refused_or_all_stored() {
    let process = Process::start(true);
    let mut long_running = job();
    long_running.steps[0].long_running = true;
    let records = vec![
        Record::Job(JobKey(100), job()),
        Record::Job(JobKey(100), long_running.clone()),
        Record::Job(JobKey(101), long_running),
        Record::Job(JobKey(101), job()),
    ];
    let peer = PeerBuild::WithAdmission {
        summary_age_ms: Some(0),
    };

    let answer = block_on(process.dispatch.store_forwarded(records, peer));

    let refused: Vec<JobKey> = answer.appended.refused.iter().map(|r| r.key).collect();
    assert_eq!(refused, [JobKey(100)]);
    assert_eq!(process.stored_keys(), ["j/0000000000000065"; 2]);
}

/// Guards against refusals that an entry of an earlier build would read as stored, or store itself.
#[test]
fn the_leader_refuses_nothing_of_an_earlier_build() {
    let process = Process::start(true);
    let records = vec![Record::Job(JobKey(100), job())];

    let earlier = PeerBuild::WithoutAdmission;
    let answer = block_on(process.dispatch.store_forwarded(records, earlier));

    assert_eq!(answer, ForwardAnswer::plain(stored()));
    assert_eq!(process.stored_keys(), ["j/0000000000000064"]);
}

/// Guards against answers that another build can't read: a missing body, missing fields and fields
/// that this build does not know.
#[test]
fn answers_are_read_by_earlier_and_later_builds() {
    let answer = ForwardAnswer {
        summary: Some(overloaded_summary()),
        ..refusing(100)
    };
    let body = answer.encode_body().unwrap();
    let later = rmp_serde::to_vec_named(&std::collections::BTreeMap::from([("later", 1)]));

    let whole = ForwardAnswer::decode(stored(), &body);
    let unknown_fields = ForwardAnswer::decode(stored(), &later.unwrap());
    let empty = ForwardAnswer::decode(AppendOutcome::Busy, &[]);
    let malformed = ForwardAnswer::decode(stored(), &[0xc1]);

    println!("{} bytes", body.len());
    assert_eq!(whole.unwrap(), answer);
    assert_eq!(unknown_fields.unwrap(), ForwardAnswer::plain(stored()));
    assert_eq!(empty.unwrap(), ForwardAnswer::plain(AppendOutcome::Busy));
    assert!(malformed.is_err());
}

/// Guards against a job that runs although its cancel was answered: the process knew no such job, and
/// stored nothing.
#[test]
fn the_cancel_of_an_unknown_job_is_stored() {
    let process = Process::start(false);
    process.services.script().forward = ForwardAnswer::plain(AppendOutcome::Busy);

    let unknown = block_on(process.dispatch.cancel(JobKey(100), 500));
    process.services.script().append = AppendOutcome::Unknown;
    let unstored = block_on(process.dispatch.cancel(JobKey(101), 500));

    assert_eq!(unknown, CancelOutcome::NotFound);
    assert_eq!(unstored, CancelOutcome::Unavailable);
    assert_eq!(process.stored_keys()[0], "c/0000000000000064");
}
