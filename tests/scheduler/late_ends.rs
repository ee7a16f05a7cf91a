//! Ends of runs that were given up, reported while a later run of their task waits to start.

use amaranthwick::scheduler::{
    Change, EndKind, EndedRun, Event, JobKey, Record, Step, TargetId, TargetReport,
};

use crate::bare_leader::{BORN, CLOCK_MS, Fixture, entry};
use crate::fixtures::{job, step, task};

/// A gang of two tasks, and a step after it.
fn gang_and_next() -> Vec<Step> {
    let mut gang = step(2, 400, &[]);
    gang.gang = true;
    vec![gang, step(1, 400, &[0])]
}

/// Answers the hold calls to a target, which reports `ended`.
fn answer(fixture: &mut Fixture, id: &str, ended: &[EndedRun]) {
    let now = fixture.now;
    while let Some(i) = fixture.holds.iter().position(|(e, _)| *e.id.0 == *id) {
        let (called, number) = fixture.holds.swap_remove(i);
        let report = TargetReport {
            born: BORN,
            clock_ms: CLOCK_MS + now,
            running: Vec::new(),
            ended: ended.to_vec(),
            complete: true,
        };
        fixture.handle(Event::HoldAnswered {
            target: TargetId(called.id.0.clone()),
            born: called.born,
            number,
            result: Ok(report),
            sent_at: now,
        });
    }
}

/// Returns whether the second run of the first task of job 1 is being stored.
fn stores_second_run(fixture: &Fixture) -> bool {
    let records = fixture.batch.iter().flat_map(|(_, records)| records);
    let mut stored = records.filter_map(|record| match record {
        Record::Progress(_, progress) => progress.task(task(1, 0)),
        _ => None,
    });
    stored.any(|task| task.run == 2)
}

/// Guards against a gang that starts again after it was done: its first runs were given up with their
/// target, which reports their ends while the next ones are being stored.
#[test]
fn a_gang_does_not_start_after_a_late_end() {
    let mut earlier = Fixture::new();
    let change = Change::Put(Record::Job(JobKey(1), job(gang_and_next())));
    earlier.log.push(change.clone());
    earlier.table.apply(change);
    earlier.handle(Event::JobChanged(JobKey(1)));
    earlier.settle(10);
    assert_eq!(earlier.starts.len(), 2);
    let mut fixture = Fixture::take_over(2_000, earlier.log, vec![entry("t1")], 0);
    let mut now = 2_000;
    while now < 20_000 && !stores_second_run(&fixture) {
        fixture.poll(now);
        answer(&mut fixture, "t1", &[]);
        if fixture.batch.is_some() && !stores_second_run(&fixture) {
            fixture.batch_stored();
        }
        now += 20;
    }

    fixture.handle(Event::TargetEntry(entry("t0")));
    fixture.poll(now);
    let done = |position, index| EndedRun {
        position,
        task: task(1, index),
        run: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    };
    answer(&mut fixture, "t0", &[done(1, 0), done(2, 1)]);
    fixture.batch_stored();
    fixture.settle(now + 10);
    fixture.settle(now + 20);

    let again = fixture
        .starts
        .iter()
        .filter(|(task, _)| task.step.step == 0);
    assert_eq!(again.count(), 0);
}
