//! Allotments: the part of a team's ceiling that each holder may use.
//!
//! Their sum is the ceiling after every record. Only a transfer, an accepted edit
//! or the retirement of a holder changes them.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::id::{MemberId, TeamId};
use crate::ledger::{Party, Refusal, State};

/// Who may use a part of a ceiling.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Holder {
    /// Nobody, until it is transferred.
    Reserve,
    /// Placed jobs.
    Jobs,
    /// A process, for requests that it has sent to targets.
    Member(MemberId),
}

impl From<&Party> for Holder {
    fn from(party: &Party) -> Self {
        match party {
            Party::Reserve => Self::Reserve,
            Party::Jobs(_) => Self::Jobs,
            Party::Member(id, _) => Self::Member(id.clone()),
        }
    }
}

/// Part of each holder, and the last holder that asked for more than there was.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Part of each holder; holders without a part are left out.
    pub shares: IndexMap<Holder, u32>,
    /// Who was refused last, and how often anyone was.
    pub want: Option<Want>,
}

/// An unmet demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Who was refused.
    pub holder: Holder,
    /// Refusals so far; changes with each.
    pub count: u64,
}

impl Allotment {
    /// Part of a holder.
    #[must_use]
    pub fn share(&self, holder: &Holder) -> u32 {
        self.shares.get(holder).copied().unwrap_or(0)
    }

    fn add(&mut self, holder: Holder, amount: u32) {
        if amount > 0 {
            *self.shares.entry(holder).or_insert(0) += amount;
        }
    }

    fn take(&mut self, holder: &Holder, amount: u32) {
        let Some(share) = self.shares.get_mut(holder) else {
            return;
        };
        *share = share.saturating_sub(amount);
        if *share == 0 {
            self.shares.shift_remove(holder);
        }
    }

    fn note_want(&mut self, holder: Holder) {
        let count = self.want.as_ref().map_or(0, |want| want.count) + 1;
        self.want = Some(Want { holder, count });
    }

    fn resize(&mut self, ceiling: u32) {
        let sum: u32 = self.shares.values().sum();
        if sum < ceiling {
            self.add(Holder::Reserve, ceiling - sum);
        } else {
            self.shrink(sum - ceiling);
        }
    }

    /// Takes from the reserve, then half of the largest part at a time.
    fn shrink(&mut self, mut surplus: u32) {
        let unused = self.share(&Holder::Reserve).min(surplus);
        self.take(&Holder::Reserve, unused);
        surplus -= unused;
        while surplus > 0 {
            let largest = self.shares.iter().max_by_key(|(_, share)| **share);
            let Some((holder, share)) = largest.map(|(h, s)| (h.clone(), *s)) else {
                return;
            };
            let cut = surplus.min(share.div_ceil(2));
            self.take(&holder, cut);
            surplus -= cut;
        }
    }
}

impl State {
    pub(super) fn transfer(
        &mut self,
        team: &TeamId,
        from: &Party,
        to: &Party,
        amount: u32,
    ) -> Result<(), Refusal> {
        self.check_party(from)?;
        self.check_party(to)?;
        let (giver, taker) = (Holder::from(from), Holder::from(to));
        let free = self.free_share(team, &giver);
        let Some(allotment) = self.facts.allotments.get_mut(team) else {
            return Err(Refusal::Missing(team.to_string()));
        };
        if free < amount {
            allotment.note_want(taker);
            return Err(Refusal::Allotment(free));
        }
        allotment.take(&giver, amount);
        allotment.add(taker, amount);
        Ok(())
    }

    fn check_party(&self, party: &Party) -> Result<(), Refusal> {
        match party {
            Party::Reserve => Ok(()),
            Party::Jobs(epoch) => self.check_epoch(*epoch),
            Party::Member(id, run) => self.check_run(id, *run),
        }
    }

    /// What `holder` could give; the fold itself knows what jobs use.
    fn free_share(&self, team: &TeamId, holder: &Holder) -> u32 {
        let share = self.share(team, holder);
        if *holder == Holder::Jobs {
            return share.saturating_sub(self.placed_jobs(team));
        }
        share
    }

    /// Puts everything that a process held back into the reserve.
    pub(super) fn release_shares(&mut self, id: &MemberId) {
        let holder = Holder::Member(id.clone());
        for allotment in self.facts.allotments.values_mut() {
            let share = allotment.share(&holder);
            allotment.take(&holder, share);
            allotment.add(Holder::Reserve, share);
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
