//! Remembers requests that carry an idempotency key, so that a repeat does not run again.
//!
//! Times are in microseconds since an arbitrary start and are handed in.

use indexmap::IndexMap;

use crate::outcome::{Answer, Outcome, Reason};
use crate::peer::{Claim, Keyed};

/// Time for which a key is remembered, in us.
const RETENTION_US: u64 = 600_000_000;

/// Keys remembered at a time.
const MAX_KEYS: usize = 100_000;

/// Answers remembered at a time, in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;

#[derive(Debug)]
struct Record {
    /// SHA-256 of method, path and body.
    fingerprint: [u8; 32],
    claim: Claim,
    expires_us: u64,
}

/// Keyed requests of the last ten minutes.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyStore {
    records: IndexMap<Keyed, Record>,
    answer_bytes: usize,
}

impl IdempotencyStore {
    /// Claims a key for a request; `First` only for the one that may run.
    pub(crate) fn claim(&mut self, keyed: &Keyed, fingerprint: [u8; 32], now_us: u64) -> Claim {
        if let Some(record) = self.records.get(keyed)
            && record.expires_us > now_us
        {
            return if record.fingerprint == fingerprint {
                record.claim.clone()
            } else {
                Claim::Differs
            };
        }
        if self.records.len() >= MAX_KEYS {
            return Claim::Full;
        }
        let record = Record {
            fingerprint,
            claim: Claim::Running,
            expires_us: now_us + RETENTION_US,
        };
        self.records.insert(keyed.clone(), record);
        Claim::First
    }

    /// Notes what became of a request; one that has not run may be sent again.
    pub(crate) fn record_outcome(&mut self, keyed: &Keyed, outcome: &Outcome) {
        let claim = match outcome {
            Outcome::NotRun(_) => return self.remove(keyed),
            Outcome::Unknown(reason) => Claim::Unknown(*reason),
            Outcome::Answered(answer) => self.store_answer(answer),
        };
        if let Some(record) = self.records.get_mut(keyed) {
            record.claim = claim;
        }
    }

    /// Forgets a key.
    pub(crate) fn remove(&mut self, keyed: &Keyed) {
        self.records.swap_remove(keyed);
    }

    /// Forgets keys whose time is over.
    pub(crate) fn remove_expired(&mut self, now_us: u64) {
        self.records.retain(|_, record| record.expires_us > now_us);
        self.answer_bytes = self
            .records
            .values()
            .map(|record| match &record.claim {
                Claim::Answered(answer) => answer_size(answer),
                _ => 0,
            })
            .sum();
    }

    /// Keys remembered now.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// An answer beyond the bound is not kept, but that there was one is.
    fn store_answer(&mut self, answer: &Answer) -> Claim {
        let answer_size = answer_size(answer);
        if self.answer_bytes + answer_size > MAX_ANSWER_BYTES {
            return Claim::Unknown(Reason::Repeated);
        }
        self.answer_bytes += answer_size;
        Claim::Answered(answer.clone())
    }
}

fn answer_size(answer: &Answer) -> usize {
    let headers = answer.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
    headers + answer.body.len()
}
