//! End-to-end requests and jobs: the daemons run as separate processes, under a document that
//! operators have published to the log.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use amaranthwick::dev::fleet_spec;
use amaranthwick::document::{self, example, hex};
use amaranthwick_standins::{Fleet, FleetSpec, TaskState};
use serde_json::{Value, json};
use support::NERETVA;
use support::caller::{
    body_json, body_text, fetch_state, request_with_secret, request_without_key, send_request,
    team_request,
};
use support::daemons::{Daemon, DaemonStarter};
use support::operator::Operator;
use support::wait::wait_until;

const DATA_CENTRE: &str = "ploce";
const QUEUE: &str = "/q/headcount/count";

/// Longest time until every entry refuses a withdrawn key, with room for a busy machine.
const WITHDRAWAL: Duration = Duration::from_secs(10);

/// Two entries and a planner in one data centre.
struct Fixture {
    entries: [Daemon; 2],
    planner: Daemon,
    operator: Operator,
    fleet: Fleet,
}

impl Fixture {
    /// Starts the daemons; no document is published yet.
    fn start() -> Self {
        let document = document::parse("neretva.jsonc", NERETVA).expect("valid");
        let spec = FleetSpec {
            list_lag_ms: 50,
            ..fleet_spec(&document)
        };
        let fleet = Fleet::open(&spec).expect("stand-ins");
        let starter = DaemonStarter::new(&fleet);
        let entries = ["entry-1", "entry-2"].map(|id| starter.start_entry(id, DATA_CENTRE));
        let planner = starter.start_planner("planner-1", DATA_CENTRE);
        let admins = [
            entries[0].admin_address,
            entries[1].admin_address,
            planner.admin_address,
        ];
        Self {
            operator: Operator::new(fleet.log_address(), &admins),
            entries,
            planner,
            fleet,
        }
    }

    /// Starts the daemons, publishes the document and waits until the planner has filled the pool
    /// `headcount`.
    fn serving() -> Self {
        let fixture = Self::start();
        fixture.operator.publish_all(NERETVA);
        for entry in &fixture.entries {
            wait_until("targets of the pool", || has_targets(entry));
        }
        fixture
    }
}

fn has_targets(entry: &Daemon) -> bool {
    let view = &fetch_state(entry.admin_address)["view"];
    let count = |value: &Value| value.as_array().map_or(0, Vec::len);
    count(&view["targets"]["headcount"]) == 12 && count(&view["members"]) == 2
}

/// True if the entry has dispatched requests of the pool itself instead of forwarding them.
fn owns(entry: &Daemon, pool: &str) -> bool {
    let pools = &fetch_state(entry.admin_address)["daemon"]["owner"]["pools"];
    let mut pools = pools.as_array().into_iter().flatten();
    pools.any(|owned| owned["pool"] == pool)
}

fn callers(entry: &Daemon) -> SocketAddr {
    entry.caller_address.expect("an entry has callers")
}

#[test]
fn one_entry_owns_the_queue_and_the_other_forwards() {
    let fixture = Fixture::serving();
    let control = fixture.fleet.control();

    let replies = fixture.entries.each_ref().map(|entry| {
        let request = team_request("POST", QUEUE, "herds", "17 sheep");
        send_request(callers(entry), &request)
    });

    for reply in &replies {
        assert_eq!((reply.status, body_text(reply).as_str()), (200, "17 sheep"));
        let executor = reply.header("x-executor").expect("answered by an executor");
        assert!(executor.starts_with("ploce-executor-"), "{executor}");
        let id = reply.header("x-request-id").expect("request id");
        assert_eq!(control.run_count(id), 1);
    }
    let owners = fixture
        .entries
        .iter()
        .filter(|entry| owns(entry, "headcount"));
    assert_eq!(owners.count(), 1);
    assert_eq!(control.counters().teams["herds"].runs, 2);
}

#[test]
fn an_open_queue_takes_a_request_without_a_key() {
    let fixture = Fixture::serving();

    for entry in &fixture.entries {
        let request = request_without_key("POST", "/q/flood-alerts/parcel", "water");
        let reply = send_request(callers(entry), &request);
        assert_eq!((reply.status, body_text(&reply).as_str()), (200, "water"));
    }
}

#[test]
fn metrics_count_requests_ready_targets_and_live_members() {
    let fixture = Fixture::serving();
    let entry = &fixture.entries[0];
    send_request(callers(entry), &team_request("POST", QUEUE, "herds", ""));
    send_request(
        callers(entry),
        &request_with_secret("POST", QUEUE, &[7; 32], ""),
    );

    let snapshot = body_text(&send_request(
        entry.admin_address,
        &request_without_key("GET", "/metrics-snapshot", ""),
    ));

    for line in [
        "metric=requests_total queue=headcount outcome=answered reason=none value=1",
        "metric=requests_total queue=none outcome=not_run reason=BadKey value=1",
        "metric=targets_ready pool=headcount value=12",
        "metric=members_alive value=2",
    ] {
        assert!(
            snapshot.lines().any(|l| l == line),
            "{line} in:\n{snapshot}"
        );
    }
    let secret = hex::encode(&example::caller_secret("herds"));
    assert!(!snapshot.contains(&secret));
}

#[test]
fn logs_state_dumps_and_metrics_contain_no_secret() {
    let fixture = Fixture::serving();
    let request = team_request("POST", QUEUE, "herds", "");
    let unknown = request_with_secret("POST", QUEUE, &[7; 32], "");
    let mut shown = Vec::new();
    for entry in &fixture.entries {
        send_request(callers(entry), &request);
        shown.push(body_text(&send_request(callers(entry), &unknown)));
    }
    let forged = request_with_secret("POST", "/jobs", &[7; 32], "{");
    shown.push(body_text(&send_request(
        callers(&fixture.entries[0]),
        &forged,
    )));

    for daemon in fixture.entries.iter().chain([&fixture.planner]) {
        for path in [
            "/state",
            "/metrics-snapshot",
            "/sections/herds",
            "/sections/fleet",
        ] {
            shown.push(body_text(&send_request(
                daemon.admin_address,
                &request_without_key("GET", path, ""),
            )));
        }
        shown.extend(daemon.process.lines());
    }

    let shown = shown.join("\n").to_lowercase();
    assert!(shown.contains("event=listening"), "logs are there");
    assert!(shown.contains("\"share\\\": 30"), "sections are there");
    let secrets = [
        example::caller_secret("herds"),
        [7; 32],
        example::fleet_secret(),
        example::operator_seed("root"),
        example::operator_seed("herds-owner"),
    ];
    for secret in secrets {
        let secret = hex::encode(&secret);
        assert!(!shown.contains(&secret), "secret {secret} in:\n{shown}");
    }
}

#[test]
fn an_unknown_key_is_refused_and_nothing_runs() {
    let fixture = Fixture::serving();

    for entry in &fixture.entries {
        let request = request_with_secret("POST", QUEUE, &[7; 32], "");
        let reply = send_request(callers(entry), &request);
        assert_eq!(reply.status, 401, "{}", body_text(&reply));
        assert_eq!(body_json(&reply)["outcome"], "not_run");
    }
    assert_eq!(fixture.fleet.control().counters().runs, 0);
}

#[test]
fn a_withdrawn_key_is_refused_by_every_entry() {
    let fixture = Fixture::serving();
    let request = team_request("POST", QUEUE, "herds", "");
    for entry in &fixture.entries {
        assert_eq!(send_request(callers(entry), &request).status, 200);
    }

    let withdrawn = fixture.operator.withdraw_key("herds", "app", NERETVA);
    let ended = fixture
        .operator
        .publish("herds-ops", "herds", &withdrawn, &[]);

    assert_eq!(ended.exit_code, Some(0), "{ended:?}");
    let deadline = Instant::now() + WITHDRAWAL;
    for entry in &fixture.entries {
        wait_until("a refusal", || {
            send_request(callers(entry), &request).status == 401
        });
    }
    assert!(Instant::now() < deadline, "withdrawal took too long");
    let before = fixture.fleet.control().counters().runs;
    for entry in &fixture.entries {
        assert_eq!(
            body_json(&send_request(callers(entry), &request))["outcome"],
            "not_run"
        );
    }
    assert_eq!(fixture.fleet.control().counters().runs, before);
}

#[test]
fn a_job_is_placed_on_a_worker_and_its_output_returned() {
    let fixture = Fixture::serving();
    let [first, second] = fixture.entries.each_ref().map(callers);
    let order = json!({ "id": "count-1", "task": "echo:50", "input": "9 cattle",
        "cores": 1, "memory_mb": 512 });

    let submitted = send_request(
        first,
        &team_request("POST", "/jobs", "herds", &order.to_string()),
    );

    assert_eq!(submitted.status, 202, "{}", body_text(&submitted));
    let show = team_request("GET", "/jobs/count-1", "herds", "");
    wait_until("the end of the job", || {
        body_json(&send_request(second, &show))["state"] == "done"
    });
    assert_eq!(
        body_json(&send_request(second, &show))["output"],
        "9 cattle"
    );
    let stranger = team_request("GET", "/jobs/count-1", "claims", "");
    assert_eq!(send_request(second, &stranger).status, 404);
}

#[test]
fn a_job_that_is_deleted_is_stopped_on_its_worker() {
    let fixture = Fixture::serving();
    let address = callers(&fixture.entries[0]);
    let order = json!({ "id": "count-2", "task": "hang", "cores": 1, "memory_mb": 512 });
    let submitted = send_request(
        address,
        &team_request("POST", "/jobs", "herds", &order.to_string()),
    );
    assert_eq!(submitted.status, 202, "{}", body_text(&submitted));
    let is = |wanted| {
        let tasks = fixture.fleet.control().tasks();
        tasks.values().flatten().any(|task| task.state == wanted)
    };
    wait_until("the task", || is(TaskState::Running));

    let deleted = send_request(
        address,
        &team_request("DELETE", "/jobs/count-2", "herds", ""),
    );

    assert_eq!(deleted.status, 200, "{}", body_text(&deleted));
    assert_eq!(body_json(&deleted)["state"], "cancelled");
    wait_until("the end of the task", || !is(TaskState::Running));
    assert!(is(TaskState::Stopped), "stopped before its lease ended");
}

#[test]
fn daemons_exit_with_0_on_sigterm() {
    let mut fixture = Fixture::serving();

    let codes = fixture.entries.each_mut().map(|entry| entry.process.stop());

    assert_eq!(codes, [Some(0), Some(0)]);
    assert_eq!(fixture.planner.process.stop(), Some(0));
}
