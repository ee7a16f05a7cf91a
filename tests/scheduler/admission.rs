//! Replays of bursts beyond the capacity: which jobs are refused, and whether their callers find
//! capacity when they come back as told.

use std::collections::BTreeMap;

use amaranthwick::scheduler::{JobSpec, Policy, RefusalCause};
use rstest::rstest;

use crate::admission_replays::{Arrivals, ESTIMATE_MS, Outcomes, Replay, TARGETS, TASKS};
use crate::fixtures::{TEAM, job, long_running_step, policy, step};
use crate::world::{MIDNIGHT_MS, World};

/// Arrivals of six teams of equal weight that request three quarters of the capacity, until the
/// first one submits this many jobs per second.
fn teams(burst: u64) -> Vec<Arrivals> {
    let team = |(i, team): (usize, &&'static str)| Arrivals {
        team,
        usual: 2,
        burst: if i == 0 { burst } else { 2 },
    };
    ["a", "b", "c", "d", "e", "f"]
        .iter()
        .enumerate()
        .map(team)
        .collect()
}

/// Guards against callers that are told to come back too early, or all at the same time. Load: one
/// team submits five times the capacity for 4.5 s, and 0.4 of it before and after.
#[test]
fn callers_that_come_back_as_told_find_capacity() {
    let arrivals = [Arrivals {
        team: "pens",
        usual: 6,
        burst: 80,
    }];

    let before = Replay::new(&arrivals, false, 1).run(20_000).outcomes["pens"];
    let replay = Replay::new(&arrivals, true, 1).run(20_000);

    let after = replay.outcomes["pens"];
    println!(
        "before: {before:?}\nafter: {after:?}\nreturns: {:?}",
        replay.returns
    );
    assert!(after.refused_for_capacity >= 100);
    assert!(after.returns >= 50);
    assert!(after.returns_accepted * 10 >= after.returns * 9);
    // The targets serve 4 jobs in 250 ms.
    assert!(replay.returns.values().all(|count| *count <= 8));
    assert!(after.in_time > before.in_time);
    assert!(after.past_use < before.past_use);
}

/// Guards against teams that pay for the burst of another: one of six submits fourteen times its
/// usual number of jobs for 4.5 s, twice the capacity in all.
#[test]
fn neighbours_of_a_team_over_its_share_lose_nothing() {
    let before = Replay::new(&teams(28), false, 1).run(20_000).outcomes;
    let after = Replay::new(&teams(28), true, 1).run(20_000).outcomes;

    println!("before: {before:#?}\nafter: {after:#?}");
    let sum = |outcomes: &BTreeMap<&str, Outcomes>, figure: fn(&Outcomes) -> u32| -> u32 {
        let others = outcomes.iter().filter(|(team, _)| **team != "a");
        others.map(|(_, outcomes)| figure(outcomes)).sum()
    };
    let in_time: fn(&Outcomes) -> u32 = |outcomes| outcomes.in_time;
    assert!(after["a"].refused_over_share >= 50);
    assert!(after["a"].returns_accepted * 10 >= after["a"].returns * 8);
    assert!(after["a"].in_time >= before["a"].in_time);
    assert!(sum(&after, in_time) >= sum(&before, in_time));
    assert_eq!(sum(&after, |outcomes| outcomes.refused_for_capacity), 0);
    // Single jobs can bring a team over its share for a moment.
    assert!(sum(&after, |outcomes| outcomes.refused_over_share) <= 3);
}

/// A world whose targets have work for 20 s, with the next free job id.
fn overloaded_world(policy: Policy) -> (World, u64) {
    let mut world = World::new(TARGETS, 1);
    world.set_policy(policy);
    world.claim();
    world.run_for(500);
    for id in 0..320 {
        world.submit(id, new_job(&world));
    }
    world.run_for(500);
    (world, 320)
}

fn new_job(world: &World) -> JobSpec {
    JobSpec {
        accepted_ms: MIDNIGHT_MS + world.now,
        ..job(vec![step(TASKS, ESTIMATE_MS, &[])])
    }
}

/// Guards against refusals of jobs that are already stored, to which a wait means nothing, or whose
/// figures may be incomplete.
#[test]
fn known_long_running_timed_and_unplaceable_jobs_are_accepted() {
    let (mut world, id) = overloaded_world(policy());
    let plain = new_job(&world);
    let long_running = JobSpec {
        steps: vec![long_running_step(1, 0)],
        ..plain.clone()
    };
    let timed = JobSpec {
        occurrence_count: 2,
        first_due_ms: MIDNIGHT_MS,
        interval_ms: 1_000,
        ..plain.clone()
    };
    let mut unplaceable = plain.clone();
    unplaceable.steps[0].needs.cpu = 17_000;
    let mut unlabelled = plain.clone();
    unlabelled.steps[0].required_label = "none".to_owned();

    let refused = world.offer(id, plain.clone());

    assert_eq!(refused.unwrap_err().cause, RefusalCause::NoCapacity);
    assert!(world.offer(id - 1, plain).is_ok());
    for (id, spec) in (id..).zip([long_running, timed, unplaceable, unlabelled]) {
        assert!(world.offer(id, spec).is_ok());
    }
}

/// Guards against refusals because of work that can't occupy the targets: that of a team at its
/// limit, and that of jobs which no target can hold.
#[rstest]
#[case::at_its_limit(16_000, 0)]
#[case::unplaceable(0, 17_000)]
fn work_that_can_not_start_delays_nobody(#[case] limit: u64, #[case] needs: u64) {
    let mut limited = policy();
    limited.teams[TEAM].limit.cpu = limit;
    let mut world = World::new(TARGETS, 1);
    world.set_policy(limited);
    world.claim();
    world.run_for(500);
    for id in 0..320 {
        let mut spec = new_job(&world);
        spec.steps[0].needs.cpu = needs.max(1_000);
        world.submit(id, spec);
    }
    world.run_for(500);
    let public = JobSpec {
        team: None,
        ..new_job(&world)
    };

    assert!(world.offer(320, public).is_ok());
}

/// Guards against admission where the operators have configured nothing to decide by.
#[test]
fn jobs_are_accepted_while_no_team_has_a_weight() {
    let mut unweighted = policy();
    for team in unweighted.teams.values_mut() {
        team.weight = 0;
    }

    let (mut world, id) = overloaded_world(unweighted);
    let spec = new_job(&world);

    assert!(world.offer(id, spec).is_ok());
}

/// Guards against a new leader that refuses by figures which it does not have yet, or goes on to
/// accept what can't be served: it rebuilds them from the stored jobs and the targets.
#[test]
fn a_new_leader_refuses_once_it_knows_the_vms() {
    let (mut world, id) = overloaded_world(policy());
    world.kill();
    world.claim();
    let at_once = world.offer(id, new_job(&world));
    world.run_for(500);
    let later = world.offer(id + 1, new_job(&world));

    assert!(at_once.is_ok());
    assert_eq!(later.unwrap_err().cause, RefusalCause::NoCapacity);
}

/// Guards against an evacuation that takes capacity off twice: that of the evacuated targets, and
/// what long-running tasks still reserve there. Of 48 cores in the remaining data centre 12 are
/// reserved, so jobs of 16 core-seconds are refused once there are 7.25 s of work, after 17 jobs.
#[test]
fn tasks_on_evacuated_targets_take_nothing_off_the_others() {
    let mut world = World::new(9, 1);
    world.set_policy(policy());
    world.claim();
    world.run_for(1_000);
    let mut reserving = long_running_step(9, 0);
    reserving.needs.cpu = 4_000;
    world.submit(1_000, job(vec![reserving]));
    world.run_for(1_000);

    world.set_evacuated("z1", true);
    world.set_evacuated("z2", true);
    world.run_for(2_000);
    let accepted = (0..40).take_while(|id| {
        let public = JobSpec {
            team: None,
            ..new_job(&world)
        };
        world.offer(*id, public).is_ok()
    });

    assert_eq!(accepted.count(), 17);
}

/// Guards against jobs that pay for work which no longer goes before theirs: jobs that can only end
/// past use, because what is left of them takes too long, start last.
#[test]
fn work_of_jobs_that_can_only_end_past_use_is_not_ahead() {
    let (mut world, id) = overloaded_world(policy());
    let before = world.offer(id, new_job(&world));

    // Jobs are of use for 6,600 ms and take 1,000 ms, so from 5,600 ms on they end too late.
    world.run_for(5_300);
    let after = world.offer(id + 1, new_job(&world));

    assert!(before.is_err());
    assert!(after.is_ok(), "{after:?}");
}
