//! State that the tasks of an entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use super::auth::Authorizer;
use super::local_runner::LocalRunner;
use super::route::Router;
use crate::control::Control;
use crate::outcome::Outcome;
use crate::telemetry::Metrics;

/// Counts of the outcomes of callers' requests since the entry started.
#[derive(Debug, Default)]
pub(crate) struct OutcomeCounts {
    answered: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
}

impl OutcomeCounts {
    pub(crate) fn add(&self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Answered(_) => &self.answered,
            Outcome::NotRun(_) => &self.not_run,
            Outcome::Unknown(_) => &self.unknown,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "answered": self.answered.load(Ordering::Relaxed),
            "not_run": self.not_run.load(Ordering::Relaxed),
            "unknown": self.unknown.load(Ordering::Relaxed),
        })
    }
}

/// State that the connections and background tasks of an entry share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) control: Control,
    pub(crate) authorizer: Authorizer,
    pub(crate) local_runner: Arc<LocalRunner>,
    pub(crate) router: Router,
    pub(crate) outcome_counts: OutcomeCounts,
    pub(crate) metrics: Metrics,
    /// Number of live [`InFlightGuard`]s.
    pub(crate) in_flight: AtomicUsize,
    pub(crate) stop_requested: AtomicBool,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn track_request(&self) -> InFlightGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(&self.in_flight)
    }

    /// Requests in flight, from callers and forwarded by other processes.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// True once the entry has been told to stop.
    pub(crate) fn stopping(&self) -> bool {
        self.stop_requested.load(Ordering::Relaxed)
    }
}
