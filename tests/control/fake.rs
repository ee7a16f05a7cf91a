//! In-memory log, VM list and peer for the tests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use amaranthwick::id::Offset;
use amaranthwick::membership::Peers;
use amaranthwick::peer::Heartbeat;
use amaranthwick::services::{Batch, ListVersion, Listing, Log, LogError, PlatformError, VmList};
use async_io::Timer;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct Stream {
    records: Vec<Vec<u8>>,
    oldest: usize,
}

#[derive(Debug, Default)]
struct Inner {
    streams: HashMap<String, Stream>,
    failure: Option<LogError>,
    lose_replies: u32,
}

/// An in-memory log whose calls can be made to fail.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeLog(Arc<Mutex<Inner>>);

impl FakeLog {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn push(&self, stream: &str, records: &[Vec<u8>]) {
        let mut inner = self.lock();
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        stream.records.extend_from_slice(records);
    }

    pub(crate) fn len(&self, stream: &str) -> usize {
        self.lock()
            .streams
            .get(stream)
            .map_or(0, |s| s.records.len())
    }

    pub(crate) fn set_failure(&self, error: Option<LogError>) {
        self.lock().failure = error;
    }

    /// Lets the next `count` appends take effect but fail as if their reply was lost.
    pub(crate) fn lose_replies(&self, count: u32) {
        self.lock().lose_replies = count;
    }

    /// Expires all records of a stream but the last `kept`.
    pub(crate) fn expire(&self, stream: &str, kept: usize) {
        let mut inner = self.lock();
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        stream.oldest = stream.records.len().saturating_sub(kept);
    }

    /// Changes a byte of the last record of a stream.
    pub(crate) fn corrupt_last(&self, stream: &str) {
        let mut inner = self.lock();
        let records = &mut inner.streams.entry(stream.to_owned()).or_default().records;
        if let Some(byte) = records.last_mut().and_then(|bytes| bytes.last_mut()) {
            *byte ^= 1;
        }
    }

    fn batch(&self, stream: &str, from: Offset, limit: usize) -> Result<Batch, LogError> {
        let mut inner = self.lock();
        if let Some(error) = &inner.failure {
            return Err(error.clone());
        }
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        let first = usize::try_from(from.0).expect("small");
        if first < stream.oldest {
            return Err(LogError::Expired(Offset(stream.oldest as u64)));
        }
        let records = stream.records.iter().skip(first).take(limit);
        Ok(Batch {
            oldest: Offset(stream.oldest as u64),
            head: Offset(stream.records.len() as u64),
            first: from,
            records: records.cloned().collect(),
        })
    }
}

impl Log for FakeLog {
    async fn append(&self, stream: &str, records: &[Vec<u8>]) -> Result<Offset, LogError> {
        if let Some(error) = &self.lock().failure {
            return Err(error.clone());
        }
        let first = Offset(self.len(stream) as u64);
        self.push(stream, records);
        let mut inner = self.lock();
        if inner.lose_replies > 0 {
            inner.lose_replies -= 1;
            return Err(LogError::Unknown("answer lost".to_owned()));
        }
        Ok(first)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait_ms: u64,
    ) -> Result<Batch, LogError> {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let batch = self.batch(stream, from, limit)?;
            if !batch.records.is_empty() || Instant::now() >= end {
                return Ok(batch);
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

/// A VM list without VMs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EmptyVmList;

impl VmList for EmptyVmList {
    async fn list(&self, _known: Option<ListVersion>) -> Result<Listing, PlatformError> {
        let (version, vms) = (ListVersion(1), Vec::new());
        Ok(Listing::Whole { version, vms })
    }
}

/// A peer that returns a fixed state, if any, and exchanges no heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct StatePeer(pub(crate) Option<Vec<u8>>);

impl Peers for StatePeer {
    fn sends_heartbeats(&self) -> bool {
        false
    }

    async fn send_heartbeat(&self, _to: SocketAddr, _heartbeat: Heartbeat) -> Option<Heartbeat> {
        None
    }

    async fn fetch_state(&self, _of: SocketAddr) -> Option<Vec<u8>> {
        self.0.clone()
    }
}
