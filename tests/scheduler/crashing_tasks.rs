//! Tasks that crash each target that starts them, beside others that can be done.

use amaranthwick::scheduler::{JobKey, JobSpec, JobState, TargetId, Wave};
use rstest::rstest;

use crate::fixtures::{further_seeds, job, long_running_step, step, task};
use crate::world::{Faults, Returns, World};

/// Targets that one task may crash before its job has ended.
const MAX_CRASHES: u32 = 3;
/// The same while nobody sees that they crashed: they are silent, as targets that can't be reached
/// are. The platform forbids the third start after the third crash.
const MAX_UNSEEN_CRASHES: u32 = 5;
/// The same for a task that starts beside another one that crashes targets.
const MAX_SHARED_CRASHES: u32 = 4;

fn crashing_world(targets: usize, returns: Returns) -> World {
    let mut world = World::new(targets, 1);
    world.crashes.returns = returns;
    world.claim();
    world
}

/// A job of two steps.
fn ordinary_job() -> JobSpec {
    job(vec![step(6, 800, &[]), step(2, 400, &[0])])
}

fn submit_ordinary(world: &mut World, count: u64) -> Vec<JobKey> {
    let numbers = 1_000..1_000 + count;
    numbers
        .map(|number| world.submit(number, ordinary_job()))
        .collect()
}

/// Submits a job whose task `index` of the first step crashes targets.
fn submit_deadly(world: &mut World, number: u64, index: u32, spec: JobSpec) -> JobKey {
    world.crashes.deadly.insert(task(number, index));
    world.submit(number, spec)
}

/// Jobs that are in another state than `wanted`.
fn others(world: &World, keys: &[JobKey], wanted: JobState) -> Vec<(JobKey, Option<JobState>)> {
    let states = keys.iter().map(|key| (*key, world.state(*key)));
    states.filter(|(_, state)| *state != Some(wanted)).collect()
}

/// Guards against a task that crashes one target after the other: it was started on 12.
#[rstest]
fn a_task_that_crashes_targets_is_given_up(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
    #[values(0, 10, 400)] delay_ms: u64,
) {
    let mut world = crashing_world(8, returns);
    world.crashes.delay_ms = delay_ms;
    let ordinary = submit_ordinary(&mut world, 12);
    let deadly = submit_deadly(&mut world, 1, 0, job(vec![step(1, 800, &[])]));

    world.run_for(12_000);
    let ended = world.state(deadly);
    world.run_for(8_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 0)) <= MAX_CRASHES);
    assert_eq!(ended, Some(JobState::Failed));
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

/// Guards against the wrong task being given up, or none: several that crash targets started on
/// the same one, so that each crash counted for all of them.
#[rstest]
fn tasks_that_crash_a_target_together_are_given_up_and_no_others(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
    #[values(2, 3)] count: u64,
) {
    let mut world = crashing_world(8, returns);
    let ordinary = submit_ordinary(&mut world, 6);
    let deadly: Vec<JobKey> = (0..count)
        .map(|number| submit_deadly(&mut world, number, 0, job(vec![step(1, 800, &[])])))
        .collect();
    world.run_until_crashes(1, 1_000);
    let together = (0..count).filter(|number| world.crashes.under(task(*number, 0)) == 1);
    assert_eq!(together.count() as u64, count);

    world.run_for(30_000);

    assert_eq!(world.violations, Vec::<String>::new());
    let crashes = (0..count).map(|number| world.crashes.under(task(number, 0)));
    assert!(crashes.max() <= Some(MAX_SHARED_CRASHES));
    assert_eq!(others(&world, &deadly, JobState::Failed), Vec::new());
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

/// Guards against jobs of the same shape failing with the one that crashes targets.
#[rstest]
fn one_task_of_several_that_crashes_targets_ends_only_its_own_job(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
) {
    let mut world = crashing_world(8, returns);
    let deadly = submit_deadly(&mut world, 1, 0, ordinary_job());
    let ordinary = submit_ordinary(&mut world, 8);

    world.run_for(20_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 0)) <= MAX_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

/// Guards against long-running jobs that end, or stay away, because another's task crashed the
/// targets under them.
#[rstest]
fn long_running_tasks_return_after_the_crashes_of_another(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
) {
    let mut world = crashing_world(8, returns);
    let lasting: Vec<JobKey> = (10..14)
        .map(|number| world.submit(number, job(vec![long_running_step(3, 1)])))
        .collect();
    world.run_for(1_000);
    let deadly = submit_deadly(&mut world, 1, 0, job(vec![step(1, 800, &[])]));

    world.run_for(20_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 0)) <= MAX_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    assert_eq!(others(&world, &lasting, JobState::Running), Vec::new());
    let running = lasting.iter().map(|key| world.running(*key).len());
    assert_eq!(running.collect::<Vec<_>>(), vec![3; 4]);
}

/// How a leader ends in the tests.
#[derive(Clone, Copy, Debug)]
enum LeaderEnd {
    Killed,
    HandsOver,
}

/// Guards against a count that starts anew with each leader.
#[rstest]
fn crashes_count_across_leaders(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
    #[values(1, 2)] crashes: usize,
    #[values(5, 1_000, 3_600)] later_ms: u64,
    #[values(LeaderEnd::Killed, LeaderEnd::HandsOver)] end: LeaderEnd,
) {
    let mut world = crashing_world(8, returns);
    let ordinary = submit_ordinary(&mut world, 6);
    let deadly = submit_deadly(&mut world, 1, 0, job(vec![step(1, 800, &[])]));
    world.run_until_crashes(crashes, 12_000);
    world.run_for(later_ms);

    match end {
        LeaderEnd::Killed => {
            world.kill();
            world.run_for(1_300);
        }
        LeaderEnd::HandsOver => {
            world.hand_over();
            world.run_for(200);
        }
    }
    world.claim();
    world.run_for(20_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 0)) <= MAX_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

/// Guards against crashes that are not counted while nothing can be stored.
#[rstest]
fn crashes_count_while_the_store_is_unavailable(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
    #[values(1, 2)] crashes: usize,
    #[values(2_000, 5_000)] outage_ms: u64,
) {
    let mut world = crashing_world(8, returns);
    let ordinary = submit_ordinary(&mut world, 6);
    let deadly = submit_deadly(&mut world, 1, 0, job(vec![step(1, 800, &[])]));
    world.run_until_crashes(crashes, 12_000);

    world.store_up = false;
    world.run_for(outage_ms);
    world.store_up = true;
    world.run_for(20_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 0)) <= MAX_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

/// Guards against crashes that are not counted because the lease expires before the target
/// returns.
#[rstest]
fn crashes_of_targets_that_return_late_count(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
) {
    let mut world = crashing_world(8, returns);
    world.crashes.return_ms = 6_000;
    let ordinary = submit_ordinary(&mut world, 12);
    let deadly = submit_deadly(&mut world, 1, 0, job(vec![step(1, 800, &[])]));

    world.run_for(25_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 0)) <= MAX_UNSEEN_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

/// Guards against a gang that starts again and again because one member crashes its target.
#[rstest]
fn a_gang_with_a_task_that_crashes_targets_is_given_up(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
) {
    let mut world = crashing_world(8, returns);
    let mut gang = step(4, 800, &[]);
    gang.gang = true;
    let ordinary = submit_ordinary(&mut world, 6);
    let deadly = submit_deadly(&mut world, 1, 2, job(vec![gang]));

    world.run_for(20_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 2)) <= MAX_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

/// Guards against a long-running task that crashes targets for good: its failures end no job.
#[rstest]
fn a_long_running_task_that_crashes_targets_is_given_up(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
) {
    let mut world = crashing_world(8, returns);
    let ordinary = submit_ordinary(&mut world, 6);
    let deadly = submit_deadly(&mut world, 1, 0, job(vec![long_running_step(2, 1)]));

    world.run_for(20_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.crashes.under(task(1, 0)) <= MAX_CRASHES);
    assert_eq!(world.state(deadly), Some(JobState::Failed));
    assert_eq!(world.running(deadly), Vec::new());
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

/// Guards against other work that stands still while one task crashes targets.
#[rstest]
fn small_jobs_complete_in_time_beside_a_task_that_crashes_targets(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
) {
    let mut world = crashing_world(8, returns);
    submit_deadly(&mut world, 1, 0, job(vec![step(1, 800, &[])]));
    let small: Vec<JobKey> = (10..40)
        .map(|number| world.submit(number, job(vec![step(2, 300, &[]), step(1, 200, &[0])])))
        .collect();

    world.run_for(15_000);

    assert_eq!(others(&world, &small, JobState::Complete), Vec::new());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Targets of the rack `r1`.
fn rack() -> Vec<TargetId> {
    (4..8).map(|i| TargetId(format!("t{i}").into())).collect()
}

/// Guards against jobs that fail because their targets were lost for another reason.
#[rstest]
fn restarts_of_a_rack_fail_no_job(#[values(300, 1_000, 4_000)] between_ms: u64) {
    let mut world = crashing_world(8, Returns::SameId);
    let lasting = world.submit(1, job(vec![long_running_step(4, 1)]));
    let lone = world.submit(2, job(vec![step(1, 6_000, &[])]));
    let ordinary = submit_ordinary(&mut world, 12);
    world.run_for(500);

    for id in rack() {
        world.restart(&id);
    }
    world.run_for(between_ms);
    for id in rack() {
        world.restart(&id);
    }
    world.run_for(20_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.running(lasting).len(), 4);
    assert_eq!(world.state(lone), Some(JobState::Complete));
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

/// As above, with processes of the rack that are away for some seconds.
#[rstest]
fn crashes_of_a_rack_without_a_cause_in_a_task_fail_no_job(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
) {
    let mut world = crashing_world(8, returns);
    let lasting = world.submit(1, job(vec![long_running_step(4, 1)]));
    let lone = world.submit(2, job(vec![step(1, 6_000, &[])]));
    let ordinary = submit_ordinary(&mut world, 12);
    world.run_for(500);

    for _ in 0..2 {
        let up = world.targets.iter().filter(|(_, target)| target.is_up());
        let rack: Vec<TargetId> = up
            .filter(|(_, target)| target.entry.rack() == "r1")
            .map(|(id, _)| id.clone())
            .collect();
        for id in rack {
            world.crash(&id);
        }
        world.run_for(5_000);
    }
    world.run_for(20_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.running(lasting).len(), 4);
    assert_eq!(world.state(lone), Some(JobState::Complete));
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

/// Guards against counts that add up for as long as a job runs: targets are lost now and then,
/// each time as the leader is, so that nobody sees what was starting up there.
#[rstest]
fn targets_lost_over_a_long_time_fail_no_job(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
) {
    let mut world = crashing_world(4, returns);
    let lasting = world.submit(1, job(vec![long_running_step(1, 0)]));
    world.run_for(1_000);

    for _ in 0..7 {
        let (id, _) = world.running(lasting)[0].clone();
        world.crash(&id);
        world.kill();
        world.run_for(3_600);
        world.claim();
        world.run_for(14_000);
    }

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.running(lasting).len(), 1);
}

/// Guards against one crash that counts once for each leader: a target restarts and then can't be
/// reached, so that none of them can settle what became of its runs.
#[test]
fn a_crash_that_several_leaders_learn_of_counts_once() {
    let mut world = crashing_world(1, Returns::SameId);
    let ordinary = submit_ordinary(&mut world, 2);
    world.run_for(100);
    let (id, _) = world.running(ordinary[0])[0].clone();

    world.kill();
    world.restart(&id);
    world.targets[&id].reachable = false;
    for _ in 0..6 {
        world.run_for(1_300);
        world.claim();
        world.run_for(100);
        world.kill();
    }
    world.claim();
    world.targets[&id].reachable = true;
    world.run_for(15_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

#[test]
fn maintenance_fails_no_job() {
    let mut world = crashing_world(8, Returns::SameId);
    let lasting = world.submit(1, job(vec![long_running_step(4, 1)]));
    let ordinary = submit_ordinary(&mut world, 12);
    world.run_for(500);

    world.request_wave(Wave {
        number: 1,
        vms: rack().iter().map(|id| format!("vm-{}", id.0)).collect(),
        limit_ms: 26_000,
        max_down: 2,
    });
    world.run_for(26_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.upkeeps.len(), 4);
    assert_eq!(world.running(lasting).len(), 4);
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

#[test]
fn unreachable_targets_fail_no_job() {
    let mut world = crashing_world(8, Returns::SameId);
    let lasting = world.submit(1, job(vec![long_running_step(4, 1)]));
    let lone = world.submit(2, job(vec![step(1, 3_000, &[])]));
    let ordinary = submit_ordinary(&mut world, 12);
    world.run_for(500);

    for _ in 0..3 {
        let (dark, _) = world.running(lasting)[0].clone();
        let lost = world.running(lone).first().map(|(id, _)| id.clone());
        for id in lost.iter().chain([&dark]) {
            world.targets[id].reachable = false;
        }
        world.run_for(6_000);
        for target in world.targets.values_mut() {
            target.reachable = true;
        }
        world.run_for(500);
    }
    world.run_for(15_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.running(lasting).len(), 4);
    assert_eq!(world.state(lone), Some(JobState::Complete));
    assert_eq!(others(&world, &ordinary, JobState::Complete), Vec::new());
}

/// Number of seeds in each block.
const SEEDS: u64 = 6;

/// Tasks that crash targets among any other faults; [`World`] checks that no rule is violated.
#[rstest]
fn tasks_that_crash_targets_end_their_own_jobs_whatever_happens(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
    #[values(0, 1, 2, 3, 4, 5)] block: u64,
) {
    let seeds = block * SEEDS..(block + 1) * SEEDS;

    let wrong: Vec<_> = seeds
        .map(|seed| (seed, run_with_crashes(seed, returns)))
        .filter(|(_, faults)| !faults.is_empty())
        .collect();

    assert_eq!(wrong, Vec::new());
}

/// Runs further seeds, chosen as for `faults::nothing_runs_twice_for_further_seeds`.
#[rstest]
fn tasks_that_crash_targets_end_their_own_jobs_for_further_seeds(
    #[values(Returns::SameId, Returns::NewId)] returns: Returns,
) {
    let wrong: Vec<_> = further_seeds(36..40)
        .map(|seed| (seed, run_with_crashes(seed, returns)))
        .filter(|(_, faults)| !faults.is_empty())
        .collect();

    assert_eq!(wrong, Vec::new());
}

/// Simulates 15 s or more with random faults and then 60 s without. Returns the rules that were
/// violated and the jobs that did not end as they should.
fn run_with_crashes(seed: u64, returns: Returns) -> Vec<String> {
    let mut world = World::new(8, seed);
    world.crashes.returns = returns;
    world.faults.lost_answers = 30;
    world.faults.late_starts = 20;
    world.claim();
    let mut jobs = Vec::new();
    for round in 0..30 {
        let length = 200 + world.rng().u64(..1_500);
        let count = 1 + world.rng().u32(..6);
        let spec = job(vec![step(count, length, &[]), step(2, length / 2, &[0])]);
        let deadly = world.rng().u32(..10) == 0;
        let (key, wanted) = if deadly {
            let key = submit_deadly(&mut world, round, 0, spec);
            (key, JobState::Failed)
        } else {
            (world.submit(round, spec), JobState::Complete)
        };
        jobs.push((key, wanted));
        disturb(&mut world);
        world.run_for(500);
    }
    world.store_up = true;
    world.faults = Faults::default();
    reach_all(&mut world);
    world.kill();
    world.claim();
    world.run_for(60_000);
    let states = jobs.into_iter().map(|(key, wanted)| {
        let state = world.state(key);
        (state != Some(wanted)).then(|| format!("{key} is {state:?}, not {wanted:?}"))
    });
    let wrong: Vec<String> = states.flatten().collect();
    world.violations.into_iter().chain(wrong).collect()
}

/// Lets a random fault begin or end, or none.
fn disturb(world: &mut World) {
    match world.rng().u32(..20) {
        0 => {
            world.kill();
            world.run_for(1_300);
            world.claim();
        }
        1 => {
            world.hand_over();
            world.run_for(200);
            world.claim();
        }
        2 => world.store_up = false,
        3 | 4 => world.store_up = true,
        5 | 6 => {
            let known = world.targets.len();
            let i = world.rng().usize(..known);
            world.targets[i].reachable = false;
        }
        7..=9 => reach_all(world),
        _ => {}
    }
}

fn reach_all(world: &mut World) {
    for target in world.targets.values_mut() {
        target.reachable = true;
    }
}
