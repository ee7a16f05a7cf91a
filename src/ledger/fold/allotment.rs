//! Allotments: the part of a team's ceiling that each holder may use.
//!
//! Their sum is the ceiling after every record. Only a transfer, an accepted edit
//! or the retirement of a holder changes them.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::id::{MemberId, TeamId};
use crate::ledger::{Refusal, State, TransferParty};

/// Who may use a part of a ceiling.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AllotmentHolder {
    /// Nobody, until it is transferred.
    Reserve,
    /// Placed jobs.
    Jobs,
    /// A process, for requests that it has sent to targets.
    Member(MemberId),
}

impl From<&TransferParty> for AllotmentHolder {
    fn from(party: &TransferParty) -> Self {
        match party {
            TransferParty::Reserve => Self::Reserve,
            TransferParty::Jobs(_) => Self::Jobs,
            TransferParty::Member(id, _) => Self::Member(id.clone()),
        }
    }
}

/// Part of each holder, and the last holder that asked for more than there was.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Part of each holder; holders without a part are left out.
    pub shares: IndexMap<AllotmentHolder, u32>,
    /// Who was refused last, and how often anyone was.
    pub unmet_demand: Option<UnmetDemand>,
}

/// An unmet demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnmetDemand {
    /// Who was refused.
    pub holder: AllotmentHolder,
    /// Refusals so far; changes with each.
    pub refusals: u64,
}

impl Allotment {
    /// Part of a holder.
    #[must_use]
    pub fn share(&self, holder: &AllotmentHolder) -> u32 {
        self.shares.get(holder).copied().unwrap_or(0)
    }

    fn add(&mut self, holder: AllotmentHolder, amount: u32) {
        if amount > 0 {
            *self.shares.entry(holder).or_insert(0) += amount;
        }
    }

    fn take(&mut self, holder: &AllotmentHolder, amount: u32) {
        let Some(share) = self.shares.get_mut(holder) else {
            return;
        };
        *share = share.saturating_sub(amount);
        if *share == 0 {
            self.shares.shift_remove(holder);
        }
    }

    fn record_unmet_demand(&mut self, holder: AllotmentHolder) {
        let refusals = self
            .unmet_demand
            .as_ref()
            .map_or(0, |unmet_demand| unmet_demand.refusals)
            + 1;
        self.unmet_demand = Some(UnmetDemand { holder, refusals });
    }

    fn resize(&mut self, ceiling: u32) {
        let sum: u32 = self.shares.values().sum();
        if sum < ceiling {
            self.add(AllotmentHolder::Reserve, ceiling - sum);
        } else {
            self.shrink(sum - ceiling);
        }
    }

    /// Takes from the reserve, then half of the largest part at a time.
    fn shrink(&mut self, mut surplus: u32) {
        let unused = self.share(&AllotmentHolder::Reserve).min(surplus);
        self.take(&AllotmentHolder::Reserve, unused);
        surplus -= unused;
        while surplus > 0 {
            let largest = self.shares.iter().max_by_key(|(_, share)| **share);
            let Some((holder, share)) = largest.map(|(h, s)| (h.clone(), *s)) else {
                return;
            };
            let reduction = surplus.min(share.div_ceil(2));
            self.take(&holder, reduction);
            surplus -= reduction;
        }
    }
}

impl State {
    pub(super) fn transfer(
        &mut self,
        team: &TeamId,
        from: &TransferParty,
        to: &TransferParty,
        amount: u32,
    ) -> Result<(), Refusal> {
        self.check_party(from)?;
        self.check_party(to)?;
        let (giver, receiver) = (AllotmentHolder::from(from), AllotmentHolder::from(to));
        let free = self.transferable_share(team, &giver);
        let Some(allotment) = self.facts.allotments.get_mut(team) else {
            return Err(Refusal::Missing(team.to_string()));
        };
        if free < amount {
            allotment.record_unmet_demand(receiver);
            return Err(Refusal::Allotment(free));
        }
        allotment.take(&giver, amount);
        allotment.add(receiver, amount);
        Ok(())
    }

    fn check_party(&self, party: &TransferParty) -> Result<(), Refusal> {
        match party {
            TransferParty::Reserve => Ok(()),
            TransferParty::Jobs(epoch) => self.check_epoch(*epoch),
            TransferParty::Member(id, incarnation) => self.check_incarnation(id, *incarnation),
        }
    }

    /// What `holder` could give; the fold itself knows what jobs use.
    fn transferable_share(&self, team: &TeamId, holder: &AllotmentHolder) -> u32 {
        let share = self.share(team, holder);
        if *holder == AllotmentHolder::Jobs {
            return share.saturating_sub(self.placed_jobs(team));
        }
        share
    }

    /// Puts everything that a process held back into the reserve.
    pub(super) fn return_shares_to_reserve(&mut self, id: &MemberId) {
        let holder = AllotmentHolder::Member(id.clone());
        for allotment in self.facts.allotments.values_mut() {
            let share = allotment.share(&holder);
            allotment.take(&holder, share);
            allotment.add(AllotmentHolder::Reserve, share);
        }
    }

    /// Adapts the allotments to an accepted document.
    pub(super) fn resize_allotments(&mut self, document: &Document) {
        let teams = &document.teams;
        self.facts
            .allotments
            .retain(|team, _| teams.contains_key(team));
        for (team, spec) in teams {
            let allotment = self.facts.allotments.entry(team.clone()).or_default();
            allotment.resize(spec.ceiling);
        }
    }
}
