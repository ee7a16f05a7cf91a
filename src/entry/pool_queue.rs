//! Waiting requests of one pool, woken when their turn comes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;

use super::balancer::Health;
use super::ceilings::Ceilings;
use super::clock::Clock;
use super::fair_queue::Ticket;
use super::scheduler::{Admitted, Grant, Scheduler, Submission};
use crate::id::{DataCentre, PoolId, TeamId};
use crate::outcome::Reason;
use crate::view::View;

/// The scheduler of one pool and the requests that wait for it.
#[derive(Debug)]
pub(crate) struct PoolQueue {
    pool: PoolId,
    data_centre: DataCentre,
    clock: Clock,
    ceilings: Arc<Ceilings>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    grant_txs: IndexMap<Ticket, Sender<Grant>>,
    view: Option<Arc<View>>,
}

impl PoolQueue {
    pub(crate) fn new(
        pool: PoolId,
        data_centre: DataCentre,
        clock: Clock,
        ceilings: Arc<Ceilings>,
    ) -> Self {
        let state = State {
            scheduler: Scheduler::default(),
            grant_txs: IndexMap::new(),
            view: None,
        };
        Self {
            pool,
            data_centre,
            clock,
            ceilings,
            state: Mutex::new(state),
        }
    }

    /// Queues a request.
    pub(crate) fn submit(
        self: &Arc<Self>,
        submission: Submission,
        view: &Arc<View>,
    ) -> Result<QueueGuard, Reason> {
        let (grant_tx, grant_rx) = async_channel::bounded(1);
        let mut state = self.lock();
        self.apply_view(&mut state, view);
        let Admitted { ticket, evicted } =
            state.scheduler.submit(submission, self.clock.now_us())?;
        if let Some(evicted) = evicted {
            state.grant_txs.swap_remove(&evicted);
        }
        state.grant_txs.insert(ticket, grant_tx);
        self.grant_ready(&mut state);
        Ok(QueueGuard {
            queue: Arc::clone(self),
            ticket,
            grant_rx,
            grant_received: false,
        })
    }

    /// Starts what can start, on the targets of `view`.
    pub(crate) fn start_ready(&self, view: &Arc<View>) {
        let mut state = self.lock();
        self.apply_view(&mut state, view);
        self.grant_ready(&mut state);
    }

    /// The pool.
    pub(crate) const fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Waiting requests.
    pub(crate) fn queued(&self) -> usize {
        self.lock().scheduler.queue().len()
    }

    /// Waiting requests of each team.
    pub(crate) fn add_queued_by_team(&self, waiting: &mut IndexMap<TeamId, u32>) {
        for (team, count, _) in self.lock().scheduler.queue().teams() {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            *waiting.entry(team.clone()).or_default() += count;
        }
    }

    /// Counts the end of a run; true when other pools may go on for its team.
    pub(crate) fn finish(&self, grant: &Grant, health: Health) -> bool {
        let mut state = self.lock();
        let now_us = self.clock.now_us();
        state.scheduler.finish(grant, health, now_us);
        let was_at_limit = self.ceilings.lock().record_end(&grant.team);
        self.grant_ready(&mut state);
        was_at_limit
    }

    /// State for the dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let state = self.lock();
        let now_us = self.clock.now_us();
        let queue = state.scheduler.queue();
        let teams: Vec<_> = queue
            .teams()
            .map(|(team, waiting, running)| {
                serde_json::json!({ "team": team, "waiting": waiting, "running": running })
            })
            .collect();
        let targets: Vec<_> = state
            .scheduler
            .balancer()
            .loads(now_us)
            .map(|(vm, running, slots, excluded)| {
                serde_json::json!({ "vm": vm, "running": running, "slots": slots, "out": excluded })
            })
            .collect();
        serde_json::json!({
            "pool": self.pool,
            "waiting": queue.len(),
            "oldest_us": queue.oldest_wait_us(now_us),
            "teams": teams,
            "targets": targets,
        })
    }

    fn apply_view(&self, state: &mut State, view: &Arc<View>) {
        if state
            .view
            .as_ref()
            .is_some_and(|old| Arc::ptr_eq(old, view))
        {
            return;
        }
        let targets = view.targets.get(&self.pool).into_iter().flatten();
        let local = targets.filter(|target| target.data_centre == self.data_centre);
        state.scheduler.update(local);
        if let Some(document) = &view.document {
            for (id, team) in &document.teams {
                state.scheduler.set_share(id, team.share);
            }
        }
        state.view = Some(Arc::clone(view));
    }

    fn grant_ready(&self, state: &mut State) {
        let now_us = self.clock.now_us();
        let mut ceilings = self.ceilings.lock();
        while let Some(grant) = state.scheduler.start(now_us, &*ceilings) {
            ceilings.record_start(&grant.team);
            if let Some(grant_tx) = state.grant_txs.swap_remove(&grant.ticket) {
                let _ = grant_tx.try_send(grant);
            }
        }
    }

    fn cancel(&self, ticket: Ticket) -> bool {
        let mut state = self.lock();
        state.grant_txs.swap_remove(&ticket);
        state.scheduler.cancel(ticket)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's place in the queue; leaves the queue when dropped.
#[derive(Debug)]
pub(crate) struct QueueGuard {
    queue: Arc<PoolQueue>,
    ticket: Ticket,
    grant_rx: Receiver<Grant>,
    grant_received: bool,
}

impl QueueGuard {
    /// True when the turn has come already.
    pub(crate) fn is_granted(&self) -> bool {
        !self.grant_rx.is_empty()
    }

    /// Waits for the turn; `None` when the place went to another request.
    pub(crate) async fn wait_for_grant(&mut self) -> Option<Grant> {
        let grant = self.grant_rx.recv().await.ok()?;
        self.grant_received = true;
        Some(grant)
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if self.grant_received || self.queue.cancel(self.ticket) {
            return;
        }
        // The turn came while the caller was leaving.
        if let Ok(grant) = self.grant_rx.try_recv() {
            self.queue.finish(&grant, Health::Busy);
        }
    }
}
