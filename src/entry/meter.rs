//! Metrics of an entry.

use std::time::Duration;

use crate::id::QueueId;
use crate::outcome::{Outcome, Reason};
use crate::telemetry::Metrics;
use crate::telemetry::metrics::{CALLERS, QUEUED, REQUEST_US, REQUESTS, RUNNING};

/// Hands what happens to the metrics of the process.
#[derive(Debug)]
pub(crate) struct Meter(Metrics);

impl Meter {
    pub(crate) fn open() -> Self {
        Self(Metrics::open())
    }

    /// For the admin address.
    pub(crate) fn metrics(&self) -> Metrics {
        self.0.clone()
    }

    /// Counts a caller's request with its outcome.
    pub(crate) fn request(&self, queue: &QueueId, outcome: &Outcome, time: Duration) {
        let (kind, reason) = match outcome {
            Outcome::Answered(_) => ("answered", None),
            Outcome::NotRun(reason) => ("not_run", Some(reason)),
            Outcome::Unknown(reason) => ("unknown", Some(reason)),
        };
        let reason = reason.map_or_else(|| "none".to_owned(), |reason| format!("{reason:?}"));
        // Callers choose the name of an unknown queue; it must not become a series.
        let queue = match outcome {
            Outcome::NotRun(Reason::NoQueue | Reason::NoDocument) => "none",
            _ => queue.as_str(),
        };
        let tags = [("queue", queue), ("outcome", kind), ("reason", &reason)];
        self.0.count(REQUESTS, 1, &tags);
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.record(REQUEST_US, micros, &tags[..2]);
    }

    /// Sets the callers' connections.
    pub(crate) fn callers(&self, connections: usize) {
        self.gauge(CALLERS, connections as u64, &[]);
    }

    /// Sets the waiting requests of a pool.
    pub(crate) fn waiting(&self, pool: &str, waiting: usize) {
        self.gauge(QUEUED, waiting as u64, &[("pool", pool)]);
    }

    /// Sets the running requests of a team.
    pub(crate) fn running(&self, team: &str, running: u32) {
        self.gauge(RUNNING, running.into(), &[("team", team)]);
    }

    fn gauge(&self, name: &str, value: u64, tags: &[(&str, &str)]) {
        self.0.gauge(name, value, tags);
    }
}
