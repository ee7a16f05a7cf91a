//! Data centres that are cut off whole, with the leader and targets whose entries have expired.

use amaranthwick::scheduler::{JobKey, JobState, Millis, Step, Wave};
use rstest::rstest;

use crate::fixtures::{job, long_running_step, step};
use crate::world::World;

/// Run time of the tasks, longer than all faults together.
const RUN_MS: Millis = 16_000;
/// Time for which the store is silent, in ms.
const OUTAGE_MS: Millis = 3_000;
/// Time from the beginning of a cut to the end of the outage, in ms.
const OVERLAP_MS: Millis = 300;
/// Time for which a data centre is cut off, in ms.
const CUT_MS: Millis = 8_000;
/// Time without a sign of the leader after which another process claims the role, in ms.
const CLAIM_MS: Millis = 1_300;
/// Time after a cut in which a target that goes on is listed again, in ms.
const RETURN_MS: Millis = 2_000;

/// A leader in `z0`, and a job with tasks on the targets of all data centres.
fn with_running_job() -> (World, JobKey) {
    with_running(step(18, RUN_MS, &[]))
}

/// The same with the 18 tasks of this step.
fn with_running(tasks: Step) -> (World, JobKey) {
    let mut world = World::new(9, 1);
    world.claim_in("z0");
    let spread = Step {
        max_per_target: 3,
        ..tasks
    };
    let key = world.submit(1, job(vec![spread]));
    world.run_for(2_000);
    assert_eq!(world.running(key).len(), 18);
    (world, key)
}

/// An outage in which entries expire, the cut of `z0` as it ends, and the claim of the next leader.
fn cut_after_outage(world: &mut World, claim_lag_ms: Millis) {
    world.silence_store();
    world.run_for(OUTAGE_MS - OVERLAP_MS);
    world.cut_off("z0");
    world.run_for(OVERLAP_MS);
    world.end_silence(true);
    world.run_for(CLAIM_MS + claim_lag_ms);
    world.claim_in("z1");
}

/// Lets the cut of `z0` end `left_ms` later, and the job come to its end.
fn finish(world: &mut World, left_ms: Millis) {
    world.run_for(left_ms);
    world.end_cut();
    world.run_for(RETURN_MS + 3 * RUN_MS);
}

fn assert_ran_once_at_a_time(world: &World, key: JobKey) {
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
}

/// Guards against two runs of a task: entries expire in an outage of the store, the leader's data
/// centre is cut off as the store returns, and the next leader starts the tasks of unlisted targets
/// elsewhere while the earlier one extends their leases.
#[rstest]
fn tasks_of_a_data_centre_that_is_cut_off_after_an_outage_run_once(
    #[values(0, 500, 1_000)] claim_lag_ms: Millis,
) {
    let (mut world, key) = with_running_job();

    cut_after_outage(&mut world, claim_lag_ms);
    finish(&mut world, CUT_MS - OVERLAP_MS - CLAIM_MS - claim_lag_ms);

    assert_ran_once_at_a_time(&world, key);
}

/// Guards against two runs of a task: the leader before the last one still extends leases in its data
/// centre, which is cut off a second time, when the last one dies.
#[rstest]
fn tasks_of_a_data_centre_run_once_after_two_changes_of_the_leader(
    #[values(300, 1_500, 2_400)] second_ms: Millis,
) {
    let (mut world, key) = with_running_job();

    world.cut_off("z0");
    world.run_for(CLAIM_MS);
    world.claim_in("z1");
    world.run_for(300);
    world.expire_entries_in("z0");
    world.run_for(second_ms - 300);
    world.kill();
    world.run_for(CLAIM_MS);
    world.claim_in("z2");
    finish(&mut world, 2 * CUT_MS - 2 * CLAIM_MS - second_ms);

    assert_ran_once_at_a_time(&world, key);
}

/// Guards against two runs of a long-running task, and against one that stays away after the cut.
#[test]
fn long_running_tasks_of_a_cut_data_centre_run_once() {
    let (mut world, key) = with_running(long_running_step(18, 0));

    cut_after_outage(&mut world, 0);
    finish(&mut world, CUT_MS - OVERLAP_MS - CLAIM_MS);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.running(key).len(), 18);
}

/// Guards against two runs of a gang, of which some members are in the data centre that is cut off.
#[test]
fn a_gang_that_is_partly_cut_off_runs_once() {
    let gang = Step {
        gang: true,
        ..step(18, RUN_MS, &[])
    };
    let (mut world, key) = with_running(gang);

    cut_after_outage(&mut world, 0);
    finish(&mut world, CUT_MS - OVERLAP_MS - CLAIM_MS);

    assert_ran_once_at_a_time(&world, key);
}

/// Guards against tasks that go on after the cancel of their job, which the cut data centre learns late.
#[test]
fn a_job_that_is_cancelled_during_the_cut_ends_everywhere() {
    let (mut world, key) = with_running(long_running_step(18, 0));

    cut_after_outage(&mut world, 0);
    world.cancel(key);
    finish(&mut world, CUT_MS - OVERLAP_MS - CLAIM_MS);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.running(key), Vec::new());
    assert_eq!(world.state(key), Some(JobState::Canceled));
}

/// Guards against maintenance under running tasks, of VMs whose targets are cut off and not listed.
#[test]
fn vms_of_a_cut_data_centre_are_not_taken_for_idle() {
    let (mut world, key) = with_running_job();
    world.request_wave(Wave {
        number: 1,
        vms: [0, 3, 6].map(|i| format!("vm-t{i}")).to_vec(),
        limit_ms: 120_000,
        max_down: 3,
    });

    cut_after_outage(&mut world, 0);
    finish(&mut world, CUT_MS - OVERLAP_MS - CLAIM_MS);

    assert_ran_once_at_a_time(&world, key);
}

/// Guards against two runs of a task: the next leader gives the role up during the cut, or stands still,
/// and the one after that must wait for the leader before as well.
#[rstest]
fn tasks_of_a_cut_data_centre_run_once_after_a_further_change(#[values(false, true)] frozen: bool) {
    let (mut world, key) = with_running_job();

    cut_after_outage(&mut world, 0);
    world.run_for(1_000);
    if frozen {
        world.freeze(4_000);
        world.run_for(CLAIM_MS);
    } else {
        world.hand_over();
        world.run_for(200);
    }
    world.claim_in("z2");
    finish(&mut world, CUT_MS - OVERLAP_MS - CLAIM_MS);

    assert_ran_once_at_a_time(&world, key);
}

/// Guards against two runs of a task: the leader is cut off alone, in a data centre without targets of
/// the job, so that it reaches none of them.
#[test]
fn tasks_run_once_when_the_leader_is_cut_off_without_them() {
    let (mut world, key) = with_running_job();
    world.kill();
    world.run_for(CLAIM_MS);
    world.claim_in("z9");
    world.run_for(1_000);

    world.cut_off("z9");
    world.expire_entries_in("z0");
    world.run_for(CLAIM_MS);
    world.claim_in("z1");
    finish(&mut world, CUT_MS - OVERLAP_MS - CLAIM_MS);

    assert_ran_once_at_a_time(&world, key);
}
