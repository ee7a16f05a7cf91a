//! Tests of the states that callers are shown at a leader whose store does not answer, and after it
//! has stepped down.

use std::thread;
use std::time::Duration;

use amaranthwick::dispatch::Lookup;
use amaranthwick::scheduler::{Change, Holder, JobKey, JobProgress, JobState, Record};
use async_io::block_on;

use crate::fakes::LeaderAppends;
use crate::process::{LEADER, Process, STORED_JOBS, holder, job, wait_until};

/// A leader that has read the end of a job's only run while the store does what `appends` says.
fn leader_with_ended_job(appends: LeaderAppends) -> (Process, JobKey) {
    let process = Process::start(true);
    process.services.script().runs.up = true;
    wait_until(|| !process.services.script().runs.running.is_empty());
    let job = process.services.script().runs.running[0].0.step.job;
    wait_until(|| state(&process, job) == Lookup::Found(JobState::Running));
    {
        let mut script = process.services.script();
        script.leader_appends = appends;
        let ended = script.runs.running.remove(0);
        script.runs.ended.push(ended);
    }
    let ended = || process.figure("active_jobs") == Some(STORED_JOBS - 1);
    wait_until(ended);
    (process, job)
}

fn state(process: &Process, job: JobKey) -> Lookup {
    block_on(process.dispatch.look_up(job))
}

/// Guards against a job that starts again after it was shown as complete: its end was not stored,
/// and was lost with the leader and the target.
#[test]
fn a_job_whose_end_is_not_stored_is_not_shown_as_complete() {
    let (process, job) = leader_with_ended_job(LeaderAppends::Silent);

    let shown = state(&process, job);
    thread::sleep(Duration::from_millis(300));
    let later = state(&process, job);

    assert_eq!(shown, Lookup::Found(JobState::Running));
    assert_eq!(later, Lookup::Found(JobState::Running));
}

/// Guards against decisions of a leader that are shown although it has stepped down and will never
/// store them.
#[test]
fn a_refused_decision_is_not_shown_after_the_step_down() {
    let (process, job) = leader_with_ended_job(LeaderAppends::Silent);

    process.services.script().readable = false;
    process.services.script().leader_appends = LeaderAppends::Fenced;
    wait_until(|| !process.leads());
    let shown = state(&process, job);

    assert_eq!(shown, Lookup::Found(JobState::Running));
}

/// Guards against a process that shows its former decisions, or loads everything anew, because
/// another one has claimed the role.
#[test]
fn a_process_whose_role_was_claimed_reads_on() {
    let (process, job) = leader_with_ended_job(LeaderAppends::Silent);
    let claim = Holder {
        epoch: process.figure("epoch").unwrap() + 1,
        ..holder(LEADER)
    };

    let claim = Change::Put(Record::Holder(claim));
    process.services.script().stream.push(claim);
    wait_until(|| !process.leads());
    let shown = state(&process, job);
    thread::sleep(Duration::from_millis(200));
    let epoch = process.figure("holder_epoch");

    assert_eq!(shown, Lookup::Found(JobState::Running));
    assert_eq!(epoch, Some(2));
    assert_eq!(process.services.script().loads, 1);
}

/// Guards against a state that goes back after a load: the records that are read from where the load
/// began are older than some that it brought.
#[test]
fn a_load_shows_nothing_older_than_it_brought() {
    let process = Process::start(false);
    let key = JobKey(100);
    let progress = |state| {
        let progress = JobProgress {
            state,
            ..JobProgress::default()
        };
        Change::Put(Record::Progress(key, progress))
    };
    process.submit(key.0);
    let (running, complete) = (progress(JobState::Running), progress(JobState::Complete));

    {
        let mut script = process.services.script();
        let submitted = Change::Put(Record::Job(key, job()));
        script.loaded.extend([submitted, complete.clone()]);
        script.stream.extend([running, complete]);
        script.page_records = 1;
        script.expired = true;
    }
    let mut shown = Vec::new();
    for _ in 0..200 {
        shown.push(state(&process, key));
        thread::sleep(Duration::from_millis(5));
    }
    shown.dedup();

    let states = [JobState::Queued, JobState::Complete];
    assert_eq!(shown, states.map(Lookup::Found));
    assert_eq!(process.services.script().loads, 2);
}

/// Guards against an end that is shown late, because it is not read back from the stream.
#[test]
fn an_end_is_shown_once_its_append_is_acknowledged() {
    let (process, job) = leader_with_ended_job(LeaderAppends::Silent);

    process.services.script().readable = false;
    process.services.script().leader_appends = LeaderAppends::Stored;

    wait_until(|| state(&process, job) == Lookup::Found(JobState::Complete));
}

/// Guards against an end that is never shown, because its append is not answered.
#[test]
fn an_end_is_shown_once_it_is_read_back() {
    let (process, job) = leader_with_ended_job(LeaderAppends::Unanswered);

    wait_until(|| state(&process, job) == Lookup::Found(JobState::Complete));
}
