use std::time::{Duration, Instant};

use amaranthwick::control::JobState;
use amaranthwick::id::{Epoch, JobId, VmId};
use amaranthwick::ledger::JobPhase;
use amaranthwick::planner::{Call, Placement, Runner, TASK_LEASE_MS};
use amaranthwick::services::{PlatformError, TaskState, TaskStatus};

use crate::fixtures::job;

const EPOCH: Epoch = Epoch(1);

fn placed(idempotent: bool) -> JobState {
    let mut state = job("j1", "red", 1, JobPhase::Placed(VmId::new("w1")));
    state.step = 1;
    state.job.idempotent = idempotent;
    state
}

fn placement() -> Placement {
    Placement {
        job: JobId::new("j1"),
        step: 0,
        vm: VmId::new("w1"),
    }
}

fn unknown<T>() -> Result<T, PlatformError> {
    Err(PlatformError::Unknown("cut".to_owned()))
}

fn not_sent<T>() -> Result<T, PlatformError> {
    Err(PlatformError::NotSent("refused".to_owned()))
}

fn first(runner: &mut Runner, state: &JobState, now: Instant) -> Call {
    let mut calls = runner.calls(std::slice::from_ref(state), now);
    calls.remove(0).call
}

#[test]
fn an_own_placement_is_started_until_the_worker_may_have_it() {
    let (mut runner, now) = (Runner::default(), Instant::now());
    let second = Duration::from_secs(1);
    let state = placed(false);
    runner.place(&placement(), now);

    let start = first(&mut runner, &state, now);
    let update = runner.started(&state, EPOCH, &not_sent());
    let again = first(&mut runner, &state, now + second);
    runner.started(&state, EPOCH, &unknown());
    let asked = first(&mut runner, &state, now + 2 * second);

    assert!(matches!(start, Call::Start(..)));
    assert_eq!(update, None);
    assert_eq!(again, start);
    assert!(matches!(asked, Call::Renew(..)));
}

#[test]
fn a_placement_of_an_earlier_planner_is_asked_for_and_not_started() {
    let mut runner = Runner::default();

    let call = first(&mut runner, &placed(false), Instant::now());

    assert_eq!(call, Call::Renew(VmId::new("w1"), "j1.1".to_owned()));
}

#[test]
fn a_forgotten_task_runs_again_only_if_it_may() {
    let now = Instant::now();
    let end = |idempotent| {
        let mut runner = Runner::default();
        let state = placed(idempotent);
        first(&mut runner, &state, now);
        let update = runner.renewed(&state, EPOCH, &Err(PlatformError::Missing), now);
        update.expect("an update").phase
    };

    assert_eq!(end(true), JobPhase::Waiting);
    assert!(matches!(end(false), JobPhase::Failed(_)));
}

#[test]
fn a_worker_out_of_reach_keeps_its_task_until_the_lease_is_surely_over() {
    let (mut runner, now) = (Runner::default(), Instant::now());
    let state = placed(true);
    first(&mut runner, &state, now);
    let limit = Duration::from_millis(2 * TASK_LEASE_MS);

    let before = runner.renewed(&state, EPOCH, &not_sent(), now + limit);
    let after = runner.renewed(&state, EPOCH, &not_sent(), now + limit + limit);

    assert_eq!(before, None);
    assert_eq!(after.map(|update| update.phase), Some(JobPhase::Waiting));
}

#[test]
fn the_end_of_a_task_ends_its_job() {
    let (mut runner, now) = (Runner::default(), Instant::now());
    let state = placed(true);
    first(&mut runner, &state, now);
    let status = |state| {
        Ok(TaskStatus {
            state,
            output: "42".to_owned(),
        })
    };

    let running = runner.renewed(&state, EPOCH, &status(TaskState::Running), now);
    let done = runner.renewed(&state, EPOCH, &status(TaskState::Done), now);

    assert_eq!(running, None);
    let done = done.expect("an update");
    assert_eq!(done.phase, JobPhase::Done("42".to_owned()));
    assert_eq!((done.expected_step, done.epoch), (1, Some(EPOCH)));
}

#[test]
fn the_task_of_a_cancelled_job_is_stopped() {
    let (mut runner, now) = (Runner::default(), Instant::now());
    first(&mut runner, &placed(true), now);

    let calls = runner.calls(&[], now);

    assert_eq!(calls.len(), 1);
    assert_eq!(
        calls[0].call,
        Call::Stop(VmId::new("w1"), "j1.1".to_owned())
    );
}
