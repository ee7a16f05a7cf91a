//! Calls that a later incarnation of a target carries out when the leader no longer counts on them.

use amaranthwick::scheduler::{JobKey, JobSpec, Millis, StartOutcome, TargetId};

use crate::bare_leader::{BORN, Fixture, entry};
use crate::fixtures::{job, long_running_step, step, task};
use crate::held_up_calls::{run_until, with_second_target};
use crate::world::{LostAnswers, World};

/// Longer than any lease.
const UP_MS: Millis = 9_500;
/// Run time of the tasks, longer than any lease.
const RUN_MS: Millis = 14_000;

fn reborn() -> TargetId {
    TargetId("t1".into())
}

fn two_targets() -> World {
    let mut world = World::new(2, 1);
    world.holds_wait = true;
    world.claim();
    world.submit(1, job(vec![long_running_step(2, 0)]));
    world.run_for(UP_MS);
    world
}

fn long_job(tasks: u32) -> JobSpec {
    job(vec![step(tasks, RUN_MS, &[])])
}

fn set_reachable(world: &mut World, reachable: bool) {
    world.targets[&reborn()].reachable = reachable;
}

/// The target is dark for 600 ms and back as a later incarnation. Calls that are made meanwhile reach that
/// one `late_ms` after its return. A job is submitted in the dark.
fn return_with_late_calls(world: &mut World, late_ms: Millis) {
    let back_at = world.now + 600;
    world.detain_calls(&reborn(), back_at, back_at + late_ms);
    set_reachable(world, false);
    world.submit(2, long_job(4));
    world.run_for(600);
    world.restart_out_of_touch(&reborn());
    set_reachable(world, true);
    world.publish_entry(&reborn());
}

fn runs_on_reborn(world: &World, key: JobKey) -> bool {
    world.running(key).iter().any(|(id, _)| *id == reborn())
}

/// The target is dark until the end of any lease and back after that.
fn cut_off(world: &mut World) {
    set_reachable(world, false);
    world.run_for(9_000);
    set_reachable(world, true);
    world.publish_all_entries();
    world.run_for(30_000);
}

/// The hold call to t0 that is open is answered by the next incarnation.
fn report_restart(fixture: &mut Fixture) {
    fixture.poll(2_600);
    fixture
        .holds
        .sort_by_key(|(called, _)| called.id != entry("t0").id);
    fixture.now = 2_610;
    fixture.hold_answered_by(BORN + 1, 2_605, &[], &[]);
    fixture.settle(2_620);
}

/// Guards against two runs of a task: answers of a later incarnation are lost while calls still reach it,
/// and a late one extends its lease after the leader has noticed the silence.
#[test]
fn tasks_wait_for_a_lease_that_a_call_extends_after_the_first_lost_answer() {
    let mut world = two_targets();
    return_with_late_calls(&mut world, 4_000);
    world.run_for(150);
    let key = world.submit(3, long_job(6));
    world.run_for(500);
    let on_reborn = runs_on_reborn(&world, key);

    world.lose_answers(&reborn(), LostAnswers::All);
    world.run_for(3_360);
    world.regain_answers(&reborn());
    cut_off(&mut world);

    assert!(on_reborn);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against two runs of a task: a later incarnation carries out a call that it has received only
/// after it was cut off, and after the leader has noticed that.
#[test]
fn tasks_wait_for_a_lease_that_a_call_extends_during_the_cut() {
    let mut world = two_targets();
    return_with_late_calls(&mut world, 5_000);
    world.run_for(150);
    let key = world.submit(3, long_job(6));
    world.run_for(1_850);
    let on_reborn = runs_on_reborn(&world, key);

    set_reachable(&mut world, false);
    world.run_for(2_990);
    // The call is carried out now; the target tells the leader nothing.
    world.lose_answers(&reborn(), LostAnswers::All);
    set_reachable(&mut world, true);
    world.run_for(20);
    set_reachable(&mut world, false);
    world.regain_answers(&reborn());
    cut_off(&mut world);

    assert!(on_reborn);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against two runs of a task: the leader forgot a target whose entry had expired, and with it the
/// deadlines of the calls to it that a later incarnation still carried out.
#[test]
fn tasks_wait_for_a_lease_that_a_call_to_a_forgotten_incarnation_has_extended() {
    let mut world = two_targets();
    let crash_at = world.now + 1_000;
    world.detain_calls(&reborn(), crash_at, crash_at + 5_500);
    world.run_for(1_000);
    set_reachable(&mut world, false);
    world.run_for(3_000);
    world.expire_entry(&reborn());
    world.run_for(1_500);
    world.restart_out_of_touch(&reborn());
    set_reachable(&mut world, true);
    world.publish_entry(&reborn());
    world.run_for(150);
    let key = world.submit(3, long_job(6));

    world.run_for(860);
    let on_reborn = runs_on_reborn(&world, key);
    cut_off(&mut world);

    assert!(on_reborn);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against two runs of a task: a start reaches a later incarnation that the leader never hears,
/// long after its call has ended.
#[test]
fn tasks_wait_for_a_late_start_on_an_incarnation_that_was_never_heard() {
    let mut world = two_targets();
    let dark_at = world.now;
    world.detain_calls(&reborn(), dark_at + 300, dark_at + 2_100);
    set_reachable(&mut world, false);
    let key = world.submit(2, long_job(4));
    world.run_for(600);
    world.restart_out_of_touch(&reborn());
    world.run_for(1_490);
    set_reachable(&mut world, true);
    world.run_for(20);
    let on_reborn = runs_on_reborn(&world, key);

    cut_off(&mut world);

    assert!(on_reborn);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against two runs of a task: a target restarted while a start to it was open, and the run was
/// given up before that call had ended.
#[test]
fn a_run_is_not_given_up_after_a_restart_while_its_start_is_open() {
    let mut fixture = with_second_target();
    report_restart(&mut fixture);

    run_until(&mut fixture, 12_000);

    assert_eq!(fixture.starts, vec![(task(1, 0), 1)]);
}

/// Guards against two runs of a task: a later incarnation fell silent before it had answered a call of its
/// own, and the leader counted late calls only until it had learned of the restart.
#[test]
fn a_run_waits_for_late_calls_until_an_unheard_incarnation_is_silent() {
    let mut fixture = with_second_target();
    fixture.start_answered(1, StartOutcome::Unknown, 12);
    report_restart(&mut fixture);
    fixture.now = 3_610;

    run_until(&mut fixture, 9_500);

    assert_eq!(fixture.starts, vec![(task(1, 0), 1)]);
}
