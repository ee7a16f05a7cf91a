//! Starts that a later incarnation of their target takes, which is cut off soon after.

mod limits;

use amaranthwick::scheduler::{JobKey, JobSpec, JobState, Millis, TargetId};
use rstest::rstest;

use crate::capacity::cores;
use crate::fixtures::{job, long_running_step, step};
use crate::world::{LostAnswers, World};

/// Longer than any lease: a deadline by the clock of a target that was up for so long is past all
/// that its next incarnation accepts.
const UP_MS: Millis = 9_500;
/// Time for which a target is cut off, longer than any lease.
const CUT_MS: Millis = 9_000;
/// Run time of the tasks, longer than any lease.
const RUN_MS: Millis = 9_000;
/// Time without a leader after a hand-over.
const HAND_OVER_MS: Millis = 200;
/// Time without a leader after the end of one that did not give the role up.
const CLAIM_MS: Millis = 1_300;

/// How the leader ends after which another one claims the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// It gives the role up.
    HandOver,
    /// It is killed.
    Kill,
}

/// What a leader learns of the target's restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    /// Nothing; the list keeps the entry of the earlier incarnation.
    Unknown,
    /// The entry of the later incarnation.
    Listed,
}

/// The target that restarts. Tasks are placed on it first.
fn reborn() -> TargetId {
    TargetId("t1".into())
}

/// Two targets that have been up for `up_ms`. Each has a hold call that waits, so that none shows a
/// restart at once.
fn two_targets(up_ms: Millis) -> World {
    let mut world = World::new(2, 1);
    world.holds_wait = true;
    world.claim();
    world.submit(1, job(vec![long_running_step(2, 0)]));
    world.run_for(up_ms);
    world
}

/// A job of tasks that run for longer than any lease.
fn long_job() -> JobSpec {
    job(vec![step(6, RUN_MS, &[])])
}

/// One target restarts, and its later incarnation takes starts of the job that are meant for the
/// earlier one. Its answers to them are lost unless `answered`.
fn start_on_later_incarnation(world: &mut World, spec: JobSpec, answered: bool) -> JobKey {
    if !answered {
        world.lose_answers(&reborn(), LostAnswers::Starts);
    }
    world.restart_unpublished(&reborn());
    let key = world.submit(2, spec);
    world.run_for(50);
    assert!(world.starts_after_restart >= 1);
    assert!(world.running(key).iter().any(|(id, _)| *id == reborn()));
    key
}

fn tell(world: &mut World, restart: Restart) {
    if restart == Restart::Listed {
        world.publish_entry(&reborn());
    }
}

/// Cuts that target off for a while, and lets the jobs come to their ends.
fn cut_off(world: &mut World) {
    world.targets[&reborn()].reachable = false;
    world.run_for(CUT_MS);
    bring_back(world);
}

fn bring_back(world: &mut World) {
    world.targets[&reborn()].reachable = true;
    world.regain_answers(&reborn());
    world.publish_all_entries();
    world.run_for(30_000);
}

fn assert_each_ran_once_at_a_time(world: &World, key: JobKey) {
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
}

/// Another leader takes the role over.
fn change_leader(world: &mut World, change: Change) {
    match change {
        Change::HandOver => {
            world.hand_over();
            world.run_for(HAND_OVER_MS);
        }
        Change::Kill => {
            world.kill();
            world.run_for(CLAIM_MS);
        }
    }
    world.claim();
}

/// Guards against two runs of a task: the later incarnation had a longer lease from a start that it
/// did not answer than the earlier one would have, whose lease the leader waited for.
#[rstest]
fn tasks_wait_for_the_longest_lease_of_a_start_without_an_answer(
    #[values(200, 700, UP_MS)] up_ms: Millis,
    #[values(Restart::Unknown, Restart::Listed)] restart: Restart,
) {
    let mut world = two_targets(up_ms);
    let key = start_on_later_incarnation(&mut world, long_job(), false);

    tell(&mut world, restart);
    cut_off(&mut world);

    assert_each_ran_once_at_a_time(&world, key);
}

/// Guards against two runs of a task: the next leader took the lease that the earlier one had given for
/// an ordinary one, although the call was meant for an earlier incarnation.
#[rstest]
#[case::whose_restart_is_not_known(Restart::Unknown)]
#[case::whose_restart_is_listed(Restart::Listed)]
fn the_next_leader_waits_for_the_longest_lease_of_a_target_it_never_hears(
    #[case] restart: Restart,
) {
    let mut world = two_targets(UP_MS);
    let key = start_on_later_incarnation(&mut world, long_job(), true);
    tell(&mut world, restart);

    world.targets[&reborn()].reachable = false;
    change_leader(&mut world, Change::HandOver);
    cut_off(&mut world);

    assert_each_ran_once_at_a_time(&world, key);
}

/// Guards against two runs of a task: the next leader took the lease of a target that it heard once for
/// an ordinary one.
#[rstest]
#[case::whose_restart_is_not_known(Restart::Unknown)]
#[case::whose_restart_is_listed(Restart::Listed)]
fn the_next_leader_waits_for_the_longest_lease_of_a_target_it_heard_once(#[case] restart: Restart) {
    let mut world = two_targets(UP_MS);
    let key = start_on_later_incarnation(&mut world, long_job(), true);
    tell(&mut world, restart);

    change_leader(&mut world, Change::HandOver);
    world.run_for(20);
    cut_off(&mut world);

    assert_each_ran_once_at_a_time(&world, key);
}

/// Guards against two runs of a task: the earlier leader had learned of the later incarnation and
/// stored it, so that the next one took its lease for an ordinary one.
#[rstest]
#[case::never_heard_after_a_hand_over(Change::HandOver, false)]
#[case::heard_once_after_a_hand_over(Change::HandOver, true)]
#[case::heard_once_after_the_end_of_a_leader(Change::Kill, true)]
fn the_next_leader_waits_for_the_longest_lease_of_a_known_restart(
    #[case] change: Change,
    #[case] heard: bool,
) {
    let mut world = two_targets(UP_MS);
    let key = start_on_later_incarnation(&mut world, long_job(), true);
    world.publish_entry(&reborn());
    world.run_for(100);

    world.targets[&reborn()].reachable = heard;
    change_leader(&mut world, change);
    world.run_for(20);
    cut_off(&mut world);

    assert_each_ran_once_at_a_time(&world, key);
}

/// Guards against two runs of a task: the next leader's list did not have the target yet, and it took
/// the lease that the earlier leader had given for an ordinary one.
#[rstest]
#[case::soon(100)]
#[case::after_an_ordinary_lease(5_250)]
#[case::after_the_longest_lease(9_000)]
fn the_next_leader_waits_for_the_longest_lease_of_a_target_that_is_listed_late(
    #[case] listed_ms: Millis,
) {
    let mut world = two_targets(UP_MS);
    let key = start_on_later_incarnation(&mut world, long_job(), true);

    world.targets[&reborn()].listed = false;
    change_leader(&mut world, Change::HandOver);
    world.run_for(listed_ms);
    world.publish_entry(&reborn());
    world.run_for(20);
    cut_off(&mut world);

    assert_each_ran_once_at_a_time(&world, key);
}

/// What happens to the starts of a second job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Second {
    /// The same incarnation takes them.
    Taken,
    /// The same incarnation refuses them for want of room, which extends its lease, too.
    Refused,
    /// A further incarnation takes them.
    TakenByFurther,
}

/// Guards against two runs of a task: the first answer that showed the restart set the time until which
/// the leader waited, but a later start without an answer extended the lease.
#[rstest]
fn tasks_wait_for_the_longest_lease_of_the_last_start_without_an_answer(
    #[values(Second::Taken, Second::Refused, Second::TakenByFurther)] second: Second,
) {
    let mut world = two_targets(UP_MS - 50);
    let first = start_on_later_incarnation(&mut world, long_job(), true);
    world.run_for(1_000);
    match second {
        Second::Taken => {}
        Second::Refused => world.targets[&reborn()].room.change(cores(6), world.now),
        Second::TakenByFurther => world.restart_unpublished(&reborn()),
    }
    world.lose_answers(&reborn(), LostAnswers::Starts);
    let later = world.submit(3, long_job());
    world.run_for(50);
    let taken = world.running(later).iter().any(|(id, _)| *id == reborn());

    cut_off(&mut world);

    assert_eq!(taken, second != Second::Refused);
    assert_each_ran_once_at_a_time(&world, first);
    assert_each_ran_once_at_a_time(&world, later);
}

/// Guards against two runs of a long-running task, which no end of its own makes shorter.
#[test]
fn a_long_running_task_waits_for_the_longest_lease_of_a_start_without_an_answer() {
    let mut world = two_targets(UP_MS);
    let spec = job(vec![long_running_step(1, 0)]);
    let key = start_on_later_incarnation(&mut world, spec, false);

    cut_off(&mut world);

    assert_eq!(world.running(key).len(), 1);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against two runs of the members of a gang, all of which ran on the later incarnation.
#[test]
fn a_gang_waits_for_the_longest_lease_of_starts_without_an_answer() {
    let mut world = two_targets(UP_MS);
    let mut gang = step(2, RUN_MS, &[]);
    gang.gang = true;
    gang.max_per_target = 2;
    let key = start_on_later_incarnation(&mut world, job(vec![gang]), false);

    cut_off(&mut world);

    assert_each_ran_once_at_a_time(&world, key);
}

/// Guards against two runs of a task: a start for the earlier incarnation reached the later one after that
/// had reported itself, and renewed its lease.
#[rstest]
fn tasks_wait_for_the_longest_lease_of_a_start_that_arrives_after_the_restart_is_known(
    #[values(100, 200, 300, 360)] held_ms: Millis,
    #[values(5, 20, 50, 100)] cut_ms: Millis,
) {
    let mut world = two_targets(UP_MS);
    let held_until = world.now + held_ms;
    world.hold_starts(&reborn(), held_until);
    world.submit(2, long_job());
    world.run_for(15);
    world.restart(&reborn());
    world.hold_starts(&reborn(), 0);
    world.run_for(30);
    let key = world.submit(3, long_job());

    world.run_for(held_ms - 45 + cut_ms);
    cut_off(&mut world);

    assert_each_ran_once_at_a_time(&world, key);
}
