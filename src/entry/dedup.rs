//! Remembers requests that carry an idempotency key, so that a repeat does not run again.
//!
//! Times are in microseconds since an arbitrary start and are handed in.

use indexmap::IndexMap;

use crate::outcome::{Answer, Outcome, Reason};
use crate::peer::{IdempotencyKey, KeyStatus};

/// Time for which a key is remembered, in us.
const WINDOW_US: u64 = 600_000_000;

/// Keys remembered at a time.
const MAX_KEYS: usize = 100_000;

/// Answers remembered at a time, in bytes.
const MAX_BYTES: usize = 32 << 20;

#[derive(Debug)]
struct Record {
    /// SHA-256 of method, path and body.
    print: [u8; 32],
    claim: KeyStatus,
    until_us: u64,
}

/// Keyed requests of the last ten minutes.
#[derive(Debug, Default)]
pub(crate) struct Dedup {
    records: IndexMap<IdempotencyKey, Record>,
    bytes: usize,
}

impl Dedup {
    /// Claims a key for a request; `First` only for the one that may run.
    pub(crate) fn claim(
        &mut self,
        keyed: &IdempotencyKey,
        print: [u8; 32],
        now_us: u64,
    ) -> KeyStatus {
        if let Some(record) = self.records.get(keyed)
            && record.until_us > now_us
        {
            return if record.print == print {
                record.claim.clone()
            } else {
                KeyStatus::Differs
            };
        }
        if self.records.len() >= MAX_KEYS {
            return KeyStatus::Full;
        }
        let record = Record {
            print,
            claim: KeyStatus::Running,
            until_us: now_us + WINDOW_US,
        };
        self.records.insert(keyed.clone(), record);
        KeyStatus::First
    }

    /// Notes what became of a request; one that has not run may be sent again.
    pub(crate) fn settle(&mut self, keyed: &IdempotencyKey, outcome: &Outcome) {
        let claim = match outcome {
            Outcome::NotRun(_) => return self.forget(keyed),
            Outcome::Unknown(reason) => KeyStatus::Unknown(*reason),
            Outcome::Answered(answer) => self.keep(answer),
        };
        if let Some(record) = self.records.get_mut(keyed) {
            record.claim = claim;
        }
    }

    /// Forgets a key.
    pub(crate) fn forget(&mut self, keyed: &IdempotencyKey) {
        self.records.swap_remove(keyed);
    }

    /// Forgets keys whose time is over.
    pub(crate) fn expire(&mut self, now_us: u64) {
        self.records.retain(|_, record| record.until_us > now_us);
        self.bytes = self
            .records
            .values()
            .map(|record| match &record.claim {
                KeyStatus::Answered(answer) => size(answer),
                _ => 0,
            })
            .sum();
    }

    /// Keys remembered now.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// An answer beyond the bound is not kept, but that there was one is.
    fn keep(&mut self, answer: &Answer) -> KeyStatus {
        let size = size(answer);
        if self.bytes + size > MAX_BYTES {
            return KeyStatus::Unknown(Reason::Repeated);
        }
        self.bytes += size;
        KeyStatus::Answered(answer.clone())
    }
}

fn size(answer: &Answer) -> usize {
    let headers = answer.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
    headers + answer.body.len()
}
