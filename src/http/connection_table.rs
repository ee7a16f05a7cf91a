//! The open connections of a server and the memory that they hold.
//!
//! A server that runs out of places or memory closes connections whose request is not complete, the
//! slowest and largest first, so that a client that holds many of them keeps no other one out. A
//! request that was passed to the handler is never given up for another.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;

use super::ServerLimits;

/// Shortest time in which a connection is idle, or its request is incomplete, before it is closed for a
/// new connection.
const MIN_AGE: Duration = Duration::from_secs(2);

/// Requests of up to this size are not closed for memory, in bytes.
const SMALL_REQUEST_BYTES: usize = 8 << 10;

/// Interval at which connections that were closed are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for the first byte of a request.
    Idle,
    /// Its request is not complete.
    Reading,
    /// The handler has its request.
    Handling,
    /// Its response is being written.
    Writing,
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    since: Instant,
    /// Bytes that its buffers hold.
    held: usize,
    /// Dropped to revoke the entry, which tells the connection to close; `None` from then on.
    revoke: Option<Sender<()>>,
}

impl Entry {
    const fn is_revoked(&self) -> bool {
        self.revoke.is_none()
    }

    /// Memory that it holds multiplied by the time for which it has done so.
    fn cost(&self, now: Instant) -> u128 {
        let age_ms = now.duration_since(self.since).as_millis();
        (age_ms + 1).saturating_mul(self.held as u128)
    }
}

#[derive(Debug)]
struct State {
    entries: IndexMap<u64, Entry>,
    last_id: u64,
    /// Sum of what the entries hold, in bytes.
    held: usize,
    /// Part of it that revoked entries hold, whose connections are not closed yet.
    revoked_bytes: usize,
    /// Number of revoked entries.
    revoked_count: usize,
    revoked_log: LogThrottle,
    refused_log: LogThrottle,
    /// Refusals by status; 0 for connections that were closed without an answer.
    refused: IndexMap<u16, u64>,
}

/// Limits log lines of a kind to one in [`LOG_INTERVAL`].
#[derive(Debug, Default)]
struct LogThrottle {
    logged_at: Option<Instant>,
    /// Events since the latest line.
    unlogged: u64,
}

impl LogThrottle {
    /// Counts an event. Returns the number of events since the latest line if one is due.
    fn count(&mut self, now: Instant) -> Option<u64> {
        self.unlogged += 1;
        let early = self
            .logged_at
            .is_some_and(|at| now.duration_since(at) < LOG_INTERVAL);
        if early {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }
}

impl State {
    fn remove(&mut self, id: u64) {
        if let Some(entry) = self.entries.swap_remove(&id) {
            self.held -= entry.held;
            if entry.is_revoked() {
                self.revoked_bytes -= entry.held;
                self.revoked_count -= 1;
            }
        }
    }

    /// The connection to close for a new one: that with the slowest request, or else the one whose client
    /// has not read its response for longest, or has been idle. `None` if all are young, or the handler
    /// has their requests.
    fn slowest(&self, now: Instant) -> Option<u64> {
        let rank = |entry: &Entry| {
            let class = match entry.phase {
                Phase::Reading => 2,
                Phase::Writing => 1,
                Phase::Idle | Phase::Handling => 0,
            };
            (class, now.duration_since(entry.since))
        };
        let entries = self.entries.iter();
        let removable = entries.filter(|(_, entry)| {
            let young = now.duration_since(entry.since) < MIN_AGE;
            entry.phase != Phase::Handling && !young && !entry.is_revoked()
        });
        let slowest = removable.max_by_key(|(_, entry)| rank(entry));
        slowest.map(|(id, _)| *id)
    }

    /// The connection to close for memory: that of the incomplete request with the highest cost.
    fn costliest(&self, now: Instant) -> Option<u64> {
        let entries = self.entries.iter();
        let removable = entries.filter(|(_, entry)| {
            let large = entry.held > SMALL_REQUEST_BYTES;
            entry.phase == Phase::Reading && large && !entry.is_revoked()
        });
        let costliest = removable.max_by_key(|(_, entry)| entry.cost(now));
        costliest.map(|(id, _)| *id)
    }
}

/// The open connections of a server.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    max_connections: usize,
    max_bytes: usize,
    state: Mutex<State>,
    revoked: AtomicU64,
}

impl ConnectionTable {
    pub(crate) fn new(limits: &ServerLimits) -> Self {
        Self {
            max_connections: limits.max_connections,
            max_bytes: limits.max_bytes,
            state: Mutex::new(State {
                entries: IndexMap::new(),
                last_id: 0,
                held: 0,
                revoked_bytes: 0,
                revoked_count: 0,
                revoked_log: LogThrottle::default(),
                refused_log: LogThrottle::default(),
                refused: IndexMap::new(),
            }),
            revoked: AtomicU64::new(0),
        }
    }

    /// Adds a connection. Closes another one if there are too many; `None` if none can be closed.
    pub(crate) fn open(self: &Arc<Self>) -> Option<Place> {
        let now = Instant::now();
        let mut state = self.lock();
        if state.entries.len() - state.revoked_count >= self.max_connections {
            let slowest = state.slowest(now)?;
            self.revoke(&mut state, slowest, "connections", now);
        }
        state.last_id += 1;
        let id = state.last_id;
        let (revoke, revoked) = async_channel::bounded(1);
        let entry = Entry {
            phase: Phase::Idle,
            since: now,
            held: 0,
            revoke: Some(revoke),
        };
        state.entries.insert(id, entry);
        Some(Place {
            table: Arc::clone(self),
            id,
            revoked,
        })
    }

    /// Connections that were closed to make room for others.
    pub(crate) fn revoked(&self) -> u64 {
        self.revoked.load(Ordering::Relaxed)
    }

    fn revoke(&self, state: &mut State, id: u64, limit: &'static str, now: Instant) {
        let Some(entry) = state.entries.get_mut(&id) else {
            return;
        };
        entry.revoke = None;
        state.revoked_bytes += entry.held;
        state.revoked_count += 1;
        self.revoked.fetch_add(1, Ordering::Relaxed);
        if let Some(count) = state.revoked_log.count(now) {
            spdlog::warn!("connections_revoked", kv: {
                limit, count, open = state.entries.len(), held = state.held
            });
        }
    }

    /// Counts a request or connection that was refused before a handler had it, with the status of the
    /// answer, or 0 for none.
    pub(crate) fn note_refusal(&self, status: u16, cause: &str) {
        let mut state = self.lock();
        *state.refused.entry(status).or_default() += 1;
        if let Some(count) = state.refused_log.count(Instant::now()) {
            spdlog::warn!("requests_refused", kv: { status, cause, count, open = state.entries.len() });
        }
    }

    /// Refusals so far, by status.
    pub(crate) fn refused(&self) -> Vec<(u16, u64)> {
        let state = self.lock();
        state
            .refused
            .iter()
            .map(|(status, count)| (*status, *count))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a connection may keep the memory that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hold {
    /// It may.
    Granted,
    /// Others have to free theirs before it reads on.
    Waiting,
    /// Its place was revoked: it has to free the memory and close.
    Revoked,
}

/// The place of an open connection in the table; dropping it frees the place.
#[derive(Debug)]
pub(crate) struct Place {
    table: Arc<ConnectionTable>,
    id: u64,
    revoked: Receiver<()>,
}

impl Place {
    /// Notes what the connection does from now on. Returns false if its place was revoked.
    pub(crate) fn enter(&self, phase: Phase) -> bool {
        let mut state = self.table.lock();
        let entry = state.entries.get_mut(&self.id);
        let Some(entry) = entry.filter(|entry| !entry.is_revoked()) else {
            return false;
        };
        entry.phase = phase;
        entry.since = Instant::now();
        true
    }

    /// Notes that the buffers of the connection hold `bytes`. If all hold too much, the places
    /// of others are revoked.
    pub(crate) fn hold(&self, bytes: usize) -> Hold {
        let now = Instant::now();
        let mut state = self.table.lock();
        let Some(entry) = state.entries.get_mut(&self.id) else {
            return Hold::Revoked;
        };
        if entry.is_revoked() {
            return Hold::Revoked;
        }
        let before = std::mem::replace(&mut entry.held, bytes);
        let reading = entry.phase == Phase::Reading;
        state.held = state.held - before + bytes;
        while state.held - state.revoked_bytes > self.table.max_bytes {
            let Some(costliest) = state.costliest(now) else {
                break;
            };
            self.table.revoke(&mut state, costliest, "bytes", now);
            if costliest == self.id {
                return Hold::Revoked;
            }
        }
        if reading && state.revoked_bytes > 0 && state.held > self.table.max_bytes {
            Hold::Waiting
        } else {
            Hold::Granted
        }
    }

    /// Completes once the place is revoked.
    pub(crate) async fn revoked(&self) {
        let _ = self.revoked.recv().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.table.lock().remove(self.id);
    }
}
