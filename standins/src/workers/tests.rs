use std::time::{Duration, Instant};

use rstest::rstest;

use super::host::{Refused, Started};
use super::{Host, Size, TaskSpec, TaskState, TaskStatus};

const SIZE: Size = Size {
    cores: 16,
    memory_mb: 32_768,
    accelerators: 2,
};
const LEASE_MS: u64 = 10_000;

fn host() -> Host {
    Host::new(SIZE, "split")
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

fn start(host: &mut Host, id: &str, task: &str, now: Instant) -> TaskStatus {
    match host.start(&spec(id, task), Duration::ZERO, now) {
        Ok(Started::New(status)) => status,
        other => panic!("not started: {other:?}"),
    }
}

fn status(host: &mut Host, id: &str, now: Instant) -> TaskStatus {
    host.task(id, now).unwrap().status()
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::sleep("sleep:5000", TaskState::Done, "")]
#[case::echo("echo:5000", TaskState::Done, "sheep")]
#[case::fail("fail:5000", TaskState::Failed, "failed as asked")]
#[case::too_large("hog:5000:40000", TaskState::Failed, "out of memory")]
fn a_program_ends_after_its_time(
    #[case] task: &str,
    #[case] state: TaskState,
    #[case] output: &str,
) {
    let start_at = Instant::now();
    let mut host = host();
    start(&mut host, "t-1", task, start_at);

    let before = status(&mut host, "t-1", start_at + ms(4_999));
    let after = status(&mut host, "t-1", start_at + ms(5_000));

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
fn a_program_that_is_not_known_fails_at_once(#[case] task: &str) {
    let mut host = host();

    let status = start(&mut host, "t-1", task, Instant::now());

    assert_eq!(status.state, TaskState::Failed);
    assert_eq!(status.output, format!("unknown program {task}"));
}

#[test]
fn a_task_lapses_when_its_lease_is_not_renewed() {
    let begun = Instant::now();
    let mut host = host();
    start(&mut host, "t-1", "hang", begun);
    let renewed = begun + ms(LEASE_MS - 1);
    host.task("t-1", renewed).unwrap().renew(LEASE_MS, renewed);

    let kept = status(&mut host, "t-1", begun + ms(2 * LEASE_MS - 2));
    let lapsed = status(&mut host, "t-1", begun + ms(2 * LEASE_MS - 1));

    assert_eq!(kept.state, TaskState::Running);
    assert_eq!(lapsed.state, TaskState::Lapsed);
}

#[test]
fn a_lapsed_task_is_not_brought_back_by_a_late_renewal() {
    let begun = Instant::now();
    let mut host = host();
    start(&mut host, "t-1", "sleep:20000", begun);
    let late = begun + ms(LEASE_MS);

    host.task("t-1", late).unwrap().renew(LEASE_MS, late);

    let after = status(&mut host, "t-1", late + ms(60_000));
    assert_eq!(
        (after.state, after.progress_ms),
        (TaskState::Lapsed, LEASE_MS)
    );
}

#[test]
fn a_start_with_a_known_id_runs_nothing() {
    let begun = Instant::now();
    let mut host = host();
    start(&mut host, "t-1", "sleep:5", begun);
    let done = begun + ms(5);

    let again = host.start(&spec("t-1", "sleep:5000"), Duration::ZERO, done);

    let Ok(Started::Known(status)) = again else {
        panic!("started again: {again:?}");
    };
    assert_eq!(status.state, TaskState::Done);
}

#[test]
fn what_runs_is_taken_from_what_is_free() {
    let begun = Instant::now();
    let mut host = host();
    start(&mut host, "t-1", "sleep:5", begun);
    start(&mut host, "t-2", "hang", begun);

    let full = host.start(&spec("t-3", "hang"), Duration::ZERO, begun);
    let later = host.start(&spec("t-3", "hang"), Duration::ZERO, begun + ms(5));

    let free = Size {
        cores: 8,
        memory_mb: 30_720,
        accelerators: 0,
    };
    assert_eq!(full, Err(Refused::Full(free)));
    assert!(matches!(later, Ok(Started::New(_))));
}

#[test]
fn a_throttled_task_takes_longer() {
    let begun = Instant::now();
    let mut host = host();
    start(&mut host, "t-1", "sleep:4000", begun);
    let half = begun + ms(2_000);
    host.task("t-1", half).unwrap().throttle(50);

    let slowed = status(&mut host, "t-1", begun + ms(5_999));
    let done = status(&mut host, "t-1", begun + ms(6_000));

    assert_eq!(
        (slowed.state, slowed.progress_ms),
        (TaskState::Running, 3_999)
    );
    assert_eq!((done.state, done.progress_ms), (TaskState::Done, 4_000));
}

#[test]
fn a_paused_task_makes_no_progress() {
    let begun = Instant::now();
    let mut host = host();
    start(&mut host, "t-1", "sleep:4000", begun);
    let paused = begun + ms(1_000);
    host.task("t-1", paused).unwrap().throttle(0);

    let status = status(&mut host, "t-1", begun + ms(9_000));

    assert_eq!(
        (status.state, status.progress_ms),
        (TaskState::Running, 1_000)
    );
}

#[test]
fn a_resumed_task_starts_from_its_checkpoint() {
    let begun = Instant::now();
    let mut host = host();

    host.start(&spec("t-1", "sleep:4000"), ms(3_000), begun)
        .unwrap();

    let before = status(&mut host, "t-1", begun + ms(999));
    let after = status(&mut host, "t-1", begun + ms(1_000));
    assert_eq!(
        (before.state, after.state),
        (TaskState::Running, TaskState::Done)
    );
}

#[test]
fn usage_shows_what_ran_and_what_it_really_took() {
    let begun = Instant::now();
    let mut host = host();
    start(&mut host, "t-1", "hog:1000:9000", begun);
    start(&mut host, "t-2", "sleep:9000", begun + ms(500));
    let half = begun + ms(600);
    host.task("t-2", half).unwrap().throttle(50);
    host.settle(begun + ms(1_500));

    let first = host.usage(begun + ms(400));
    let both = host.usage(begun + ms(700));
    let second = host.usage(begun + ms(1_200));

    assert_eq!((first.len(), both.len(), second.len()), (1, 2, 1));
    assert_eq!((first[0].memory_mb, first[0].millicores), (9_000, 4_000));
    assert_eq!(
        (second[0].id.as_str(), second[0].millicores),
        ("t-2", 2_000)
    );
}

#[test]
fn a_worker_that_goes_down_loses_its_tasks_but_knows_their_ids() {
    let begun = Instant::now();
    let mut host = host();
    start(&mut host, "t-1", "hang", begun);

    host.set_powered(false, begun + ms(10));
    let off = host.start(&spec("t-2", "hang"), Duration::ZERO, begun + ms(11));
    host.set_powered(true, begun + ms(20));
    let again = host.start(&spec("t-1", "hang"), Duration::ZERO, begun + ms(21));

    assert_eq!(off, Err(Refused::Off));
    let Ok(Started::Known(status)) = again else {
        panic!("started again: {again:?}");
    };
    assert_eq!(status.state, TaskState::Failed);
}

#[test]
fn a_broken_worker_fails_everything_it_starts() {
    let begun = Instant::now();
    let mut host = host();
    host.set_broken(true);

    let broken = start(&mut host, "t-1", "echo", begun);
    host.set_broken(false);
    let sound = start(&mut host, "t-2", "echo", begun);

    assert_eq!(
        (broken.state, sound.state),
        (TaskState::Failed, TaskState::Done)
    );
}
