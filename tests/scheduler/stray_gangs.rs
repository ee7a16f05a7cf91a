//! Gangs whose earlier runs go on after they were given up.

use amaranthwick::scheduler::{Change, EndKind, EndedRun, Event, JobKey, Record, RunningTask};

use crate::bare_leader::{Fixture, done, entry, running};
use crate::fixtures::{job, step, task};

const JOB: JobKey = JobKey(1);

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
