//! VMs that are moved between pools, as the pools' demand changes.

use amaranthwick::scheduler::{JobKey, JobSpec, JobState, Millis, Wave};
use rstest::rstest;

use crate::fixtures::{job, step};
use crate::pool_day::{Day, Load, POOLS, SETTLE_MS, in_pool, pool_name, pool_policy};

/// A load without random jobs.
const NO_LOAD: Load = Load {
    burst: 0.0,
    quiet: 0.0,
    turn_ms: 0,
};

/// Time over which the cost of a day is measured, in ms.
const DAY_MS: Millis = 36_000;

/// Guards against VMs that stay in pools after their turn, or are moved to and fro: of a quiet day
/// they are the largest cost. Jobs must not become late for it.
#[rstest]
fn a_quiet_day_costs_little_more_than_what_runs(#[values(1, 2)] seed: u64) {
    let mut day = Day::quiet(seed);
    day.run(SETTLE_MS, false);
    let from = day.world.now;

    day.run(DAY_MS, true);
    let to = day.world.now;
    day.end_loads();
    day.run(6_000, false);
    let (figures, world) = day.finish(from, to);

    println!("seed {seed}: cost {} {figures:?}", figures.cost_ms());
    assert!(figures.cost_ms() * 10 < figures.least_ms * 20);
    assert!(figures.late + figures.useless < figures.in_time / 10);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against VMs that stay in a pool for good: small tasks went to the rack of their data, so
/// that no VM was without work for long enough to leave, although one could take them all.
#[test]
fn a_surplus_vm_leaves_although_small_tasks_keep_arriving() {
    let mut day = Day::new(4, &[1], &[NO_LOAD], pool_policy(&[0]), 1);
    let ids: Vec<_> = day.world.targets.keys().take(3).cloned().collect();
    for id in &ids {
        day.world.targets[id].entry.labels = vec!["a".to_owned(), format!("rack-{id}")];
        day.world.publish_entry(id);
    }
    day.run(1_000, false);
    let before = day.world.vms_in(&pool_name(0));

    for _ in 0..25 {
        for id in &ids {
            let mut step = step(1, 350, &[]);
            step.data_rack = format!("rack-{id}");
            day.submit(0, job(vec![step]));
        }
        day.run(400, false);
    }

    assert_eq!(before, 3);
    assert_eq!(day.world.vms_in(&pool_name(0)), 1);
    assert_eq!(day.world.violations, Vec::<String>::new());
}

/// Guards against VMs that stay in a pool for good: VMs that can't be moved counted as those that
/// left, so that no other did.
#[test]
fn a_vm_that_cannot_leave_does_not_hold_up_another() {
    let mut day = Day::new(10, &[2], &[NO_LOAD], pool_policy(&[0]), 1);
    day.run(1_000, false);
    day.submit(0, job(vec![step(58, 20_000, &[])]));
    day.run(500, false);
    let targets = day.world.targets.values();
    let free = targets.filter(|target| target.listed && target.running().next().is_none());
    let vms: Vec<String> = free.map(|target| target.entry.vm.to_string()).collect();
    let immovable = vms[..2].iter().cloned();
    day.world.vm_service.immovable.extend(immovable);

    day.run(8_000, false);

    assert_eq!(vms.len(), 3);
    assert_eq!(day.world.vms_in(&pool_name(0)), 4);
    assert_eq!(day.world.violations, Vec::<String>::new());
}

/// Guards against VMs for jobs that end too late to be of use, which held most VMs of an overloaded
/// day. They run on what the pool has.
#[test]
fn jobs_past_their_use_ask_for_no_vms_and_are_done() {
    let mut day = Day::new(20, &[1], &[NO_LOAD], pool_policy(&[0]), 1);
    day.run(SETTLE_MS, false);
    for i in 0..20 {
        let spec = JobSpec {
            accepted_ms: 1,
            ..in_pool(job(vec![step(16, 1_000, &[])]), 0)
        };
        day.world.submit(i, spec);
    }
    day.run(3_000, false);
    let held = day.world.vms_in(&pool_name(0));
    day.run(20_000, false);

    assert_eq!(held, 1);
    for i in 0..20 {
        let state = day.world.state(JobKey(i));
        assert_eq!(state, Some(JobState::Complete));
    }
}

/// Guards against a job that never ends because it is past its use: its gang needs more VMs than the
/// pool holds.
#[test]
fn a_gang_past_its_use_gets_the_vms_that_it_needs() {
    let mut day = Day::new(20, &[1], &[NO_LOAD], pool_policy(&[0]), 1);
    day.run(SETTLE_MS, false);
    let mut gang = step(4, 500, &[]);
    gang.gang = true;
    gang.max_per_target = 1;
    let spec = JobSpec {
        accepted_ms: 1,
        ..in_pool(job(vec![gang]), 0)
    };

    let key = day.world.submit(1, spec);
    day.run(5_000, false);

    assert_eq!(day.world.state(key), Some(JobState::Complete));
}

/// A burst of 20 VMs' worth of work each second in a pool of low priority beside a small pool of
/// high priority, whose turn comes later.
fn overloaded_day(seed: u64) -> Day {
    let large = Load {
        burst: 0.0,
        quiet: 40.0,
        turn_ms: 0,
    };
    let small = Load {
        burst: 4.0,
        quiet: 0.0,
        turn_ms: 7_000,
    };
    let mut day = Day::new(12, &[1, 2], &[large, small], pool_policy(&[1, 0]), seed);
    day.run(3_500, false);
    day
}

/// Time until a pool has its part, in ms: its turn begins within it, VMs of the other pool are drained
/// for a task time, and move.
const PART_MS: Millis = 10_000;

/// Guards against a pool without VMs because another one asks for more than there are: the pool of
/// higher priority got nothing while the other held almost all VMs.
#[rstest]
fn a_pool_of_higher_priority_gets_its_part_of_a_full_platform(#[values(1, 2)] seed: u64) {
    let mut day = overloaded_day(seed);

    day.run(PART_MS, false);
    let held: Vec<usize> = (0..2).map(|i| day.world.vms_in(&pool_name(i))).collect();

    println!("seed {seed}: {held:?}, {} moves", day.world.moves.len());
    assert!(held[1] >= 4, "{held:?}");
    assert_eq!(day.world.violations, Vec::<String>::new());
}

/// Guards against VMs on hold for ever: the leader is killed while it drains VMs, and is followed by
/// one that knows nothing of the choice.
#[rstest]
fn a_takeover_while_vms_are_drained_leaves_none_on_hold(#[values(1, 2)] seed: u64) {
    let mut day = Day::new(12, &[1], &[NO_LOAD], pool_policy(&[0]), seed);
    day.run(SETTLE_MS, false);
    day.submit(0, job(vec![step(120, 5_000, &[])]));
    day.run(7_500, false);
    let peak = day.world.vms_in(&pool_name(0));
    day.world.kill();
    day.run(1_000, false);
    day.world.claim();
    day.run(9_000, false);
    let after = day.world.vms_in(&pool_name(0));
    let key = day.submit(0, job(vec![step(120, 500, &[])]));
    day.run(4_000, false);

    assert!(peak > 2);
    assert_eq!(after, 1);
    assert_eq!(day.world.state(key), Some(JobState::Complete));
    assert_eq!(day.world.violations, Vec::<String>::new());
}

/// Guards against VMs that are lost or ordered twice: the VM service does not answer for 5 s of a
/// day, in the middle of a turn.
#[rstest]
fn a_pool_gets_its_vms_after_an_outage_of_the_vm_service(#[values(1, 2)] seed: u64) {
    let mut day = Day::quiet(seed);
    day.run(SETTLE_MS + 2_000, false);
    let from = day.world.now;

    day.world.vm_service.away_until = from + 5_000;
    day.run(20_000, true);
    let to = day.world.now;
    day.end_loads();
    day.run(8_000, false);
    let held: usize = (0..POOLS).map(|i| day.world.vms_in(&pool_name(i))).sum();
    let (figures, world) = day.finish(from, to);

    println!("seed {seed}: cost {} {figures:?}", figures.cost_ms());
    assert_eq!(held, 10);
    assert!(figures.useless <= figures.in_time / 20);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against maintenance and draining that undo each other: a wave takes VMs of a pool while the
/// pool drains them, and others while it needs them.
#[rstest]
fn a_wave_is_completed_while_vms_are_drained(#[values(1, 2)] seed: u64) {
    let mut day = Day::new(12, &[1], &[NO_LOAD], pool_policy(&[0]), seed);
    day.run(SETTLE_MS, false);
    day.submit(0, job(vec![step(120, 4_000, &[])]));
    day.run(4_000, false);
    let targets = day.world.targets.values().filter(|target| target.listed);
    let vms: Vec<String> = targets.map(|target| target.entry.vm.to_string()).collect();

    day.world.request_wave(Wave {
        number: 1,
        vms: vms.clone(),
        limit_ms: 26_000,
        max_down: 2,
    });
    day.run(26_000, false);
    let held = day.world.vms_in(&pool_name(0));
    let key = day.submit(0, job(vec![step(60, 500, &[])]));
    day.run(4_000, false);

    assert!(vms.len() > 2);
    assert_eq!(day.world.upkeeps.len(), vms.len());
    assert_eq!(held, 1);
    assert_eq!(day.world.state(key), Some(JobState::Complete));
    assert_eq!(day.world.violations, Vec::<String>::new());
}
