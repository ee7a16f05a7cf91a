//! Tests of the order in which a leader stores its decisions.

use amaranthwick::scheduler::{Event, JobKey, JobState, Record};

use crate::bare_leader::{Fixture, done, entry, running};

/// Largest number of jobs in one batch.
const MAX_BATCH_JOBS: usize = 100;

/// A leader that has a running task on `t0`, and room for many others.
fn leader_with_many_targets() -> Fixture {
    let mut fixture = Fixture::with_running_task();
    for i in 1..40 {
        fixture.handle(Event::TargetEntry(entry(&format!("t{i}"))));
    }
    fixture.settle(20);
    answer_holds(&mut fixture, 20, false);
    fixture.settle(25);
    fixture
}

/// Answers all hold calls; with `ended`, the task on `t0` has ended.
fn answer_holds(fixture: &mut Fixture, sent_at: u64, ended: bool) {
    fixture.now = sent_at + 1;
    while let Some((target, _)) = fixture.holds.first() {
        match (target.id == entry("t0").id, ended) {
            (false, _) => fixture.hold_answered(sent_at, &[], &[]),
            (true, false) => fixture.hold_answered(sent_at, &[running(1)], &[]),
            (true, true) => fixture.hold_answered(sent_at, &[], &[done(1)]),
        }
    }
}

/// Guards against a caller that is shown an end late, because placed tasks fill the batches before.
#[test]
fn ended_jobs_are_stored_before_placed_ones() {
    let mut fixture = leader_with_many_targets();
    for job in 2..=260 {
        fixture.submit(job);
    }
    fixture.poll(100);
    let first = fixture.batch.as_ref().unwrap().1.len();

    fixture.poll(3_000);
    answer_holds(&mut fixture, 3_000, true);
    fixture.batch_stored();
    fixture.poll(3_010);

    let (_, records) = fixture.batch.as_ref().unwrap();
    let ended = records.iter().any(|record| {
        matches!(record, Record::Progress(JobKey(1), progress)
            if progress.state == JobState::Complete)
    });
    assert_eq!(first, MAX_BATCH_JOBS + 1);
    assert_eq!(records.len(), MAX_BATCH_JOBS + 1);
    assert!(ended);
}
