//! Division of each team's ceiling into shares, one for each holder.
//!
//! After every record the shares of a team add up to its ceiling. Only a transfer, an
//! accepted edit or the retirement of a member changes them.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::id::{MemberId, TeamId};
use crate::ledger::{Refusal, State, TransferParty};

/// Who may use a share of a team's ceiling.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AllotmentHolder {
    /// Nobody: a share that is free to be transferred.
    Reserve,
    /// The planner, for the team's jobs that it places on workers.
    Jobs,
    /// A process, for the requests that it has running on targets.
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

/// How a team's ceiling is divided among holders, and the last transfer of a part that was
/// refused because the giver had too little.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Number of requests or jobs that each holder may run at a time; a holder that may run
    /// none has no entry.
    pub shares: IndexMap<AllotmentHolder, u32>,
    /// The last transfer that was refused; `None` if none ever was.
    pub unmet_demand: Option<UnmetDemand>,
}

/// A transfer that was refused because the giver had too little.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnmetDemand {
    /// The holder that would have received it.
    pub holder: AllotmentHolder,
    /// Number of such refusals for the team so far, whoever the receiver was; readers notice a
    /// new refusal by the change of this number.
    pub refusals: u64,
}

impl Allotment {
    /// Share of a holder; 0 if it has none.
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

    /// Takes the surplus from the reserve first, then up to half of the largest share at a
    /// time.
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

    /// What `holder` can give away. Placed jobs keep what they use, since the state counts
    /// them; a member has to stop using a share before it proposes the transfer.
    fn transferable_share(&self, team: &TeamId, holder: &AllotmentHolder) -> u32 {
        let share = self.share(team, holder);
        if *holder == AllotmentHolder::Jobs {
            return share.saturating_sub(self.placed_jobs(team));
        }
        share
    }

    /// Moves all shares of a process to the reserve.
    pub(super) fn return_shares_to_reserve(&mut self, id: &MemberId) {
        let holder = AllotmentHolder::Member(id.clone());
        for allotment in self.facts.allotments.values_mut() {
            let share = allotment.share(&holder);
            allotment.take(&holder, share);
            allotment.add(AllotmentHolder::Reserve, share);
        }
    }

    /// Adapts the shares to the teams and ceilings of a new document.
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
