//! Clocks that jump.

use amaranthwick::scheduler::{Command, JobKey, JobState, Millis};

use crate::bare_leader::{Fixture, done};

/// Guards against an ended job that is forgotten early, and would begin anew when its caller repeats
/// it: the time of its end was compared with a time of day that had jumped.
#[test]
fn a_step_of_the_clock_forgets_no_job() {
    let mut fixture = Fixture::with_running_task();
    fixture.now = 500;
    fixture.hold_answered(499, &[], &[done(1)]);
    fixture.settle(510);
    let job = fixture.table.get(JobKey(1)).unwrap();
    assert_eq!(job.state(), JobState::Complete);

    let step_ms: Millis = 200_000;
    let mut forgotten = Vec::new();
    for now in (1_000..20_000).step_by(500) {
        let commands = fixture.leader.poll(&mut fixture.table, now, now + step_ms);
        for command in commands {
            if let Command::Append {
                batch,
                forgotten_jobs,
                ..
            } = command
            {
                forgotten.extend(forgotten_jobs);
                fixture.now = now;
                fixture.handle(amaranthwick::scheduler::Event::BatchStored { batch });
            }
        }
    }

    assert_eq!(forgotten, Vec::new());
}
