//! Tests of the HTTP server on the admin address of a process.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthwick::control::{Command, Control, SectionState};
use amaranthwick::http::{ClientLimits, Reply, Request, Server, send};
use amaranthwick::id::{DataCentre, MemberId, Offset, RecordId, Revision};
use amaranthwick::ledger::{Refusal, Verdict};
use amaranthwick::runtime::Runtime;
use amaranthwick::telemetry::{Admin, DaemonStatus, Metrics, ProcessInfo};
use async_channel::Receiver;
use async_executor::Task;
use futures_lite::future::block_on;
use rstest::rstest;
use serde_json::{Value, json};

const RECORD: RecordId = RecordId(0xfeed);

struct Daemon {
    healthy: bool,
}

impl DaemonStatus for Daemon {
    async fn dump(&self) -> Value {
        json!({ "queues": 3 })
    }

    fn healthy(&self) -> bool {
        self.healthy
    }
}

struct Fixture {
    server: Server,
    metrics: Metrics,
    _runtime: Runtime,
    _control: Task<()>,
}

impl Fixture {
    fn open(healthy: bool) -> Self {
        let runtime = Runtime::start(1).unwrap();
        let (control, commands) = Control::channel();
        let answering = runtime.spawn(answer(commands));
        let metrics = Metrics::new();
        let process = ProcessInfo {
            program: "test",
            id: MemberId::new("e1"),
            data_centre: DataCentre::new("metkovic"),
        };
        let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let daemon = Daemon { healthy };
        let admin_metrics = metrics.clone();
        let server =
            Admin::bind(address, &runtime, process, control, admin_metrics, daemon).unwrap();
        Self {
            server,
            metrics,
            _runtime: runtime,
            _control: answering,
        }
    }

    fn send(&self, method: &str, path: &str) -> Reply {
        let request = Request::new(method, path, Vec::new());
        block_on(send(
            self.server.address(),
            &request,
            &ClientLimits::default(),
        ))
        .unwrap()
    }
}

async fn answer(commands: Receiver<Command>) {
    while let Ok(command) = commands.recv().await {
        match command {
            Command::Section(id, reply) => {
                let state = (id.as_str() == "fleet").then(|| SectionState {
                    revision: Revision(4),
                    text: Arc::from("{ /* text */ }"),
                });
                let _ = reply.send(state).await;
            }
            Command::Verdict(id, reply) => {
                let refused = Verdict::Refused(Offset(9), Refusal::Conflict(Revision(5)));
                let _ = reply.send((id == RECORD).then_some(refused)).await;
            }
            Command::Dump(reply) => {
                let _ = reply.send(json!({ "folded": 9 })).await;
            }
            other => panic!("unexpected {other:?}"),
        }
    }
}

fn body(reply: &Reply) -> Value {
    serde_json::from_slice(&reply.body).unwrap()
}

#[rstest]
#[case(true, 200)]
#[case(false, 503)]
fn health_follows_the_daemon(#[case] healthy: bool, #[case] status: u16) {
    let fixture = Fixture::open(healthy);

    let reply = fixture.send("GET", "/healthz");

    assert_eq!(reply.status, status);
}

#[test]
fn state_joins_process_view_control_and_daemon() {
    let fixture = Fixture::open(true);

    let reply = fixture.send("GET", "/state");

    let state = body(&reply);
    assert_eq!(state["process"]["id"], "e1");
    assert!(state["process"].get("incarnation").is_none());
    assert_eq!(state["view"]["offset"], 0);
    assert_eq!(state["control"]["folded"], 9);
    assert_eq!(state["daemon"]["queues"], 3);
}

#[test]
fn the_position_is_that_of_the_view() {
    let fixture = Fixture::open(true);

    let reply = fixture.send("GET", "/position");

    assert_eq!(body(&reply), json!({ "offset": 0, "verified_ms": null }));
}

#[test]
fn metrics_are_lines_of_pairs() {
    let fixture = Fixture::open(true);
    fixture.metrics.count("requests_total", 3, &[]);

    let reply = fixture.send("GET", "/metrics-snapshot");

    let text = String::from_utf8(reply.body).unwrap();
    assert_eq!(
        text,
        "metric=folded_offset value=0\n\
         metric=members_alive value=0\n\
         metric=requests_total value=3\n\
         metric=series_dropped value=0\n"
    );
}

#[test]
fn a_section_is_given_with_its_revision() {
    let fixture = Fixture::open(true);

    let reply = fixture.send("GET", "/sections/fleet");

    let expected = json!({ "section": "fleet", "revision": 4, "text": "{ /* text */ }" });
    assert_eq!(body(&reply), expected);
}

#[test]
fn a_verdict_is_found_by_its_record() {
    let fixture = Fixture::open(true);

    let reply = fixture.send("GET", &format!("/verdicts/{RECORD}"));

    let verdict = body(&reply)["verdict"].clone();
    let expected = Verdict::Refused(Offset(9), Refusal::Conflict(Revision(5)));
    assert_eq!(
        serde_json::from_value::<Verdict>(verdict).unwrap(),
        expected
    );
}

#[rstest]
#[case("GET", "/sections/nobody", 404)]
#[case("GET", "/verdicts/00000000000000000000000000000000", 404)]
#[case("GET", "/verdicts/zz", 400)]
#[case("GET", "/verdicts/100000000000000000000000000000000", 400)]
#[case("GET", "/nothing", 404)]
#[case("POST", "/state", 405)]
fn requests_that_are_not_served_get_a_problem(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
) {
    let fixture = Fixture::open(true);

    let reply = fixture.send(method, path);

    assert_eq!(reply.status, status);
    assert_eq!(
        reply.header("content-type"),
        Some("application/problem+json")
    );
    assert_eq!(body(&reply)["status"], status);
}
