//! Ends that targets may forget: only those whose effects are stored.

use amaranthwick::scheduler::{Change, Command, Event, JobKey, JobState, Record};

use crate::bare_leader::{Fixture, done};
use crate::fixtures::{job, step};

/// More jobs than fit one batch.
const OTHER_JOBS: u64 = 150;

/// Guards against a lost end: the batch that is stored leaves the job out, because others have changed
/// before it.
#[test]
fn an_end_beyond_a_full_batch_is_noted_with_the_next_one() {
    let mut fixture = Fixture::with_running_task();
    for number in 10..10 + OTHER_JOBS {
        let key = JobKey(number);
        fixture
            .table
            .apply(Change::Put(Record::Job(key, job(vec![step(1, 400, &[])]))));
        fixture.table.apply(Change::Put(Record::Cancel(key)));
        fixture.handle(Event::JobChanged(key));
    }
    fixture.now = 500;
    fixture.hold_answered(499, &[], &[done(1)]);

    let mut complete_stored = false;
    let mut noted = Vec::new();
    let mut batches = 0;
    for now in (510..3_000).step_by(10) {
        fixture.now = now;
        let commands = fixture.leader.poll(&mut fixture.table, now, now);
        for command in commands {
            match command {
                Command::Append { batch, records, .. } => {
                    batches += 1;
                    complete_stored |= records.iter().any(|record| match record {
                        Record::Progress(key, progress) => {
                            *key == JobKey(1) && progress.state == JobState::Complete
                        }
                        _ => false,
                    });
                    fixture.handle(Event::BatchStored { batch });
                }
                Command::Hold {
                    target,
                    number,
                    forget_up_to,
                    ..
                } => {
                    noted.push((forget_up_to, complete_stored));
                    fixture.holds.push((target, number));
                    fixture.hold_answered(now, &[], &[done(1)]);
                }
                _ => {}
            }
        }
    }

    assert!(batches >= 2);
    assert!(noted.iter().any(|(position, _)| *position == 1));
    assert!(
        noted
            .iter()
            .all(|(position, stored)| *position == 0 || *stored)
    );
}
