//! What the parts of a scheduler process share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;

use super::DispatchSettings;
use super::append_queue::PendingAppend;
use super::clock::Clock;
use crate::runtime::Runtime;
use crate::scheduler::{Election, Event, JobTable, Leader, Millis, Policy, Wave};
use crate::telemetry::Metrics;

/// Everything that is decided on, behind one lock that is never held over I/O.
#[derive(Debug)]
pub(super) struct State {
    pub(super) table: JobTable,
    /// Offset that reading goes on from; `None` when the table must be loaded.
    pub(super) next_offset: Option<u64>,
    /// When the stream was last known to be read to its end.
    pub(super) read_at: Option<Millis>,
    pub(super) policy: Arc<Policy>,
    pub(super) waves: IndexMap<u64, Wave>,
    pub(super) election: Election,
    pub(super) leader: Option<Leader>,
    /// Last batch of this leader that was read back from the stream.
    pub(super) read_back_batch: u64,
    /// The process stops and claims nothing more.
    pub(super) stopping: bool,
}

/// Shared by all tasks of the process.
#[derive(Debug)]
pub(super) struct Shared<S> {
    pub(super) settings: DispatchSettings,
    pub(super) services: S,
    pub(super) metrics: Metrics,
    pub(super) runtime: Runtime,
    pub(super) clock: Clock,
    /// Records of callers, to be stored.
    pub(super) append_queue: Sender<PendingAppend>,
    state: Mutex<State>,
    wakes: (Sender<()>, Receiver<()>),
    read_requests: (Sender<()>, Receiver<()>),
}

impl<S> Shared<S> {
    pub(super) fn new(
        settings: DispatchSettings,
        services: S,
        metrics: Metrics,
        runtime: Runtime,
        append_queue: Sender<PendingAppend>,
    ) -> Self {
        let election = Election::new(&settings.member, settings.incarnation, settings.rank);
        let state = State {
            table: JobTable::default(),
            next_offset: None,
            read_at: None,
            policy: Arc::new(Policy::default()),
            waves: IndexMap::new(),
            election,
            leader: None,
            read_back_batch: 0,
            stopping: false,
        };
        Self {
            settings,
            services,
            metrics,
            runtime,
            clock: Clock::start(),
            append_queue,
            state: Mutex::new(state),
            wakes: async_channel::bounded(1),
            read_requests: async_channel::bounded(1),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the control loop decide now.
    pub(super) fn wake(&self) {
        let _ = self.wakes.0.try_send(());
    }

    /// Waits until something has happened.
    pub(super) async fn wait_for_wake(&self) {
        let _ = self.wakes.1.recv().await;
    }

    /// Lets a follower read the stream now.
    pub(super) fn request_read(&self) {
        let _ = self.read_requests.0.try_send(());
    }

    /// Waits until somebody wants the stream to be read.
    pub(super) async fn wait_for_read_request(&self) {
        let _ = self.read_requests.1.recv().await;
    }
}

impl State {
    /// Address of the leader, if it is another process than `member`.
    pub(super) fn leader_address(&self, member: &str) -> Option<SocketAddr> {
        let holder = self.table.holder();
        let holder = holder.filter(|holder| !holder.released && holder.member != member)?;
        self.table.member_address(&holder.member)
    }

    /// Hands an event to the leader, if this process leads.
    pub(super) fn notify_leader(&mut self, event: Event, now: Millis) {
        if let Some(leader) = &mut self.leader {
            leader.handle(&mut self.table, event, now);
        }
    }

    /// Stops leading. What was decided and not stored is forgotten with the table.
    pub(super) fn step_down(&mut self, cause: &str) {
        if let Some(leader) = self.leader.take() {
            spdlog::warn!("role_lost", kv: { epoch = leader.epoch(), cause });
        }
        self.next_offset = None;
        self.read_at = None;
    }
}
