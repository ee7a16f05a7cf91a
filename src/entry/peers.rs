//! Handles messages from other processes.

use std::sync::Arc;

use super::shared::Shared;
use crate::outcome::{Outcome, Reason};
use crate::peer::{Handler, PeerReply, PeerRequest};

/// Handles messages from other processes.
#[derive(Debug)]
pub(crate) struct PeerHandler(pub(crate) Arc<Shared>);

impl Handler for PeerHandler {
    async fn handle(&self, message: PeerRequest) -> PeerReply {
        match message {
            PeerRequest::Forward(forward) => {
                let _in_flight = self.0.track_request();
                PeerReply::Outcome(self.0.router.run(forward).await)
            }
            PeerRequest::Note(keyed, fingerprint) => {
                PeerReply::Claim(self.0.router.idempotent_runner().claim(&keyed, fingerprint))
            }
            PeerRequest::Settle(keyed, outcome) => {
                self.0
                    .router
                    .idempotent_runner()
                    .record_outcome(&keyed, &outcome);
                PeerReply::Settled
            }
            PeerRequest::Heartbeat(heartbeat) => match self.0.control.heartbeat(heartbeat).await {
                Some(reply) => PeerReply::Heartbeat(reply),
                None => PeerReply::Outcome(Outcome::NotRun(Reason::Stopping)),
            },
            PeerRequest::State => match self.0.control.state().await {
                Some(bytes) => PeerReply::State(bytes),
                None => PeerReply::Outcome(Outcome::NotRun(Reason::Stopping)),
            },
        }
    }
}
