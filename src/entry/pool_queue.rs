//! Waiting requests of one pool, woken when their turn comes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;

use super::balancer::Health;
use super::ceilings::Ceilings;
use super::clock::Clock;
use super::fair_queue::Ticket;
use super::scheduler::{Admitted, Entry, Grant, Scheduler};
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
    waiters: IndexMap<Ticket, Sender<Grant>>,
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
            waiters: IndexMap::new(),
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
        entry: Entry,
        view: &Arc<View>,
    ) -> Result<QueueGuard, Reason> {
        let (wake, granted) = async_channel::bounded(1);
        let mut state = self.lock();
        self.refresh(&mut state, view);
        let Admitted { ticket, evicted } = state.scheduler.submit(entry, self.clock.now_us())?;
        if let Some(evicted) = evicted {
            state.waiters.swap_remove(&evicted);
        }
        state.waiters.insert(ticket, wake);
        self.start(&mut state);
        Ok(QueueGuard {
            queue: Arc::clone(self),
            ticket,
            granted,
            taken: false,
        })
    }

    /// Starts what can start, on the targets of `view`.
    pub(crate) fn pump(&self, view: &Arc<View>) {
        let mut state = self.lock();
        self.refresh(&mut state, view);
        self.start(&mut state);
    }

    /// The pool.
    pub(crate) const fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().scheduler.queue().len()
    }

    /// Waiting requests of each team.
    pub(crate) fn add_waiting(&self, waiting: &mut IndexMap<TeamId, u32>) {
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
        let full = self.ceilings.lock().release(&grant.team);
        self.start(&mut state);
        full
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
            .map(|(vm, running, slots, out)| {
                serde_json::json!({ "vm": vm, "running": running, "slots": slots, "out": out })
            })
            .collect();
        serde_json::json!({
            "pool": self.pool,
            "waiting": queue.len(),
            "oldest_us": queue.oldest_us(now_us),
            "teams": teams,
            "targets": targets,
        })
    }

    fn refresh(&self, state: &mut State, view: &Arc<View>) {
        if state
            .view
            .as_ref()
            .is_some_and(|old| Arc::ptr_eq(old, view))
        {
            return;
        }
        let targets = view.targets.get(&self.pool).into_iter().flatten();
        let own = targets.filter(|target| target.data_centre == self.data_centre);
        state.scheduler.update(own);
        if let Some(document) = &view.document {
            for (id, team) in &document.teams {
                state.scheduler.set_share(id, team.share);
            }
        }
        state.view = Some(Arc::clone(view));
    }

    fn start(&self, state: &mut State) {
        let now_us = self.clock.now_us();
        let mut ceilings = self.ceilings.lock();
        while let Some(grant) = state.scheduler.start(now_us, &*ceilings) {
            ceilings.take(&grant.team);
            if let Some(waiter) = state.waiters.swap_remove(&grant.ticket) {
                let _ = waiter.try_send(grant);
            }
        }
    }

    fn leave(&self, ticket: Ticket) -> bool {
        let mut state = self.lock();
        state.waiters.swap_remove(&ticket);
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
    granted: Receiver<Grant>,
    taken: bool,
}

impl QueueGuard {
    /// True when the turn has come already.
    pub(crate) fn granted(&self) -> bool {
        !self.granted.is_empty()
    }

    /// Waits for the turn; `None` when the place went to another request.
    pub(crate) async fn turn(&mut self) -> Option<Grant> {
        let grant = self.granted.recv().await.ok()?;
        self.taken = true;
        Some(grant)
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if self.taken || self.queue.leave(self.ticket) {
            return;
        }
        // The turn came while the caller was leaving.
        if let Ok(grant) = self.granted.try_recv() {
            self.queue.finish(&grant, Health::Busy);
        }
    }
}
