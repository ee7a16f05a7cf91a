//! Bounds the lines that each kind of event may write.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Record, Result};

/// Lines of one kind of event in a window; a burst of 50 jobs a second
/// starts 600 tasks a second on a fleet of 350 targets.
const MAX_LINES_PER_WINDOW: u32 = 2_000;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);

/// Kinds of events that are told apart; further ones share one budget.
const MAX_KINDS: usize = 256;

/// Name of the budget that further kinds share.
const OTHER_KINDS: &str = "other";

/// Lines of one kind of event in the current window.
#[derive(Debug)]
struct Budget {
    window_start: Instant,
    written: u32,
    left_out: u64,
}

/// Hands on to another sink what the budget of its kind allows, and says later how many
/// lines were left out.
pub(super) struct Throttle {
    sink: Arc<dyn Sink>,
    prop: SinkProp,
    /// Lines that the other sink could not take.
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

    /// Whether a line may be written, and how many of its kind the last window left out.
    fn admit(&self, kind: &str, now: Instant) -> (bool, u64) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let known = budgets.len() < MAX_KINDS || budgets.contains_key(kind);
        let name = if known { kind } else { OTHER_KINDS };
        if !budgets.contains_key(name) {
            let budget = Budget {
                window_start: now,
                written: 0,
                left_out: 0,
            };
            budgets.insert(name.to_owned(), budget);
        }
        let budget = &mut budgets[name];
        let mut left_out = 0;
        if now.duration_since(budget.window_start) >= WINDOW {
            left_out = std::mem::take(&mut budget.left_out);
            budget.window_start = now;
            budget.written = 0;
        }
        if budget.written >= MAX_LINES_PER_WINDOW {
            budget.left_out += 1;
            return (false, left_out);
        }
        budget.written += 1;
        (true, left_out)
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
        let (admitted, left_out) = self.admit(kind, Instant::now());
        if left_out > 0 {
            spdlog::warn!("log_lines_left_out", kv: { kind, lines = left_out, cause = "too many" });
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
