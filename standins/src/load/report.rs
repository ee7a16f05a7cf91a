//! Results of a load.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and latencies of the requests of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Requests started, including those that failed.
    pub sent: u64,
    /// Number of complete responses by status code.
    pub statuses: IndexMap<u16, u64>,
    /// Requests without a complete response, timeouts included.
    pub failed: u64,
    /// Responses that should have echoed the body of their request, but had another one.
    pub crossed: u64,
    /// Time from the start of the load until the last request ended.
    pub elapsed: Duration,
    latencies: Histogram<u64>,
}

impl LoadReport {
    /// Creates a report without any request.
    ///
    /// # Panics
    /// Never: the bounds of the histogram are valid.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            sent: 0,
            statuses: IndexMap::new(),
            failed: 0,
            crossed: 0,
            elapsed: Duration::ZERO,
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid"),
        }
    }

    /// Number of complete responses with a status code.
    #[must_use]
    pub fn count(&self, status: u16) -> u64 {
        self.statuses.get(&status).copied().unwrap_or(0)
    }

    /// Latency at a quantile from 0 to 1, in µs; latencies over 600 s count as 600 s.
    #[must_use]
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.latencies.value_at_quantile(quantile)
    }

    /// Longest latency, in µs.
    #[must_use]
    pub fn max_us(&self) -> u64 {
        self.latencies.max()
    }

    /// Complete responses per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let answers: u64 = self.statuses.values().sum();
        #[allow(clippy::cast_precision_loss)] // counts stay far below 2^52, so the cast is exact
        let answers = answers as f64;
        answers / self.elapsed.as_secs_f64()
    }

    pub(super) fn record_response(&mut self, status: u16, crossed: bool, latency: Duration) {
        *self.statuses.entry(status).or_default() += 1;
        self.crossed += u64::from(crossed);
        let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.latencies.saturating_record(us.max(1));
    }
}

/// Formats the report as one line of `key=value` pairs.
impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "sent={} failed={}", self.sent, self.failed)?;
        write!(f, " crossed={}", self.crossed)?;
        for (status, count) in &self.statuses {
            write!(f, " status_{status}={count}")?;
        }
        write!(f, " rate={:.0}", self.rate())?;
        write!(f, " p50_us={}", self.quantile_us(0.50))?;
        write!(f, " p99_us={}", self.quantile_us(0.99))?;
        write!(f, " max_us={}", self.max_us())
    }
}
