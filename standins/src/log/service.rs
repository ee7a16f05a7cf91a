//! HTTP API of the log service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use event_listener::Event;
use futures_lite::future;
use http_types::Method;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::rate_limiter::RateLimiter;
use super::stream::{Chunk, Stream};
use crate::fault::Site;
use crate::serve::{Call, Reply, Service};
use crate::spec::LogSpec;

const MAX_WAIT_MS: u64 = 60_000;
const MAX_READ_RECORDS: u64 = 10_000;
const MAX_RECORD_BYTES: usize = 8 << 20;

/// The log service.
#[derive(Debug)]
pub(crate) struct LogService {
    spec: LogSpec,
    site: Arc<Site>,
    state: Mutex<State>,
    appended: Event,
}

#[derive(Debug)]
struct State {
    streams: IndexMap<String, Stream>,
    rate_limiter: RateLimiter,
    appends: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AppendCall {
    records: Vec<String>,
}

#[derive(Debug, Serialize)]
struct ReadReply {
    oldest: u64,
    head: u64,
    first: u64,
    records: Vec<String>,
}

/// Parameters of a read.
struct ReadRequest<'a> {
    stream: &'a str,
    from: u64,
    limit: usize,
}

impl LogService {
    /// Creates an empty log; long polls end when `site` becomes unavailable.
    pub(crate) fn new(spec: &LogSpec, site: Arc<Site>, now: Instant) -> Self {
        Self {
            spec: spec.clone(),
            site,
            state: Mutex::new(State {
                streams: IndexMap::new(),
                rate_limiter: RateLimiter::new(spec.append_rate, now),
                appends: 0,
            }),
            appended: Event::new(),
        }
    }

    /// Appends a batch to a stream, without the rate limit; returns the offset of its first
    /// record.
    pub(crate) fn append(&self, stream: &str, batch: Vec<Vec<u8>>) -> u64 {
        let now = Instant::now();
        let mut state = self.lock();
        state.appends += 1;
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let first = stream.append(batch, now);
        self.expire(stream, now);
        drop(state);
        self.appended.notify(usize::MAX);
        first
    }

    /// Offset that the next record of a stream will get; 0 for an unknown stream.
    pub(crate) fn head(&self, stream: &str) -> u64 {
        self.lock().streams.get(stream).map_or(0, Stream::head)
    }

    /// Number of appends that took effect; a batch counts once.
    pub(crate) fn appends(&self) -> u64 {
        self.lock().appends
    }

    /// Drops the records before offset `oldest`, as retention would.
    pub(crate) fn expire_before(&self, stream: &str, oldest: u64) {
        let mut state = self.lock();
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let kept = stream.head().saturating_sub(oldest);
        let kept = usize::try_from(kept).unwrap_or(usize::MAX);
        stream.expire(kept, Duration::MAX, Instant::now());
    }

    fn append_call(&self, stream: &str, call: &Call) -> Reply {
        let body: AppendCall = match call.json() {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        if body.records.is_empty() {
            return Reply::error(400, "no records");
        }
        let decoded: Result<Vec<_>, _> = body.records.iter().map(|r| STANDARD.decode(r)).collect();
        let Ok(batch) = decoded else {
            return Reply::error(400, "a record is not base64");
        };
        if batch.iter().any(|record| record.len() > MAX_RECORD_BYTES) {
            return Reply::error(413, "a record is too large");
        }
        if !self.lock().rate_limiter.try_acquire(Instant::now()) {
            return Reply::error(503, "too many appends a second").with_header("Retry-After", "1");
        }
        let first = self.append(stream, batch);
        Reply::json(200, &json!({ "first": first }))
    }

    async fn read_call(&self, stream: &str, call: &Call) -> Reply {
        match self.try_read_call(stream, call).await {
            Ok(reply) | Err(reply) => reply,
        }
    }

    async fn try_read_call(&self, stream: &str, call: &Call) -> Result<Reply, Reply> {
        let from = call.query_number("from", 0)?;
        let limit = call.query_number("limit", MAX_READ_RECORDS)?;
        let wait_ms = call.query_number("wait_ms", 0)?.min(MAX_WAIT_MS);
        let limit = usize::try_from(limit.min(MAX_READ_RECORDS)).unwrap_or(usize::MAX);
        let request = ReadRequest {
            stream,
            from,
            limit,
        };
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let unavailable = async {
            self.site.wait_until_unavailable().await;
            Reply::unavailable()
        };
        Ok(future::or(unavailable, self.long_poll(&request, deadline)).await)
    }

    async fn long_poll(&self, request: &ReadRequest<'_>, deadline: Instant) -> Reply {
        loop {
            let appended = self.appended.listen();
            let now = Instant::now();
            if let Some(reply) = self.try_read(request, now >= deadline, now) {
                return reply;
            }
            let timeout = async {
                Timer::at(deadline).await;
            };
            future::or(appended, timeout).await;
        }
    }

    /// Returns `None` if there is no record yet and the request hasn't timed out.
    fn try_read(&self, request: &ReadRequest<'_>, timed_out: bool, now: Instant) -> Option<Reply> {
        let mut state = self.lock();
        let stream = state.streams.entry(request.stream.to_owned()).or_default();
        self.expire(stream, now);
        let Some(chunk) = stream.read(request.from, request.limit) else {
            let oldest = stream.oldest();
            return Some(Reply::json(410, &json!({ "oldest": oldest })));
        };
        if chunk.records.is_empty() && !timed_out {
            return None;
        }
        Some(read_reply(request.from, &chunk))
    }

    fn expire(&self, stream: &mut Stream, now: Instant) {
        let max_age = Duration::from_millis(self.spec.max_age_ms);
        stream.expire(self.spec.max_records, max_age, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for LogService {
    async fn answer(&self, call: Call) -> Reply {
        match (call.method(), call.path_segments().as_slice()) {
            (Method::Post, ["streams", stream, "records"]) => self.append_call(stream, &call),
            (Method::Get, ["streams", stream, "records"]) => self.read_call(stream, &call).await,
            _ => Reply::error(404, "no such call"),
        }
    }
}

fn read_reply(from: u64, chunk: &Chunk<'_>) -> Reply {
    let body = ReadReply {
        oldest: chunk.oldest,
        head: chunk.head,
        first: from,
        records: chunk.records.iter().map(|r| STANDARD.encode(r)).collect(),
    };
    Reply::json(200, &body)
}
