//! Cuts between data centres, and between them and the platform.

mod common;

use amaranthwick_standins::{Fleet, PLATFORM};
use common::{Client, SILENCE_TIMEOUT, fleet, request, wait_until};
use serde_json::json;

const APPEND: &str = "POST /streams/fleet/records";
const ONE_RECORD: &str = r#"{"records":["YQ=="]}"#;
const FROM_SPLIT: [&str; 1] = ["Data-Centre: split"];
const FROM_ZADAR: [&str; 1] = ["Data-Centre: zadar"];

/// Sends an append of one record from data centre `split`; returns its connection.
fn append_from_split(fleet: &Fleet) -> Client {
    let mut client = Client::connect(fleet.log_address()).unwrap();
    client.send(APPEND, &FROM_SPLIT, ONE_RECORD).unwrap();
    client
}

#[test]
fn a_cut_from_the_platform_affects_one_data_centre_only() {
    let fleet = fleet();
    fleet.control().cut("split", PLATFORM);

    let mut cut = append_from_split(&fleet);
    let silent = cut.is_silent(SILENCE_TIMEOUT);
    let other = request(fleet.log_address(), APPEND, &FROM_ZADAR, ONE_RECORD);

    assert!(silent);
    assert_eq!(other.json(), json!({"first": 0}));
    assert_eq!(fleet.control().head("fleet"), 1);
}

#[test]
fn a_request_held_by_a_cut_arrives_after_it_is_healed() {
    let fleet = fleet();
    fleet.control().cut("split", PLATFORM);
    let mut waiting = append_from_split(&fleet);
    assert!(waiting.is_silent(SILENCE_TIMEOUT));

    fleet.control().heal("split", PLATFORM);
    let answer = waiting.read().unwrap();

    assert_eq!(answer.json(), json!({"first": 0}));
}

#[test]
fn a_request_abandoned_during_a_cut_never_arrives() {
    let fleet = fleet();
    fleet.control().cut("split", PLATFORM);
    let mut waiting = append_from_split(&fleet);
    assert!(waiting.is_silent(SILENCE_TIMEOUT));

    drop(waiting);
    std::thread::sleep(SILENCE_TIMEOUT);
    fleet.control().heal("split", PLATFORM);
    let next = request(fleet.log_address(), APPEND, &FROM_SPLIT, ONE_RECORD);

    assert_eq!(next.json(), json!({"first": 0}));
}

#[test]
fn a_one_way_cut_of_the_answers_leaves_the_effect() {
    let fleet = fleet();
    fleet.control().cut_one_way(PLATFORM, "split");

    let mut client = append_from_split(&fleet);
    let silent = client.is_silent(SILENCE_TIMEOUT);

    assert!(silent);
    assert_eq!(fleet.control().head("fleet"), 1);
}

#[test]
fn a_one_way_cut_of_the_requests_has_no_effect() {
    let fleet = fleet();
    fleet.control().cut_one_way("split", PLATFORM);

    let mut client = append_from_split(&fleet);
    let silent = client.is_silent(SILENCE_TIMEOUT);

    assert!(silent);
    assert_eq!(fleet.control().head("fleet"), 0);
}

#[test]
fn executors_know_their_data_centre() {
    let fleet = fleet();
    fleet.control().cut("split", "zadar");
    let executors = fleet.executors();
    let near = executors.iter().find(|e| e.data_centre == "split").unwrap();
    let far = executors.iter().find(|e| e.data_centre == "zadar").unwrap();

    let mut cut = Client::connect(far.address).unwrap();
    cut.send("GET /", &FROM_SPLIT, "").unwrap();
    let silent = cut.is_silent(SILENCE_TIMEOUT);
    let answer = request(near.address, "GET /", &FROM_SPLIT, "");

    assert!(silent);
    assert_eq!(answer.status, 200);
    assert_eq!(fleet.control().counters().runs, 1);
}

#[test]
fn a_worker_cut_from_the_platform_lets_its_lease_lapse() {
    let fleet = fleet();
    let path = "/workers/split-guarded-0/tasks/t-1";
    let spec = json!({"id": "t-1", "task": "hang", "lease_ms": 50}).to_string();
    request(fleet.workers_address(), &format!("PUT {path}"), &[], &spec);
    fleet.control().cut("split", PLATFORM);

    let mut renewal = Client::connect(fleet.workers_address()).unwrap();
    let line = format!("PUT {path}/lease");
    renewal.send(&line, &[], r#"{"lease_ms":60000}"#).unwrap();

    wait_until("the lease lapses", || {
        let tasks = fleet.control().tasks();
        serde_json::to_value(&tasks["split-guarded-0"][0]).unwrap()["state"] == "lapsed"
    });
}

#[test]
fn cuts_are_made_listed_and_healed_over_http() {
    let fleet = fleet();
    let control = fleet.control_address();

    request(
        control,
        "POST /cuts",
        &[],
        r#"{"from":"split","to":"zadar"}"#,
    );
    let one_way = r#"{"from":"platform","to":"split","one_way":true}"#;
    request(control, "POST /cuts", &[], one_way);
    let both = request(control, "GET /faults", &[], "").json();
    request(control, "DELETE /cuts?from=split&to=zadar", &[], "");
    let one = request(control, "GET /faults", &[], "").json();
    request(control, "DELETE /cuts", &[], "");
    let none = request(control, "GET /faults", &[], "").json();

    assert_eq!(both["cuts"].as_array().unwrap().len(), 3);
    assert_eq!(one["cuts"], json!([{"from": "platform", "to": "split"}]));
    assert_eq!(none["cuts"], json!([]));
}
