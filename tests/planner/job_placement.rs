use std::sync::Arc;

use amaranthwick::control::JobState;
use amaranthwick::id::{Generation, JobId, TeamId, VmId};
use amaranthwick::ledger::{Allotment, AllotmentHolder, JobPhase, PlannedStop, StopReason};
use amaranthwick::planner::{JobPlacement, place_jobs};
use amaranthwick::services::Vm;

use crate::fixtures::{document, fleet_state, job, vm};

const POOLS: [(&str, &str); 2] = [("w1", "red-jobs"), ("w2", "red-jobs")];

fn workers() -> Vec<Vm> {
    ["w1", "w2"].map(|id| vm(id, "worker", "a")).to_vec()
}

fn placement(job: &str, vm: &str) -> JobPlacement {
    JobPlacement {
        job: JobId::new(job),
        step: 0,
        vm: VmId::new(vm),
    }
}

#[test]
fn jobs_are_placed_where_they_fit() {
    let jobs = ["j1", "j2", "j3", "j4"].map(|id| job(id, "red", 10, JobPhase::Waiting));

    let placements = place_jobs(&fleet_state(workers(), &POOLS, jobs.to_vec()));

    assert_eq!(placements, [placement("j1", "w1"), placement("j2", "w2")]);
}

#[test]
fn capacity_of_placed_jobs_is_not_given_twice() {
    let jobs = vec![
        job("j1", "red", 16, JobPhase::Placed(VmId::new("w1"))),
        job("j2", "red", 16, JobPhase::Waiting),
    ];

    let placements = place_jobs(&fleet_state(workers(), &POOLS, jobs));

    assert_eq!(placements, [placement("j2", "w2")]);
}

#[test]
fn the_most_urgent_job_goes_first() {
    let mut urgent = job("urgent", "red", 16, JobPhase::Waiting);
    urgent.job.urgency = 0;
    let jobs = vec![job("j1", "red", 16, JobPhase::Waiting), urgent];

    let placements = place_jobs(&fleet_state(workers(), &POOLS, jobs));

    assert_eq!(
        placements,
        [placement("urgent", "w1"), placement("j1", "w2")]
    );
}

#[test]
fn a_worker_with_a_planned_stop_gets_no_job() {
    let jobs = vec![job("j1", "red", 1, JobPhase::Waiting)];
    let mut fleet = fleet_state(workers(), &POOLS, jobs);
    fleet.stops.insert(
        VmId::new("w1"),
        PlannedStop {
            reason: StopReason::Maintenance,
            generation: Generation(0),
        },
    );

    assert_eq!(place_jobs(&fleet), [placement("j1", "w2")]);
}

#[test]
fn a_job_of_an_unknown_team_is_not_placed() {
    let jobs = vec![job("j1", "green", 1, JobPhase::Waiting)];

    assert_eq!(place_jobs(&fleet_state(workers(), &POOLS, jobs)), []);
}

fn count_of(placements: &[JobPlacement], prefix: &str) -> usize {
    let jobs = placements.iter().map(|placement| placement.job.as_str());
    jobs.filter(|job| job.starts_with(prefix)).count()
}

/// `each` waiting jobs of both teams, those of `red` first; each job needs half a worker.
fn jobs_of_two_teams(each: usize) -> Vec<JobState> {
    let jobs_of = |team: &'static str| {
        let id = move |i| format!("{team}-{i}");
        (0..each).map(move |i| job(&id(i), team, 8, JobPhase::Waiting))
    };
    jobs_of("red").chain(jobs_of("office")).collect()
}

#[test]
fn teams_of_equal_shares_get_equal_numbers_of_jobs() {
    let placements = place_jobs(&fleet_state(workers(), &POOLS, jobs_of_two_teams(4)));

    assert_eq!(
        (
            count_of(&placements, "red"),
            count_of(&placements, "office")
        ),
        (2, 2)
    );
}

#[test]
fn a_team_with_three_times_the_share_gets_three_times_the_jobs() {
    let mut fleet = fleet_state(workers(), &POOLS, jobs_of_two_teams(4));
    let mut document = document();
    document.teams[&TeamId::new("red")].share = 30;
    fleet.document = Some(Arc::new(document));

    let placements = place_jobs(&fleet);

    assert_eq!(
        (
            count_of(&placements, "red"),
            count_of(&placements, "office")
        ),
        (3, 1)
    );
}

#[test]
fn placed_jobs_count_towards_the_use_of_their_team() {
    let mut jobs = jobs_of_two_teams(4);
    jobs.push(job("x", "red", 16, JobPhase::Placed(VmId::new("w1"))));

    let placements = place_jobs(&fleet_state(workers(), &POOLS, jobs));

    assert_eq!(
        (
            count_of(&placements, "red"),
            count_of(&placements, "office")
        ),
        (0, 2)
    );
}

#[test]
fn the_dominant_resource_of_a_team_counts() {
    let mut jobs = jobs_of_two_teams(8);
    for state in &mut jobs {
        let red = state.job.team.as_str() == "red";
        state.job.cores = if red { 1 } else { 2 };
        state.job.memory_mb = if red { 16_384 } else { 8_192 };
    }

    let placements = place_jobs(&fleet_state(workers(), &POOLS, jobs));

    assert_eq!(
        (
            count_of(&placements, "red"),
            count_of(&placements, "office")
        ),
        (2, 4)
    );
}

#[test]
fn an_urgent_job_goes_ahead_of_a_team_that_uses_less() {
    let mut urgent = job("urgent", "office", 8, JobPhase::Waiting);
    urgent.job.urgency = 0;
    let jobs = vec![
        job("x", "office", 16, JobPhase::Placed(VmId::new("w1"))),
        job("y", "office", 8, JobPhase::Placed(VmId::new("w2"))),
        job("red", "red", 8, JobPhase::Waiting),
        urgent,
    ];

    assert_eq!(
        place_jobs(&fleet_state(workers(), &POOLS, jobs)),
        [placement("urgent", "w2")]
    );
}

#[test]
fn no_more_jobs_are_placed_than_the_team_holds_of_its_ceiling() {
    let mut fleet = fleet_state(workers(), &POOLS, jobs_of_two_teams(4));
    let allotment = Allotment {
        shares: [(AllotmentHolder::Jobs, 1)].into(),
        unmet_demand: None,
    };
    fleet.allotments.insert(TeamId::new("red"), allotment);

    let placements = place_jobs(&fleet);

    assert_eq!(
        (
            count_of(&placements, "red"),
            count_of(&placements, "office")
        ),
        (1, 3)
    );
}
