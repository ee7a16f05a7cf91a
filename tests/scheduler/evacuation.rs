//! Evacuations of data centres: what is started, and what outlives failures.

use amaranthwick::scheduler::{JobKey, JobState, Millis, Step, TargetId};

use crate::fixtures::{job, step};
use crate::world::{Faults, World};

/// Time in which the leader has read an evacuation, and short tasks that ran there have ended.
const CLEARED_MS: Millis = 3_000;

/// A world of nine targets, three in each data centre, with a leader that has taken over.
pub(crate) fn world(seed: u64) -> World {
    let mut world = World::new(9, seed);
    world.claim();
    world.run_for(1_000);
    world
}

/// Submits a job of 40 short tasks every 200 ms for `span_ms`, which takes two thirds of the
/// targets of a world.
pub(crate) fn run_with_jobs(world: &mut World, first_job: u64, span_ms: Millis) {
    for i in 0..span_ms / 200 {
        world.submit(first_job + i, job(vec![step(40, 400, &[])]));
        world.run_for(200);
    }
}

pub(crate) fn is_busy(world: &World, data_centre: &str) -> bool {
    let busy = world.busy_data_centres();
    busy.iter().any(|other| other == data_centre)
}

fn assert_complete(world: &World, jobs: std::ops::Range<u64>) {
    for i in jobs {
        assert_eq!(world.state(JobKey(i)), Some(JobState::Complete), "job {i}");
    }
}

/// Guards against starts in an evacuated data centre, and against one that stays empty after the
/// withdrawal.
#[test]
fn nothing_starts_in_an_evacuated_data_centre_until_its_withdrawal() {
    let mut world = world(1);
    run_with_jobs(&mut world, 0, 1_000);
    let before = is_busy(&world, "z1");

    world.set_evacuated("z1", true);
    run_with_jobs(&mut world, 100, CLEARED_MS);
    let during = is_busy(&world, "z1");
    world.set_evacuated("z1", false);
    run_with_jobs(&mut world, 200, 2_000);
    let after = is_busy(&world, "z1");
    world.run_for(3_000);

    assert_eq!((before, during, after), (true, false, true));
    assert_complete(&world, 0..5);
    assert_complete(&world, 100..115);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against lost work: a task on an evacuated data centre was stopped instead of being left
/// to end, or a gang was torn apart.
#[test]
fn short_tasks_and_gangs_run_to_their_end() {
    let mut world = World::new(3, 1);
    world.claim();
    world.run_for(1_000);
    let gang = Step {
        gang: true,
        ..step(30, 4_000, &[])
    };
    let alone = world.submit(1, job(vec![step(10, 4_000, &[])]));
    let gang = world.submit(2, job(vec![gang]));
    world.run_for(500);
    let before = (world.running(alone), world.running(gang));

    world.set_evacuated("z0", true);
    world.set_evacuated("z1", true);
    world.run_for(2_500);
    let during = (world.running(alone), world.running(gang));
    world.run_for(4_000);

    assert_eq!((before.0.len(), before.1.len()), (10, 30));
    assert_eq!(during, before);
    assert_complete(&world, 1..3);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a next leader that does not know of an evacuation, or learns of it only after it
/// has started tasks there.
#[test]
fn an_evacuation_outlives_the_leader() {
    for seed in 0..10 {
        let mut world = world(seed);
        run_with_jobs(&mut world, 0, 400);

        world.set_evacuated("z2", true);
        run_with_jobs(&mut world, 100, 200 * seed);
        world.kill();
        world.run_for(1_200);
        world.claim();
        run_with_jobs(&mut world, 200, 3_000);
        let during = is_busy(&world, "z2");
        world.run_for(8_000);

        assert!(!during, "seed {seed}");
        assert_complete(&world, 200..215);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against an evacuation that ends, or never begins, because the store is away.
#[test]
fn an_evacuation_stays_in_force_while_the_store_is_away() {
    let mut world = world(1);
    world.set_evacuated("z0", true);
    run_with_jobs(&mut world, 0, CLEARED_MS);

    world.store_up = false;
    world.set_evacuated("z1", true);
    run_with_jobs(&mut world, 100, 2_000);
    let away = is_busy(&world, "z0");
    world.store_up = true;
    run_with_jobs(&mut world, 200, CLEARED_MS);
    let back = (is_busy(&world, "z0"), is_busy(&world, "z1"));
    world.run_for(9_000);

    assert!(!away);
    assert_eq!(back, (false, false));
    assert_complete(&world, 200..215);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a second evacuation that replaces the first, and against the withdrawal of one
/// that ends both.
#[test]
fn two_evacuations_are_independent() {
    let mut world = world(1);
    world.set_evacuated("z0", true);
    run_with_jobs(&mut world, 0, 1_000);
    world.set_evacuated("z1", true);
    run_with_jobs(&mut world, 100, CLEARED_MS);
    let both = (is_busy(&world, "z0"), is_busy(&world, "z1"));

    world.set_evacuated("z0", false);
    run_with_jobs(&mut world, 200, 2_000);
    let one = (is_busy(&world, "z0"), is_busy(&world, "z1"));

    assert_eq!((both, one), ((false, false), (true, false)));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against jobs that are lost, or fail, while no data centre may run them.
#[test]
fn jobs_wait_while_all_data_centres_are_evacuated() {
    let mut world = world(1);
    for name in ["z0", "z1", "z2"] {
        world.set_evacuated(name, true);
    }
    world.run_for(1_000);
    run_with_jobs(&mut world, 0, CLEARED_MS);
    let during = world.busy_data_centres().len();

    world.set_evacuated("z1", false);
    world.run_for(20_000);

    assert_eq!(during, 0);
    assert_complete(&world, 0..15);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against an evacuation that is ignored because nothing was in its data centre when it
/// was requested.
#[test]
fn an_unknown_data_centre_is_evacuated_once_a_target_appears_there() {
    let mut world = world(1);
    let id = TargetId("t4".into());
    world.lose(&id);
    world.set_evacuated("z9", true);
    world.run_for(7_000);

    let target = &mut world.targets[&id];
    target.alive = true;
    target.reachable = true;
    target.entry.born += 1;
    target.entry.data_centre = "z9".into();
    world.publish_entry(&id);
    run_with_jobs(&mut world, 0, 5_000);

    assert!(!is_busy(&world, "z9"));
    assert!(is_busy(&world, "z1"));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against starts in an evacuated data centre by targets, or into pools of VMs, of which only
/// the other tells where it is.
#[rstest::rstest]
#[case::target(true)]
#[case::vm(false)]
fn it_is_enough_that_the_target_or_its_vm_tells_the_data_centre(#[case] target_tells: bool) {
    let mut world = World::new(9, 1);
    world.operators.vms_tell_data_centres = !target_tells;
    if !target_tells {
        for target in world.targets.values_mut() {
            target.entry.data_centre = "".into();
        }
    }
    world.claim();
    world.run_for(1_000);

    world.set_evacuated("z0", true);
    world.run_for(2_500);
    let retired: Vec<String> = world.moves.iter().map(|(vm, _)| vm.clone()).collect();
    run_with_jobs(&mut world, 0, 2_000);

    assert!(retired.contains(&"vm-t0".to_owned()), "{retired:?}");
    let there = ["t0", "t3", "t6"].map(|id| &world.targets[&TargetId(id.into())]);
    assert!(there.iter().all(|target| target.running().next().is_none()));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a start that slips through beside lost answers, late starts and leaders that are
/// replaced.
#[test]
fn nothing_starts_there_beside_random_faults() {
    for seed in crate::fixtures::further_seeds(0..20) {
        let mut world = World::new(9, seed);
        world.faults = Faults {
            lost_answers: 30,
            late_starts: 10,
            failed_runs: 0,
            held_up_orders: 100,
            lost_starts: 0,
            ..Faults::default()
        };
        world.claim();
        for round in 0..12 {
            let data_centre = format!("z{}", world.rng().u32(..3));
            let evacuated = world.rng().bool();
            world.set_evacuated(&data_centre, evacuated);
            let span = world.rng().u64(1..8) * 200;
            run_with_jobs(&mut world, round * 100, span);
            match world.rng().u32(..4) {
                0 => {
                    world.kill();
                    world.run_for(1_200);
                    world.claim();
                }
                1 => world.freeze(1_500),
                2 => {
                    world.store_up = false;
                    world.run_for(1_000);
                    world.store_up = true;
                }
                _ => {}
            }
        }

        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}
