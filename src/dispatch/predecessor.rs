//! Tells earlier leaders that they were replaced, and answers later ones.

use anyhow::Result;
use serde::{Deserialize, Serialize};

use super::Dispatch;
use super::services::Services;
use super::state::{Shared, State};
use crate::scheduler::{ActiveLeader, Event, Millis};

/// A leader's message to an earlier one, which it replaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Succession {
    /// Name of the process that it is meant for: another one may have its address by now.
    pub member: String,
    /// Fencing token of the leader.
    pub epoch: u64,
}

/// The answer to a [`Succession`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuccessionAnswer {
    /// Time for which the process has not led under an earlier fencing token, in ms.
    pub idle_ms: Millis,
}

impl Succession {
    /// Encodes the message as a map, so that fields can be added.
    ///
    /// # Errors
    /// Fails when it can't be serialised.
    pub fn encode(&self) -> Result<Vec<u8>> {
        Ok(rmp_serde::to_vec_named(self)?)
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// Fails when it is unusable.
    pub fn decode(message: &[u8]) -> Result<Self> {
        Ok(rmp_serde::from_slice(message)?)
    }
}

impl SuccessionAnswer {
    /// Encodes the answer as a map, so that fields can be added.
    ///
    /// # Errors
    /// Fails when it can't be serialised.
    pub fn encode(self) -> Result<Vec<u8>> {
        Ok(rmp_serde::to_vec_named(&self)?)
    }

    /// Decodes an answer.
    ///
    /// # Errors
    /// Fails when it is unusable.
    pub fn decode(answer: &[u8]) -> Result<Self> {
        Ok(rmp_serde::from_slice(answer)?)
    }
}

/// Tells the process `member` that the leader with the fencing token `epoch` has replaced it.
pub(super) async fn notify<S: Services>(shared: &Shared<S>, member: String, epoch: u64) -> Event {
    let address = shared.lock().stored.table().member_address(&member);
    let idle_ms = match address {
        Some(address) => {
            let services = &shared.services;
            services.notify_predecessor(address, &member, epoch).await
        }
        None => None,
    };
    Event::PredecessorNotified { member, idle_ms }
}

impl<S: Services> Dispatch<S> {
    /// Applies that the leader with the fencing token `epoch` has replaced earlier ones: this process
    /// acts on no earlier claim from now on. Returns the time for which it has not done so, in ms;
    /// `None` if it has a claim that is as late.
    #[must_use]
    pub fn superseded_by(&self, epoch: u64) -> Option<Millis> {
        let now = self.shared.clock.now();
        self.shared.lock().superseded_by(epoch, now)
    }
}

impl State {
    fn superseded_by(&mut self, epoch: u64, now: Millis) -> Option<Millis> {
        let leads_at = self.leader.as_ref().map(ActiveLeader::epoch);
        let claims_at = self.claim.as_ref().map(|claim| claim.holder.epoch);
        if leads_at.max(claims_at).is_some_and(|own| own >= epoch) {
            return None;
        }
        self.step_down("another process claimed the role");
        self.claim = None;
        Some(now.saturating_sub(self.decided_at))
    }
}
