//! Client connections that are kept open and reused for later requests.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::codec;
use super::deadline::timeout;
use super::exchange::Exchange;
use super::head::{MessageError, ReplyHead, parse_reply_head};
use super::stream::{BufferedStream, ReadError};
use super::{ClientLimits, Reply, Request};

/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Connections idle for this long are closed; common servers keep them open for 5 s.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// A connection idle for this long is used only for requests that may be sent twice: a
/// device on the path may have dropped its state for the connection.
const RECENT_LIMIT: Duration = Duration::from_millis(500);

/// Limit for the idle connections to one address; further ones are closed.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// How a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be established.
    Connect,
    /// The connection was closed or failed before the complete response was read.
    Cut,
    /// The response violates the protocol or exceeds a limit.
    BadAnswer,
    /// The time limit passed before the complete response was read.
    Silent,
    /// The request can't be encoded as HTTP.
    BadRequest,
    /// The caller no longer allowed the request when it was to be written.
    Withdrawn,
}

/// A request that got no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// Bytes of the request that the kernel accepted; if 0, the request has not run.
    pub written: usize,
    /// Cause for people to read.
    pub detail: String,
}

impl Failure {
    fn new(kind: FailureKind, written: usize, detail: &impl ToString) -> Self {
        Self {
            kind,
            written,
            detail: detail.to_string(),
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    stream: BufferedStream,
    idle_since: Instant,
}

/// Which idle connections may be reused for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// One that has been idle for less than 4 s; for requests that may be sent twice.
    Any,
    /// One that has been idle for less than 500 ms.
    Recent,
    /// None: a new connection is opened.
    Never,
}

impl Reuse {
    /// A connection may be reused if it has been idle for less than this.
    const fn max_idle(self) -> Duration {
        match self {
            Self::Any => IDLE_LIMIT,
            Self::Recent => RECENT_LIMIT,
            Self::Never => Duration::ZERO,
        }
    }
}

/// Idle connections, by server address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<IndexMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// A pool without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends `request` to `address`, over an idle connection if `reuse` allows one, and reads
    /// the complete response.
    ///
    /// # Errors
    /// The failure tells how much of the request was written.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &Request,
        reuse: Reuse,
        limits: &ClientLimits,
    ) -> Result<Reply, Failure> {
        self.send_if(address, request, reuse, limits, || true).await
    }

    /// Sends `request` as [`Self::send`] does, but only if `allowed` returns true once the
    /// connection is open, immediately before the request is written.
    ///
    /// # Errors
    /// The failure tells how much of the request was written; it is [`FailureKind::Withdrawn`] if
    /// the request was not allowed.
    pub async fn send_if(
        &self,
        address: SocketAddr,
        request: &Request,
        reuse: Reuse,
        limits: &ClientLimits,
        allowed: impl Fn() -> bool + Send,
    ) -> Result<Reply, Failure> {
        let bytes = codec::encode_request(&address.to_string(), request)
            .map_err(|e| Failure::new(FailureKind::BadRequest, 0, &e))?;
        let mut exchange = match self.take_idle(address, reuse.max_idle()) {
            Some(stream) => Exchange::begin(stream),
            None => connect(address, limits).await?,
        };
        if !allowed() {
            return Err(Failure::new(FailureKind::Withdrawn, 0, &"withdrawn"));
        }
        let stream = exchange.stream();
        let mut written = 0;
        let started = Instant::now();
        let work = send_request(stream, &bytes, &request.method, &mut written);
        let head = timeout(limits.response_ms, work).await;
        let head = match head.unwrap_or_else(timed_out) {
            Ok(head) => head,
            Err((kind, detail)) => return Err(self.failed(address, kind, written, &detail)),
        };
        let limit_ms = limits.response_ms.saturating_add(limits.body_ms);
        let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let work = read_response(stream, &head, limits);
        let reply = timeout(limit_ms.saturating_sub(elapsed_ms), work).await;
        match reply.unwrap_or_else(timed_out) {
            Ok(reply) => {
                let stream = exchange.finish();
                if !head.close && stream.unread().is_empty() {
                    self.put_back(address, stream);
                }
                Ok(reply)
            }
            Err((kind, detail)) => Err(self.failed(address, kind, written, &detail)),
        }
    }

    fn failed(
        &self,
        address: SocketAddr,
        kind: FailureKind,
        written: usize,
        detail: &str,
    ) -> Failure {
        if kind == FailureKind::Silent {
            self.close_idle(address);
        }
        Failure::new(kind, written, &detail.to_owned())
    }

    /// Closes all idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().swap_remove(&address);
    }

    /// Closes the connections that have been idle for 4 s or longer.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idle| {
            idle.retain(|entry| now - entry.idle_since < IDLE_LIMIT);
            !idle.is_empty()
        });
    }

    /// Number of idle connections to all addresses.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    /// Takes a connection that has been idle for less than `limit`.
    fn take_idle(&self, address: SocketAddr, limit: Duration) -> Option<BufferedStream> {
        let mut idle = self.lock();
        let entries = idle.get_mut(&address)?;
        while let Some(entry) = entries.pop() {
            if entry.idle_since.elapsed() >= limit {
                // The rest have been idle for longer.
                entries.clear();
                return None;
            }
            if entry.stream.is_quiet() {
                return Some(entry.stream);
            }
        }
        None
    }

    fn put_back(&self, address: SocketAddr, stream: BufferedStream) {
        let mut idle = self.lock();
        let entries = idle.entry(address).or_default();
        if entries.len() < MAX_IDLE_PER_ADDRESS {
            entries.push(IdleConnection {
                stream,
                idle_since: Instant::now(),
            });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr, limits: &ClientLimits) -> Result<Exchange, Failure> {
    let started = Instant::now();
    let connected = timeout(limits.connect_ms, Exchange::connect(address)).await;
    // A process that was held up finds the connection open although the time is over.
    let in_time = started.elapsed() <= Duration::from_millis(limits.connect_ms);
    connected
        .filter(|_| in_time)
        .ok_or_else(|| Failure::new(FailureKind::Connect, 0, &"connect timeout"))?
        .map_err(|e| Failure::new(FailureKind::Connect, 0, &e))
}

type FailureCause = (FailureKind, String);

fn timed_out<T>() -> Result<T, FailureCause> {
    Err((FailureKind::Silent, "timeout".to_owned()))
}

/// Writes a request and reads the head of its response.
async fn send_request(
    stream: &mut BufferedStream,
    bytes: &[u8],
    method: &str,
    written: &mut usize,
) -> Result<ReplyHead, FailureCause> {
    stream
        .write_all(bytes, written)
        .await
        .map_err(|e| (FailureKind::Cut, e.to_string()))?;
    stream
        .read_head(MAX_HEAD_BYTES, |bytes| parse_reply_head(bytes, method))
        .await
        .map_err(|e| read_failure(&e))
}

/// Reads the body of a response whose head has been received, and decodes the response.
async fn read_response(
    stream: &mut BufferedStream,
    head: &ReplyHead,
    limits: &ClientLimits,
) -> Result<Reply, FailureCause> {
    let raw = stream.take(head.size);
    let body = stream
        .read_body(head.framing, limits.max_body)
        .await
        .map_err(|e| read_failure(&e))?;
    codec::decode_reply(&raw, body).map_err(|e| (FailureKind::BadAnswer, e.to_string()))
}

fn read_failure(error: &ReadError) -> FailureCause {
    match error {
        ReadError::Closed | ReadError::Revoked => (FailureKind::Cut, "connection ended".to_owned()),
        ReadError::Invalid(MessageError { detail, .. }) => {
            (FailureKind::BadAnswer, (*detail).to_owned())
        }
    }
}
