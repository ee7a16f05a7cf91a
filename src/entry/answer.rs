//! Turns the outcome of a request into an HTTP reply.

use crate::http::{Execution, Problem, Reply};
use crate::id::RequestId;
use crate::outcome::{Outcome, Reason};

/// Header that carries the request id, in requests to targets and in replies to callers.
pub(crate) const REQUEST_ID: &str = "x-request-id";

const RETRY_AFTER_S: &str = "1";

/// HTTP form of a [`Reason`].
struct ErrorResponse {
    status: u16,
    detail: &'static str,
    /// Proxy error type of RFC 9209 for the `Proxy-Status` header.
    proxy_error: Option<&'static str>,
    /// True when the caller may send the request again after [`RETRY_AFTER_S`].
    retry_after: bool,
}

/// Reply to a caller for the outcome of its request.
pub(crate) fn outcome_reply(outcome: Outcome, id: &RequestId) -> Reply {
    match outcome {
        Outcome::Answered(answer) => {
            let mut headers = answer.headers;
            headers.push((REQUEST_ID.to_owned(), id.to_string()));
            Reply {
                status: answer.status,
                headers,
                body: answer.body,
            }
        }
        Outcome::NotRun(reason) => problem_reply(reason, Execution::NotRun, id),
        Outcome::Unknown(reason) => problem_reply(reason, Execution::Unknown, id),
    }
}

/// Problem reply for a request that has no answer; `outcome` says whether it may have run.
pub(crate) fn problem_reply(reason: Reason, outcome: Execution, id: &RequestId) -> Reply {
    let error = error_response(reason, outcome);
    let problem = Problem {
        status: error.status,
        title: problem_title(outcome),
        detail: error.detail,
        outcome,
        request: Some(id.as_str()),
    };
    let mut reply = problem.reply();
    if let Some(error) = error.proxy_error {
        push_header(
            &mut reply,
            "proxy-status",
            &format!("amaranthwick; error={error}"),
        );
    }
    if error.retry_after && outcome == Execution::NotRun {
        push_header(&mut reply, "retry-after", RETRY_AFTER_S);
    }
    if error.status == 401 {
        push_header(&mut reply, "www-authenticate", "Bearer");
    }
    reply
}

/// Problem reply for a request that was refused and has not run; `status` is a 4xx.
pub(crate) fn client_error_reply(status: u16, detail: &str, id: &RequestId) -> Reply {
    let problem = Problem {
        status,
        title: problem_title(Execution::NotRun),
        detail,
        outcome: Execution::NotRun,
        request: Some(id.as_str()),
    };
    problem.reply()
}

const fn problem_title(outcome: Execution) -> &'static str {
    match outcome {
        Execution::NotRun => "request not run",
        Execution::Unknown => "request may have run",
    }
}

fn push_header(reply: &mut Reply, name: &str, value: &str) {
    reply.headers.push((name.to_owned(), value.to_owned()));
}

fn error_response(reason: Reason, outcome: Execution) -> ErrorResponse {
    let (status, detail, proxy_error, retry_after) = match reason {
        Reason::NoQueue => (404, "no such queue", None, false),
        Reason::NoKey => (401, "the queue needs a key", None, false),
        Reason::BadKey => (401, "the key is unknown or withdrawn", None, false),
        Reason::Forbidden => (403, "the key's team may not use the queue", None, false),
        Reason::Stale => (503, "keys can't be checked at present", None, true),
        Reason::NoDocument => (503, "no document has been accepted yet", None, true),
        Reason::QueueFull => (503, "the queue is full", Some("http_request_denied"), true),
        Reason::Ceiling => (
            429,
            "the team is at its ceiling",
            Some("http_request_denied"),
            true,
        ),
        Reason::Deadline => (
            503,
            "no target is free in time",
            Some("connection_limit_reached"),
            true,
        ),
        Reason::NoTarget => (
            503,
            "no target can be reached",
            Some("destination_unavailable"),
            true,
        ),
        Reason::Busy => (
            503,
            "the targets are busy",
            Some("connection_limit_reached"),
            true,
        ),
        Reason::Cut => (
            502,
            "the connection ended early",
            Some("connection_terminated"),
            true,
        ),
        Reason::BadAnswer => (
            502,
            "the answer broke the protocol",
            Some("http_protocol_error"),
            false,
        ),
        Reason::Silent => (
            504,
            "no answer within the run limit",
            Some("http_response_timeout"),
            false,
        ),
        Reason::Cancelled => (499, "the caller has left", None, false),
        Reason::BadRequest => (400, "the request is malformed", None, false),
        Reason::Stopping => (503, "the process is stopping", None, true),
        Reason::Repeated => (
            409,
            "a request with the same key runs or has run",
            None,
            false,
        ),
        Reason::KeyReused => (422, "the key was used for another request", None, false),
    };
    let status = match (status, outcome) {
        (409, _) => 409,
        // A 4xx would tell the caller that nothing has run.
        (400..500, Execution::Unknown) => 502,
        _ => status,
    };
    ErrorResponse {
        status,
        detail,
        proxy_error,
        retry_after,
    }
}
