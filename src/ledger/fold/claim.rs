//! Roles: taken and renewed by compare-and-set on offsets.

use crate::id::{Epoch, Offset};
use crate::ledger::state::RoleHolder;
use crate::ledger::{Claim, Refusal, State};

impl State {
    pub(super) fn claim(&mut self, offset: Offset, claim: Claim) -> Result<(), Refusal> {
        match &self.facts.planner {
            None => check_first(&claim)?,
            Some(held) => check_next(held, &claim)?,
        }
        self.facts.planner = Some(RoleHolder {
            holder: claim.holder,
            epoch: claim.epoch,
            renewed: offset,
        });
        Ok(())
    }
}

fn check_first(claim: &Claim) -> Result<(), Refusal> {
    if claim.epoch == Epoch(1) && claim.renewal.is_none() {
        return Ok(());
    }
    Err(Refusal::Held(claim.holder.clone(), Epoch(0)))
}

/// A renewal keeps the epoch, a takeover raises it; both cite the last renewal.
fn check_next(held: &RoleHolder, claim: &Claim) -> Result<(), Refusal> {
    let renews = claim.epoch == held.epoch && claim.holder == held.holder;
    let takes = claim.epoch == held.epoch.next();
    if claim.renewal == Some(held.renewed) && (renews || takes) {
        return Ok(());
    }
    Err(Refusal::Held(held.holder.clone(), held.epoch))
}
