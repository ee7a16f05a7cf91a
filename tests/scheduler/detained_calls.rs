//! Calls that were meant for an earlier incarnation of a target, and that the network delivers to a later
//! one after their callers have given them up.

use amaranthwick::scheduler::{JobKey, JobSpec, JobState, Millis, TargetId};
use rstest::rstest;

use crate::fixtures::{job, long_running_step, step};
use crate::world::World;

/// Longer than any lease: a deadline by the clock of a target that was up for so long is past all
/// that its next incarnation accepts.
const UP_MS: Millis = 9_500;
/// Time for which the target is dark before it is back as a later incarnation.
const DARK_MS: Millis = 600;
/// Time for which it is cut off, longer than any lease.
const CUT_MS: Millis = 9_000;
/// Run time of the tasks, longer than any lease.
const RUN_MS: Millis = 9_000;

fn reborn() -> TargetId {
    TargetId("t1".into())
}

/// Two busy targets that have been up for `up_ms`; hold calls wait there.
fn two_targets(up_ms: Millis) -> World {
    let mut world = World::new(2, 1);
    world.holds_wait = true;
    world.claim();
    world.submit(1, job(vec![long_running_step(2, 0)]));
    world.run_for(up_ms);
    world
}

fn long_job(tasks: u32) -> JobSpec {
    job(vec![step(tasks, RUN_MS, &[])])
}

/// A target falls dark and is back as a later incarnation. Calls that are made meanwhile reach that one
/// `late_ms` after its return. A job is submitted in the dark.
fn return_with_late_calls(world: &mut World, late_ms: Millis) {
    let back_at = world.now + DARK_MS;
    world.detain_calls(&reborn(), back_at, back_at + late_ms);
    world.targets[&reborn()].reachable = false;
    world.submit(2, long_job(4));
    world.run_for(DARK_MS);
    world.restart_out_of_touch(&reborn());
    world.targets[&reborn()].reachable = true;
    world.publish_entry(&reborn());
}

fn runs_on_reborn(world: &World, key: JobKey) -> bool {
    world.running(key).iter().any(|(id, _)| *id == reborn())
}

fn assert_each_ran_once_at_a_time(world: &World, key: JobKey) {
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
}

fn cut_off(world: &mut World) {
    world.targets[&reborn()].reachable = false;
    world.run_for(CUT_MS);
    world.targets[&reborn()].reachable = true;
    world.publish_all_entries();
    world.run_for(30_000);
}

/// Guards against two runs of a task: a call that was meant for the earlier incarnation extended the
/// lease of the later one after the leader had computed when that expires.
#[rstest]
fn tasks_wait_for_a_lease_that_a_late_call_has_extended(
    #[values(200, 600, 1_000, 1_500, 1_900)] late_ms: Millis,
    #[values(10, 100, 600)] cut_ms: Millis,
) {
    let mut world = two_targets(UP_MS);
    return_with_late_calls(&mut world, late_ms);
    world.run_for(150);
    let key = world.submit(3, long_job(6));

    world.run_for((late_ms + cut_ms).saturating_sub(150));
    let began = runs_on_reborn(&world, key);
    cut_off(&mut world);

    assert!(began);
    assert_each_ran_once_at_a_time(&world, key);
}

/// Guards against two runs of a task: the next leader heard the target once, after a late call of the
/// earlier one had extended its lease, and took that lease for one that had begun soon after the return.
#[rstest]
fn the_next_leader_waits_for_a_lease_that_a_late_call_has_extended(
    #[values(3_000, 4_000)] late_ms: Millis,
) {
    let mut world = two_targets(UP_MS);
    return_with_late_calls(&mut world, late_ms);
    world.run_for(150);
    let key = world.submit(3, long_job(6));
    world.run_for(200);

    world.hand_over();
    world.run_for(late_ms - 340);
    world.claim();
    world.run_for(20);
    let began = runs_on_reborn(&world, key);
    cut_off(&mut world);

    assert!(began);
    assert_each_ran_once_at_a_time(&world, key);
}
