//! HTTP server for callers: requests to queues, jobs and the health check.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use super::answer::{client_error_reply, outcome_reply, problem_reply};
use super::auth::find_queue;
use super::headers::{self, credential, end_to_end_headers};
use super::jobs;
use super::meter;
use super::shared::Shared;
use crate::http::{Execution, Handler, Reply, Request};
use crate::id::{QueueId, RequestId};
use crate::outcome::{Outcome, Reason};
use crate::peer::Forward;

/// Handles callers' HTTP requests.
#[derive(Debug)]
pub(crate) struct CallerHandler(pub(crate) Arc<Shared>);

impl Handler for CallerHandler {
    async fn handle(&self, request: Request, _caller: SocketAddr) -> Reply {
        let shared = &self.0;
        let id = new_request_id();
        let in_flight = shared.track_request();
        let mut reply = match request.path.split(['?', '/']).nth(1) {
            Some("healthz") => health_reply(shared.stopping()),
            Some("jobs") => self.serve_job_request(&request, &id).await,
            Some("q") => self.serve_queue_request(request, &id).await,
            _ => client_error_reply(404, "the paths are /q/{queue}/..., /jobs and /healthz", &id),
        };
        drop(in_flight);
        if shared.stopping() {
            reply
                .headers
                .push(("connection".to_owned(), "close".to_owned()));
        }
        reply
    }
}

impl CallerHandler {
    async fn serve_queue_request(&self, request: Request, id: &RequestId) -> Reply {
        let start = Instant::now();
        let (queue, outcome) = match self.build_forward(request, id) {
            Ok(forward) => {
                let queue = forward.queue.clone();
                (Some(queue), self.0.router.run(forward).await)
            }
            Err(Rejection::Reason(reason)) => (None, Outcome::NotRun(reason)),
            Err(Rejection::Malformed(detail)) => return client_error_reply(400, detail, id),
        };
        self.0.outcome_counts.add(&outcome);
        meter::record_request(&self.0.metrics, queue.as_ref(), &outcome, start.elapsed());
        outcome_reply(outcome, id)
    }

    async fn serve_job_request(&self, request: &Request, id: &RequestId) -> Reply {
        let view = self.0.control.view();
        let key = credential(request);
        match self.0.authorizer.authenticate(&view, key, Instant::now()) {
            Ok(team) => jobs::serve(&self.0.control, team, request, id).await,
            Err(reason) => problem_reply(reason, Execution::NotRun, id),
        }
    }

    /// Finds the queue, authorizes the caller and puts the request into the form that the
    /// owner of the pool runs.
    fn build_forward(&self, request: Request, id: &RequestId) -> Result<Forward, Rejection> {
        let (queue, path) =
            split_queue_path(&request.path).ok_or(Rejection::Reason(Reason::NoQueue))?;
        let view = self.0.control.view();
        let document = view.document.as_ref().ok_or(Reason::NoDocument)?;
        let found_queue = find_queue(document, &queue).ok_or(Reason::NoQueue)?;
        let key = credential(&request);
        let team = self
            .0
            .authorizer
            .authorize(&view, found_queue, key, Instant::now())?;
        Ok(Forward {
            id: id.clone(),
            queue,
            team,
            urgency: headers::urgency(&request),
            wait_ms: headers::wait_ms(&request).unwrap_or(found_queue.spec.wait_ms),
            idempotency_key: headers::idempotency_key(&request).map_err(Rejection::Malformed)?,
            method: request.method,
            path,
            headers: end_to_end_headers(request.headers),
            body: request.body,
            hops: 0,
        })
    }
}

/// Why a request is refused before it is queued.
enum Rejection {
    Reason(Reason),
    Malformed(&'static str),
}

impl From<Reason> for Rejection {
    fn from(reason: Reason) -> Self {
        Self::Reason(reason)
    }
}

/// Splits `/q/{queue}/...` into the queue and the path below it, with the query.
fn split_queue_path(path: &str) -> Option<(QueueId, String)> {
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

fn health_reply(stopping: bool) -> Reply {
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

fn new_request_id() -> RequestId {
    RequestId::new(&format!("{:032x}", fastrand::u128(..)))
}
