//! Runs requests on the targets of this process's data centre.

use std::sync::{Arc, Mutex, PoisonError};

use async_channel::{Receiver, Sender};
use indexmap::IndexMap;

use super::attempt::{AttemptOutcome, send_attempt};
use super::auth::find_queue;
use super::balancer::{AttemptResult, FailedTargets};
use super::ceilings::Ceilings;
use super::clock::Clock;
use super::fair_queue::{ConcurrencyLimits, QueuedRequest};
use super::meter;
use super::pool_queue::PoolQueue;
use super::retry::RetryBudget;
use super::run_to_completion::RunToCompletion;
use super::scheduler::{Bounds, Grant, Submission};
use crate::control::Control;
use crate::document::Document;
use crate::http::{ClientLimits, ConnectionPool, Request, Reuse, timeout};
use crate::id::{DataCentre, PoolId};
use crate::membership::DemandReport;
use crate::outcome::{Outcome, Reason};
use crate::peer::Forward;
use crate::runtime::Runtime;
use crate::telemetry::Metrics;

/// Time to connect to a target, in ms.
const TARGET_CONNECT_MS: u64 = 500;

/// Most attempts of one request; each prefers targets that have not failed it.
pub(crate) const MAX_ATTEMPTS: u8 = 3;

/// Memory that a queued request is counted with besides its path, headers and body, in
/// bytes.
const REQUEST_OVERHEAD_BYTES: u64 = 512;

/// A request for a target with the rules of its queue and service.
struct PreparedRequest {
    request: Arc<Request>,
    submission: Submission,
    pool: PoolId,
    /// True when it may be sent again although a target may have run it.
    idempotent: bool,
    reuse: Reuse,
    limits: ClientLimits,
}

/// Queues of all pools and connections to targets in this process's data centre.
#[derive(Debug)]
pub(crate) struct LocalRunner {
    data_centre: DataCentre,
    runtime: Runtime,
    control: Control,
    clock: Clock,
    max_body: usize,
    connections: Arc<ConnectionPool>,
    ceilings: Arc<Ceilings>,
    retry_budget: RetryBudget,
    pool_queues: Mutex<IndexMap<PoolId, Arc<PoolQueue>>>,
    /// Signals that a request waits because its team is at its limit; holds one signal.
    limit_reached_tx: Sender<()>,
    limit_reached_rx: Receiver<()>,
}

impl LocalRunner {
    pub(crate) fn new(
        data_centre: DataCentre,
        runtime: Runtime,
        control: Control,
        max_body: usize,
    ) -> Self {
        let ceilings = Arc::new(Ceilings::new(control.clone()));
        let (limit_reached_tx, limit_reached_rx) = async_channel::bounded(1);
        Self {
            data_centre,
            runtime,
            control,
            clock: Clock::new(),
            max_body,
            connections: Arc::new(ConnectionPool::new()),
            ceilings,
            retry_budget: RetryBudget::new(),
            pool_queues: Mutex::default(),
            limit_reached_tx,
            limit_reached_rx,
        }
    }

    /// Waits for a target and sends the request. A failed attempt is repeated, up to
    /// [`MAX_ATTEMPTS`], if the target has not run the request or the request is idempotent.
    pub(crate) async fn run(self: &Arc<Self>, forward: Forward) -> Outcome {
        let view = self.control.view();
        let Some(document) = &view.document else {
            return Outcome::NotRun(Reason::NoDocument);
        };
        let Some(mut prepared) = self.prepare(document, forward) else {
            return Outcome::NotRun(Reason::NoQueue);
        };
        self.retry_budget.deposit();
        let mut unknown_reason = None;
        for attempt_number in 1..=MAX_ATTEMPTS {
            let (grant, attempt) = match self.try_once(&prepared).await {
                Ok(result) => result,
                Err(reason) => return final_outcome(unknown_reason, reason),
            };
            let reason = match attempt {
                AttemptOutcome::Answered(answer) => return Outcome::Answered(answer),
                AttemptOutcome::NotRun(Reason::BadRequest) => {
                    return final_outcome(unknown_reason, Reason::BadRequest);
                }
                AttemptOutcome::NotRun(reason) => reason,
                AttemptOutcome::Unknown(reason) => {
                    unknown_reason = Some(reason);
                    // Whatever broke one idle connection may have broken the others.
                    prepared.reuse = Reuse::Never;
                    reason
                }
            };
            if attempt_number == MAX_ATTEMPTS || !self.may_retry(&prepared, unknown_reason, reason)
            {
                return final_outcome(unknown_reason, reason);
            }
            prepared.submission.avoid.add(&grant.target);
        }
        final_outcome(unknown_reason, Reason::NoTarget)
    }

    /// Starts waiting requests of every pool that may start; called at an interval and when a
    /// team falls below its limit.
    pub(crate) fn start_ready(&self) {
        let view = self.control.view();
        for queue in self.pool_queues() {
            queue.start_ready(&view);
        }
    }

    /// Closes connections to targets that have been idle too long.
    pub(crate) fn close_idle_connections(&self) {
        self.connections.close_expired();
    }

    /// Running and waiting requests of each team, for the control thread.
    pub(crate) fn report(&self) -> DemandReport {
        let mut waiting = IndexMap::new();
        for queue in self.pool_queues() {
            queue.add_queued_by_team(&mut waiting);
        }
        self.ceilings.report(&waiting)
    }

    /// Sets the gauges of waiting requests by pool and of running requests by team.
    pub(crate) fn update_gauges(&self, metrics: &Metrics) {
        for queue in self.pool_queues() {
            meter::set_queued_requests(metrics, queue.pool(), queue.queued());
        }
        for (team, running, _) in self.ceilings.lock().teams() {
            meter::set_running_requests(metrics, team, running);
        }
    }

    /// Returns once a request has had to wait because its team is at its limit.
    pub(crate) async fn limit_reached(&self) {
        let _ = self.limit_reached_rx.recv().await;
    }

    /// State of pools and teams for the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let pools: Vec<_> = self
            .pool_queues()
            .iter()
            .map(|queue| queue.dump())
            .collect();
        let ceilings = self.ceilings.lock();
        let teams: Vec<_> = ceilings
            .teams()
            .map(|(team, running, limit)| {
                serde_json::json!({ "team": team, "running": running, "limit": limit })
            })
            .collect();
        serde_json::json!({
            "pools": pools,
            "teams": teams,
            "idle_connections": self.connections.idle_count(),
        })
    }

    /// `None` if the document lacks the queue or its pool's service.
    fn prepare(&self, document: &Document, forward: Forward) -> Option<PreparedRequest> {
        let found_queue = find_queue(document, &forward.queue)?;
        let pool = found_queue.spec.pool.clone();
        let service = document.service(&pool)?;
        let now_us = self.clock.now_us();
        let bytes = queued_size(&forward);
        let submission = Submission {
            queue: forward.queue.clone(),
            request: QueuedRequest {
                team: forward.team.clone(),
                urgency: forward.urgency,
                arrived_us: now_us,
                deadline_us: now_us + forward.wait_ms * 1_000,
            },
            bytes,
            avoid: FailedTargets::default(),
            bounds: Bounds {
                requests: found_queue.spec.max_queued,
                bytes: found_queue.spec.max_bytes,
            },
        };
        let idempotent = service.idempotent || is_idempotent(&forward.method);
        Some(PreparedRequest {
            reuse: if idempotent {
                Reuse::Any
            } else {
                Reuse::Recent
            },
            idempotent,
            limits: ClientLimits {
                connect_ms: TARGET_CONNECT_MS,
                response_ms: service.run_limit_ms,
                body_ms: 0,
                max_body: self.max_body,
            },
            request: Arc::new(target_request(forward)),
            submission,
            pool,
        })
    }

    /// One attempt: waits in the queue for a target and sends the request. An error means
    /// that it got no target and was not sent.
    async fn try_once(
        self: &Arc<Self>,
        prepared: &PreparedRequest,
    ) -> Result<(Grant, AttemptOutcome), Reason> {
        let queue = self.pool_queue(&prepared.pool);
        let mut queue_guard = queue.submit(prepared.submission.clone(), &self.control.view())?;
        let team = &prepared.submission.request.team;
        if !queue_guard.is_granted() && !self.ceilings.lock().may_start(team) {
            let _ = self.limit_reached_tx.try_send(());
        }
        let deadline_us = prepared.submission.request.deadline_us;
        let left_ms = deadline_us.saturating_sub(self.clock.now_us()) / 1_000;
        let grant = timeout(left_ms, queue_guard.wait_for_grant())
            .await
            .ok_or(Reason::Deadline)?
            .ok_or(Reason::QueueFull)?;
        drop(queue_guard);
        let attempt = self.run_attempt(queue, prepared, grant.clone()).await;
        Ok((grant, attempt))
    }

    /// Sends the request to the granted target. The exchange runs to its end even when the
    /// caller leaves: the target keeps working too, and its slot is free only afterwards.
    fn run_attempt(
        self: &Arc<Self>,
        queue: Arc<PoolQueue>,
        prepared: &PreparedRequest,
        grant: Grant,
    ) -> impl Future<Output = AttemptOutcome> + use<> {
        let runner = Arc::clone(self);
        let request = Arc::clone(&prepared.request);
        let (reuse, limits) = (prepared.reuse, prepared.limits);
        let run = async move {
            let address = grant.target.address;
            let attempt =
                send_attempt(&runner.connections, address, &request, reuse, &limits).await;
            if attempt.result() == AttemptResult::Bad {
                spdlog::warn!("attempt_failed", kv: {
                    target = grant.target.vm.as_str(),
                    request = request.header("x-request-id").unwrap_or_default(),
                    kind:? = failure_reason(&attempt),
                });
            }
            if queue.finish(&grant, attempt.result()) {
                runner.start_ready();
            }
            attempt
        };
        RunToCompletion::new(run, self.runtime.clone())
    }

    fn may_retry(
        &self,
        prepared: &PreparedRequest,
        unknown_reason: Option<Reason>,
        reason: Reason,
    ) -> bool {
        if unknown_reason.is_some() && !prepared.idempotent {
            return false;
        }
        // The attempt put no load on a target that was not reached, so the retry is free.
        reason == Reason::NoTarget || self.retry_budget.withdraw()
    }

    fn pool_queue(&self, pool: &PoolId) -> Arc<PoolQueue> {
        let mut queues = self
            .pool_queues
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
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

    fn pool_queues(&self) -> Vec<Arc<PoolQueue>> {
        let queues = self
            .pool_queues
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        queues.values().map(Arc::clone).collect()
    }
}

/// Outcome of a request without an answer: once a target may have run it, it can't be
/// reported as not run.
const fn final_outcome(unknown_reason: Option<Reason>, reason: Reason) -> Outcome {
    match unknown_reason {
        Some(reason) => Outcome::Unknown(reason),
        None => Outcome::NotRun(reason),
    }
}

/// True for methods whose requests may be sent twice, RFC 9110 section 9.2.2.
pub(crate) fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS")
}

fn failure_reason(attempt: &AttemptOutcome) -> Reason {
    match attempt {
        AttemptOutcome::Answered(_) => Reason::BadAnswer,
        AttemptOutcome::NotRun(reason) | AttemptOutcome::Unknown(reason) => *reason,
    }
}

/// Bytes that a waiting request counts for in its queue.
fn queued_size(forward: &Forward) -> u64 {
    let headers: usize = forward
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    let bytes = forward.path.len() + headers + forward.body.len();
    u64::try_from(bytes).unwrap_or(u64::MAX) + REQUEST_OVERHEAD_BYTES
}

/// The request as targets receive it, with the headers that name its id and team.
fn target_request(forward: Forward) -> Request {
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
