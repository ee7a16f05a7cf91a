//! One attempt to run a request on one target.

use std::net::SocketAddr;

use super::balancer::AttemptResult;
use super::headers::end_to_end_headers;
use crate::http::{ClientLimits, ConnectionPool, Failure, FailureKind, Reply, Request, Reuse};
use crate::outcome::{Answer, Reason};

/// Header of a 503 by which a target says that it had no free slot and has not run the
/// request.
const BUSY_HEADER: &str = "busy";

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// The target sent a whole answer, of any status.
    Answered(Answer),
    /// The target has not run the request.
    NotRun(Reason),
    /// The target may have run the request.
    Unknown(Reason),
}

impl AttemptOutcome {
    /// What the attempt tells about the target; a status of 500 or more counts as failed.
    pub(crate) const fn result(&self) -> AttemptResult {
        match self {
            Self::Answered(answer) if answer.status >= 500 => AttemptResult::Bad,
            Self::Answered(_) => AttemptResult::Good,
            Self::NotRun(Reason::Busy) => AttemptResult::Busy,
            Self::NotRun(_) | Self::Unknown(_) => AttemptResult::Bad,
        }
    }
}

/// Sends a request to a target and reads the answer, within `limits`.
pub(crate) async fn send_attempt(
    pool: &ConnectionPool,
    address: SocketAddr,
    request: &Request,
    reuse: Reuse,
    limits: &ClientLimits,
) -> AttemptOutcome {
    match pool.send(address, request, reuse, limits).await {
        Ok(reply) if is_busy_reply(&reply) => AttemptOutcome::NotRun(Reason::Busy),
        Ok(reply) => AttemptOutcome::Answered(Answer {
            status: reply.status,
            headers: answer_headers(reply.headers, &request.method),
            body: reply.body,
        }),
        Err(failure) => failed_attempt(&failure),
    }
}

fn is_busy_reply(reply: &Reply) -> bool {
    reply.status == 503 && reply.header(BUSY_HEADER).is_some()
}

/// End-to-end headers of an answer. For HEAD, `Content-Length` is kept: it states the length
/// of a body that is not sent.
fn answer_headers(headers: Vec<(String, String)>, method: &str) -> Vec<(String, String)> {
    let length = headers
        .iter()
        .find(|(name, _)| method == "HEAD" && name == "content-length")
        .cloned();
    let mut headers = end_to_end_headers(headers);
    headers.extend(length);
    headers
}

/// Outcome of an attempt without a whole answer. A target to which nothing was written can't
/// have run the request.
fn failed_attempt(failure: &Failure) -> AttemptOutcome {
    let reason = match failure.kind {
        // The entry withdraws no request.
        FailureKind::Connect | FailureKind::Withdrawn => Reason::NoTarget,
        FailureKind::Cut => Reason::Cut,
        FailureKind::BadAnswer => Reason::BadAnswer,
        FailureKind::Silent => Reason::Silent,
        FailureKind::BadRequest => Reason::BadRequest,
    };
    if failure.written == 0 {
        AttemptOutcome::NotRun(reason)
    } else {
        AttemptOutcome::Unknown(reason)
    }
}
