//! Starts that their sender writes late, because its process was held up. A later incarnation of the
//! target may take them then.

use amaranthwick::scheduler::{Event, HoldFailure, Millis, StartOutcome, TargetReport};

use crate::bare_leader::{BORN, CLOCK_MS, Fixture, entry};
use crate::fixtures::task;

/// A leader whose start on t0, sent at 12, is not answered, with a second target.
pub(crate) fn with_second_target() -> Fixture {
    let mut fixture = Fixture::with_sent_start();
    fixture.handle(Event::TargetEntry(entry("t1")));
    fixture
}

/// Polls the leader until `end`. Only t1 answers holds, and reports no runs.
pub(crate) fn run_until(fixture: &mut Fixture, end: Millis) {
    for now in (fixture.now..=end).step_by(50) {
        fixture.settle(now);
        for (called, number) in std::mem::take(&mut fixture.holds) {
            let report = TargetReport {
                born: BORN,
                clock_ms: CLOCK_MS + now,
                running: Vec::new(),
                ended: Vec::new(),
                complete: true,
            };
            let answers = called.id == entry("t1").id;
            fixture.handle(Event::HoldAnswered {
                target: called.id.clone(),
                born: called.born,
                number,
                result: answers.then_some(report).ok_or(HoldFailure::NoAnswer),
                sent_at: now,
            });
        }
    }
}

/// Guards against two runs of a task: the wait for the lease of a later incarnation counted from the
/// decision to start the run, while the call ended much later.
#[test]
fn the_wait_for_a_start_counts_from_the_end_of_its_call() {
    let mut fixture = with_second_target();
    run_until(&mut fixture, 5_000);
    fixture.start_answered(1, StartOutcome::Unknown, 12);

    run_until(&mut fixture, 11_000);
    let waiting = fixture.starts.clone();
    run_until(&mut fixture, 12_000);

    assert_eq!(waiting, vec![(task(1, 0), 1)]);
    assert_eq!(fixture.starts, vec![(task(1, 0), 1), (task(1, 0), 2)]);
}

/// Guards against two runs of a task: a target confirmed the stop of a run before it restarted, and its
/// later incarnation takes the start that was still on its way.
#[test]
fn a_stop_that_an_earlier_incarnation_confirmed_releases_no_run() {
    let mut fixture = with_second_target();
    fixture.start_answered(1, StartOutcome::Unknown, 13);
    fixture.poll(420);
    fixture.stop_confirmed(BORN, 1, 421);
    fixture
        .holds
        .retain(|(called, _)| called.id == entry("t0").id);
    fixture.poll(425);
    fixture.now = 428;
    fixture.hold_answered_by(BORN + 1, 426, &[], &[]);
    fixture.settle(430);

    let starts = fixture.starts.clone();
    fixture.stop_confirmed(BORN + 1, 1, 431);
    fixture.settle(435);

    assert_eq!(fixture.stops, vec![1, 1]);
    assert_eq!(starts, vec![(task(1, 0), 1)]);
    assert_eq!(fixture.starts, vec![(task(1, 0), 1)]);
}

/// Guards against two runs of a task: the run was given up before the call that starts it had ended.
#[test]
fn a_run_is_not_given_up_while_the_call_that_starts_it_is_open() {
    let mut fixture = with_second_target();

    run_until(&mut fixture, 11_000);

    assert_eq!(fixture.starts, vec![(task(1, 0), 1)]);
}
