//! Forwards a request to the process that owns its queue's pool, or runs it here.

use std::sync::Arc;

use super::PEER_OVERHEAD_BYTES;
use super::auth::find_queue;
use super::idempotent_runner::IdempotentRunner;
use super::local_runner::{LocalRunner, MAX_ATTEMPTS, is_idempotent};
use crate::control::Control;
use crate::http::ClientLimits;
use crate::id::{DataCentre, MemberId, PoolId, QueueId};
use crate::membership::rank_owners;
use crate::outcome::{Outcome, Reason};
use crate::peer::{Client, Forward, IdempotencyKey, PeerError, PeerReply, PeerRequest};
use crate::view::{Member, View};

/// Time to connect to another process, in ms; those of the data centre are less than 1 ms
/// away.
const PEER_CONNECT_MS: u64 = 250;

/// Members that are tried in the order of their rank until one takes the request.
const MAX_OWNERS_TRIED: usize = 3;

/// Most times that a request is forwarded. Without a limit, it could go in circles while the
/// views of the processes differ.
const MAX_HOPS: u8 = 2;

/// Time that a forwarded request has beyond its longest wait and run, in ms.
const ANSWER_GRACE_MS: u64 = 1_000;

/// Finds the process that runs a request and forwards the request to it.
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

    /// Runs a request at the owner of its pool, or else at the next in rank that takes it; this
    /// process may be one of them.
    pub(crate) async fn run(&self, mut forward: Forward) -> Outcome {
        let view = self.control.view();
        let Some(pool) = pool_of(&view, &forward.queue) else {
            return Outcome::NotRun(Reason::NoQueue);
        };
        let owners = rank_pool_owners(&view, &self.data_centre, &pool);
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
        // None of the members in the first ranks took it: running it here is better than
        // refusing it.
        self.serve_here(forward, &owners).await
    }

    /// The runner of requests with an idempotency key.
    pub(crate) fn idempotent_runner(&self) -> &IdempotentRunner {
        &self.idempotent_runner
    }

    /// Runs a request in this process. `owners` are in the order of their rank; the first one
    /// other than this process is the backup for idempotency keys, which idempotent methods
    /// don't need.
    async fn serve_here(&self, mut forward: Forward, owners: &[&Member]) -> Outcome {
        let key = forward.idempotency_key.take();
        let Some(key) = key.filter(|_| !is_idempotent(&forward.method)) else {
            return self.local_runner.run(forward).await;
        };
        let keyed = IdempotencyKey {
            team: forward.team.clone(),
            queue: forward.queue.clone(),
            key,
        };
        let backup = owners.iter().find(|member| member.id != self.id);
        let backup = backup.map(|member| member.peer);
        self.idempotent_runner.run(keyed, forward, backup).await
    }

    /// Closes connections to other processes that have been idle too long.
    pub(crate) fn close_idle_connections(&self) {
        self.peers.close_expired();
    }

    /// Forwards a request to another member; `None` if it may be sent to the next one, because
    /// this one did not take it or the method is idempotent.
    async fn forward_to(&self, member: &Member, view: &View, forward: &Forward) -> Option<Outcome> {
        let limits = ClientLimits {
            connect_ms: PEER_CONNECT_MS,
            response_ms: forward.wait_ms + run_limit_ms(view, &forward.queue) + ANSWER_GRACE_MS,
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

/// Live entries of the data centre in the order in which they would own the pool. All queues
/// of a pool have the same owner, so that one process counts all slots of the pool.
fn rank_pool_owners<'a>(
    view: &'a View,
    data_centre: &DataCentre,
    pool: &PoolId,
) -> Vec<&'a Member> {
    let members = view
        .members
        .iter()
        .filter(|member| member.data_centre == *data_centre);
    rank_owners(&QueueId::new(pool.as_str()), members)
}

fn pool_of(view: &View, queue: &QueueId) -> Option<PoolId> {
    let document = view.document.as_ref()?;
    Some(find_queue(document, queue)?.spec.pool.clone())
}

/// Longest time that a request of the queue may run, with all attempts, in ms; 0 if the
/// document lacks the queue.
fn run_limit_ms(view: &View, queue: &QueueId) -> u64 {
    let Some(document) = &view.document else {
        return 0;
    };
    let service = pool_of(view, queue).and_then(|pool| document.service(&pool));
    service.map_or(0, |service| service.run_limit_ms * u64::from(MAX_ATTEMPTS))
}
