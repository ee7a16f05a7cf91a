//! The part of each team's ceiling that its jobs hold.

use indexmap::IndexMap;

use crate::control::FleetState;
use crate::id::{Epoch, TeamId};
use crate::ledger::{Holder, JobPhase, Party, Proposal};

/// Jobs hold at most one part in so many of a ceiling, so that requests are never shut
/// out by work that can't be stopped at once.
const JOB_CEILING_DIVISOR: u32 = 2;

/// Transfers that fit the parts held for jobs to the jobs that there are.
///
/// With an empty reserve it asks in vain, which tells the other holders, only if
/// `insist` is set.
#[must_use]
pub fn ceiling_transfers(fleet: &FleetState, epoch: Epoch, signal_want: bool) -> Vec<Proposal> {
    let Some(document) = fleet.document.as_deref() else {
        return Vec::new();
    };
    let counts = count_jobs(fleet);
    let teams = document.teams.iter();
    teams
        .filter_map(|(team, spec)| {
            let jobs = counts.get(team).copied().unwrap_or_default();
            let limit = spec.ceiling.div_ceil(JOB_CEILING_DIVISOR);
            let wanted = jobs.unfinished.min(limit).max(jobs.placed);
            transfer(fleet, team, wanted, epoch, signal_want)
        })
        .collect()
}

fn transfer(
    fleet: &FleetState,
    team: &TeamId,
    wanted: u32,
    epoch: Epoch,
    signal_want: bool,
) -> Option<Proposal> {
    let allotment = fleet.allotments.get(team)?;
    let held = allotment.share(&Holder::Jobs);
    let reserve = allotment.share(&Holder::Reserve);
    let (from, to, amount) = if held > wanted {
        (Party::Jobs(epoch), Party::Reserve, held - wanted)
    } else {
        let amount = (wanted - held).min(reserve.max(u32::from(signal_want)));
        (Party::Reserve, Party::Jobs(epoch), amount)
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
struct JobCount {
    placed: u32,
    unfinished: u32,
}

fn count_jobs(fleet: &FleetState) -> IndexMap<&TeamId, JobCount> {
    let mut counts: IndexMap<&TeamId, JobCount> = IndexMap::new();
    for state in &fleet.jobs {
        let count = counts.entry(&state.job.team).or_default();
        count.unfinished += 1;
        count.placed += u32::from(matches!(state.phase, JobPhase::Placed(_)));
    }
    counts
}
