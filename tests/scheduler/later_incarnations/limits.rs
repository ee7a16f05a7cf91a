//! Limits of a team and of a target while a later incarnation has runs that its leader may not know of.

use super::*;
use crate::fixtures::{TEAM, policy};

/// Guards against a team over its limit: its cancelled job still ran on the later incarnation, which
/// the leader took for gone.
#[rstest]
fn a_team_stays_within_its_limit_until_the_longest_lease_is_over(
    #[values(Restart::Unknown, Restart::Listed)] restart: Restart,
) {
    let mut limited = policy();
    limited.teams[TEAM].limit.cpu = 8_000;
    let mut world = World::new(2, 1);
    world.set_policy(limited);
    world.holds_wait = true;
    world.claim();
    world.submit(1, job(vec![long_running_step(2, 0)]));
    world.run_for(UP_MS);
    let cancelled = start_on_later_incarnation(&mut world, long_job(), false);

    tell(&mut world, restart);
    world.cancel(cancelled);
    let later = world.submit(3, long_job());
    cut_off(&mut world);

    assert_each_ran_once_at_a_time(&world, later);
}

/// Guards against a target over its capacity: when it is back, it still has runs that the leader took
/// for ended.
#[test]
fn a_target_stays_within_its_capacity_when_it_is_back() {
    let mut world = World::new(2, 1);
    world.remove_admission_check();
    world.holds_wait = true;
    world.claim();
    world.submit(1, job(vec![long_running_step(2, 0)]));
    world.run_for(UP_MS);
    let cancelled = start_on_later_incarnation(&mut world, long_job(), false);

    world.cancel(cancelled);
    let later = world.submit(3, job(vec![step(60, 3_000, &[])]));
    world.targets[&reborn()].reachable = false;
    world.run_for(4_500);
    let left = world.running(cancelled).len();
    bring_back(&mut world);

    assert!(left > 0);
    assert_each_ran_once_at_a_time(&world, later);
}
