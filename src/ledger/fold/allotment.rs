//! Allotments: the part of a team's ceiling that each data centre may use.
//!
//! Their sum is at most the ceiling after every record, and only a transfer or
//! an accepted edit changes them.

use indexmap::IndexMap;

use crate::document::Document;
use crate::id::{DataCentre, TeamId};
use crate::ledger::{Refusal, State};

/// The holder of the part that placed jobs use; no data centre may bear the name.
pub const JOBS: &str = "*jobs";

/// Part of each holder.
pub type Shares = IndexMap<DataCentre, u32>;

impl State {
    pub(super) fn transfer(
        &mut self,
        team: &TeamId,
        from: &DataCentre,
        to: &DataCentre,
        amount: u32,
    ) -> Result<(), Refusal> {
        let free = self.free_share(team, from);
        let Some(shares) = self.facts.allotments.get_mut(team) else {
            return Err(Refusal::Missing(team.to_string()));
        };
        if !shares.contains_key(to) {
            return Err(Refusal::Missing(to.to_string()));
        }
        if free < amount {
            return Err(Refusal::Allotment(free));
        }
        if let Some(share) = shares.get_mut(from) {
            *share -= amount;
        }
        if let Some(share) = shares.get_mut(to) {
            *share += amount;
        }
        Ok(())
    }

    /// What `holder` could give; the fold itself knows what jobs use.
    fn free_share(&self, team: &TeamId, holder: &DataCentre) -> u32 {
        let share = self.share(team, holder);
        if holder.as_str() == JOBS {
            return share.saturating_sub(self.placed_jobs(team));
        }
        share
    }

    pub(super) fn share(&self, team: &TeamId, holder: &DataCentre) -> u32 {
        let shares = self.facts.allotments.get(team);
        shares.and_then(|s| s.get(holder)).copied().unwrap_or(0)
    }

    /// Adapts the allotments to an accepted document.
    pub(super) fn resize_allotments(&mut self, document: &Document) {
        self.facts
            .allotments
            .retain(|team, _| document.teams.contains_key(team));
        for (team, spec) in &document.teams {
            let shares = self.facts.allotments.entry(team.clone()).or_default();
            resize(shares, document, spec.ceiling);
        }
    }
}

fn resize(shares: &mut Shares, document: &Document, ceiling: u32) {
    let jobs = DataCentre::new(JOBS);
    let wanted =
        |holder: &DataCentre| *holder == jobs || document.fleet.data_centres.contains_key(holder);
    shares.retain(|holder, _| wanted(holder));
    for holder in document.fleet.data_centres.keys().chain([&jobs]) {
        shares.entry(holder.clone()).or_insert(0);
    }
    let sum: u32 = shares.values().sum();
    if sum < ceiling {
        grow(shares, ceiling - sum);
    } else {
        shrink(shares, sum - ceiling);
    }
}

/// Spreads `extra` evenly; the first holders get what is left over.
fn grow(shares: &mut Shares, extra: u32) {
    let holders = u32::try_from(shares.len()).unwrap_or(u32::MAX);
    for (i, share) in (0..).zip(shares.values_mut()) {
        *share += extra / holders + u32::from(i < extra % holders);
    }
}

/// Takes from the largest share first.
fn shrink(shares: &mut Shares, mut surplus: u32) {
    while surplus > 0 {
        let Some(share) = shares.values_mut().max() else {
            return;
        };
        let level = share.div_ceil(2).max(1);
        let cut = surplus.min(level);
        *share -= cut;
        surplus -= cut;
    }
}
