//! Hands a request to the owner of its queue.

use std::sync::Arc;

use super::PEER_OVERHEAD_BYTES;
use super::auth::find_queue;
use super::idempotent_runner::IdempotentRunner;
use super::local_runner::{LocalRunner, MAX_ATTEMPTS, is_idempotent};
use crate::control::Control;
use crate::http::Limits;
use crate::id::{DataCentre, MemberId, PoolId, QueueId};
use crate::membership::rank;
use crate::outcome::{Outcome, Reason};
use crate::peer::{Client, Forward, Keyed, PeerError, PeerReply, PeerRequest};
use crate::view::{Member, View};

/// Time to connect to another process, in ms; the data centre is within 1 ms.
const PEER_CONNECT_MS: u64 = 250;

/// Owners that are tried when the one before does not take the request.
const MAX_OWNERS_TRIED: usize = 3;

/// Processes that may hand a request on; views that differ for a moment could send it in
/// circles otherwise.
const MAX_HOPS: u8 = 2;

/// Time for the answer to come back after the longest wait and run, in ms.
const ANSWER_GRACE_MS: u64 = 1_000;

/// Finds the process that serves a request.
#[derive(Debug)]
pub(crate) struct Router {
    id: MemberId,
    data_centre: DataCentre,
    control: Control,
    peers: Arc<Client>,
    local_runner: Arc<LocalRunner>,
    idempotent_runner: Arc<IdempotentRunner>,
    max_body: usize,
}

impl Router {
    pub(crate) const fn new(
        id: MemberId,
        data_centre: DataCentre,
        control: Control,
        peers: Arc<Client>,
        local_runner: Arc<LocalRunner>,
        idempotent_runner: Arc<IdempotentRunner>,
        max_body: usize,
    ) -> Self {
        Self {
            id,
            data_centre,
            control,
            peers,
            local_runner,
            idempotent_runner,
            max_body,
        }
    }

    /// Serves a request here or at the owner of its queue.
    pub(crate) async fn run(&self, mut forward: Forward) -> Outcome {
        let view = self.control.view();
        let Some(pool) = pool_of(&view, &forward.queue) else {
            return Outcome::NotRun(Reason::NoQueue);
        };
        let owners = rank_owners(&view, &self.data_centre, &pool);
        if forward.hops >= MAX_HOPS {
            return self.serve_here(forward, &owners).await;
        }
        forward.hops += 1;
        for member in owners.iter().take(MAX_OWNERS_TRIED) {
            if member.id == self.id {
                return self.serve_here(forward, &owners).await;
            }
            if let Some(outcome) = self.forward_to(member, &view, &forward).await {
                return outcome;
            }
            spdlog::info!("owner_not_reached", kv: {
                queue = forward.queue.as_str(),
                member = member.id.as_str(),
            });
        }
        // Nobody of the first ranks answers: better served here than refused.
        self.serve_here(forward, &owners).await
    }

    /// Requests with an idempotency key.
    pub(crate) fn idempotent_runner(&self) -> &IdempotentRunner {
        &self.idempotent_runner
    }

    /// Serves a request here; `owners` are ranked.
    async fn serve_here(&self, mut forward: Forward, owners: &[&Member]) -> Outcome {
        let key = forward.idempotency.take();
        let Some(key) = key.filter(|_| !is_idempotent(&forward.method)) else {
            return self.local_runner.run(forward).await;
        };
        let keyed = Keyed {
            team: forward.team.clone(),
            queue: forward.queue.clone(),
            key,
        };
        let backup = owners.iter().find(|member| member.id != self.id);
        let backup = backup.map(|member| member.peer);
        self.idempotent_runner.run(keyed, forward, backup).await
    }

    /// Closes connections that have been idle too long.
    pub(crate) fn close_idle_connections(&self) {
        self.peers.sweep();
    }

    /// `None` when the other process has not taken the request.
    async fn forward_to(&self, member: &Member, view: &View, forward: &Forward) -> Option<Outcome> {
        let limits = Limits {
            connect_ms: PEER_CONNECT_MS,
            answer_ms: forward.wait_ms + run_limit_ms(view, &forward.queue) + ANSWER_GRACE_MS,
            body_ms: 0,
            max_body: self.max_body + PEER_OVERHEAD_BYTES,
        };
        let message = PeerRequest::Forward(forward.clone());
        match self.peers.ask(member.peer, &message, &limits).await {
            Ok(PeerReply::Outcome(Outcome::NotRun(Reason::Stopping)))
            | Err(PeerError::Unreachable(_) | PeerError::Refused(_)) => None,
            Ok(PeerReply::Outcome(outcome)) => Some(outcome),
            Ok(_) => Some(Outcome::Unknown(Reason::BadAnswer)),
            Err(PeerError::Unknown(_)) if is_idempotent(&forward.method) => None,
            Err(PeerError::Unknown(_)) => Some(Outcome::Unknown(Reason::Cut)),
        }
    }
}

/// Entries in the order in which they own a pool. All queues of a pool have one owner,
/// which so counts the pool's slots exactly.
fn rank_owners<'a>(view: &'a View, data_centre: &DataCentre, pool: &PoolId) -> Vec<&'a Member> {
    let members = view
        .members
        .iter()
        .filter(|member| member.data_centre == *data_centre);
    rank(&QueueId::new(pool.as_str()), members)
}

fn pool_of(view: &View, queue: &QueueId) -> Option<PoolId> {
    let document = view.document.as_ref()?;
    Some(find_queue(document, queue)?.spec.pool.clone())
}

/// Longest run of a request of the queue, with its retries.
fn run_limit_ms(view: &View, queue: &QueueId) -> u64 {
    let Some(document) = &view.document else {
        return 0;
    };
    let service = pool_of(view, queue).and_then(|pool| document.service(&pool));
    service.map_or(0, |service| service.run_limit_ms * u64::from(MAX_ATTEMPTS))
}
