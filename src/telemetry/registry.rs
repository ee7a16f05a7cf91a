//! In-memory aggregation of the samples of the metrics client.

use std::fmt::Write;
use std::io;
use std::sync::{Mutex, PoisonError};

use cadence::MetricSink;
use hdrhistogram::Histogram;
use indexmap::IndexMap;

use super::pair::write_pair;

/// Limit for the number of series; it bounds memory if tag values grow without limit.
const MAX_SERIES: usize = 4_096;
/// Significant decimal digits of histogram values.
const HISTOGRAM_DIGITS: u8 = 2;

/// Aggregated value of one metric name with one set of tags.
#[derive(Debug)]
enum Series {
    Counter(i64),
    Gauge(f64),
    Histogram(Histogram<u64>),
}

#[derive(Debug, Default)]
struct Table {
    series: IndexMap<String, Series>,
    /// Samples of new series that were dropped because the table was full.
    dropped: u64,
}

/// Aggregates the samples that a `StatsD` client emits as lines.
#[derive(Debug, Default)]
pub(super) struct Registry {
    table: Mutex<Table>,
}

impl Registry {
    /// All series as text, one line of `key=value` pairs each, sorted by name and tags.
    pub(super) fn snapshot(&self) -> String {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let mut lines: Vec<_> = table
            .series
            .iter()
            .map(|(key, series)| write_series(key, series))
            .collect();
        lines.sort();
        lines.push(format!("metric=series_dropped value={}\n", table.dropped));
        lines.concat()
    }

    fn add(&self, line: &str) -> Option<()> {
        let sample = Sample::parse(line)?;
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(series) = table.series.get_mut(sample.key.as_str()) {
            return series.add(&sample);
        }
        if table.series.len() == MAX_SERIES {
            table.dropped += 1;
            return None;
        }
        let mut series = Series::new(sample.kind)?;
        series.add(&sample)?;
        table.series.insert(sample.key, series);
        Some(())
    }
}

impl MetricSink for Registry {
    fn emit(&self, line: &str) -> io::Result<usize> {
        self.add(line)
            .map(|()| line.len())
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidInput, "sample dropped"))
    }
}

/// Parsed line of the client: `name:value|kind|#tag:value,...`.
struct Sample<'a> {
    key: String,
    kind: &'a str,
    values: &'a str,
}

impl<'a> Sample<'a> {
    fn parse(line: &'a str) -> Option<Self> {
        let (name, rest) = line.split_once(':')?;
        let (values, rest) = rest.split_once('|')?;
        let (kind, tags) = rest.split_once("|#").unwrap_or((rest, ""));
        Some(Self {
            key: write_key(name, tags),
            kind,
            values,
        })
    }
}

impl Series {
    fn new(kind: &str) -> Option<Self> {
        match kind {
            "c" => Some(Self::Counter(0)),
            "g" => Some(Self::Gauge(0.0)),
            "h" | "ms" | "d" => Histogram::new(HISTOGRAM_DIGITS).ok().map(Self::Histogram),
            _ => None,
        }
    }

    fn add(&mut self, sample: &Sample) -> Option<()> {
        for value in sample.values.split(':') {
            match self {
                Self::Counter(sum) => *sum = sum.saturating_add(value.parse().ok()?),
                Self::Gauge(last) => *last = value.parse().ok()?,
                Self::Histogram(histogram) => histogram.record(value.parse().ok()?).ok()?,
            }
        }
        Some(())
    }
}

fn write_key(name: &str, tags: &str) -> String {
    let mut key = String::new();
    let _ = write_pair(&mut key, "metric", name);
    for tag in tags.split(',').filter(|tag| !tag.is_empty()) {
        let (tag, value) = tag.split_once(':').unwrap_or((tag, ""));
        key.push(' ');
        let _ = write_pair(&mut key, tag, value);
    }
    key
}

fn write_series(key: &str, series: &Series) -> String {
    let mut line = key.to_owned();
    let _ = match series {
        Series::Counter(sum) => write!(line, " value={sum}"),
        Series::Gauge(last) => write!(line, " value={last}"),
        Series::Histogram(histogram) => write_histogram(&mut line, histogram),
    };
    line.push('\n');
    line
}

fn write_histogram(line: &mut String, histogram: &Histogram<u64>) -> std::fmt::Result {
    write!(
        line,
        " count={} min={} p50={} p90={} p99={} max={}",
        histogram.len(),
        histogram.min(),
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.9),
        histogram.value_at_quantile(0.99),
        histogram.max(),
    )
}
