//! Queue of records to append to the log, with group commit, retries and timeouts.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{Backoff, ProposeError};
use crate::id::RecordId;
use crate::services::LogError;

/// Longest time from a proposal to its result, in ms.
pub const PROPOSAL_TIMEOUT_MS: u64 = 10_000;

/// Least time between two appends of one process, in ms.
///
/// It keeps 24 processes that all have records to append within 480 appends a second.
pub const MIN_APPEND_INTERVAL_MS: u64 = 50;

/// Most records in one append.
pub const MAX_BATCH_RECORDS: usize = 256;

/// Decides which records are appended when. Retries repeat the same id and bytes, so that a
/// record takes effect at most once.
#[derive(Debug)]
pub struct Outbox {
    entries: IndexMap<RecordId, Entry>,
    /// Earliest time of the next append.
    next_append: Instant,
    backoff: Backoff,
}

#[derive(Debug)]
struct Entry {
    bytes: Vec<u8>,
    deadline: Instant,
    phase: Phase,
    /// True once an append of the record has succeeded or may have.
    may_have_effect: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Queued,
    /// In the batch that is being appended.
    Sending,
    /// Appended, but not folded yet.
    Appended,
}

/// A record that got no verdict in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overdue {
    /// Id of the record.
    pub id: RecordId,
    /// Tells whether the record may still take effect.
    pub error: ProposeError,
}

impl Outbox {
    /// Creates an empty outbox that may append at once.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            entries: IndexMap::new(),
            next_append: now,
            backoff: Backoff::default(),
        }
    }

    /// Queues an encoded record; its timeout starts at `now`.
    pub fn push(&mut self, id: RecordId, bytes: Vec<u8>, now: Instant) {
        let entry = Entry {
            bytes,
            deadline: now + Duration::from_millis(PROPOSAL_TIMEOUT_MS),
            phase: Phase::Queued,
            may_have_effect: false,
        };
        self.entries.insert(id, entry);
    }

    /// Returns the records to append now; empty when none is queued or it is too early.
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

    /// Notes that the last batch was appended.
    pub fn mark_appended(&mut self) {
        self.backoff.reset();
        for entry in self.sending() {
            entry.phase = Phase::Appended;
            entry.may_have_effect = true;
        }
    }

    /// Notes that the append of the last batch failed; its records are queued again.
    pub fn mark_failed(&mut self, error: &LogError, now: Instant) {
        self.next_append = now + self.backoff.next_wait();
        let unknown = matches!(error, LogError::Unknown(_));
        for entry in self.sending() {
            entry.phase = Phase::Queued;
            entry.may_have_effect |= unknown;
        }
    }

    /// Removes a record that has been folded and so has its verdict.
    pub fn settle(&mut self, id: RecordId) {
        self.entries.swap_remove(&id);
    }

    /// Removes and returns the records whose timeout has passed.
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

    /// Number of records that wait for an append or a verdict.
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
