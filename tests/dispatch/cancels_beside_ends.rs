//! Cancels that are stored beside the ends of their jobs, in a process that loads the records anew.

use std::thread;
use std::time::Duration;

use amaranthwick::dispatch::Lookup;
use amaranthwick::scheduler::{Change, JobKey, JobProgress, JobState, Record};
use async_io::block_on;

use crate::process::{Process, job, wait_until};

/// Guards against a job that is shown as complete and, once the records were loaded anew, as cancelled:
/// its cancel came after its end, and the newest records come in the order of their keys.
#[test]
fn a_load_does_not_turn_a_shown_end_into_a_later_cancel() {
    let process = Process::start(false);
    let key = JobKey(100);
    let progress = JobProgress {
        state: JobState::Complete,
        ..JobProgress::default()
    };
    let complete = Change::Put(Record::Progress(key, progress));
    let cancel = Change::Put(Record::Cancel(key));
    let state = || block_on(process.dispatch.look_up(key));
    process.submit(key.0);
    process.services.script().stream.push(complete.clone());
    wait_until(|| state() == Lookup::Found(JobState::Complete));
    process.services.script().stream.push(cancel.clone());
    thread::sleep(Duration::from_millis(200));
    let before = state();

    {
        let mut script = process.services.script();
        let submitted = Change::Put(Record::Job(key, job()));
        script.loaded.extend([cancel, submitted, complete]);
        script.expired = true;
    }
    wait_until(|| process.services.script().loads == 2);
    thread::sleep(Duration::from_millis(200));
    let after = state();

    assert_eq!(before, Lookup::Found(JobState::Complete));
    assert_eq!(after, Lookup::Found(JobState::Complete));
}
