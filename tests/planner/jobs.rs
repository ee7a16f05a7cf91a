use amaranthwick::id::{Generation, JobId, VmId};
use amaranthwick::ledger::{JobPhase, PlannedStop, StopReason};
use amaranthwick::planner::{Placement, place};
use amaranthwick::platform::Vm;

use crate::fixtures::{fleet, job, vm};

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
