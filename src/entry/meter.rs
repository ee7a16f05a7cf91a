//! Updates the metrics of callers' requests, connections, queues and running requests.

use std::time::Duration;

use crate::id::{PoolId, QueueId, TeamId};
use crate::outcome::Outcome;
use crate::telemetry::Metrics;
use crate::telemetry::metrics::{
    CALLER_CONNECTIONS, QUEUED_REQUESTS, REQUEST_US, REQUESTS, RUNNING_REQUESTS,
};

/// Counts a request and records its time. `queue` is `None` unless the document has it:
/// callers could make up any number of names, and each would become a series.
pub(crate) fn record_request(
    metrics: &Metrics,
    queue: Option<&QueueId>,
    outcome: &Outcome,
    elapsed: Duration,
) {
    let queue = queue.map_or("none", QueueId::as_str);
    let (name, reason) = match outcome {
        Outcome::Answered(_) => ("answered", None),
        Outcome::NotRun(reason) => ("not_run", Some(reason)),
        Outcome::Unknown(reason) => ("unknown", Some(reason)),
    };
    let reason = reason.map_or_else(|| "none".to_owned(), |reason| format!("{reason:?}"));
    let tags = [("queue", queue), ("outcome", name)];
    let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    metrics.count(REQUESTS, 1, &[tags[0], tags[1], ("reason", &reason)]);
    metrics.record(REQUEST_US, micros, &tags);
}

/// Sets the gauge of callers' open connections.
pub(crate) fn set_caller_connections(metrics: &Metrics, connections: usize) {
    metrics.gauge(CALLER_CONNECTIONS, connections as u64, &[]);
}

/// Sets the gauge of requests that wait for a pool.
pub(crate) fn set_queued_requests(metrics: &Metrics, pool: &PoolId, waiting: usize) {
    metrics.gauge(QUEUED_REQUESTS, waiting as u64, &[("pool", pool.as_str())]);
}

/// Sets the gauge of a team's running requests.
pub(crate) fn set_running_requests(metrics: &Metrics, team: &TeamId, running: u32) {
    metrics.gauge(RUNNING_REQUESTS, running.into(), &[("team", team.as_str())]);
}
