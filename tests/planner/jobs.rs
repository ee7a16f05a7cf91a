use std::sync::Arc;

use amaranthwick::control::JobState;
use amaranthwick::id::{Generation, JobId, TeamId, VmId};
use amaranthwick::ledger::{Allotment, AllotmentHolder, JobPhase, PlannedStop, StopReason};
use amaranthwick::planner::{Placement, place};
use amaranthwick::services::Vm;

use crate::fixtures::{document, fleet, job, vm};

const POOLS: [(&str, &str); 2] = [("w1", "red-jobs"), ("w2", "red-jobs")];

fn workers() -> Vec<Vm> {
    ["w1", "w2"].map(|id| vm(id, "worker", "a")).to_vec()
}

fn placement(job: &str, vm: &str) -> Placement {
    Placement {
        job: JobId::new(job),
        step: 0,
        vm: VmId::new(vm),
    }
}

#[test]
fn jobs_are_placed_where_they_fit() {
    let jobs = ["j1", "j2", "j3", "j4"].map(|id| job(id, "red", 10, JobPhase::Waiting));

    let found = place(&fleet(workers(), &POOLS, jobs.to_vec()));

    assert_eq!(found, [placement("j1", "w1"), placement("j2", "w2")]);
}

#[test]
fn room_of_placed_jobs_is_not_given_twice() {
    let jobs = vec![
        job("j1", "red", 16, JobPhase::Placed(VmId::new("w1"))),
        job("j2", "red", 16, JobPhase::Waiting),
    ];

    let found = place(&fleet(workers(), &POOLS, jobs));

    assert_eq!(found, [placement("j2", "w2")]);
}

#[test]
fn the_most_urgent_job_goes_first() {
    let mut urgent = job("urgent", "red", 16, JobPhase::Waiting);
    urgent.job.urgency = 0;
    let jobs = vec![job("j1", "red", 16, JobPhase::Waiting), urgent];

    let found = place(&fleet(workers(), &POOLS, jobs));

    assert_eq!(found, [placement("urgent", "w1"), placement("j1", "w2")]);
}

#[test]
fn a_worker_with_a_planned_stop_gets_nothing() {
    let jobs = vec![job("j1", "red", 1, JobPhase::Waiting)];
    let mut fleet = fleet(workers(), &POOLS, jobs);
    fleet.stops.insert(
        VmId::new("w1"),
        PlannedStop {
            reason: StopReason::Maintenance,
            generation: Generation(0),
        },
    );

    assert_eq!(place(&fleet), [placement("j1", "w2")]);
}

#[test]
fn a_job_of_an_unknown_team_is_not_placed() {
    let jobs = vec![job("j1", "green", 1, JobPhase::Waiting)];

    assert_eq!(place(&fleet(workers(), &POOLS, jobs)), []);
}

fn count(found: &[Placement], prefix: &str) -> usize {
    let jobs = found.iter().map(|placement| placement.job.as_str());
    jobs.filter(|job| job.starts_with(prefix)).count()
}

/// Waiting jobs of half a worker, all of `red` before all of `office`.
fn two_teams(each: usize) -> Vec<JobState> {
    let of = |team: &'static str| {
        let id = move |i| format!("{team}-{i}");
        (0..each).map(move |i| job(&id(i), team, 8, JobPhase::Waiting))
    };
    of("red").chain(of("office")).collect()
}

#[test]
fn teams_of_equal_shares_get_equal_parts() {
    let found = place(&fleet(workers(), &POOLS, two_teams(4)));

    assert_eq!((count(&found, "red"), count(&found, "office")), (2, 2));
}

#[test]
fn a_team_with_three_times_the_share_gets_three_times_the_part() {
    let mut fleet = fleet(workers(), &POOLS, two_teams(4));
    let mut document = document();
    document.teams[&TeamId::new("red")].share = 30;
    fleet.document = Some(Arc::new(document));

    let found = place(&fleet);

    assert_eq!((count(&found, "red"), count(&found, "office")), (3, 1));
}

#[test]
fn what_a_team_has_placed_counts_against_it() {
    let mut jobs = two_teams(4);
    jobs.push(job("x", "red", 16, JobPhase::Placed(VmId::new("w1"))));

    let found = place(&fleet(workers(), &POOLS, jobs));

    assert_eq!((count(&found, "red"), count(&found, "office")), (0, 2));
}

#[test]
fn the_largest_part_of_any_resource_counts() {
    let mut jobs = two_teams(8);
    for state in &mut jobs {
        let red = state.job.team.as_str() == "red";
        state.job.cores = if red { 1 } else { 2 };
        state.job.memory_mb = if red { 16_384 } else { 8_192 };
    }

    let found = place(&fleet(workers(), &POOLS, jobs));

    assert_eq!((count(&found, "red"), count(&found, "office")), (2, 4));
}

#[test]
fn an_urgent_job_goes_ahead_of_a_team_that_has_less() {
    let mut urgent = job("urgent", "office", 8, JobPhase::Waiting);
    urgent.job.urgency = 0;
    let jobs = vec![
        job("x", "office", 16, JobPhase::Placed(VmId::new("w1"))),
        job("y", "office", 8, JobPhase::Placed(VmId::new("w2"))),
        job("red", "red", 8, JobPhase::Waiting),
        urgent,
    ];

    assert_eq!(
        place(&fleet(workers(), &POOLS, jobs)),
        [placement("urgent", "w2")]
    );
}

#[test]
fn no_more_jobs_are_placed_than_the_team_holds_of_its_ceiling() {
    let mut fleet = fleet(workers(), &POOLS, two_teams(4));
    let allotment = Allotment {
        shares: [(AllotmentHolder::Jobs, 1)].into(),
        unmet_demand: None,
    };
    fleet.allotments.insert(TeamId::new("red"), allotment);

    let found = place(&fleet);

    assert_eq!((count(&found, "red"), count(&found, "office")), (1, 3));
}
