use std::time::{Duration, Instant};

use rstest::rstest;

use super::worker::{StartOutcome, StartRefused};
use super::{Resources, TaskSpec, TaskState, TaskStatus, Worker};

const RESOURCES: Resources = Resources {
    cores: 16,
    memory_mb: 32_768,
    accelerators: 2,
};
const LEASE_MS: u64 = 10_000;

fn worker() -> Worker {
    Worker::new(RESOURCES, "split")
}

fn spec(id: &str, task: &str) -> TaskSpec {
    TaskSpec {
        id: id.to_owned(),
        task: task.to_owned(),
        input: "sheep".to_owned(),
        cores: 4,
        memory_mb: 1_024,
        accelerators: 1,
        lease_ms: LEASE_MS,
        checkpoint: None,
    }
}

fn start(worker: &mut Worker, id: &str, task: &str, now: Instant) -> TaskStatus {
    match worker.start(&spec(id, task), Duration::ZERO, now) {
        Ok(StartOutcome::New(status)) => status,
        other => panic!("not started: {other:?}"),
    }
}

fn status(worker: &mut Worker, id: &str, now: Instant) -> TaskStatus {
    worker.task(id, now).unwrap().status()
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::sleep("sleep:5000", TaskState::Done, "")]
#[case::echo("echo:5000", TaskState::Done, "sheep")]
#[case::fail("fail:5000", TaskState::Failed, "failed as asked")]
#[case::too_large("hog:5000:40000", TaskState::Failed, "out of memory")]
fn a_program_ends_after_its_run_time(
    #[case] task: &str,
    #[case] state: TaskState,
    #[case] output: &str,
) {
    let start_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", task, start_at);

    let before = status(&mut worker, "t-1", start_at + ms(4_999));
    let after = status(&mut worker, "t-1", start_at + ms(5_000));

    assert_eq!(
        (before.state, before.progress_ms),
        (TaskState::Running, 4_999)
    );
    assert_eq!((after.state, after.output.as_str()), (state, output));
}

#[rstest]
#[case::unknown("compile")]
#[case::no_number("sleep:long")]
#[case::no_memory("hog:5:much")]
#[case::no_return("crash:5")]
fn an_unknown_program_fails_at_once(#[case] task: &str) {
    let mut worker = worker();

    let status = start(&mut worker, "t-1", task, Instant::now());

    assert_eq!(status.state, TaskState::Failed);
    assert_eq!(status.output, format!("unknown program {task}"));
}

#[test]
fn a_task_lapses_when_its_lease_is_not_renewed() {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "hang", started_at);
    let renewed = started_at + ms(LEASE_MS - 1);
    worker
        .task("t-1", renewed)
        .unwrap()
        .renew(LEASE_MS, renewed);

    let kept = status(&mut worker, "t-1", started_at + ms(2 * LEASE_MS - 2));
    let lapsed = status(&mut worker, "t-1", started_at + ms(2 * LEASE_MS - 1));

    assert_eq!(kept.state, TaskState::Running);
    assert_eq!(lapsed.state, TaskState::Lapsed);
}

#[test]
fn a_late_renewal_does_not_revive_a_lapsed_task() {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "sleep:20000", started_at);
    let late = started_at + ms(LEASE_MS);

    worker.task("t-1", late).unwrap().renew(LEASE_MS, late);

    let after = status(&mut worker, "t-1", late + ms(60_000));
    assert_eq!(
        (after.state, after.progress_ms),
        (TaskState::Lapsed, LEASE_MS)
    );
}

#[test]
fn a_start_with_a_known_id_starts_nothing() {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "sleep:5", started_at);
    let done = started_at + ms(5);

    let again = worker.start(&spec("t-1", "sleep:5000"), Duration::ZERO, done);

    let Ok(StartOutcome::Known(status)) = again else {
        panic!("started again: {again:?}");
    };
    assert_eq!(status.state, TaskState::Done);
}

#[test]
fn running_tasks_reduce_the_free_resources() {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "sleep:5", started_at);
    start(&mut worker, "t-2", "hang", started_at);

    let full = worker.start(&spec("t-3", "hang"), Duration::ZERO, started_at);
    let later = worker.start(&spec("t-3", "hang"), Duration::ZERO, started_at + ms(5));

    let free = Resources {
        cores: 8,
        memory_mb: 30_720,
        accelerators: 0,
    };
    assert_eq!(full, Err(StartRefused::Full(free)));
    assert!(matches!(later, Ok(StartOutcome::New(_))));
}

#[test]
fn a_throttled_task_takes_longer() {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "sleep:4000", started_at);
    let half = started_at + ms(2_000);
    worker.task("t-1", half).unwrap().set_speed(50);

    let slowed = status(&mut worker, "t-1", started_at + ms(5_999));
    let done = status(&mut worker, "t-1", started_at + ms(6_000));

    assert_eq!(
        (slowed.state, slowed.progress_ms),
        (TaskState::Running, 3_999)
    );
    assert_eq!((done.state, done.progress_ms), (TaskState::Done, 4_000));
}

#[test]
fn a_paused_task_makes_no_progress() {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "sleep:4000", started_at);
    let paused = started_at + ms(1_000);
    worker.task("t-1", paused).unwrap().set_speed(0);

    let status = status(&mut worker, "t-1", started_at + ms(9_000));

    assert_eq!(
        (status.state, status.progress_ms),
        (TaskState::Running, 1_000)
    );
}

#[test]
fn a_resumed_task_starts_from_its_checkpoint() {
    let started_at = Instant::now();
    let mut worker = worker();

    worker
        .start(&spec("t-1", "sleep:4000"), ms(3_000), started_at)
        .unwrap();

    let before = status(&mut worker, "t-1", started_at + ms(999));
    let after = status(&mut worker, "t-1", started_at + ms(1_000));
    assert_eq!(
        (before.state, after.state),
        (TaskState::Running, TaskState::Done)
    );
}

#[test]
fn usage_shows_running_tasks_and_their_actual_memory() {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "hog:1000:9000", started_at);
    start(&mut worker, "t-2", "sleep:9000", started_at + ms(500));
    let half = started_at + ms(600);
    worker.task("t-2", half).unwrap().set_speed(50);
    worker.advance_to(started_at + ms(1_500));

    let first = worker.usage(started_at + ms(400));
    let both = worker.usage(started_at + ms(700));
    let second = worker.usage(started_at + ms(1_200));

    assert_eq!((first.len(), both.len(), second.len()), (1, 2, 1));
    assert_eq!((first[0].memory_mb, first[0].millicores), (9_000, 4_000));
    assert_eq!(
        (second[0].id.as_str(), second[0].millicores),
        ("t-2", 2_000)
    );
}

#[test]
fn a_worker_that_goes_down_fails_its_tasks_but_keeps_their_ids() {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "hang", started_at);

    worker.set_powered(false, started_at + ms(10));
    let off = worker.start(&spec("t-2", "hang"), Duration::ZERO, started_at + ms(11));
    worker.set_powered(true, started_at + ms(20));
    let again = worker.start(&spec("t-1", "hang"), Duration::ZERO, started_at + ms(21));

    assert_eq!(off, Err(StartRefused::Off));
    let Ok(StartOutcome::Known(status)) = again else {
        panic!("started again: {again:?}");
    };
    assert_eq!(status.state, TaskState::Failed);
}

#[test]
fn a_broken_worker_fails_everything_it_starts() {
    let started_at = Instant::now();
    let mut worker = worker();
    worker.set_broken(true);

    let broken = start(&mut worker, "t-1", "echo", started_at);
    worker.set_broken(false);
    let repaired = start(&mut worker, "t-2", "echo", started_at);

    assert_eq!(
        (broken.state, repaired.state),
        (TaskState::Failed, TaskState::Done)
    );
}

#[test]
fn a_crash_takes_the_worker_away_and_all_its_tasks_with_it() {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "echo", started_at);
    start(&mut worker, "t-2", "hang", started_at);
    start(&mut worker, "t-3", "crash:50:1000", started_at);

    worker.advance_to(started_at + ms(49));
    let before = (worker.is_off(), worker.running());
    worker.advance_to(started_at + ms(50));
    let away = (worker.is_off(), worker.statuses());
    let refused = worker.start(&spec("t-4", "hang"), Duration::ZERO, started_at + ms(1_049));
    let again = worker.start(&spec("t-2", "hang"), Duration::ZERO, started_at + ms(1_050));

    assert_eq!(before, (false, 2));
    assert_eq!(away, (true, vec![]));
    assert_eq!(refused, Err(StartRefused::Off));
    assert!(matches!(again, Ok(StartOutcome::New(_))), "{again:?}");
}

#[test]
fn a_crash_at_once_follows_the_answer_to_the_start() {
    let started_at = Instant::now();
    let mut worker = worker();

    let answer = start(&mut worker, "t-1", "crash:0:1000", started_at);
    worker.advance_to(started_at);

    assert_eq!(answer.state, TaskState::Running);
    assert!(worker.is_off());
}

#[test]
fn a_worker_that_nobody_looked_at_for_long_is_back_from_its_crash() {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "crash:50:1000", started_at);

    worker.advance_to(started_at + ms(60_000));

    assert!(!worker.is_off());
    assert_eq!(worker.statuses(), vec![]);
}

#[rstest]
#[case::stopped(TaskState::Stopped)]
#[case::lapsed(TaskState::Lapsed)]
fn a_task_that_ended_before_does_not_crash_its_worker(#[case] end: TaskState) {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "crash:20000:1000", started_at);

    if end == TaskState::Stopped {
        let stopped_at = started_at + ms(10);
        let task = worker.task("t-1", stopped_at).unwrap();
        task.stop(TaskState::Stopped, "stopped on request", stopped_at);
    }

    let after = status(&mut worker, "t-1", started_at + ms(20_500));
    assert_eq!(after.state, end);
    assert!(!worker.is_off());
}

#[test]
fn repairing_a_worker_does_not_end_its_crash() {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "crash:50:1000", started_at);

    worker.set_powered(false, started_at + ms(60));
    worker.set_powered(true, started_at + ms(70));

    worker.advance_to(started_at + ms(1_049));
    assert!(worker.is_off());
    worker.advance_to(started_at + ms(1_050));
    assert!(!worker.is_off());
}

#[test]
fn a_worker_shrinks_under_its_tasks_and_grows_again() {
    let started_at = Instant::now();
    let mut worker = worker();
    start(&mut worker, "t-1", "hang", started_at);
    let small = Resources {
        cores: 2,
        ..RESOURCES
    };

    worker.set_resources(small);
    let free = worker.free();
    let refused = worker.start(&spec("t-2", "hang"), Duration::ZERO, started_at);
    worker.set_resources(RESOURCES);
    let started = worker.start(&spec("t-2", "hang"), Duration::ZERO, started_at);

    assert_eq!(free.cores, 0);
    assert_eq!(refused, Err(StartRefused::Full(free)));
    assert!(matches!(started, Ok(StartOutcome::New(_))), "{started:?}");
    assert_eq!(worker.running(), 2);
}
