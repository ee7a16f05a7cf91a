//! Messages of other processes.

use std::sync::Arc;

use super::shared::Shared;
use crate::outcome::{Outcome, Reason};
use crate::peer::{Handler, PeerReply, PeerRequest};

/// Answers other processes.
#[derive(Debug)]
pub(crate) struct PeerHandler(pub(crate) Arc<Shared>);

impl Handler for PeerHandler {
    async fn handle(&self, message: PeerRequest) -> PeerReply {
        match message {
            PeerRequest::Forward(forward) => {
                let _busy = self.0.enter();
                PeerReply::Outcome(self.0.router.run(forward).await)
            }
            PeerRequest::Note(keyed, print) => {
                PeerReply::Claim(self.0.router.once().note(&keyed, print))
            }
            PeerRequest::Settle(keyed, outcome) => {
                self.0.router.once().settle(&keyed, &outcome);
                PeerReply::Settled
            }
            PeerRequest::Heartbeat(heartbeat) => match self.0.control.heartbeat(heartbeat).await {
                Some(own) => PeerReply::Heartbeat(own),
                None => PeerReply::Outcome(Outcome::NotRun(Reason::Stopping)),
            },
            PeerRequest::State => match self.0.control.state().await {
                Some(bytes) => PeerReply::State(bytes),
                None => PeerReply::Outcome(Outcome::NotRun(Reason::Stopping)),
            },
        }
    }
}
