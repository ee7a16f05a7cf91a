//! One named stream of records.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A record and the time of its append.
#[derive(Clone, Debug)]
struct Record {
    appended_at: Instant,
    bytes: Vec<u8>,
}

/// Records by offset; the oldest expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stream {
    oldest: u64,
    records: VecDeque<Record>,
}

/// A bounded piece of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Chunk<'a> {
    /// Oldest offset kept.
    pub(crate) oldest: u64,
    /// Offset of the next append.
    pub(crate) head: u64,
    /// Consecutive records from the wanted offset on.
    pub(crate) records: Vec<&'a [u8]>,
}

impl Stream {
    /// Adds records together; returns the offset of the first.
    pub(crate) fn append(&mut self, batch: Vec<Vec<u8>>, now: Instant) -> u64 {
        let first = self.head();
        let records = batch.into_iter().map(|bytes| Record {
            appended_at: now,
            bytes,
        });
        self.records.extend(records);
        first
    }

    /// Drops records that are too many or too old.
    pub(crate) fn expire(&mut self, max_records: usize, max_age: Duration, now: Instant) {
        while self.is_oldest_expired(max_records, max_age, now) {
            self.records.pop_front();
            self.oldest += 1;
        }
    }

    /// Reads up to `limit` records; `None` when `from` has expired.
    pub(crate) fn read(&self, from: u64, limit: usize) -> Option<Chunk<'_>> {
        let skip = from.checked_sub(self.oldest)?;
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skip).take(limit);
        Some(Chunk {
            oldest: self.oldest,
            head: self.head(),
            records: records.map(|record| record.bytes.as_slice()).collect(),
        })
    }

    /// Oldest offset kept.
    pub(crate) const fn oldest(&self) -> u64 {
        self.oldest
    }

    /// Offset of the next append.
    pub(crate) fn head(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    fn is_oldest_expired(&self, max_records: usize, max_age: Duration, now: Instant) -> bool {
        let Some(record) = self.records.front() else {
            return false;
        };
        self.records.len() > max_records || now.duration_since(record.appended_at) > max_age
    }
}
