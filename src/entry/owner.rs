//! Runs requests on the targets of the own data centre.

use std::sync::{Arc, Mutex, PoisonError};

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;

use super::attempt::{Attempt, attempt};
use super::auth::find_queue;
use super::balancer::{Avoid, Health};
use super::ceilings::Ceilings;
use super::clock::Clock;
use super::meter;
use super::pool_queue::PoolQueue;
use super::queue::{Allowance, Waiting};
use super::retry::RetryBudget;
use super::scheduler::{Bounds, Entry, Grant};
use super::unstoppable::Unstoppable;
use crate::control::Control;
use crate::document::Document;
use crate::http::{Limits, Pool, Request, Reuse, within};
use crate::id::{DataCentre, PoolId};
use crate::membership::DemandReport;
use crate::outcome::{Outcome, Reason};
use crate::peer::Forward;
use crate::runtime::Runtime;
use crate::telemetry::Metrics;

/// Time to connect to a target, in ms.
const CONNECT_MS: u64 = 500;

/// Attempts of one request, on as many targets as there are.
pub(crate) const ATTEMPTS: u8 = 3;

/// Memory of a queued request besides its path, headers and body, in bytes.
const ENTRY_BYTES: u64 = 512;

/// A checked request with what its queue says.
struct Work {
    request: Arc<Request>,
    entry: Entry,
    pool: PoolId,
    repeatable: bool,
    reuse: Reuse,
    limits: Limits,
}

/// Queues and targets of the own data centre.
#[derive(Debug)]
pub(crate) struct Owner {
    data_centre: DataCentre,
    runtime: Runtime,
    control: Control,
    clock: Clock,
    max_body: usize,
    connections: Arc<Pool>,
    ceilings: Arc<Ceilings>,
    budget: RetryBudget,
    queues: Mutex<IndexMap<PoolId, Arc<PoolQueue>>>,
    short: Sender<()>,
    shortage: Receiver<()>,
}

impl Owner {
    pub(crate) fn new(
        data_centre: DataCentre,
        runtime: Runtime,
        control: Control,
        max_body: usize,
    ) -> Self {
        let ceilings = Arc::new(Ceilings::new(control.clone()));
        let (short, shortage) = async_channel::bounded(1);
        Self {
            data_centre,
            runtime,
            control,
            clock: Clock::new(),
            max_body,
            connections: Arc::new(Pool::new()),
            ceilings,
            budget: RetryBudget::new(),
            queues: Mutex::default(),
            short,
            shortage,
        }
    }

    /// Runs a request: waits for a target, sends, and tries another one where that can't
    /// run the request twice.
    pub(crate) async fn run(self: &Arc<Self>, forward: Forward) -> Outcome {
        let view = self.control.view();
        let Some(document) = &view.document else {
            return Outcome::NotRun(Reason::NoDocument);
        };
        let Some(mut work) = self.work(document, forward) else {
            return Outcome::NotRun(Reason::NoQueue);
        };
        self.budget.earn();
        let mut unknown = None;
        for round in 1..=ATTEMPTS {
            let (grant, attempt) = match self.try_once(&work).await {
                Ok(tried) => tried,
                Err(reason) => return give_up(unknown, reason),
            };
            let reason = match attempt {
                Attempt::Answered(answer) => return Outcome::Answered(answer),
                Attempt::NotRun(Reason::BadRequest) => {
                    return give_up(unknown, Reason::BadRequest);
                }
                Attempt::NotRun(reason) => reason,
                Attempt::Unknown(reason) => {
                    unknown = Some(reason);
                    // What made one connection silent may have done so to all of them.
                    work.reuse = Reuse::Never;
                    reason
                }
            };
            if round == ATTEMPTS || !self.may_retry(&work, unknown, reason) {
                return give_up(unknown, reason);
            }
            work.entry.avoid.add(&grant.choice);
        }
        give_up(unknown, Reason::NoTarget)
    }

    /// Starts what can start in every pool; called now and then and after a change.
    pub(crate) fn pump(&self) {
        let view = self.control.view();
        for queue in self.queues() {
            queue.pump(&view);
        }
    }

    /// Closes connections that have been idle too long.
    pub(crate) fn sweep(&self) {
        self.connections.sweep();
    }

    /// What runs and waits, for the control thread.
    pub(crate) fn report(&self) -> DemandReport {
        let mut waiting = IndexMap::new();
        for queue in self.queues() {
            queue.add_waiting(&mut waiting);
        }
        self.ceilings.report(&waiting)
    }

    /// Sets the gauges of pools and teams.
    pub(crate) fn measure(&self, metrics: &Metrics) {
        for queue in self.queues() {
            meter::set_waiting(metrics, queue.pool(), queue.waiting());
        }
        for (team, running, _) in self.ceilings.lock().all() {
            meter::set_running(metrics, team, running);
        }
    }

    /// Waits until a request waits because its team is at its limit.
    pub(crate) async fn shortage(&self) {
        let _ = self.shortage.recv().await;
    }

    /// State for the dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let pools: Vec<_> = self.queues().iter().map(|queue| queue.dump()).collect();
        let ceilings = self.ceilings.lock();
        let teams: Vec<_> = ceilings
            .all()
            .map(|(team, running, limit)| {
                serde_json::json!({ "team": team, "running": running, "limit": limit })
            })
            .collect();
        serde_json::json!({
            "pools": pools,
            "teams": teams,
            "idle_connections": self.connections.idle(),
        })
    }

    fn work(&self, document: &Document, forward: Forward) -> Option<Work> {
        let found = find_queue(document, &forward.queue)?;
        let pool = found.spec.pool.clone();
        let service = document.service(&pool)?;
        let now_us = self.clock.now_us();
        let bytes = size(&forward);
        let entry = Entry {
            queue: forward.queue.clone(),
            waiting: Waiting {
                team: forward.team.clone(),
                urgency: forward.urgency,
                arrived_us: now_us,
                deadline_us: now_us + forward.wait_ms * 1_000,
            },
            bytes,
            avoid: Avoid::default(),
            bounds: Bounds {
                requests: found.spec.max_queued,
                bytes: found.spec.max_bytes,
            },
        };
        let repeatable = service.idempotent || is_idempotent(&forward.method);
        Some(Work {
            reuse: if repeatable {
                Reuse::Idle
            } else {
                Reuse::Recent
            },
            repeatable,
            limits: Limits {
                connect_ms: CONNECT_MS,
                answer_ms: service.run_limit_ms,
                body_ms: 0,
                max_body: self.max_body,
            },
            request: Arc::new(outgoing(forward)),
            entry,
            pool,
        })
    }

    async fn try_once(self: &Arc<Self>, work: &Work) -> Result<(Grant, Attempt), Reason> {
        let queue = self.queue(&work.pool);
        let mut place = queue.submit(work.entry.clone(), &self.control.view())?;
        let team = &work.entry.waiting.team;
        if !place.granted() && !self.ceilings.lock().room(team) {
            let _ = self.short.try_send(());
        }
        let deadline_us = work.entry.waiting.deadline_us;
        let left_ms = deadline_us.saturating_sub(self.clock.now_us()) / 1_000;
        let grant = within(left_ms, place.turn())
            .await
            .ok_or(Reason::Deadline)?
            .ok_or(Reason::QueueFull)?;
        drop(place);
        let attempt = self.exchange(queue, work, grant.clone()).await;
        Ok((grant, attempt))
    }

    /// Goes on to its end when the caller leaves: the target goes on too, and its slot
    /// is free only then.
    fn exchange(
        self: &Arc<Self>,
        queue: Arc<PoolQueue>,
        work: &Work,
        grant: Grant,
    ) -> impl Future<Output = Attempt> + use<> {
        let owner = Arc::clone(self);
        let request = Arc::clone(&work.request);
        let (reuse, limits) = (work.reuse, work.limits);
        let exchange = async move {
            let address = grant.choice.address;
            let attempt = attempt(&owner.connections, address, &request, reuse, &limits).await;
            if attempt.health() == Health::Bad {
                spdlog::warn!("attempt_failed", kv: {
                    target = grant.choice.vm.as_str(),
                    request = request.header("x-request-id").unwrap_or_default(),
                    kind:? = kind(&attempt),
                });
            }
            if queue.finish(&grant, attempt.health()) {
                owner.pump();
            }
            attempt
        };
        Unstoppable::new(exchange, self.runtime.clone())
    }

    fn may_retry(&self, work: &Work, unknown: Option<Reason>, reason: Reason) -> bool {
        if unknown.is_some() && !work.repeatable {
            return false;
        }
        // A target that was not reached has had no load from the attempt.
        reason == Reason::NoTarget || self.budget.spend()
    }

    fn queue(&self, pool: &PoolId) -> Arc<PoolQueue> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = queues.get(pool) {
            return Arc::clone(queue);
        }
        let queue = Arc::new(PoolQueue::new(
            pool.clone(),
            self.data_centre.clone(),
            self.clock,
            Arc::clone(&self.ceilings),
        ));
        queues.insert(pool.clone(), Arc::clone(&queue));
        queue
    }

    fn queues(&self) -> Vec<Arc<PoolQueue>> {
        let queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues.values().map(Arc::clone).collect()
    }
}

/// Once a target may have run the request, the last word can't be "not run".
const fn give_up(unknown: Option<Reason>, reason: Reason) -> Outcome {
    match unknown {
        Some(reason) => Outcome::Unknown(reason),
        None => Outcome::NotRun(reason),
    }
}

/// Methods that may be sent twice, RFC 9110 section 9.2.2.
pub(crate) fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS")
}

fn kind(attempt: &Attempt) -> Reason {
    match attempt {
        Attempt::Answered(_) => Reason::BadAnswer,
        Attempt::NotRun(reason) | Attempt::Unknown(reason) => *reason,
    }
}

fn size(forward: &Forward) -> u64 {
    let headers: usize = forward
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    let bytes = forward.path.len() + headers + forward.body.len();
    u64::try_from(bytes).unwrap_or(u64::MAX) + ENTRY_BYTES
}

fn outgoing(forward: Forward) -> Request {
    let mut headers = forward.headers;
    headers.push(("x-request-id".to_owned(), forward.id.to_string()));
    headers.push(("x-team".to_owned(), forward.team.to_string()));
    Request {
        method: forward.method,
        path: forward.path,
        headers,
        body: forward.body,
    }
}
