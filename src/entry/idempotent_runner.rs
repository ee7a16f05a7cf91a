//! Runs a request with an idempotency key at most once, also over a change of owner.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sha2::{Digest, Sha256};

use super::clock::Clock;
use super::idempotency_store::IdempotencyStore;
use super::local_runner::LocalRunner;
use super::run_to_completion::RunToCompletion;
use crate::http::Limits;
use crate::outcome::{Outcome, Reason};
use crate::peer::{Claim, Client, Forward, Keyed, PeerReply, PeerRequest};
use crate::runtime::Runtime;

/// Time for the other holder to note a key, in ms.
const PEER_TIMEOUT_MS: u64 = 250;

/// Largest answer of the other holder, which may be a kept answer of a target, in bytes.
const MAX_REPLY_BYTES: usize = 33 << 20;

/// Keyed requests of this process and those noted for other owners.
#[derive(Debug)]
pub(crate) struct IdempotentRunner {
    local_runner: Arc<LocalRunner>,
    peers: Arc<Client>,
    runtime: Runtime,
    clock: Clock,
    store: Mutex<IdempotencyStore>,
}

impl IdempotentRunner {
    pub(crate) fn new(
        local_runner: Arc<LocalRunner>,
        peers: Arc<Client>,
        runtime: Runtime,
    ) -> Self {
        Self {
            local_runner,
            peers,
            runtime,
            clock: Clock::new(),
            store: Mutex::default(),
        }
    }

    /// Runs a request unless its key is known here or at `second`, the next in rank. It
    /// goes on when its caller leaves: the answer is kept for a repeat.
    pub(crate) fn run(
        self: &Arc<Self>,
        keyed: Keyed,
        forward: Forward,
        backup: Option<SocketAddr>,
    ) -> impl Future<Output = Outcome> + use<> {
        let runner = Arc::clone(self);
        let work = async move { runner.run_once(keyed, forward, backup).await };
        RunToCompletion::new(work, self.runtime.clone())
    }

    /// Notes a key for another owner; the answer says what is known of it.
    pub(crate) fn claim(&self, keyed: &Keyed, fingerprint: [u8; 32]) -> Claim {
        self.store().claim(keyed, fingerprint, self.clock.now_us())
    }

    /// Notes what became of a request.
    pub(crate) fn record_outcome(&self, keyed: &Keyed, outcome: &Outcome) {
        self.store().record_outcome(keyed, outcome);
    }

    /// Forgets keys whose time is over.
    pub(crate) fn remove_expired(&self) {
        self.store().remove_expired(self.clock.now_us());
    }

    /// Keys remembered now.
    pub(crate) fn key_count(&self) -> usize {
        self.store().len()
    }

    async fn run_once(
        &self,
        keyed: Keyed,
        forward: Forward,
        backup: Option<SocketAddr>,
    ) -> Outcome {
        let fingerprint = fingerprint(&forward);
        if let Some(first_outcome) = outcome_of_claim(self.claim(&keyed, fingerprint)) {
            return first_outcome;
        }
        if let Some(first_outcome) = self.claim_at(backup, &keyed, fingerprint).await {
            // Asked again, the other holder may know more.
            self.store().remove(&keyed);
            return first_outcome;
        }
        let outcome = self.local_runner.run(forward).await;
        self.record_outcome(&keyed, &outcome);
        if let Some(backup) = backup {
            self.send_outcome(backup, keyed, outcome.clone());
        }
        outcome
    }

    /// Outcome of the key's first request if the other holder knows it. One that is out
    /// of reach does not hold the request up.
    async fn claim_at(
        &self,
        backup: Option<SocketAddr>,
        keyed: &Keyed,
        fingerprint: [u8; 32],
    ) -> Option<Outcome> {
        let message = PeerRequest::Note(keyed.clone(), fingerprint);
        match self.peers.ask(backup?, &message, &peer_limits()).await {
            Ok(PeerReply::Claim(claim)) => outcome_of_claim(claim),
            Ok(_) | Err(_) => None,
        }
    }

    fn send_outcome(&self, backup: SocketAddr, keyed: Keyed, outcome: Outcome) {
        let peers = Arc::clone(&self.peers);
        let record_outcome = async move {
            let message = PeerRequest::Settle(keyed, outcome);
            if let Err(error) = peers.ask(backup, &message, &peer_limits()).await {
                spdlog::info!("outcome_not_noted", kv: { member:? = backup, error:? });
            }
        };
        self.runtime.spawn(record_outcome).detach();
    }

    fn store(&self) -> MutexGuard<'_, IdempotencyStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const fn peer_limits() -> Limits {
    Limits {
        connect_ms: PEER_TIMEOUT_MS,
        answer_ms: PEER_TIMEOUT_MS,
        body_ms: 0,
        max_body: MAX_REPLY_BYTES,
    }
}

/// What a caller learns of the first request under its key; `None` for the first itself.
fn outcome_of_claim(claim: Claim) -> Option<Outcome> {
    match claim {
        Claim::First => None,
        Claim::Running => Some(Outcome::Unknown(Reason::Repeated)),
        Claim::Answered(answer) => Some(Outcome::Answered(answer)),
        Claim::Unknown(reason) => Some(Outcome::Unknown(reason)),
        Claim::Differs => Some(Outcome::NotRun(Reason::KeyReused)),
        Claim::Full => Some(Outcome::NotRun(Reason::QueueFull)),
    }
}

fn fingerprint(forward: &Forward) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [forward.method.as_bytes(), forward.path.as_bytes()] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.update(&forward.body);
    hasher.finalize().into()
}
