//! HTTP API of the workers.

mod common;

use amaranthwick_standins::{Fleet, FleetSpec};
use common::{Answer, fleet, request, spec, wait_until};
use rstest::rstest;
use serde_json::{Value, json};

const WORKER: &str = "split-guarded-0";

fn call(fleet: &Fleet, method: &str, path: &str, body: &Value) -> Answer {
    let line = format!("{method} /workers/{WORKER}/{path}");
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    request(fleet.workers_address(), &line, &[], &body)
}

fn start(fleet: &Fleet, id: &str, task: &str) -> Answer {
    let body = json!({"id": id, "task": task, "cores": 4, "memory_mb": 1024, "lease_ms": 60_000});
    call(fleet, "PUT", &format!("tasks/{id}"), &body)
}

#[test]
fn a_start_is_idempotent_by_its_id() {
    let fleet = fleet();

    let first = start(&fleet, "t-1", "hang");
    let second = start(&fleet, "t-1", "hang");
    let tasks = call(&fleet, "GET", "tasks", &Value::Null).json();

    assert_eq!((first.status, second.status), (201, 200));
    assert_eq!(tasks["tasks"].as_array().unwrap().len(), 1);
}

#[test]
fn a_task_is_renewed_slowed_and_stopped() {
    let fleet = fleet();
    start(&fleet, "t-1", "hang");

    let renewed = call(
        &fleet,
        "PUT",
        "tasks/t-1/lease",
        &json!({"lease_ms": 9_000}),
    );
    let slowed = call(&fleet, "PUT", "tasks/t-1/speed", &json!({"percent": 50}));
    let stopped = call(&fleet, "DELETE", "tasks/t-1", &Value::Null);
    let status = call(&fleet, "GET", "tasks/t-1", &Value::Null);

    assert_eq!(renewed.json()["state"], "running");
    assert_eq!(slowed.json()["state"], "running");
    assert_eq!(stopped.json()["state"], "stopped");
    assert_eq!(status.json()["state"], "stopped");
}

#[test]
fn a_task_resumes_from_a_checkpoint_on_another_worker() {
    let fleet = fleet();
    start(&fleet, "t-1", "hang");
    std::thread::sleep(std::time::Duration::from_millis(30));

    let saved = call(&fleet, "POST", "tasks/t-1/checkpoints", &Value::Null);
    let checkpoint = saved.json()["checkpoint"].clone();
    let body = json!({"id": "t-2", "task": "hang", "lease_ms": 60_000, "checkpoint": checkpoint});
    let line = "PUT /workers/zadar-guarded-0/tasks/t-2";
    let resumed = request(fleet.workers_address(), line, &[], &body.to_string());

    assert_eq!((saved.status, resumed.status), (200, 201));
    assert!(resumed.json()["progress_ms"].as_u64().unwrap() >= 30);
}

#[test]
fn the_list_shows_sizes_and_what_is_free() {
    let fleet = fleet();
    start(&fleet, "t-1", "hang");

    let list = request(fleet.workers_address(), "GET /workers", &[], "").json();

    let workers = list["workers"].as_array().unwrap();
    assert_eq!(workers.len(), 6);
    assert_eq!(workers[0]["vm"], WORKER);
    assert_eq!(workers[0]["size"]["cores"], 16);
    assert_eq!(workers[0]["free"]["cores"], 12);
    assert_eq!(workers[0]["off"], false);
}

#[test]
fn usage_lags() {
    let fresh = fleet();
    let old = Fleet::open(&FleetSpec {
        usage_lag_ms: 600_000,
        ..spec()
    })
    .unwrap();
    start(&fresh, "t-1", "hang");
    start(&old, "t-1", "hang");

    let now = call(&fresh, "GET", "usage", &Value::Null).json();
    let before = call(&old, "GET", "usage", &Value::Null).json();

    assert_eq!(now["tasks"][0]["millicores"], 4_000);
    assert_eq!(before, json!({"age_ms": 600_000, "tasks": []}));
}

#[test]
fn a_worker_that_is_down_refuses_with_503() {
    let fleet = fleet();
    start(&fleet, "t-1", "hang");
    fleet.control().fail_vm(WORKER).unwrap();

    let renewed = call(
        &fleet,
        "PUT",
        "tasks/t-1/lease",
        &json!({"lease_ms": 9_000}),
    );
    let started = start(&fleet, "t-2", "hang");
    fleet.control().repair_vm(WORKER).unwrap();
    let status = call(&fleet, "GET", "tasks/t-1", &Value::Null);

    assert_eq!((renewed.status, started.status), (503, 503));
    assert_eq!(status.json()["state"], "failed");
}

#[test]
fn a_worker_is_broken_over_the_control_path() {
    let fleet = fleet();

    let line = format!("POST /workers/{WORKER}/broken");
    let set = request(fleet.control_address(), &line, &[], r#"{"broken":true}"#);
    let started = start(&fleet, "t-1", "hang");
    let tasks = request(fleet.control_address(), "GET /tasks", &[], "").json();

    assert_eq!(set.status, 204);
    assert_eq!(started.json()["state"], "failed");
    assert_eq!(tasks["workers"][WORKER][0]["id"], "t-1");
}

#[test]
fn a_task_crashes_its_worker_which_comes_back_without_tasks() {
    let fleet = fleet();
    start(&fleet, "t-1", "hang");
    start(&fleet, "t-2", "crash:10:300");

    wait_until("the worker is away", || {
        call(&fleet, "GET", "tasks", &Value::Null).status == 503
    });
    let renewed = call(
        &fleet,
        "PUT",
        "tasks/t-1/lease",
        &json!({"lease_ms": 9_000}),
    );
    let list = request(fleet.workers_address(), "GET /workers", &[], "").json();
    wait_until("the worker is back", || {
        call(&fleet, "GET", "tasks", &Value::Null).status == 200
    });
    let tasks = call(&fleet, "GET", "tasks", &Value::Null).json();
    let after = call(&fleet, "GET", "tasks/t-1", &Value::Null);

    assert_eq!((renewed.status, after.status), (503, 404));
    assert_eq!(list["workers"][0]["off"], true);
    assert_eq!(tasks, json!({"tasks": []}));
}

#[test]
fn a_worker_shows_the_size_that_it_was_given_over_the_control_path() {
    let fleet = fleet();
    start(&fleet, "t-1", "hang");
    let line = format!("POST /workers/{WORKER}/size");
    let size = json!({"cores": 6, "memory_mb": 2_048, "accelerators": 0});

    let set = request(fleet.control_address(), &line, &[], &size.to_string());
    let list = request(fleet.workers_address(), "GET /workers", &[], "").json();
    let refused = start(&fleet, "t-2", "hang");
    let unknown = request(
        fleet.control_address(),
        "POST /workers/none/size",
        &[],
        &size.to_string(),
    );

    assert_eq!(
        (set.status, refused.status, unknown.status),
        (204, 409, 404)
    );
    assert_eq!(list["workers"][0]["size"], size);
    assert_eq!(list["workers"][0]["free"]["cores"], 2);
    let running = call(&fleet, "GET", "tasks/t-1", &Value::Null).json();
    assert_eq!(running["state"], "running");
}

#[rstest]
#[case::unknown_task("GET", "tasks/none", Value::Null, 404)]
#[case::unknown_call("GET", "none", Value::Null, 404)]
#[case::not_a_spec("PUT", "tasks/t-1", json!({"id": 7}), 400)]
#[case::other_id("PUT", "tasks/t-1", json!({"id": "t-2", "task": "echo", "lease_ms": 1}), 400)]
#[case::no_room(
    "PUT",
    "tasks/t-1",
    json!({"id": "t-1", "task": "echo", "lease_ms": 1, "cores": 17}),
    409
)]
#[case::no_checkpoint(
    "PUT",
    "tasks/t-1",
    json!({"id": "t-1", "task": "echo", "lease_ms": 1, "checkpoint": "none"}),
    404
)]
fn an_invalid_request_is_refused_with_a_message(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: Value,
    #[case] status: u16,
) {
    let fleet = fleet();

    let answer = call(&fleet, method, path, &body);

    assert_eq!(answer.status, status);
    assert!(!answer.json()["error"].as_str().unwrap().is_empty());
}
