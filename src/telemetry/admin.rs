//! Admin address of a process, for operators and probes.
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
use crate::http::{Conclusion, Handler, Problem, Reply, Request, Server, ServerLimits};
use crate::id::{DataCentre, MemberId, Offset, RecordId, Revision, SectionId};
use crate::ledger::Verdict;
use crate::runtime::Runtime;

/// Who the process is, for the state dump.
#[derive(Clone, Debug)]
pub struct Process {
    /// Name of the program.
    pub program: &'static str,
    /// Name from its settings.
    pub id: MemberId,
    /// Its data centre.
    pub data_centre: DataCentre,
}

impl Process {
    /// Describes the process that runs now.
    #[must_use]
    pub fn new(program: &'static str, common: &CommonConfig) -> Self {
        Self {
            program,
            id: common.id.clone(),
            data_centre: common.data_centre.clone(),
        }
    }
}

/// The part of the state dump that only the daemon knows.
pub trait Dump: Send + Sync + 'static {
    /// State of the daemon; holds no secret.
    fn dump(&self) -> impl Future<Output = Value> + Send;

    /// False when no new work should be sent to the process.
    fn healthy(&self) -> bool {
        true
    }
}

/// How far the process has followed the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Next offset to be folded.
    pub offset: Offset,
    /// Age of the last verified head of the log, in ms.
    pub verified_ms: Option<u64>,
}

/// Accepted text of a section, as the admin address gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// The section.
    pub section: SectionId,
    /// Number of accepted edits.
    pub revision: Revision,
    /// JSON with comments, as published.
    pub text: String,
}

/// Verdict on a record, as the admin address gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVerdict {
    /// The record, as 32 hexadecimal digits.
    pub record: String,
    /// What the fold said.
    pub verdict: Verdict,
}

/// Handler of the admin address.
#[derive(Debug)]
pub struct Admin<D> {
    process: Process,
    started: Instant,
    control: Control,
    metrics: Metrics,
    dump: D,
}

impl<D: Dump> Admin<D> {
    /// Listens for operators on `address`.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    pub fn bind(
        address: SocketAddr,
        runtime: &Runtime,
        process: Process,
        control: Control,
        metrics: Metrics,
        dump: D,
    ) -> io::Result<Server> {
        let admin = Self {
            process,
            started: Instant::now(),
            control,
            metrics,
            dump,
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
            _ => self.look_up(path).await,
        }
    }

    async fn look_up(&self, path: &str) -> Reply {
        if let Some(name) = path.strip_prefix("/sections/") {
            return self.section(name).await;
        }
        if let Some(id) = path.strip_prefix("/verdicts/") {
            return self.verdict(id).await;
        }
        problem(404, "Not Found", "no such resource")
    }

    fn health(&self) -> Reply {
        if self.dump.healthy() {
            text_reply(200, "ok\n".to_owned())
        } else {
            text_reply(503, "stopping\n".to_owned())
        }
    }

    /// Gauges of the view are set when they are asked for.
    fn snapshot(&self) -> String {
        let view = self.control.view();
        let gauge = |name, value, tags: &[_]| self.metrics.gauge(name, value, tags);
        gauge(metrics::OFFSET, view.offset.0, &[]);
        if let Some(at) = view.verified {
            gauge(metrics::VERIFIED_MS, millis_since(at), &[]);
        }
        let alive = view.members.iter().filter(|member| member.alive);
        gauge(metrics::MEMBERS, alive.count() as u64, &[]);
        for (pool, targets) in &view.targets {
            let ready = targets.iter().filter(|target| !target.leaving);
            let tags = [("pool", pool.as_str())];
            gauge(metrics::TARGETS, ready.count() as u64, &tags);
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
            "daemon": self.dump.dump().await,
        })
    }

    async fn section(&self, name: &str) -> Reply {
        let id = SectionId::new(name);
        match self.control.section(&id).await {
            Some(state) => json_reply(&Section {
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

impl<D: Dump> Handler for Admin<D> {
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
        outcome: Conclusion::NotRun,
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
