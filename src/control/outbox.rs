//! Records on their way into the log: group commit, retries and deadlines.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{Backoff, ProposeError};
use crate::id::RecordId;
use crate::services::LogError;

/// Time from the proposal to the answer, in ms.
pub const PROPOSAL_TIMEOUT_MS: u64 = 10_000;

/// Least time between two appends of one process, in ms.
///
/// 24 processes that all have something to say then stay within 480 appends a second.
pub const MIN_APPEND_INTERVAL_MS: u64 = 50;

/// Records appended together.
pub const MAX_BATCH_RECORDS: usize = 256;

/// Decides what is appended when; keeps a record's id and bytes through all retries.
#[derive(Debug)]
pub struct Outbox {
    entries: IndexMap<RecordId, Entry>,
    next_append: Instant,
    backoff: Backoff,
}

#[derive(Debug)]
struct Entry {
    bytes: Vec<u8>,
    deadline: Instant,
    phase: Phase,
    /// True once an append may have taken effect.
    may_have_effect: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Queued,
    Sending,
    Appended,
}

/// A record that got no verdict in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overdue {
    /// The record.
    pub id: RecordId,
    /// Whether it may still take effect.
    pub error: ProposeError,
}

impl Outbox {
    /// An empty outbox that may append at once.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            entries: IndexMap::new(),
            next_append: now,
            backoff: Backoff::default(),
        }
    }

    /// Queues a record.
    pub fn push(&mut self, id: RecordId, bytes: Vec<u8>, now: Instant) {
        let entry = Entry {
            bytes,
            deadline: now + Duration::from_millis(PROPOSAL_TIMEOUT_MS),
            phase: Phase::Queued,
            may_have_effect: false,
        };
        self.entries.insert(id, entry);
    }

    /// Records to append now; empty when none is queued or it is too early.
    pub fn take_batch(&mut self, now: Instant) -> Vec<Vec<u8>> {
        if now < self.next_append {
            return Vec::new();
        }
        let queued = self
            .entries
            .values_mut()
            .filter(|e| e.phase == Phase::Queued);
        let batch: Vec<Vec<u8>> = queued
            .take(MAX_BATCH_RECORDS)
            .map(|entry| {
                entry.phase = Phase::Sending;
                entry.bytes.clone()
            })
            .collect();
        if !batch.is_empty() {
            self.next_append = now + Duration::from_millis(MIN_APPEND_INTERVAL_MS);
        }
        batch
    }

    /// The log has taken the records of the last batch.
    pub fn mark_appended(&mut self) {
        self.backoff.reset();
        for entry in self.sending() {
            entry.phase = Phase::Appended;
            entry.may_have_effect = true;
        }
    }

    /// The last append failed; its records are queued again under the same ids.
    pub fn mark_failed(&mut self, error: &LogError, now: Instant) {
        self.next_append = now + self.backoff.next_wait();
        let unknown = matches!(error, LogError::Unknown(_));
        for entry in self.sending() {
            entry.phase = Phase::Queued;
            entry.may_have_effect |= unknown;
        }
    }

    /// The fold has judged the record.
    pub fn settle(&mut self, id: RecordId) {
        self.entries.swap_remove(&id);
    }

    /// Takes out the records whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Overdue> {
        let late: Vec<RecordId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        late.into_iter()
            .filter_map(|id| self.remove_overdue(id))
            .collect()
    }

    /// True when nothing waits for an append or a verdict.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that wait for an append or a verdict.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn sending(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries
            .values_mut()
            .filter(|entry| entry.phase == Phase::Sending)
    }

    fn remove_overdue(&mut self, id: RecordId) -> Option<Overdue> {
        let entry = self.entries.swap_remove(&id)?;
        let cause = format!("no verdict within {PROPOSAL_TIMEOUT_MS} ms");
        let certain = !entry.may_have_effect && entry.phase == Phase::Queued;
        let error = if certain {
            ProposeError::NotAppended(cause)
        } else {
            ProposeError::Unknown(cause)
        };
        Some(Overdue { id, error })
    }
}
