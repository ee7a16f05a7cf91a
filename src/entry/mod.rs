//! The entry process: accepts callers' requests, queues them and sends them to targets.
//!
//! One entry of a data centre, the owner, queues and runs all requests of a pool. The
//! other entries forward such requests to it.

mod answer;
mod attempt;
mod auth;
mod balancer;
mod callers;
mod ceilings;
mod clock;
mod fair_queue;
mod headers;
mod idempotency_store;
mod idempotent_runner;
mod jobs;
mod local_runner;
mod meter;
mod peers;
mod pool_queue;
mod retry;
mod route;
mod run_to_completion;
mod scheduler;
mod shared;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use async_executor::Task;
use async_io::Timer;

use crate::config::EntryConfig;
use crate::control::Control;
use crate::http::{ConnectionCount, Server, ServerLimits, timeout};
use crate::peer;
use crate::runtime::Runtime;
use crate::telemetry::{DaemonStatus, Metrics};

use auth::Authorizer;
use callers::CallerHandler;
use idempotent_runner::IdempotentRunner;
use local_runner::LocalRunner;
use peers::PeerHandler;
use route::Router;
use shared::{OutcomeCounts, Shared};

/// Interval at which queues are checked for requests that no event has started, and idle
/// connections are closed, in ms.
const TICK_INTERVAL_MS: u64 = 50;

/// Interval at which expired idempotency keys are removed, in ms.
const KEY_EXPIRY_INTERVAL_MS: u64 = 5_000;

/// Longest interval between two reports of running and waiting requests, in ms.
const REPORT_INTERVAL_MS: u64 = 100;

/// Interval at which a stopping entry checks whether all requests have ended, in ms.
const STOP_POLL_MS: u64 = 20;

/// Time that a stopping entry leaves for the last answers to be written, in ms.
const FLUSH_DELAY_MS: u64 = 100;

/// Longest time that a stopping entry waits for requests to end, in ms.
const STOP_TIMEOUT_MS: u64 = 600_000;

/// Connections that other processes may have open to this one.
const MAX_PEER_CONNECTIONS: usize = 16_384;

/// Bytes that a message between processes may have besides the body that it carries.
const PEER_OVERHEAD_BYTES: usize = 64 << 10;

/// A running entry; [`Entry::stop`] ends it gracefully.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    callers: Server,
    peers: peer::Server,
    drain: Duration,
    _tick: Task<()>,
    _report: Task<()>,
    _expire: Task<()>,
}

impl Entry {
    /// Starts traffic threads and serves callers and other processes, following the views
    /// that `control` publishes.
    ///
    /// # Errors
    /// Fails when a thread can't be started or an address can't be bound.
    pub fn open(config: &EntryConfig, control: Control) -> Result<Self> {
        let runtime = Runtime::start(config.threads)?;
        Self::open_on(config, control, &runtime)
    }

    /// Like [`Entry::open`], but on the traffic threads of a given `runtime`.
    ///
    /// # Errors
    /// Fails when an address can't be bound.
    pub fn open_on(config: &EntryConfig, control: Control, runtime: &Runtime) -> Result<Self> {
        let common = &config.common;
        let max_body = config.max_body_bytes;
        let local_runner = Arc::new(LocalRunner::new(
            common.data_centre.clone(),
            runtime.clone(),
            control.clone(),
            max_body,
        ));
        let peers = Arc::new(peer::Client::new(common.secret.clone()));
        let idempotent_runner = IdempotentRunner::new(
            Arc::clone(&local_runner),
            Arc::clone(&peers),
            runtime.clone(),
        );
        let router = Router::new(
            common.id.clone(),
            common.data_centre.clone(),
            control.clone(),
            peers,
            Arc::clone(&local_runner),
            Arc::new(idempotent_runner),
            max_body,
        );
        let shared = Arc::new(Shared {
            control,
            authorizer: Authorizer::new(config.stale_ms),
            local_runner,
            router,
            outcome_counts: OutcomeCounts::default(),
            metrics: Metrics::new(),
            in_flight: 0.into(),
            stop_requested: false.into(),
        });
        let peer_limits = ServerLimits {
            max_connections: MAX_PEER_CONNECTIONS,
            max_body: max_body + PEER_OVERHEAD_BYTES,
            ..ServerLimits::default()
        };
        let handler = PeerHandler(Arc::clone(&shared));
        let secret = common.secret.clone();
        let peers = peer::Server::bind(common.peer, runtime, secret, peer_limits, handler)
            .with_context(|| format!("listen for other processes on {}", common.peer))?;
        let caller_limits = ServerLimits {
            max_connections: config.max_callers,
            max_body,
            ..ServerLimits::default()
        };
        let handler = CallerHandler(Arc::clone(&shared));
        let callers = Server::bind(config.callers, runtime, caller_limits, handler)
            .with_context(|| format!("listen for callers on {}", config.callers))?;
        Ok(Self {
            _tick: runtime.spawn(tick(Arc::clone(&shared))),
            _expire: runtime.spawn(expire_keys(Arc::clone(&shared))),
            _report: runtime.spawn(report(Arc::clone(&shared), callers.connection_count())),
            shared,
            callers,
            peers,
            drain: Duration::from_millis(config.drain_ms),
        })
    }

    /// Address that callers connect to, with the port that was bound.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address that other processes connect to, with the port that was bound.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Metrics of callers' requests, served at the admin address.
    #[must_use]
    pub fn metrics(&self) -> Metrics {
        self.shared.metrics.clone()
    }

    /// Handle for health and the state dump; it stays usable after the entry has stopped.
    #[must_use]
    pub fn state(&self) -> State {
        State(Arc::clone(&self.shared))
    }

    /// State for the admin address as JSON; contains no secrets.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        self.state().dump()
    }

    /// Stops gracefully: fails the health check, keeps the listeners open for the drain
    /// time so that load balancers can move on, closes them and waits for the requests in
    /// flight, for 10 minutes at most.
    pub async fn stop(self) {
        let Self {
            shared,
            callers,
            peers,
            drain,
            _tick,
            _report,
            _expire,
        } = self;
        shared.stop_requested.store(true, Ordering::Relaxed);
        spdlog::info!("entry_stopping", kv: { busy = shared.in_flight() });
        Timer::after(drain).await;
        drop(callers);
        drop(peers);
        let start = Instant::now();
        while shared.in_flight() > 0 && start.elapsed() < Duration::from_millis(STOP_TIMEOUT_MS) {
            Timer::after(Duration::from_millis(STOP_POLL_MS)).await;
        }
        Timer::after(Duration::from_millis(FLUSH_DELAY_MS)).await;
        spdlog::info!("entry_stopped", kv: { busy = shared.in_flight() });
    }
}

/// Health and state of an entry, as the admin address shows them.
#[derive(Clone, Debug)]
pub struct State(Arc<Shared>);

impl State {
    /// State for the admin address as JSON; contains no secrets.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "stopping": self.0.stopping(),
            "busy": self.0.in_flight(),
            "outcomes": self.0.outcome_counts.dump(),
            "idempotency_keys": self.0.router.idempotent_runner().key_count(),
            "owner": self.0.local_runner.dump(),
        })
    }

    /// False once the entry has been told to stop.
    #[must_use]
    pub fn healthy(&self) -> bool {
        !self.0.stopping()
    }
}

impl DaemonStatus for State {
    async fn dump(&self) -> serde_json::Value {
        Self::dump(self)
    }

    fn healthy(&self) -> bool {
        Self::healthy(self)
    }
}

async fn tick(shared: Arc<Shared>) {
    loop {
        Timer::after(Duration::from_millis(TICK_INTERVAL_MS)).await;
        shared.local_runner.start_ready();
        shared.local_runner.close_idle_connections();
        shared.router.close_idle_connections();
    }
}

/// Has an interval of its own because it scans all remembered keys.
async fn expire_keys(shared: Arc<Shared>) {
    loop {
        Timer::after(Duration::from_millis(KEY_EXPIRY_INTERVAL_MS)).await;
        shared.router.idempotent_runner().remove_expired();
    }
}

/// Reports running and waiting requests to the control thread: at an interval, and at
/// once when a request has to wait because its team is at its limit.
async fn report(shared: Arc<Shared>, callers: Arc<ConnectionCount>) {
    loop {
        meter::set_caller_connections(&shared.metrics, callers.get());
        shared.local_runner.update_gauges(&shared.metrics);
        shared.control.report(shared.local_runner.report()).await;
        timeout(REPORT_INTERVAL_MS, shared.local_runner.limit_reached()).await;
    }
}
