//! Callers' HTTP: reads what a request asks for and answers with its outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use super::answer::{bad_request, refusal, reply};
use super::auth::find_queue;
use super::headers::{self, credential, end_to_end};
use super::jobs;
use super::meter;
use super::shared::Shared;
use crate::http::{Conclusion, Handler, Reply, Request};
use crate::id::{QueueId, RequestId};
use crate::outcome::{Outcome, Reason};
use crate::peer::Forward;

/// Answers callers.
#[derive(Debug)]
pub(crate) struct Callers(pub(crate) Arc<Shared>);

impl Handler for Callers {
    async fn handle(&self, request: Request, _caller: SocketAddr) -> Reply {
        let shared = &self.0;
        let id = request_id();
        let busy = shared.enter();
        let mut reply = match request.path.split(['?', '/']).nth(1) {
            Some("healthz") => health(shared.stopping()),
            Some("jobs") => self.jobs(&request, &id).await,
            Some("q") => self.queue(request, &id).await,
            _ => bad_request(404, "the paths are /q/{queue}/..., /jobs and /healthz", &id),
        };
        drop(busy);
        if shared.stopping() {
            reply
                .headers
                .push(("connection".to_owned(), "close".to_owned()));
        }
        reply
    }
}

impl Callers {
    async fn queue(&self, request: Request, id: &RequestId) -> Reply {
        let start = Instant::now();
        let (queue, outcome) = match self.checked(request, id) {
            Ok(forward) => {
                let queue = forward.queue.clone();
                (Some(queue), self.0.router.run(forward).await)
            }
            Err(Refusal::Reason(reason)) => (None, Outcome::NotRun(reason)),
            Err(Refusal::Malformed(detail)) => return bad_request(400, detail, id),
        };
        self.0.counts.add(&outcome);
        meter::record(&self.0.metrics, queue.as_ref(), &outcome, start.elapsed());
        reply(outcome, id)
    }

    async fn jobs(&self, request: &Request, id: &RequestId) -> Reply {
        let view = self.0.control.view();
        let key = credential(request);
        match self.0.gate.identify(&view, key, Instant::now()) {
            Ok(team) => jobs::serve(&self.0.control, team, request, id).await,
            Err(reason) => refusal(reason, Conclusion::NotRun, id),
        }
    }

    fn checked(&self, request: Request, id: &RequestId) -> Result<Forward, Refusal> {
        let (queue, path) = split(&request.path).ok_or(Refusal::Reason(Reason::NoQueue))?;
        let view = self.0.control.view();
        let document = view.document.as_ref().ok_or(Reason::NoDocument)?;
        let found = find_queue(document, &queue).ok_or(Reason::NoQueue)?;
        let key = credential(&request);
        let team = self.0.gate.admit(&view, found, key, Instant::now())?;
        Ok(Forward {
            id: id.clone(),
            queue,
            team,
            urgency: headers::urgency(&request),
            wait_ms: headers::wait_ms(&request).unwrap_or(found.spec.wait_ms),
            idempotency_key: headers::idempotency(&request).map_err(Refusal::Malformed)?,
            method: request.method,
            path,
            headers: end_to_end(request.headers),
            body: request.body,
            hops: 0,
        })
    }
}

/// Why a request goes no further.
enum Refusal {
    Reason(Reason),
    Malformed(&'static str),
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self::Reason(reason)
    }
}

/// Queue and the path below it, with the query.
fn split(path: &str) -> Option<(QueueId, String)> {
    let rest = path.strip_prefix("/q/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (queue, below) = rest.split_at(end);
    let below = if below.starts_with('/') {
        below.to_owned()
    } else {
        format!("/{below}")
    };
    Some((QueueId::new(queue), below))
}

fn health(stopping: bool) -> Reply {
    let (status, body) = if stopping {
        (503, "stopping\n")
    } else {
        (200, "ok\n")
    };
    Reply {
        status,
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
        body: body.as_bytes().to_vec(),
    }
}

fn request_id() -> RequestId {
    RequestId::new(&format!("{:032x}", fastrand::u128(..)))
}
