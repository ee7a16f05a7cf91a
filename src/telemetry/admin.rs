//! HTTP server on the admin address of a process, for operators and health checks.
//!
//! `GET /healthz`, `/state`, `/position`, `/metrics-snapshot`,
//! `/sections/{name}` and `/verdicts/{record id}`.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::view::{dump_view, millis_since};
use super::{Metrics, log, metrics};
use crate::config::CommonConfig;
use crate::control::Control;
use crate::http::{Execution, Handler, Problem, Reply, Request, Server, ServerLimits};
use crate::id::{DataCentre, MemberId, Offset, RecordId, Revision, SectionId};
use crate::ledger::Verdict;
use crate::runtime::Runtime;

/// Identity of the process, shown in the state dump.
#[derive(Clone, Debug)]
pub struct ProcessInfo {
    /// Name of the executable.
    pub program: &'static str,
    /// Unique name, from the settings.
    pub id: MemberId,
    /// Data centre that the process runs in, from the settings.
    pub data_centre: DataCentre,
}

impl ProcessInfo {
    /// Identity of the running `program` with these settings.
    #[must_use]
    pub fn new(program: &'static str, common: &CommonConfig) -> Self {
        Self {
            program,
            id: common.id.clone(),
            data_centre: common.data_centre.clone(),
        }
    }
}

/// Health of a daemon, and the part of the state dump that is specific to it.
pub trait DaemonStatus: Send + Sync + 'static {
    /// State of the daemon as JSON; must not contain secrets.
    fn dump(&self) -> impl Future<Output = Value> + Send;

    /// False when no new work should be sent to the process; `/healthz` then responds with 503.
    fn healthy(&self) -> bool {
        true
    }
}

/// How much of the log the process has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Offset of the next record to apply.
    pub offset: Offset,
    /// Time since the process was last known to have applied the whole log, in ms; `None` before
    /// the first time.
    pub verified_ms: Option<u64>,
}

/// Accepted text of a section, the response of `/sections/{name}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedSection {
    /// Name of the section.
    pub section: SectionId,
    /// Number of accepted edits.
    pub revision: Revision,
    /// Text as published, JSON with comments.
    pub text: String,
}

/// Verdict on a record, the response of `/verdicts/{record id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVerdict {
    /// Id of the record, 32 hexadecimal digits.
    pub record: String,
    /// Whether the fold of the log accepted the record.
    pub verdict: Verdict,
}

/// Request handler of the admin address.
#[derive(Debug)]
pub struct Admin<D> {
    process: ProcessInfo,
    started: Instant,
    control: Control,
    metrics: Metrics,
    daemon: D,
}

impl<D: DaemonStatus> Admin<D> {
    /// Starts the admin server on `address`.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    pub fn bind(
        address: SocketAddr,
        runtime: &Runtime,
        process: ProcessInfo,
        control: Control,
        metrics: Metrics,
        daemon: D,
    ) -> io::Result<Server> {
        let admin = Self {
            process,
            started: Instant::now(),
            control,
            metrics,
            daemon,
        };
        let server = Server::bind(address, runtime, ServerLimits::default(), admin)?;
        log::listening("admin", server.address());
        Ok(server)
    }

    async fn get(&self, path: &str) -> Reply {
        match path {
            "/healthz" => self.health(),
            "/state" => json_reply(&self.state().await),
            "/position" => json_reply(&self.position()),
            "/metrics-snapshot" => text_reply(200, self.snapshot()),
            _ => self.get_by_name(path).await,
        }
    }

    async fn get_by_name(&self, path: &str) -> Reply {
        if let Some(name) = path.strip_prefix("/sections/") {
            return self.section(name).await;
        }
        if let Some(id) = path.strip_prefix("/verdicts/") {
            return self.verdict(id).await;
        }
        problem(404, "Not Found", "no such resource")
    }

    fn health(&self) -> Reply {
        if self.daemon.healthy() {
            text_reply(200, "ok\n".to_owned())
        } else {
            text_reply(503, "stopping\n".to_owned())
        }
    }

    /// Text of all metrics. Gauges that are derived from the view are set here, on request.
    fn snapshot(&self) -> String {
        let view = self.control.view();
        let gauge = |name, value, tags: &[_]| self.metrics.gauge(name, value, tags);
        gauge(metrics::FOLDED_OFFSET, view.offset.0, &[]);
        if let Some(at) = view.verified {
            gauge(metrics::VERIFIED_AGE_MS, millis_since(at), &[]);
        }
        let alive = view.members.iter().filter(|member| member.alive);
        gauge(metrics::MEMBERS_ALIVE, alive.count() as u64, &[]);
        for (pool, targets) in &view.targets {
            let ready = targets.iter().filter(|target| !target.leaving);
            let tags = [("pool", pool.as_str())];
            gauge(metrics::TARGETS_READY, ready.count() as u64, &tags);
        }
        self.metrics.snapshot()
    }

    fn position(&self) -> Position {
        let view = self.control.view();
        Position {
            offset: view.offset,
            verified_ms: view.verified.map(millis_since),
        }
    }

    async fn state(&self) -> Value {
        let process = &self.process;
        json!({
            "process": {
                "program": process.program,
                "version": env!("CARGO_PKG_VERSION"),
                "id": process.id,
                "data_centre": process.data_centre,
                "pid": std::process::id(),
                "uptime_ms": millis_since(self.started),
            },
            "view": dump_view(&self.control.view()),
            "control": self.control.dump().await,
            "daemon": self.daemon.dump().await,
        })
    }

    async fn section(&self, name: &str) -> Reply {
        let id = SectionId::new(name);
        match self.control.section(&id).await {
            Some(state) => json_reply(&AcceptedSection {
                section: id,
                revision: state.revision,
                text: state.text.to_string(),
            }),
            None => problem(404, "Not Found", "no accepted section of this name"),
        }
    }

    async fn verdict(&self, id: &str) -> Reply {
        let Ok(record) = u128::from_str_radix(id, 16) else {
            return problem(400, "Bad Request", "a record id is 32 hexadecimal digits");
        };
        match self.control.verdict(RecordId(record)).await {
            Some(verdict) => json_reply(&RecordVerdict {
                record: RecordId(record).to_string(),
                verdict,
            }),
            None => problem(404, "Not Found", "no verdict on this record"),
        }
    }
}

impl<D: DaemonStatus> Handler for Admin<D> {
    async fn handle(&self, request: Request, _caller: SocketAddr) -> Reply {
        if request.method != "GET" {
            let mut reply = problem(405, "Method Not Allowed", "only GET is served here");
            reply.headers.push(("allow".to_owned(), "GET".to_owned()));
            return reply;
        }
        let path = request.path.split('?').next().unwrap_or_default();
        self.get(path).await
    }
}

fn json_reply(value: &impl Serialize) -> Reply {
    match serde_json::to_vec_pretty(value) {
        Ok(mut body) => {
            body.push(b'\n');
            reply(200, "application/json", body)
        }
        Err(error) => problem(500, "Internal Server Error", &error.to_string()),
    }
}

fn text_reply(status: u16, text: String) -> Reply {
    reply(status, "text/plain; charset=utf-8", text.into_bytes())
}

fn problem(status: u16, title: &str, detail: &str) -> Reply {
    Problem {
        status,
        title,
        detail,
        outcome: Execution::NotRun,
        request: None,
    }
    .reply()
}

fn reply(status: u16, kind: &str, body: Vec<u8>) -> Reply {
    Reply {
        status,
        headers: vec![("content-type".to_owned(), kind.to_owned())],
        body,
    }
}
