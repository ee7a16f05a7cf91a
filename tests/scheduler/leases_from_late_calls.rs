//! Leases that a new incarnation has from calls for the former one, which it carries out after its first
//! answer.

use amaranthwick::scheduler::{JobSpec, Millis, Step, TargetId};
use rstest::rstest;

use crate::fixtures::{TEAM, job, long_running_step, policy, step};
use crate::world::World;

/// Longer than any lease: a deadline by the clock of a target that was up for so long is past all
/// that its next incarnation accepts.
const UP_MS: Millis = 9_500;
/// Time for which the target is out of reach before it returns.
const DARK_MS: Millis = 300;
/// Time for which it is cut off, longer than any lease.
const CUT_MS: Millis = 9_000;
/// Run time of the tasks, longer than any lease.
const RUN_MS: Millis = 9_000;

/// What happens to the leader between the return and the cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Stays,
    HandsOver,
    IsKilled,
}

/// What runs on the new incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    Tasks,
    Gang,
    LongRunning,
}

impl Work {
    fn job(self) -> JobSpec {
        let gang = Step {
            gang: true,
            max_per_target: 1,
            ..step(2, RUN_MS, &[])
        };
        job(vec![match self {
            Self::Tasks => step(6, RUN_MS, &[]),
            Self::Gang => gang,
            Self::LongRunning => long_running_step(1, 0),
        }])
    }

    /// Number of targets with which its tasks can start again elsewhere.
    const fn targets(self) -> usize {
        match self {
            Self::Tasks | Self::LongRunning => 2,
            Self::Gang => 3,
        }
    }
}

fn reborn() -> TargetId {
    TargetId("t1".into())
}

/// One of the targets restarts and is back; it carries out `late_ms` after that what was sent to it
/// while it was out of reach.
fn return_with_late_calls(world: &mut World, late_ms: Millis) {
    world.holds_wait = true;
    world.claim();
    let targets = u32::try_from(world.targets.len()).unwrap();
    world.submit(1, job(vec![long_running_step(targets, 0)]));
    world.run_for(UP_MS);
    world.targets[&reborn()].reachable = false;
    let return_at = world.now + DARK_MS;
    world.detain_calls(&reborn(), return_at, return_at + late_ms);
    let spread = Step {
        max_per_target: 4,
        ..step(4 * targets, 200, &[])
    };
    world.submit(2, job(vec![spread]));
    world.run_for(DARK_MS);
    world.restart_out_of_touch(&reborn());
    world.targets[&reborn()].reachable = true;
    world.publish_entry(&reborn());
}

/// Changes the leader. Returns the time that this takes.
fn change_leader(world: &mut World, change: Change) -> Millis {
    let claim_ms = match change {
        Change::Stays => return 0,
        Change::HandsOver => {
            world.hand_over();
            200
        }
        Change::IsKilled => {
            world.kill();
            1_300
        }
    };
    world.run_for(claim_ms);
    world.claim();
    claim_ms
}

fn cut_off(world: &mut World) {
    world.targets[&reborn()].reachable = false;
    world.run_for(CUT_MS);
    world.targets[&reborn()].reachable = true;
    world.publish_all_entries();
    world.run_for(20_000);
}

/// Guards against two runs of a task: calls for the former incarnation extended the lease of the new one
/// after its first answer.
#[rstest]
fn tasks_wait_for_the_lease_of_calls_that_are_carried_out_late(
    #[values(Work::Tasks, Work::Gang, Work::LongRunning)] work: Work,
    #[values(Change::Stays, Change::HandsOver, Change::IsKilled)] change: Change,
    #[values(1_700, 2_500)] late_ms: Millis,
) {
    let mut world = World::new(work.targets(), 1);
    return_with_late_calls(&mut world, late_ms);

    world.run_for(100);
    let key = world.submit(3, work.job());
    world.run_for(100);
    let took_ms = change_leader(&mut world, change);
    world.run_for(late_ms - took_ms - 190);
    let began = world.running(key).iter().any(|(id, _)| *id == reborn());
    cut_off(&mut world);

    assert!(began);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a team over its limit: runs of its cancelled job went on under a lease from calls that
/// were carried out late.
#[rstest]
fn a_team_stays_within_its_limit_until_the_lease_of_late_calls_is_over(
    #[values(Change::Stays, Change::HandsOver)] change: Change,
) {
    let mut limited = policy();
    limited.teams[TEAM].limit.cpu = 8_000;
    let mut world = World::new(2, 1);
    world.set_policy(limited);
    return_with_late_calls(&mut world, 1_700);

    world.run_for(100);
    let cancelled = world.submit(3, job(vec![step(6, RUN_MS, &[])]));
    world.run_for(100);
    let took_ms = change_leader(&mut world, change);
    world.run_for(1_700 - took_ms - 190);
    world.targets[&reborn()].reachable = false;
    world.cancel(cancelled);
    world.submit(4, job(vec![step(6, RUN_MS, &[])]));
    cut_off(&mut world);

    assert_eq!(world.violations, Vec::<String>::new());
}
