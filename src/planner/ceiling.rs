//! Sizes the part of each team's ceiling that its jobs hold.

use indexmap::IndexMap;

use crate::control::FleetState;
use crate::id::{Epoch, TeamId};
use crate::ledger::{AllotmentHolder, JobPhase, Proposal, TransferParty};

/// Jobs get at most one part in this many of a ceiling, so that requests are never shut out
/// by work that can't be stopped at once.
const JOB_CEILING_DIVISOR: u32 = 2;

/// Transfers that fit the jobs' part of each ceiling to the jobs that have not ended.
///
/// From an empty reserve no transfer is proposed, unless `report_unmet_demand` is set: then a
/// transfer of 1 is proposed although it will be refused, because the log records the refusal
/// as [`UnmetDemand`](crate::ledger::UnmetDemand), which tells the other holders that jobs
/// need more.
#[must_use]
pub fn ceiling_transfers(
    fleet: &FleetState,
    epoch: Epoch,
    report_unmet_demand: bool,
) -> Vec<Proposal> {
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
            transfer(fleet, team, wanted, epoch, report_unmet_demand)
        })
        .collect()
}

/// The transfer that brings the jobs' part of one team's ceiling to `wanted`, as far as the
/// reserve allows.
fn transfer(
    fleet: &FleetState,
    team: &TeamId,
    wanted: u32,
    epoch: Epoch,
    report_unmet_demand: bool,
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
        let amount = (wanted - held).min(reserve.max(u32::from(report_unmet_demand)));
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

/// Jobs of one team that have not ended, and those of them that are placed.
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
