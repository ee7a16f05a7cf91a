//! Hands a request to the owner of its queue.

use std::sync::Arc;

use super::PEER_EXTRA_BYTES;
use super::auth::find_queue;
use super::once::Once;
use super::owner::{ATTEMPTS, Owner, is_idempotent};
use crate::control::Control;
use crate::http::Limits;
use crate::id::{DataCentre, MemberId, PoolId, QueueId};
use crate::membership::rank_owners;
use crate::outcome::{Outcome, Reason};
use crate::peer::{Client, Forward, Keyed, PeerError, PeerReply, PeerRequest};
use crate::view::{Member, View};

/// Time to connect to another process, in ms; the data centre is within 1 ms.
const CONNECT_MS: u64 = 250;

/// Owners that are tried when the one before does not take the request.
const WALK: usize = 3;

/// Processes that may hand a request on; views that differ for a moment could send it in
/// circles otherwise.
const MAX_HOPS: u8 = 2;

/// Time for the answer to come back after the longest wait and run, in ms.
const GRACE_MS: u64 = 1_000;

/// Finds the process that serves a request.
#[derive(Debug)]
pub(crate) struct Router {
    id: MemberId,
    data_centre: DataCentre,
    control: Control,
    peers: Arc<Client>,
    owner: Arc<Owner>,
    once: Arc<Once>,
    max_body: usize,
}

impl Router {
    pub(crate) const fn new(
        id: MemberId,
        data_centre: DataCentre,
        control: Control,
        peers: Arc<Client>,
        owner: Arc<Owner>,
        once: Arc<Once>,
        max_body: usize,
    ) -> Self {
        Self {
            id,
            data_centre,
            control,
            peers,
            owner,
            once,
            max_body,
        }
    }

    /// Serves a request here or at the owner of its queue.
    pub(crate) async fn run(&self, mut forward: Forward) -> Outcome {
        let view = self.control.view();
        let Some(pool) = pool_of(&view, &forward.queue) else {
            return Outcome::NotRun(Reason::NoQueue);
        };
        let owners = owners(&view, &self.data_centre, &pool);
        if forward.hops >= MAX_HOPS {
            return self.serve(forward, &owners).await;
        }
        forward.hops += 1;
        for member in owners.iter().take(WALK) {
            if member.id == self.id {
                return self.serve(forward, &owners).await;
            }
            if let Some(outcome) = self.hand_over(member, &view, &forward).await {
                return outcome;
            }
            spdlog::info!("owner_not_reached", kv: {
                queue = forward.queue.as_str(),
                member = member.id.as_str(),
            });
        }
        // Nobody of the first ranks answers: better served here than refused.
        self.serve(forward, &owners).await
    }

    /// Requests with an idempotency key.
    pub(crate) fn once(&self) -> &Once {
        &self.once
    }

    /// Serves a request here; `owners` are ranked.
    async fn serve(&self, mut forward: Forward, owners: &[&Member]) -> Outcome {
        let key = forward.idempotency.take();
        let Some(key) = key.filter(|_| !is_idempotent(&forward.method)) else {
            return self.owner.run(forward).await;
        };
        let keyed = Keyed {
            team: forward.team.clone(),
            queue: forward.queue.clone(),
            key,
        };
        let second = owners.iter().find(|member| member.id != self.id);
        let second = second.map(|member| member.peer);
        self.once.run(keyed, forward, second).await
    }

    /// Closes connections that have been idle too long.
    pub(crate) fn sweep(&self) {
        self.peers.sweep();
    }

    /// `None` when the other process has not taken the request.
    async fn hand_over(&self, member: &Member, view: &View, forward: &Forward) -> Option<Outcome> {
        let limits = Limits {
            connect_ms: CONNECT_MS,
            answer_ms: forward.wait_ms + run_limit_ms(view, &forward.queue) + GRACE_MS,
            body_ms: 0,
            max_body: self.max_body + PEER_EXTRA_BYTES,
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
fn owners<'a>(view: &'a View, data_centre: &DataCentre, pool: &PoolId) -> Vec<&'a Member> {
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

/// Longest run of a request of the queue, with its retries.
fn run_limit_ms(view: &View, queue: &QueueId) -> u64 {
    let Some(document) = &view.document else {
        return 0;
    };
    let service = pool_of(view, queue).and_then(|pool| document.service(&pool));
    service.map_or(0, |service| service.run_limit_ms * u64::from(ATTEMPTS))
}
