//! Metrics of an entry.

use std::sync::OnceLock;
use std::time::Duration;

use crate::id::QueueId;
use crate::outcome::{Outcome, Reason};
use crate::telemetry::Metrics;
use crate::telemetry::metrics::{CALLERS, QUEUED, REQUEST_US, REQUESTS, RUNNING};

/// Hands what happens to the metrics of the process, once they are known.
#[derive(Debug, Default)]
pub(crate) struct Meter(OnceLock<Metrics>);

impl Meter {
    /// Sets the metrics; later ones are ignored.
    pub(crate) fn set(&self, metrics: Metrics) {
        let _ = self.0.set(metrics);
    }

    /// Counts a caller's request with its outcome.
    pub(crate) fn request(&self, queue: &QueueId, outcome: &Outcome, time: Duration) {
        let Some(metrics) = self.0.get() else {
            return;
        };
        let (kind, reason) = match outcome {
            Outcome::Answered(_) => ("answered", None),
            Outcome::NotRun(reason) => ("not_run", Some(reason)),
            Outcome::Unknown(reason) => ("unknown", Some(reason)),
        };
        let reason = reason.map_or_else(String::new, |reason| format!("{reason:?}"));
        // Callers choose the name of an unknown queue; it must not become a series.
        let queue = match outcome {
            Outcome::NotRun(Reason::NoQueue | Reason::NoDocument) => "none",
            _ => queue.as_str(),
        };
        let tags = [("queue", queue), ("outcome", kind), ("reason", &reason)];
        metrics.count(REQUESTS, 1, &tags);
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        metrics.record(REQUEST_US, micros, &[("queue", queue)]);
    }

    /// Sets the callers' connections.
    pub(crate) fn callers(&self, connections: usize) {
        self.gauge(CALLERS, connections as u64, &[]);
    }

    /// Sets the waiting requests of a pool.
    pub(crate) fn waiting(&self, pool: &str, waiting: usize) {
        self.gauge(QUEUED, waiting as u64, &[("queue", pool)]);
    }

    /// Sets the running requests of a team.
    pub(crate) fn running(&self, team: &str, running: u32) {
        self.gauge(RUNNING, running.into(), &[("team", team)]);
    }

    fn gauge(&self, name: &str, value: u64, tags: &[(&str, &str)]) {
        if let Some(metrics) = self.0.get() {
            metrics.gauge(name, value, tags);
        }
    }
}
