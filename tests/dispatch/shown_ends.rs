//! Tests of the log lines on jobs that callers are shown as ended.

use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use amaranthwick::dispatch::Lookup;
use amaranthwick::scheduler::{Change, JobKey, JobProgress, JobState, Record};
use amaranthwick::telemetry::log::KeyValueFormat;
use async_io::block_on;
use spdlog::Logger;
use spdlog::sink::WriteSink;

use crate::log_fields::value;
use crate::process::{Process, job};

/// Collects the log lines of all processes of this program.
fn log() -> &'static Arc<WriteSink<Vec<u8>>> {
    static LOG: OnceLock<Arc<WriteSink<Vec<u8>>>> = OnceLock::new();
    LOG.get_or_init(|| {
        let sink = WriteSink::builder()
            .formatter(KeyValueFormat)
            .target(Vec::new())
            .build_arc()
            .unwrap();
        let logger = Logger::builder().sink(sink.clone()).build_arc().unwrap();
        spdlog::set_default_logger(logger);
        sink
    })
}

/// Lines of a kind of event on a job.
fn lines(event: &str, job: JobKey) -> Vec<String> {
    let text = String::from_utf8(log().clone_target()).unwrap();
    let name = job.to_string();
    let lines = text.lines().filter(|line| {
        value(line, "event") == Some(event) && value(line, "job") == Some(name.as_str())
    });
    lines.map(str::to_owned).collect()
}

fn wait_until(condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < Duration::from_secs(10));
        thread::sleep(Duration::from_millis(20));
    }
}

fn wait_for_state(process: &Process, job: JobKey, state: JobState) {
    wait_until(|| block_on(process.dispatch.look_up(job)) == Lookup::Found(state));
}

fn progress(job: JobKey, state: JobState) -> Change {
    let progress = JobProgress {
        state,
        ..JobProgress::default()
    };
    Change::Put(Record::Progress(job, progress))
}

/// Guards against an ended job of which no line says who showed it, and against one that goes on
/// without a line.
#[test]
fn a_follower_logs_an_ended_job_that_it_shows_and_that_goes_on() {
    log();
    let key = JobKey(0x2001);
    let process = Process::start(false);
    let ended = [
        Change::Put(Record::Job(key, job())),
        progress(key, JobState::Complete),
    ];
    process.services.script().stream.extend(ended);
    wait_for_state(&process, key, JobState::Complete);
    block_on(process.dispatch.look_up(key));

    let reopened = progress(key, JobState::Running);
    process.services.script().stream.push(reopened);
    wait_for_state(&process, key, JobState::Running);

    let shown = lines("job_shown", key);
    assert_eq!(shown.len(), 1, "{shown:?}");
    assert_eq!(value(&shown[0], "state"), Some("Complete"));
    assert_eq!(value(&shown[0], "epoch"), Some("0"));
    for age in ["stored_ms", "table_ms"] {
        let ms = value(&shown[0], age).map(str::parse::<u64>);
        assert!(matches!(ms, Some(Ok(_))), "{age}: {shown:?}");
    }
    let changed = lines("ended_job_changed", key);
    assert_eq!(changed.len(), 1, "{changed:?}");
    assert_eq!(value(&changed[0], "shown"), Some("Complete"));
    assert_eq!(value(&changed[0], "state"), Some("Running"));
}

/// Guards against a job whose end was shown and is not in the table that is loaded next.
#[test]
fn an_ended_job_that_is_loaded_as_running_is_logged() {
    log();
    let key = JobKey(0x2002);
    let process = Process::start(false);
    let accepted = Change::Put(Record::Job(key, job()));
    let ended = [accepted.clone(), progress(key, JobState::Complete)];
    process.services.script().stream.extend(ended);
    wait_for_state(&process, key, JobState::Complete);

    let mut script = process.services.script();
    script.loaded.push(accepted);
    script.loaded.push(progress(key, JobState::Running));
    script.stream.clear();
    script.expired = true;
    drop(script);
    wait_for_state(&process, key, JobState::Running);

    let changed = lines("ended_job_changed", key);
    assert_eq!(changed.len(), 1, "{changed:?}");
    assert_eq!(value(&changed[0], "shown"), Some("Complete"));
    assert_eq!(value(&changed[0], "state"), Some("Running"));
}

/// Guards against an end of which no line says when it was stored, and by whom.
#[test]
fn the_leader_logs_when_the_end_of_a_job_is_stored() {
    log();
    let key = JobKey(20);
    let process = Process::start(true);

    block_on(process.dispatch.cancel(key, 500));
    wait_until(|| !lines("job_end_stored", key).is_empty());
    block_on(process.dispatch.look_up(key));

    let stored = lines("job_end_stored", key);
    assert_eq!(stored.len(), 1, "{stored:?}");
    assert_eq!(value(&stored[0], "state"), Some("Canceled"));
    assert_eq!(value(&stored[0], "epoch"), Some("1"));
    for number in ["batch", "elapsed_ms"] {
        let parsed = value(&stored[0], number).map(str::parse::<u64>);
        assert!(matches!(parsed, Some(Ok(_))), "{number}: {stored:?}");
    }
    let shown = lines("job_shown", key);
    assert_eq!(shown.len(), 1, "{shown:?}");
    assert_eq!(value(&shown[0], "epoch"), Some("1"));
}
