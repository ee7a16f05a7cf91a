//! Counters, gauges and histograms of a process, kept in memory.
//!
//! Names end with their unit. Tags name queues, outcomes and the like, never a
//! caller, key or request.

use std::io;
use std::sync::Arc;

use cadence::{Counted, Gauged, Histogrammed, MetricSink, StatsdClient};

use super::registry::Registry;

/// Callers' requests that got an outcome; tags `queue`, `outcome`, `reason`.
pub const REQUESTS: &str = "requests_total";
/// Time from a whole request read to its outcome, in µs; tags `queue`, `outcome`.
pub const REQUEST_US: &str = "request_us";
/// Requests waiting at this entry; tag `pool`.
pub const QUEUED_REQUESTS: &str = "queued_requests";
/// Requests running at targets; tag `team`.
pub const RUNNING_REQUESTS: &str = "running_requests";
/// Callers' connections open.
pub const CALLER_CONNECTIONS: &str = "caller_connections";
/// Next offset that will be folded.
pub const FOLDED_OFFSET: &str = "folded_offset";
/// Age of the last verified head of the log, in ms; absent before the first.
pub const VERIFIED_AGE_MS: &str = "verified_age_ms";
/// Members that are not suspected.
pub const MEMBERS_ALIVE: &str = "members_alive";
/// Targets that take new work; tag `pool`.
pub const TARGETS_READY: &str = "targets_ready";

/// Answers to callers of jobs; tags `method`, `status`.
pub const CALLER_ANSWERS: &str = "caller_answers_total";
/// Time from a whole request of a caller of jobs to its answer, in µs; tag `method`.
pub const CALLER_ANSWER_US: &str = "caller_answer_us";
/// Appends of the leader that were repeated.
pub const APPEND_RETRIES: &str = "append_retries_total";
/// Time until a batch of the leader was stored, in µs.
pub const BATCH_STORED_US: &str = "batch_stored_us";
/// Calls of the leader to targets and to the VM service; tag `call`.
pub const LEADER_CALLS: &str = "leader_calls_total";
/// Time from a start to its answer, in µs.
pub const START_US: &str = "start_us";

/// Metrics of a process; cheap to clone.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    registry: Arc<Registry>,
}

/// Hands the client's lines to a registry that is shared with the reader.
#[derive(Debug)]
struct SharedRegistry(Arc<Registry>);

impl MetricSink for SharedRegistry {
    fn emit(&self, line: &str) -> io::Result<usize> {
        self.0.emit(line)
    }
}

impl Metrics {
    /// Metrics without any series.
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

    /// Adds a value to a histogram.
    pub fn record(&self, name: &str, value: u64, tags: &[(&str, &str)]) {
        let tags = sanitize(tags);
        let mut metric = self.client.histogram_with_tags(name, value);
        for (key, value) in &tags {
            metric = metric.with_tag(key, value);
        }
        let _ = metric.try_send();
    }

    /// All series, one line of `key=value` pairs each.
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

// The client's line format has no escapes for its separators.
fn sanitize<'a>(tags: &[(&'a str, &str)]) -> Vec<(&'a str, String)> {
    let separator = |c: char| matches!(c, ',' | '|' | '#' | ':') || c.is_control();
    tags.iter()
        .map(|(key, value)| (*key, value.replace(separator, "_")))
        .collect()
}
