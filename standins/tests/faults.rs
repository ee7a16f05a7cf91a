//! Faults of one site, injected over HTTP and in process.

mod common;

use std::time::{Duration, Instant};

use amaranthwick_standins::{Fault, Fleet, SiteName, WrongAnswer};
use common::{Client, SILENCE_TIMEOUT, fleet, request, wait_until};
use rstest::rstest;
use serde_json::json;

const APPEND: &str = "POST /streams/fleet/records";
const ONE_RECORD: &str = r#"{"records":["YQ=="]}"#;

fn set(fleet: &Fleet, site: &SiteName, fault: &Fault) {
    fleet.control().set(site, fault).unwrap();
}

fn first_executor(fleet: &Fleet) -> SiteName {
    SiteName::Executor(fleet.executors()[0].vm.clone())
}

#[test]
fn a_site_that_is_down_refuses_connections_and_keeps_its_port() {
    let fleet = fleet();
    let mut open = Client::connect(fleet.log_address()).unwrap();
    open.request(APPEND, &[], ONE_RECORD).unwrap();

    set(&fleet, &SiteName::Log, &Fault::Down);
    let refused = Client::connect(fleet.log_address());
    let closed = open.is_closed();
    fleet.control().clear(&SiteName::Log).unwrap();
    let answer = request(fleet.log_address(), APPEND, &[], ONE_RECORD);

    assert_eq!(
        refused.unwrap_err().kind(),
        std::io::ErrorKind::ConnectionRefused
    );
    assert!(closed);
    assert_eq!(answer.json(), json!({"first": 1}));
}

#[test]
fn a_site_can_go_down_many_times() {
    let fleet = fleet();

    for _ in 0..20 {
        set(&fleet, &SiteName::Log, &Fault::Down);
        assert!(Client::connect(fleet.log_address()).is_err());
        fleet.control().clear(&SiteName::Log).unwrap();
        request(fleet.log_address(), APPEND, &[], ONE_RECORD);
    }

    assert_eq!(fleet.control().head("fleet"), 20);
}

#[test]
fn an_executor_that_goes_down_cuts_what_it_runs() {
    let fleet = fleet();
    let executor = fleet.executors()[0].clone();
    let mut client = Client::connect(executor.address).unwrap();
    client.send("GET /", &["X-Run-Ms: 60000"], "").unwrap();
    wait_until("the request runs", || {
        fleet.control().counters().executors[&executor.vm].running == 1
    });

    set(&fleet, &first_executor(&fleet), &Fault::Down);
    let closed = client.is_closed();

    assert!(closed);
    wait_until("the run is counted as cut", || {
        let counters = fleet.control().counters();
        counters.cut == 1 && counters.executors[&executor.vm].running == 0
    });
}

#[test]
fn an_unavailable_log_answers_503_without_effect() {
    let fleet = fleet();
    set(&fleet, &SiteName::Log, &Fault::Unavailable);

    let answer = request(fleet.log_address(), APPEND, &[], ONE_RECORD);

    assert_eq!(answer.status, 503);
    assert_eq!(fleet.control().head("fleet"), 0);
}

#[test]
fn a_long_poll_notices_that_the_log_is_unavailable() {
    let fleet = fleet();
    let mut client = Client::connect(fleet.log_address()).unwrap();
    let line = "GET /streams/fleet/records?from=0&wait_ms=60000";
    client.send(line, &[], "").unwrap();
    assert!(client.is_silent(SILENCE_TIMEOUT));

    set(&fleet, &SiteName::Log, &Fault::Unavailable);
    let answer = client.read().unwrap();

    assert_eq!(answer.status, 503);
}

#[test]
fn a_slow_site_answers_after_the_delay() {
    let fleet = fleet();
    set(&fleet, &SiteName::Vms, &Fault::Slow { ms: 80 });
    let started_at = Instant::now();

    let answer = request(fleet.vms_address(), "GET /vms", &[], "");

    assert_eq!(answer.status, 200);
    assert!(started_at.elapsed() >= Duration::from_millis(80));
}

#[test]
fn a_lost_answer_leaves_its_effect_for_the_next_calls_only() {
    let fleet = fleet();
    set(&fleet, &SiteName::Log, &Fault::Lost { count: Some(2) });

    let lost: Vec<bool> = (0..2)
        .map(|_| {
            let mut client = Client::connect(fleet.log_address()).unwrap();
            client.send(APPEND, &[], ONE_RECORD).unwrap();
            client.is_closed()
        })
        .collect();
    let answer = request(fleet.log_address(), APPEND, &[], ONE_RECORD);

    assert_eq!(lost, [true, true]);
    assert_eq!(answer.json(), json!({"first": 2}));
}

#[test]
fn a_frozen_site_processes_what_it_received_once_it_is_cleared() {
    let fleet = fleet();
    set(&fleet, &SiteName::Log, &Fault::Frozen);
    let mut client = Client::connect(fleet.log_address()).unwrap();
    client.send(APPEND, &[], ONE_RECORD).unwrap();

    let silent = client.is_silent(SILENCE_TIMEOUT);
    let before = fleet.control().head("fleet");
    fleet.control().clear(&SiteName::Log).unwrap();
    let answer = client.read().unwrap();

    assert!(silent);
    assert_eq!(before, 0);
    assert_eq!(answer.json(), json!({"first": 0}));
}

#[test]
fn open_connections_go_silent_while_new_ones_work() {
    let fleet = fleet();
    let address = fleet.executors()[0].address;
    let mut old = Client::connect(address).unwrap();
    old.request("GET /", &["X-Request-Id: r-1"], "").unwrap();

    set(&fleet, &first_executor(&fleet), &Fault::Silent);
    old.send("GET /", &["X-Request-Id: r-2"], "").unwrap();
    let silent = old.is_silent(SILENCE_TIMEOUT);
    let fresh = request(address, "GET /", &["X-Request-Id: r-3"], "");
    fleet.control().clear(&first_executor(&fleet)).unwrap();
    let silent_after = old.is_silent(SILENCE_TIMEOUT);

    assert!(silent && silent_after);
    assert_eq!(fresh.status, 200);
    assert_eq!(fleet.control().run_count("r-2"), 0);
}

#[test]
fn a_request_completes_without_a_response_when_its_connection_goes_silent() {
    let fleet = fleet();
    let mut client = Client::connect(fleet.executors()[0].address).unwrap();
    client.send("GET /", &["X-Run-Ms: 60"], "").unwrap();
    wait_until("the request runs", || fleet.control().counters().runs == 1);

    set(&fleet, &first_executor(&fleet), &Fault::Silent);
    wait_until("it ends", || fleet.control().counters().finished == 1);

    assert!(client.is_silent(SILENCE_TIMEOUT));
}

#[rstest]
#[case::short(WrongAnswer::Short, "Content-Length: 50\r\n\r\nshort")]
#[case::overlong(WrongAnswer::Overlong, "Content-Length: 4\r\n\r\nlongHTTP/1.1")]
#[case::two_lengths(
    WrongAnswer::TwoLengths,
    "Content-Length: 4\r\nContent-Length: 9\r\n\r\nlong-long"
)]
#[case::garbage(WrongAnswer::Garbage, "this is not HTTP")]
#[case::bad_status(WrongAnswer::BadStatus, "HTTP/1.1 999")]
#[case::no_length(WrongAnswer::NoLength, "200 OK\r\n\r\nended by close")]
#[case::cut_chunk(WrongAnswer::CutChunk, "\r\n32\r\nshort")]
#[case::informational(WrongAnswer::Informational, "100 Continue\r\n\r\nHTTP/1.1 200 OK")]
fn an_executor_sends_one_malformed_response_and_closes(
    #[case] answer: WrongAnswer,
    #[case] part: &str,
) {
    let fleet = fleet();
    let fault = Fault::Wrong {
        answer,
        delay_ms: 0,
        count: Some(1),
    };
    set(&fleet, &first_executor(&fleet), &fault);
    let address = fleet.executors()[0].address;
    let mut client = Client::connect(address).unwrap();

    client.send("GET /", &["X-Request-Id: r-1"], "").unwrap();
    let wrong = client.read_until_closed();
    let right = request(address, "POST /", &[], "sheep");

    assert!(String::from_utf8_lossy(&wrong).contains(part), "{wrong:?}");
    assert_eq!(fleet.control().run_count("r-1"), 1);
    assert_eq!(right.text(), "sheep");
}

#[test]
fn a_late_answer_is_right_and_keeps_the_connection() {
    let fleet = fleet();
    let fault = Fault::Wrong {
        answer: WrongAnswer::Late,
        delay_ms: 60,
        count: Some(1),
    };
    set(&fleet, &first_executor(&fleet), &fault);
    let mut client = Client::connect(fleet.executors()[0].address).unwrap();
    let started_at = Instant::now();

    let late = client.request("POST /", &[], "first").unwrap();
    let waited = started_at.elapsed();
    let next = client.request("POST /", &[], "second").unwrap();

    assert_eq!(
        (late.text(), next.text()),
        ("first".into(), "second".into())
    );
    assert!(waited >= Duration::from_millis(60));
}

#[rstest]
#[case::down(json!({"kind": "down"}), "down")]
#[case::unavailable(json!({"kind": "unavailable"}), "unavailable")]
#[case::slow(json!({"kind": "slow", "ms": 7}), "slow_ms")]
#[case::frozen(json!({"kind": "frozen"}), "frozen")]
#[case::lost(json!({"kind": "lost", "count": 1}), "lost")]
#[case::wrong(json!({"kind": "wrong", "answer": "short"}), "wrong")]
fn faults_are_set_listed_and_cleared_over_http(
    #[case] fault: serde_json::Value,
    #[case] field: &str,
) {
    let fleet = fleet();
    let control = fleet.control_address();
    let body = json!({"site": "pools", "fault": fault}).to_string();

    let set = request(control, "POST /faults", &[], &body);
    let listed = request(control, "GET /faults", &[], "").json();
    let cleared = request(control, "DELETE /faults?site=pools", &[], "");
    let after = request(control, "GET /faults", &[], "").json();

    assert_eq!((set.status, cleared.status), (204, 204));
    assert_eq!(listed["sites"][0]["site"], "pools");
    let value = &listed["sites"][0]["faults"][field];
    assert!(*value != json!(false) && *value != json!(0) && !value.is_null());
    assert_eq!(after["sites"], json!([]));
}

#[rstest]
#[case::unknown_site(r#"{"site":"nowhere","fault":{"kind":"down"}}"#, 404)]
#[case::unknown_executor(r#"{"site":"executor:none","fault":{"kind":"down"}}"#, 404)]
#[case::unknown_kind(r#"{"site":"log","fault":{"kind":"odd"}}"#, 400)]
#[case::not_json("{", 400)]
fn an_invalid_fault_is_refused_with_a_message(#[case] body: &str, #[case] status: u16) {
    let fleet = fleet();

    let answer = request(fleet.control_address(), "POST /faults", &[], body);

    assert_eq!(answer.status, status);
    assert!(!answer.json()["error"].as_str().unwrap().is_empty());
}
