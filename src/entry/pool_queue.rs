//! Queue of one pool: waiting requests are woken when the scheduler grants them a target.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;

use super::balancer::AttemptResult;
use super::ceilings::Ceilings;
use super::clock::Clock;
use super::fair_queue::Ticket;
use super::scheduler::{Admission, Grant, Scheduler, Submission};
use crate::id::{DataCentre, PoolId, TeamId};
use crate::outcome::Reason;
use crate::view::View;

/// The scheduler of one pool and the channels by which its grants reach waiting requests.
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
    /// View that the scheduler's targets and shares come from; `None` before the first.
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

    /// Queues a request and starts it at once if it is next and a slot is free.
    ///
    /// # Errors
    /// Says why the request can't be queued.
    pub(crate) fn submit(
        self: &Arc<Self>,
        submission: Submission,
        view: &Arc<View>,
    ) -> Result<QueueGuard, Reason> {
        let (grant_tx, grant_rx) = async_channel::bounded(1);
        let mut state = self.lock();
        self.apply_view(&mut state, view);
        let Admission { ticket, evicted } =
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

    /// Applies `view` and starts waiting requests that may start.
    pub(crate) fn start_ready(&self, view: &Arc<View>) {
        let mut state = self.lock();
        self.apply_view(&mut state, view);
        self.grant_ready(&mut state);
    }

    /// The pool that the queue belongs to.
    pub(crate) const fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Number of waiting requests.
    pub(crate) fn queued(&self) -> usize {
        self.lock().scheduler.queue().len()
    }

    /// Adds this pool's waiting requests to the counts of their teams in `waiting`.
    pub(crate) fn add_queued_by_team(&self, waiting: &mut IndexMap<TeamId, u32>) {
        for (team, count, _) in self.lock().scheduler.queue().teams() {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            *waiting.entry(team.clone()).or_default() += count;
        }
    }

    /// Records the end of a run and starts the next requests; true if the team was at its
    /// limit, so that its requests in other pools may now start.
    pub(crate) fn finish(&self, grant: &Grant, result: AttemptResult) -> bool {
        let mut state = self.lock();
        let now_us = self.clock.now_us();
        state.scheduler.finish(grant, result, now_us);
        let was_at_limit = self.ceilings.lock().record_end(&grant.team);
        self.grant_ready(&mut state);
        was_at_limit
    }

    /// State of the pool for the state dump.
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

    /// Takes targets and shares from `view` unless it is the one applied last.
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

    /// Grants targets to waiting requests until none may start.
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

    /// Removes a waiting request; false if it no longer waits.
    fn cancel(&self, ticket: Ticket) -> bool {
        let mut state = self.lock();
        state.grant_txs.swap_remove(&ticket);
        state.scheduler.cancel(ticket)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Holds a request in the queue; dropping it takes the request out or, if a target was
/// granted but never used, returns the slot.
#[derive(Debug)]
pub(crate) struct QueueGuard {
    queue: Arc<PoolQueue>,
    ticket: Ticket,
    grant_rx: Receiver<Grant>,
    grant_received: bool,
}

impl QueueGuard {
    /// True if a target has been granted.
    pub(crate) fn is_granted(&self) -> bool {
        !self.grant_rx.is_empty()
    }

    /// Waits until a target is granted; `None` if the request was evicted by another one.
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
        // A target was granted while the caller was leaving.
        if let Ok(grant) = self.grant_rx.try_recv() {
            self.queue.finish(&grant, AttemptResult::Busy);
        }
    }
}
