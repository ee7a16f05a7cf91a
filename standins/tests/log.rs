//! The log service: offsets, batches, retention, long polls and the rate limit.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use amaranthwick_standins::{Fleet, FleetSpec, LogSpec};
use common::{fleet, request};
use rstest::rstest;
use serde_json::json;

const APPEND: &str = "POST /streams/fleet/records";

fn read(from: u64) -> String {
    format!("GET /streams/fleet/records?from={from}")
}

fn fleet_with_log(log: LogSpec) -> Fleet {
    Fleet::open(&FleetSpec {
        log,
        ..FleetSpec::default()
    })
    .unwrap()
}

#[test]
fn batches_get_consecutive_offsets() {
    let fleet = fleet();

    let first = request(
        fleet.log_address(),
        APPEND,
        &[],
        r#"{"records":["YQ==","Yg=="]}"#,
    );
    let second = request(fleet.log_address(), APPEND, &[], r#"{"records":["Yw=="]}"#);
    let all = request(fleet.log_address(), &read(0), &[], "");

    assert_eq!(first.json(), json!({"first": 0}));
    assert_eq!(second.json(), json!({"first": 2}));
    assert_eq!(
        all.json(),
        json!({"oldest": 0, "head": 3, "first": 0, "records": ["YQ==", "Yg==", "Yw=="]})
    );
}

#[test]
fn streams_are_independent() {
    let fleet = fleet();
    request(fleet.log_address(), APPEND, &[], r#"{"records":["YQ=="]}"#);

    let other = request(fleet.log_address(), "GET /streams/other/records", &[], "");

    assert_eq!(other.json()["head"], 0);
}

#[rstest]
#[case::not_json("nonsense")]
#[case::no_records(r#"{"records":[]}"#)]
#[case::not_base64(r#"{"records":["YQ==","*"]}"#)]
#[case::unknown_field(r#"{"records":["YQ=="],"more":1}"#)]
fn an_invalid_append_has_no_effect(#[case] body: &str) {
    let fleet = fleet();

    let answer = request(fleet.log_address(), APPEND, &[], body);

    assert_eq!(answer.status, 400);
    assert_eq!(fleet.control().head("fleet"), 0);
}

#[test]
fn records_over_the_maximum_count_expire() {
    let fleet = fleet_with_log(LogSpec {
        max_records: 2,
        ..LogSpec::default()
    });
    for _ in 0..5 {
        request(fleet.log_address(), APPEND, &[], r#"{"records":["YQ=="]}"#);
    }

    let expired = request(fleet.log_address(), &read(2), &[], "");
    let kept = request(fleet.log_address(), &read(3), &[], "");

    assert_eq!(
        (expired.status, expired.json()),
        (410, json!({"oldest": 3}))
    );
    assert_eq!(kept.json()["records"], json!(["YQ==", "YQ=="]));
}

#[test]
fn records_over_the_maximum_age_expire() {
    let fleet = fleet_with_log(LogSpec {
        max_age_ms: 20,
        ..LogSpec::default()
    });
    request(fleet.log_address(), APPEND, &[], r#"{"records":["YQ=="]}"#);
    thread::sleep(Duration::from_millis(40));

    let expired = request(fleet.log_address(), &read(0), &[], "");
    let head = request(fleet.log_address(), &read(1), &[], "");

    assert_eq!(
        (expired.status, expired.json()),
        (410, json!({"oldest": 1}))
    );
    assert_eq!(head.json()["head"], 1);
}

#[test]
fn a_long_poll_ends_with_the_append() {
    let fleet = fleet();
    let address = fleet.log_address();
    let started_at = Instant::now();
    let poll = thread::spawn(move || {
        let line = "GET /streams/fleet/records?from=0&wait_ms=4000";
        request(address, line, &[], "")
    });
    thread::sleep(Duration::from_millis(30));

    request(address, APPEND, &[], r#"{"records":["YQ=="]}"#);
    let answer = poll.join().unwrap();

    assert_eq!(answer.json()["records"], json!(["YQ=="]));
    assert!(started_at.elapsed() < Duration::from_secs(3));
}

#[test]
fn a_long_poll_ends_empty_after_its_time() {
    let fleet = fleet();
    let started_at = Instant::now();

    let line = "GET /streams/fleet/records?from=0&wait_ms=60";
    let answer = request(fleet.log_address(), line, &[], "");

    assert_eq!(answer.json()["records"], json!([]));
    assert!(started_at.elapsed() >= Duration::from_millis(60));
}

#[test]
fn appends_over_the_rate_are_refused_without_effect() {
    let fleet = fleet_with_log(LogSpec {
        append_rate: 0,
        ..LogSpec::default()
    });

    let answer = request(fleet.log_address(), APPEND, &[], r#"{"records":["YQ=="]}"#);

    assert_eq!(answer.status, 503);
    assert!(answer.has_header("Retry-After: 1"));
    assert_eq!(fleet.control().head("fleet"), 0);
}
