//! Runs a request with an idempotency key at most once, also over a change of owner.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sha2::{Digest, Sha256};

use super::clock::Clock;
use super::dedup::Dedup;
use super::owner::Owner;
use super::unstoppable::Unstoppable;
use crate::http::Limits;
use crate::outcome::{Outcome, Reason};
use crate::peer::{Client, Forward, IdempotencyKey, KeyStatus, PeerReply, PeerRequest};
use crate::runtime::Runtime;

/// Time for the other holder to note a key, in ms.
const NOTE_MS: u64 = 250;

/// Largest answer of the other holder, which may be a kept answer of a target, in bytes.
const MAX_NOTE_BYTES: usize = 33 << 20;

/// Keyed requests of this process and those noted for other owners.
#[derive(Debug)]
pub(crate) struct Once {
    owner: Arc<Owner>,
    peers: Arc<Client>,
    runtime: Runtime,
    clock: Clock,
    dedup: Mutex<Dedup>,
}

impl Once {
    pub(crate) fn new(owner: Arc<Owner>, peers: Arc<Client>, runtime: Runtime) -> Self {
        Self {
            owner,
            peers,
            runtime,
            clock: Clock::new(),
            dedup: Mutex::default(),
        }
    }

    /// Runs a request unless its key is known here or at `second`, the next in rank. It
    /// goes on when its caller leaves: the answer is kept for a repeat.
    pub(crate) fn run(
        self: &Arc<Self>,
        keyed: IdempotencyKey,
        forward: Forward,
        second: Option<SocketAddr>,
    ) -> impl Future<Output = Outcome> + use<> {
        let once = Arc::clone(self);
        let work = async move { once.run_first(keyed, forward, second).await };
        Unstoppable::new(work, self.runtime.clone())
    }

    /// Notes a key for another owner; the answer says what is known of it.
    pub(crate) fn note(&self, keyed: &IdempotencyKey, print: [u8; 32]) -> KeyStatus {
        self.dedup().claim(keyed, print, self.clock.now_us())
    }

    /// Notes what became of a request.
    pub(crate) fn settle(&self, keyed: &IdempotencyKey, outcome: &Outcome) {
        self.dedup().settle(keyed, outcome);
    }

    /// Forgets keys whose time is over.
    pub(crate) fn expire(&self) {
        self.dedup().expire(self.clock.now_us());
    }

    /// Keys remembered now.
    pub(crate) fn keys(&self) -> usize {
        self.dedup().len()
    }

    async fn run_first(
        &self,
        keyed: IdempotencyKey,
        forward: Forward,
        second: Option<SocketAddr>,
    ) -> Outcome {
        let print = print(&forward);
        if let Some(known) = known(self.note(&keyed, print)) {
            return known;
        }
        if let Some(known) = self.note_at(second, &keyed, print).await {
            // Asked again, the other holder may know more.
            self.dedup().forget(&keyed);
            return known;
        }
        let outcome = self.owner.run(forward).await;
        self.settle(&keyed, &outcome);
        if let Some(second) = second {
            self.settle_at(second, keyed, outcome.clone());
        }
        outcome
    }

    /// Outcome of the key's first request if the other holder knows it. One that is out
    /// of reach does not hold the request up.
    async fn note_at(
        &self,
        second: Option<SocketAddr>,
        keyed: &IdempotencyKey,
        print: [u8; 32],
    ) -> Option<Outcome> {
        let message = PeerRequest::Note(keyed.clone(), print);
        match self.peers.ask(second?, &message, &limits()).await {
            Ok(PeerReply::Claim(claim)) => known(claim),
            Ok(_) | Err(_) => None,
        }
    }

    fn settle_at(&self, second: SocketAddr, keyed: IdempotencyKey, outcome: Outcome) {
        let peers = Arc::clone(&self.peers);
        let settle = async move {
            let message = PeerRequest::Settle(keyed, outcome);
            if let Err(error) = peers.ask(second, &message, &limits()).await {
                spdlog::info!("outcome_not_noted", kv: { member:? = second, error:? });
            }
        };
        self.runtime.spawn(settle).detach();
    }

    fn dedup(&self) -> MutexGuard<'_, Dedup> {
        self.dedup.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const fn limits() -> Limits {
    Limits {
        connect_ms: NOTE_MS,
        answer_ms: NOTE_MS,
        body_ms: 0,
        max_body: MAX_NOTE_BYTES,
    }
}

/// What a caller learns of the first request under its key; `None` for the first itself.
fn known(claim: KeyStatus) -> Option<Outcome> {
    match claim {
        KeyStatus::First => None,
        KeyStatus::Running => Some(Outcome::Unknown(Reason::Repeated)),
        KeyStatus::Answered(answer) => Some(Outcome::Answered(answer)),
        KeyStatus::Unknown(reason) => Some(Outcome::Unknown(reason)),
        KeyStatus::Differs => Some(Outcome::NotRun(Reason::KeyReused)),
        KeyStatus::Full => Some(Outcome::NotRun(Reason::QueueFull)),
    }
}

fn print(forward: &Forward) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [forward.method.as_bytes(), forward.path.as_bytes()] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.update(&forward.body);
    hasher.finalize().into()
}
