//! Store of idempotency keys and their outcomes, so that a repeated request does not run
//! again.
//!
//! The caller passes the current time, in microseconds since an arbitrary start.

use indexmap::IndexMap;

use crate::outcome::{Answer, Outcome, Reason};
use crate::peer::{IdempotencyKey, KeyStatus};

/// Time for which a key is remembered after its first request arrived, in us.
const RETENTION_US: u64 = 600_000_000;

/// Most keys remembered at a time; further ones are refused.
const MAX_KEYS: usize = 100_000;

/// Most bytes of remembered answers; further answers are not kept.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// What is known of the first request under a key.
#[derive(Debug)]
struct Record {
    /// SHA-256 of method, path and body; another request under the same key differs in it.
    fingerprint: [u8; 32],
    /// What a repeat under the key is told.
    status: KeyStatus,
    expires_us: u64,
}

/// Idempotency keys of the last ten minutes.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyStore {
    records: IndexMap<IdempotencyKey, Record>,
    answer_bytes: usize,
}

impl IdempotencyStore {
    /// Claims a key for a request. Only the caller that gets [`KeyStatus::First`] may run it; the
    /// others learn what is known of the first request.
    pub(crate) fn claim(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: [u8; 32],
        now_us: u64,
    ) -> KeyStatus {
        if let Some(record) = self.records.get(key)
            && record.expires_us > now_us
        {
            return if record.fingerprint == fingerprint {
                record.status.clone()
            } else {
                KeyStatus::Differs
            };
        }
        if self.records.len() >= MAX_KEYS {
            return KeyStatus::Full;
        }
        let record = Record {
            fingerprint,
            status: KeyStatus::Running,
            expires_us: now_us + RETENTION_US,
        };
        self.records.insert(key.clone(), record);
        KeyStatus::First
    }

    /// Records the outcome of the request that claimed the key. If it has not run, the key is
    /// removed and the request may be sent again.
    pub(crate) fn record_outcome(&mut self, key: &IdempotencyKey, outcome: &Outcome) {
        let status = match outcome {
            Outcome::NotRun(_) => return self.remove(key),
            Outcome::Unknown(reason) => KeyStatus::Unknown(*reason),
            Outcome::Answered(answer) => self.store_answer(answer),
        };
        if let Some(record) = self.records.get_mut(key) {
            record.status = status;
        }
    }

    /// Removes a key, so that the next request under it is the first.
    pub(crate) fn remove(&mut self, key: &IdempotencyKey) {
        self.records.swap_remove(key);
    }

    /// Removes keys older than [`RETENTION_US`].
    pub(crate) fn remove_expired(&mut self, now_us: u64) {
        self.records.retain(|_, record| record.expires_us > now_us);
        self.answer_bytes = self
            .records
            .values()
            .map(|record| match &record.status {
                KeyStatus::Answered(answer) => answer_size(answer),
                _ => 0,
            })
            .sum();
    }

    /// Number of remembered keys, expired ones included until they are removed.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Keeps an answer if [`MAX_ANSWER_BYTES`] allows it; otherwise only the fact that the
    /// request was answered.
    fn store_answer(&mut self, answer: &Answer) -> KeyStatus {
        let answer_size = answer_size(answer);
        if self.answer_bytes + answer_size > MAX_ANSWER_BYTES {
            return KeyStatus::Unknown(Reason::Repeated);
        }
        self.answer_bytes += answer_size;
        KeyStatus::Answered(answer.clone())
    }
}

fn answer_size(answer: &Answer) -> usize {
    let headers = answer.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
    headers + answer.body.len()
}
