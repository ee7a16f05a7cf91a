//! Counters, gauges and histograms of a process, aggregated in memory.
//!
//! Names end with their unit. Tag values are queues, outcomes and other small sets, never
//! single callers, keys or requests.

use std::io;
use std::sync::Arc;

use cadence::{Counted, Gauged, Histogrammed, MetricSink, StatsdClient};

use super::registry::Registry;

/// Requests of callers that have ended; tags `queue`, `outcome`, `reason`.
pub const REQUESTS: &str = "requests_total";
/// Time from the complete request read to its outcome, in µs; tags `queue`, `outcome`.
pub const REQUEST_US: &str = "request_us";
/// Requests queued in this entry; tag `pool`.
pub const QUEUED_REQUESTS: &str = "queued_requests";
/// Requests running at targets; tag `team`.
pub const RUNNING_REQUESTS: &str = "running_requests";
/// Open connections from callers.
pub const CALLER_CONNECTIONS: &str = "caller_connections";
/// Offset of the next record of the log to apply.
pub const FOLDED_OFFSET: &str = "folded_offset";
/// Time since the process was last known to have applied the whole log, in ms; absent before the
/// first time.
pub const VERIFIED_AGE_MS: &str = "verified_age_ms";
/// Members that are considered alive.
pub const MEMBERS_ALIVE: &str = "members_alive";
/// Targets that accept new work; tag `pool`.
pub const TARGETS_READY: &str = "targets_ready";

/// Responses to callers of the job API; tags `method`, `status`.
pub const CALLER_ANSWERS: &str = "caller_answers_total";
/// Time from the complete request to the response in the job API, in µs; tag `method`.
pub const CALLER_ANSWER_US: &str = "caller_answer_us";
/// Appends to the log that the leader repeated.
pub const APPEND_RETRIES: &str = "append_retries_total";
/// Time until a batch of records from the leader was stored, in µs.
pub const BATCH_STORED_US: &str = "batch_stored_us";
/// Calls from the leader to targets and to the VM service; tag `call`.
pub const LEADER_CALLS: &str = "leader_calls_total";
/// Connections that a server closed to make room for others; tag `server`.
pub const REVOKED_CONNECTIONS: &str = "revoked_connections_total";
/// Requests and connections that a server refused before a handler had them; tags `server` and
/// `status`, which is 0 for connections that were closed without an answer.
pub const REFUSED_REQUESTS: &str = "refused_requests_total";
/// Time from a call that starts a task to its response, in µs.
pub const START_US: &str = "start_us";
/// Data centres that the operators have had evacuated, as this process knows them.
pub const EVACUATED_DATA_CENTRES: &str = "evacuated_data_centres";
/// Jobs that were refused for lack of capacity; tag `cause`.
pub const REFUSED_JOBS: &str = "refused_jobs_total";
/// Time after which callers of refused jobs were told to come back, in s.
pub const RETRY_AFTER_S: &str = "retry_after_s";

/// Handle to the metrics of a process; clones share the same series.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    registry: Arc<Registry>,
}

/// Sink of the client that shares its registry with [`Metrics::snapshot`].
#[derive(Debug)]
struct SharedRegistry(Arc<Registry>);

impl MetricSink for SharedRegistry {
    fn emit(&self, line: &str) -> io::Result<usize> {
        self.0.emit(line)
    }
}

impl Metrics {
    /// Creates an empty set of metrics.
    #[must_use]
    pub fn new() -> Self {
        let registry = Arc::new(Registry::default());
        let client = StatsdClient::from_sink("", SharedRegistry(Arc::clone(&registry)));
        Self {
            client: Arc::new(client),
            registry,
        }
    }

    /// Adds `amount` to a counter.
    pub fn count(&self, name: &str, amount: i64, tags: &[(&str, &str)]) {
        let tags = sanitize(tags);
        let mut metric = self.client.count_with_tags(name, amount);
        for (key, value) in &tags {
            metric = metric.with_tag(key, value);
        }
        let _ = metric.try_send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64, tags: &[(&str, &str)]) {
        let tags = sanitize(tags);
        let mut metric = self.client.gauge_with_tags(name, value);
        for (key, value) in &tags {
            metric = metric.with_tag(key, value);
        }
        let _ = metric.try_send();
    }

    /// Records a value in a histogram.
    pub fn record(&self, name: &str, value: u64, tags: &[(&str, &str)]) {
        let tags = sanitize(tags);
        let mut metric = self.client.histogram_with_tags(name, value);
        for (key, value) in &tags {
            metric = metric.with_tag(key, value);
        }
        let _ = metric.try_send();
    }

    /// All series as text, one line of `key=value` pairs each.
    #[must_use]
    pub fn snapshot(&self) -> String {
        self.registry.snapshot()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Replaces separators and control characters in tag values by `_`: the line format of the
/// client has no escapes.
fn sanitize<'a>(tags: &[(&'a str, &str)]) -> Vec<(&'a str, String)> {
    let separator = |c: char| matches!(c, ',' | '|' | '#' | ':') || c.is_control();
    tags.iter()
        .map(|(key, value)| (*key, value.replace(separator, "_")))
        .collect()
}
