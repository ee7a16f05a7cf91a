//! The part of each team's ceiling that its jobs hold.

use indexmap::IndexMap;

use crate::control::FleetState;
use crate::id::{Epoch, TeamId};
use crate::ledger::{AllotmentHolder, JobPhase, Proposal, TransferParty};

/// Jobs hold at most one part in so many of a ceiling, so that requests are never shut
/// out by work that can't be stopped at once.
const PARTS: u32 = 2;

/// Transfers that fit the parts held for jobs to the jobs that there are.
///
/// With an empty reserve it asks in vain, which tells the other holders, only if
/// `insist` is set.
#[must_use]
pub fn transfers(fleet: &FleetState, epoch: Epoch, insist: bool) -> Vec<Proposal> {
    let Some(document) = fleet.document.as_deref() else {
        return Vec::new();
    };
    let counts = counts(fleet);
    let teams = document.teams.iter();
    teams
        .filter_map(|(team, spec)| {
            let jobs = counts.get(team).copied().unwrap_or_default();
            let most = spec.ceiling.div_ceil(PARTS);
            let wanted = jobs.all.min(most).max(jobs.placed);
            transfer(fleet, team, wanted, epoch, insist)
        })
        .collect()
}

fn transfer(
    fleet: &FleetState,
    team: &TeamId,
    wanted: u32,
    epoch: Epoch,
    insist: bool,
) -> Option<Proposal> {
    let allotment = fleet.allotments.get(team)?;
    let held = allotment.share(&AllotmentHolder::Jobs);
    let reserve = allotment.share(&AllotmentHolder::Reserve);
    let (from, to, amount) = if held > wanted {
        (
            TransferParty::Jobs(epoch),
            TransferParty::Reserve,
            held - wanted,
        )
    } else {
        let amount = (wanted - held).min(reserve.max(u32::from(insist)));
        (TransferParty::Reserve, TransferParty::Jobs(epoch), amount)
    };
    let team = team.clone();
    (amount > 0).then_some(Proposal::Transfer {
        team,
        from,
        to,
        amount,
    })
}

#[derive(Clone, Copy, Default)]
struct Count {
    placed: u32,
    all: u32,
}

fn counts(fleet: &FleetState) -> IndexMap<&TeamId, Count> {
    let mut counts: IndexMap<&TeamId, Count> = IndexMap::new();
    for state in &fleet.jobs {
        let count = counts.entry(&state.job.team).or_default();
        count.all += 1;
        count.placed += u32::from(matches!(state.phase, JobPhase::Placed(_)));
    }
    counts
}
