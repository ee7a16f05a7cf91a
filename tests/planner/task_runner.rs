use std::time::{Duration, Instant};

use amaranthwick::control::JobState;
use amaranthwick::id::{Epoch, JobId, VmId};
use amaranthwick::ledger::JobPhase;
use amaranthwick::planner::{JobPlacement, TASK_LEASE_MS, TaskRunner, WorkerCall};
use amaranthwick::services::{PlatformError, TaskState, TaskStatus};

use crate::fixtures::job;

const EPOCH: Epoch = Epoch(1);

fn placed_job(idempotent: bool) -> JobState {
    let mut state = job("j1", "red", 1, JobPhase::Placed(VmId::new("w1")));
    state.step = 1;
    state.job.idempotent = idempotent;
    state
}

fn placement() -> JobPlacement {
    JobPlacement {
        job: JobId::new("j1"),
        step: 0,
        vm: VmId::new("w1"),
    }
}

fn unknown_result<T>() -> Result<T, PlatformError> {
    Err(PlatformError::Unknown("cut".to_owned()))
}

fn not_sent<T>() -> Result<T, PlatformError> {
    Err(PlatformError::NotSent("refused".to_owned()))
}

fn first_call(runner: &mut TaskRunner, state: &JobState, now: Instant) -> WorkerCall {
    let mut calls = runner.due_calls(std::slice::from_ref(state), now);
    calls.remove(0).call
}

#[test]
fn a_task_is_started_again_until_the_worker_may_have_it() {
    let (mut runner, now) = (TaskRunner::default(), Instant::now());
    let second = Duration::from_secs(1);
    let state = placed_job(false);
    runner.record_placement(&placement(), now);

    let start = first_call(&mut runner, &state, now);
    let update = runner.on_start(&state, EPOCH, &not_sent());
    let again = first_call(&mut runner, &state, now + second);
    runner.on_start(&state, EPOCH, &unknown_result());
    let asked = first_call(&mut runner, &state, now + 2 * second);

    assert!(matches!(start, WorkerCall::Start(..)));
    assert_eq!(update, None);
    assert_eq!(again, start);
    assert!(matches!(asked, WorkerCall::Renew(..)));
}

#[test]
fn a_task_placed_by_an_earlier_planner_is_renewed_and_not_started() {
    let mut runner = TaskRunner::default();

    let call = first_call(&mut runner, &placed_job(false), Instant::now());

    assert_eq!(call, WorkerCall::Renew(VmId::new("w1"), "j1.1".to_owned()));
}

#[test]
fn a_task_unknown_to_its_worker_runs_again_only_if_idempotent() {
    let now = Instant::now();
    let phase_after = |idempotent| {
        let mut runner = TaskRunner::default();
        let state = placed_job(idempotent);
        first_call(&mut runner, &state, now);
        let update = runner.on_renewal(&state, EPOCH, &Err(PlatformError::Missing), now);
        update.expect("an update").phase
    };

    assert_eq!(phase_after(true), JobPhase::Waiting);
    assert!(matches!(phase_after(false), JobPhase::Failed(_)));
}

#[test]
fn a_task_on_an_unreachable_worker_is_kept_until_twice_its_lease() {
    let (mut runner, now) = (TaskRunner::default(), Instant::now());
    let state = placed_job(true);
    first_call(&mut runner, &state, now);
    let limit = Duration::from_millis(2 * TASK_LEASE_MS);

    let before = runner.on_renewal(&state, EPOCH, &not_sent(), now + limit);
    let after = runner.on_renewal(&state, EPOCH, &not_sent(), now + limit + limit);

    assert_eq!(before, None);
    assert_eq!(after.map(|update| update.phase), Some(JobPhase::Waiting));
}

#[test]
fn the_end_of_a_task_ends_its_job() {
    let (mut runner, now) = (TaskRunner::default(), Instant::now());
    let state = placed_job(true);
    first_call(&mut runner, &state, now);
    let status = |state| {
        Ok(TaskStatus {
            state,
            output: "42".to_owned(),
        })
    };

    let running = runner.on_renewal(&state, EPOCH, &status(TaskState::Running), now);
    let done = runner.on_renewal(&state, EPOCH, &status(TaskState::Done), now);

    assert_eq!(running, None);
    let done = done.expect("an update");
    assert_eq!(done.phase, JobPhase::Done("42".to_owned()));
    assert_eq!((done.expected_step, done.epoch), (1, Some(EPOCH)));
}

#[test]
fn the_task_of_a_cancelled_job_is_stopped() {
    let (mut runner, now) = (TaskRunner::default(), Instant::now());
    first_call(&mut runner, &placed_job(true), now);

    let calls = runner.due_calls(&[], now);

    assert_eq!(calls.len(), 1);
    assert_eq!(
        calls[0].call,
        WorkerCall::Stop(VmId::new("w1"), "j1.1".to_owned())
    );
}

/// A runner whose worker has answered a renewal of the task of [`placed_job`].
fn runner_of_running_task(now: Instant) -> TaskRunner {
    let mut runner = TaskRunner::default();
    let state = placed_job(true);
    first_call(&mut runner, &state, now);
    let running = TaskStatus {
        state: TaskState::Running,
        output: String::new(),
    };
    runner.on_renewal(&state, EPOCH, &Ok(running), now);
    runner
}

fn stop_of_first() -> WorkerCall {
    WorkerCall::Stop(VmId::new("w1"), "j1.1".to_owned())
}

fn worker_calls(runner: &mut TaskRunner, jobs: &[JobState], now: Instant) -> Vec<WorkerCall> {
    let calls = runner.due_calls(jobs, now);
    calls.into_iter().map(|call| call.call).collect()
}

// A single stop whose call failed left the task running.
#[test]
fn a_stop_that_was_not_confirmed_is_repeated() {
    let now = Instant::now();
    let mut runner = runner_of_running_task(now);
    let second = Duration::from_secs(1);

    let first = worker_calls(&mut runner, &[], now);
    let soon = worker_calls(&mut runner, &[], now + second / 2);
    let later = worker_calls(&mut runner, &[], now + second);

    assert_eq!(first, [stop_of_first()]);
    assert_eq!(soon, []);
    assert_eq!(later, [stop_of_first()]);
}

#[test]
fn a_stop_is_repeated_until_its_task_has_ended_or_was_never_there() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let stopped = TaskStatus {
        state: TaskState::Stopped,
        output: String::new(),
    };
    let calls_after = |result: Result<TaskStatus, PlatformError>| {
        let mut runner = runner_of_running_task(now);
        worker_calls(&mut runner, &[], now);
        runner.on_stop("j1.1", &result);
        worker_calls(&mut runner, &[], now + second).len()
    };

    assert_eq!(calls_after(Ok(stopped)), 0);
    assert_eq!(calls_after(Err(PlatformError::Missing)), 0);
    assert_eq!(calls_after(unknown_result()), 1);
    assert_eq!(calls_after(not_sent()), 1);
}

// The stop came first and found no task; the start that followed went on.
#[test]
fn a_stop_that_may_have_overtaken_the_start_is_repeated_until_twice_the_lease() {
    let (mut runner, now) = (TaskRunner::default(), Instant::now());
    runner.record_placement(&placement(), now);
    first_call(&mut runner, &placed_job(true), now);
    let limit = Duration::from_millis(2 * TASK_LEASE_MS);
    let second = Duration::from_secs(1);

    let first = worker_calls(&mut runner, &[], now);
    runner.on_stop("j1.1", &Err(PlatformError::Missing));
    let repeated = worker_calls(&mut runner, &[], now + limit);
    let last = worker_calls(&mut runner, &[], now + limit + second);

    assert_eq!(first, [stop_of_first()]);
    assert_eq!(repeated, [stop_of_first()]);
    assert_eq!(last, []);
}

#[test]
fn a_task_whose_start_had_no_effect_is_not_stopped() {
    let now = Instant::now();
    let calls_after = |result: Result<(), PlatformError>| {
        let mut runner = TaskRunner::default();
        runner.record_placement(&placement(), now);
        first_call(&mut runner, &placed_job(true), now);
        runner.on_start(&placed_job(true), EPOCH, &result);
        worker_calls(&mut runner, &[], now).len()
    };

    assert_eq!(calls_after(not_sent()), 0);
    let full = PlatformError::Refused("full".to_owned());
    assert_eq!(calls_after(Err(full)), 0);
    assert_eq!(calls_after(unknown_result()), 1);
}

// The new placement took the place of the old one, whose task ran on.
#[test]
fn the_task_of_a_replaced_placement_is_stopped() {
    let now = Instant::now();
    let mut runner = runner_of_running_task(now);
    let replacement = JobPlacement {
        job: JobId::new("j1"),
        step: 2,
        vm: VmId::new("w2"),
    };
    let mut state = job("j1", "red", 1, JobPhase::Placed(VmId::new("w2")));
    state.step = 3;

    runner.record_placement(&replacement, now);
    let calls = worker_calls(&mut runner, &[state], now);

    assert_eq!(calls[0], stop_of_first());
    assert!(matches!(calls[1], WorkerCall::Start(..)));
}
