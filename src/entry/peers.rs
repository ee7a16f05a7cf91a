//! Messages of other processes.

use std::sync::Arc;

use super::shared::Shared;
use crate::outcome::{Outcome, Reason};
use crate::peer::{Handler, PeerReply, PeerRequest};

/// Answers other processes.
#[derive(Debug)]
pub(crate) struct Peers(pub(crate) Arc<Shared>);

impl Handler for Peers {
    async fn handle(&self, message: PeerRequest) -> PeerReply {
        match message {
            PeerRequest::Forward(forward) => {
                let _busy = self.0.enter();
                PeerReply::Outcome(self.0.router.run(forward).await)
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
