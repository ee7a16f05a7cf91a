//! Roles: taken and renewed by compare-and-set on the offset of the last claim.

use crate::id::{Epoch, Offset};
use crate::ledger::state::RoleHolder;
use crate::ledger::{Claim, Refusal, State};

impl State {
    pub(super) fn claim(&mut self, offset: Offset, claim: Claim) -> Result<(), Refusal> {
        match &self.facts.planner {
            None => check_first(&claim)?,
            Some(current) => check_next(current, &claim)?,
        }
        self.facts.planner = Some(RoleHolder {
            member: claim.holder,
            epoch: claim.epoch,
            renewed_at: offset,
        });
        Ok(())
    }
}

fn check_first(claim: &Claim) -> Result<(), Refusal> {
    if claim.epoch == Epoch(1) && claim.last_renewal.is_none() {
        return Ok(());
    }
    Err(Refusal::Held(claim.holder.clone(), Epoch(0)))
}

/// A renewal by the holder keeps the epoch, a takeover raises it by 1; both must cite the
/// last accepted claim.
fn check_next(current: &RoleHolder, claim: &Claim) -> Result<(), Refusal> {
    let renews = claim.epoch == current.epoch && claim.holder == current.member;
    let takes = claim.epoch == current.epoch.next();
    if claim.last_renewal == Some(current.renewed_at) && (renews || takes) {
        return Ok(());
    }
    Err(Refusal::Held(current.member.clone(), current.epoch))
}
