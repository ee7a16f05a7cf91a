//! Limits the rate of log lines per kind of event.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Record, Result};

/// Limit for the lines of one kind of event in one window. A burst of 50 jobs a second starts
/// 600 tasks a second on a fleet of 350 targets.
const MAX_LINES_PER_WINDOW: u32 = 2_000;

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Kinds of events with a budget of their own; all further kinds share one.
const MAX_KINDS: usize = 256;

/// Name of the budget that all further kinds share.
const OTHER_KINDS: &str = "other";

/// Line counts of one kind of event in the current window.
#[derive(Debug)]
struct Budget {
    window_start: Instant,
    written: u32,
    suppressed: u64,
}

/// Sink that passes lines on to another sink within the budget of their kind of event. It logs
/// the number of lines that were left out in a window with the next line of that kind.
pub(super) struct Throttle {
    sink: Arc<dyn Sink>,
    prop: SinkProp,
    /// Lines that the other sink has refused since this was last logged.
    dropped: AtomicU64,
    budgets: Mutex<IndexMap<String, Budget>>,
}

impl Throttle {
    pub(super) fn new(sink: Arc<dyn Sink>) -> Self {
        Self {
            sink,
            prop: SinkProp::default(),
            dropped: AtomicU64::new(0),
            budgets: Mutex::new(IndexMap::new()),
        }
    }

    /// Returns whether a line of `kind` may be written. The second value is not 0 for the first
    /// line of a new window: the number of lines left out in the window before.
    fn admit(&self, kind: &str, now: Instant) -> (bool, u64) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let known = budgets.len() < MAX_KINDS || budgets.contains_key(kind);
        let name = if known { kind } else { OTHER_KINDS };
        if !budgets.contains_key(name) {
            let budget = Budget {
                window_start: now,
                written: 0,
                suppressed: 0,
            };
            budgets.insert(name.to_owned(), budget);
        }
        let budget = &mut budgets[name];
        let mut suppressed = 0;
        if now.duration_since(budget.window_start) >= WINDOW {
            suppressed = std::mem::take(&mut budget.suppressed);
            budget.window_start = now;
            budget.written = 0;
        }
        if budget.written >= MAX_LINES_PER_WINDOW {
            budget.suppressed += 1;
            return (false, suppressed);
        }
        budget.written += 1;
        (true, suppressed)
    }
}

impl GetSinkProp for Throttle {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for Throttle {
    fn log(&self, record: &Record) -> Result<()> {
        let kind = record.payload();
        let (admitted, suppressed) = self.admit(kind, Instant::now());
        if suppressed > 0 {
            spdlog::warn!("log_lines_left_out", kv: { kind, lines = suppressed, cause = "too many" });
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            spdlog::warn!("log_lines_left_out", kv: { kind = "any", lines = dropped, cause = "stream blocked" });
        }
        if admitted && self.sink.log(record).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<()> {
        self.sink.flush()
    }

    fn flush_on_exit(&self) -> Result<()> {
        self.sink.flush_on_exit()
    }
}

#[cfg(test)]
#[path = "throttle_tests.rs"]
mod tests;
