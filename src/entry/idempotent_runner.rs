//! Runs a request with an idempotency key at most once, also when the pool's owner changes.
//!
//! The process that runs a request also claims its key at a backup, the first other member
//! in the ranking of the pool's owners, and sends the outcome there. If the owner is lost,
//! the next one knows the key.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sha2::{Digest, Sha256};

use super::clock::Clock;
use super::idempotency_store::IdempotencyStore;
use super::local_runner::LocalRunner;
use super::run_to_completion::RunToCompletion;
use crate::http::ClientLimits;
use crate::outcome::{Outcome, Reason};
use crate::peer::{Client, Forward, IdempotencyKey, KeyStatus, PeerReply, PeerRequest};
use crate::runtime::Runtime;

/// Time to connect to the backup, and for its reply, in ms.
const PEER_TIMEOUT_MS: u64 = 250;

/// Largest reply of the backup, in bytes; it may contain a remembered answer of a target.
const MAX_REPLY_BYTES: usize = 33 << 20;

/// Runs requests under idempotency keys and holds the keys of this process and those that
/// it keeps as the backup of others.
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

    /// Runs a request unless its key is known here or at `backup`, which is `None` if there is
    /// no other member. The run continues when its caller leaves: the answer is kept for a
    /// repeat.
    pub(crate) fn run(
        self: &Arc<Self>,
        keyed: IdempotencyKey,
        forward: Forward,
        backup: Option<SocketAddr>,
    ) -> impl Future<Output = Outcome> + use<> {
        let runner = Arc::clone(self);
        let work = async move { runner.run_once(keyed, forward, backup).await };
        RunToCompletion::new(work, self.runtime.clone())
    }

    /// Claims a key, for this process or for one that has it as its backup.
    pub(crate) fn claim(&self, keyed: &IdempotencyKey, fingerprint: [u8; 32]) -> KeyStatus {
        self.store().claim(keyed, fingerprint, self.clock.now_us())
    }

    /// Records the outcome of the first request under a key.
    pub(crate) fn record_outcome(&self, keyed: &IdempotencyKey, outcome: &Outcome) {
        self.store().record_outcome(keyed, outcome);
    }

    /// Removes expired keys.
    pub(crate) fn remove_expired(&self) {
        self.store().remove_expired(self.clock.now_us());
    }

    /// Number of remembered keys.
    pub(crate) fn key_count(&self) -> usize {
        self.store().len()
    }

    async fn run_once(
        &self,
        keyed: IdempotencyKey,
        forward: Forward,
        backup: Option<SocketAddr>,
    ) -> Outcome {
        let fingerprint = fingerprint(&forward);
        if let Some(first_outcome) = outcome_of_claim(self.claim(&keyed, fingerprint)) {
            return first_outcome;
        }
        if let Some(first_outcome) = self.claim_at(backup, &keyed, fingerprint).await {
            // Without a claim here, a repeat asks the backup again, which may know more by then.
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

    /// Claims the key at the backup; `Some` is what the backup knows of an earlier request.
    /// A backup that can't be reached does not stop the request.
    async fn claim_at(
        &self,
        backup: Option<SocketAddr>,
        keyed: &IdempotencyKey,
        fingerprint: [u8; 32],
    ) -> Option<Outcome> {
        let message = PeerRequest::Note(keyed.clone(), fingerprint);
        match self.peers.ask(backup?, &message, &peer_limits()).await {
            Ok(PeerReply::Claim(claim)) => outcome_of_claim(claim),
            Ok(_) | Err(_) => None,
        }
    }

    /// Sends the outcome to the backup in the background; a failure is only logged.
    fn send_outcome(&self, backup: SocketAddr, keyed: IdempotencyKey, outcome: Outcome) {
        let peers = Arc::clone(&self.peers);
        let record_outcome = async move {
            let message = PeerRequest::Settle(keyed, outcome);
            if let Err(error) = peers.ask(backup, &message, &peer_limits()).await {
                spdlog::info!("outcome_copy_failed", kv: { address:? = backup, error:? });
            }
        };
        self.runtime.spawn(record_outcome).detach();
    }

    fn store(&self) -> MutexGuard<'_, IdempotencyStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const fn peer_limits() -> ClientLimits {
    ClientLimits {
        connect_ms: PEER_TIMEOUT_MS,
        response_ms: PEER_TIMEOUT_MS,
        body_ms: 0,
        max_body: MAX_REPLY_BYTES,
    }
}

/// What a caller is told of the first request under its key; `None` if its own is the first.
fn outcome_of_claim(claim: KeyStatus) -> Option<Outcome> {
    match claim {
        KeyStatus::First => None,
        KeyStatus::Running => Some(Outcome::Unknown(Reason::Repeated)),
        KeyStatus::Answered(answer) => Some(Outcome::Answered(answer)),
        KeyStatus::Unknown(reason) => Some(Outcome::Unknown(reason)),
        KeyStatus::Differs => Some(Outcome::NotRun(Reason::KeyReused)),
        KeyStatus::Full => Some(Outcome::NotRun(Reason::QueueFull)),
    }
}

/// SHA-256 of method, path and body, by which different requests under one key are told
/// apart.
fn fingerprint(forward: &Forward) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [forward.method.as_bytes(), forward.path.as_bytes()] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.update(&forward.body);
    hasher.finalize().into()
}
