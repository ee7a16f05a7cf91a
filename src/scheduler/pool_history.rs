//! What is remembered of a pool's backlog: how long it has been more than can be served in time,
//! how fast it drains, and the refused jobs that are expected to come back.
//!
//! Addresses refused callers that come back together, or before there is capacity for them.

use std::collections::{BTreeMap, VecDeque};

use super::Millis;
use super::backlog::PoolBacklog;
use super::work::{Work, to_float, to_millis};

/// Time over which the fall of the waiting time is measured, in ms.
const WINDOW_MS: Millis = 1_000;

/// Shortest time over which it is measured, in ms; shorter ones mostly show which tasks happened to
/// end.
const MIN_WINDOW_MS: Millis = 300;

/// Recent states of the backlog of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolHistory {
    /// Since when the work has been more than can be served in time.
    scarce_since: Option<Millis>,
    /// Times, and waiting times in ms, oldest first.
    waits: VecDeque<(Millis, f64)>,
    /// Work of refused jobs, by the time at which their callers may come back.
    returning: BTreeMap<Millis, Work>,
}

impl PoolHistory {
    /// Takes in that the work takes `wait_ms` at `now`, and whether that is too long.
    pub(super) fn observe(&mut self, wait_ms: f64, scarce: bool, now: Millis) {
        if scarce {
            self.scarce_since.get_or_insert(now);
        } else {
            self.scarce_since = None;
        }
        self.waits.push_back((now, wait_ms));
        while self.waits.len() > 1 && now.saturating_sub(self.waits[1].0) >= WINDOW_MS {
            self.waits.pop_front();
        }
        while let Some(entry) = self.returning.first_entry()
            && *entry.key() <= now
        {
            entry.remove();
        }
    }

    /// Notes that the caller of a job with this work was told to come back at `at`.
    pub(super) fn expect_back(&mut self, work: &Work, at: Millis) {
        self.returning.entry(at).or_default().add(work);
    }

    /// Adds what is remembered to a summary that is computed at `now`.
    pub(super) fn describe(&self, pool: &mut PoolBacklog, now: Millis) {
        let since = self.scarce_since;
        pool.scarce_ms = since.map_or(0, |since| now.saturating_sub(since));
        pool.drain = self.drain();
        pool.returning = Work::default();
        for work in self.returning.values() {
            pool.returning.add(work);
        }
    }

    /// Fall of the waiting time, in ms per second; 0 while it does not fall.
    fn drain(&self) -> u32 {
        let (Some((first, before)), Some((last, after))) = (self.waits.front(), self.waits.back())
        else {
            return 0;
        };
        let span = last.saturating_sub(*first);
        if span < MIN_WINDOW_MS {
            return 0;
        }
        let fall = (before - after) * 1_000.0 / to_float(span);
        u32::try_from(to_millis(fall)).unwrap_or(u32::MAX)
    }
}
