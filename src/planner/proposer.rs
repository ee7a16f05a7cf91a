//! Sends the planner's proposals to the log and waits for their verdicts.

use crate::control::Control;
use crate::ledger::{Proposal, Verdict};
use crate::runtime::Runtime;

/// Sends proposals through the control thread, and logs those that are refused or fail.
#[derive(Clone, Debug)]
pub(super) struct Proposer {
    pub(super) control: Control,
    pub(super) runtime: Runtime,
}

impl Proposer {
    /// Sends all proposals concurrently; the verdicts are in the order of the proposals.
    pub(super) async fn propose_all(&self, proposals: Vec<Proposal>) -> Vec<Option<Verdict>> {
        let tasks: Vec<_> = proposals
            .into_iter()
            .map(|proposal| {
                let proposer = self.clone();
                self.runtime
                    .spawn(async move { proposer.propose(proposal).await })
            })
            .collect();
        let mut verdicts = Vec::with_capacity(tasks.len());
        for task in tasks {
            verdicts.push(task.await);
        }
        verdicts
    }

    /// Sends one proposal and waits for its verdict; `None` if none came in time.
    pub(super) async fn propose(&self, proposal: Proposal) -> Option<Verdict> {
        match self.control.propose(proposal).await {
            Ok(verdict) => {
                if let Verdict::Refused(offset, refusal) = &verdict {
                    let refusal = format!("{refusal:?}");
                    spdlog::info!("proposal_refused", kv: { offset = offset.0, refusal });
                }
                Some(verdict)
            }
            Err(error) => {
                spdlog::warn!("proposal_failed", kv: { error = error.to_string() });
                None
            }
        }
    }
}
