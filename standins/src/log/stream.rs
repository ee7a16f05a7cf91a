//! One named stream of records.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A record and the time when it was appended.
#[derive(Clone, Debug)]
struct Record {
    appended_at: Instant,
    bytes: Vec<u8>,
}

/// Records with consecutive offsets, from `oldest` on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stream {
    oldest: u64,
    records: VecDeque<Record>,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Chunk<'a> {
    /// Oldest offset that the stream still has.
    pub(crate) oldest: u64,
    /// Offset that the next record will get.
    pub(crate) head: u64,
    /// Records from the requested offset on.
    pub(crate) records: Vec<&'a [u8]>,
}

impl Stream {
    /// Appends a batch; returns the offset of its first record.
    pub(crate) fn append(&mut self, batch: Vec<Vec<u8>>, now: Instant) -> u64 {
        let first = self.head();
        let records = batch.into_iter().map(|bytes| Record {
            appended_at: now,
            bytes,
        });
        self.records.extend(records);
        first
    }

    /// Drops the oldest records while there are more than `max_records`, or while they are older
    /// than `max_age`.
    pub(crate) fn expire(&mut self, max_records: usize, max_age: Duration, now: Instant) {
        while self.is_oldest_expired(max_records, max_age, now) {
            self.records.pop_front();
            self.oldest += 1;
        }
    }

    /// Reads up to `limit` records from offset `from` on; `None` if `from` has expired.
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

    /// Oldest offset that the stream still has.
    pub(crate) const fn oldest(&self) -> u64 {
        self.oldest
    }

    /// Offset that the next record will get.
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
