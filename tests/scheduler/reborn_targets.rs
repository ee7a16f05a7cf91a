//! Targets that start again under their id, and take calls before the leader knows of it.

use std::ops::Range;

use amaranthwick::scheduler::{Change, JobKey, JobState, Millis, Record, TargetId, TaskPhase};
use rstest::rstest;

use crate::fixtures::{further_seeds, job, long_running_step, step, task};
use crate::world::{Faults, World};

/// Seeds that run without `AMARANTHWICK_SEEDS`.
const SEEDS: Range<u64> = 0..40;
/// Rounds of 400 ms with faults.
const ROUNDS: u64 = 40;

/// From what the leader learns of a restart.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// The answer to a hold call.
    Hold,
    /// The list of targets.
    List,
    /// The list of targets as the next leader reads it.
    NextList,
    /// The answer to the first hold call of the next leader, whose list does not have it yet.
    NextHold,
}

fn only_target() -> TargetId {
    TargetId("t0".into())
}

/// Number of times that any task of the job was given a run, by the stored progress.
fn highest_run(world: &World, key: JobKey) -> u32 {
    let runs = world.log.iter().filter_map(|change| match change {
        Change::Put(Record::Progress(job, progress)) if *job == key => {
            let steps = progress.occurrences.iter().flat_map(|o| &o.steps);
            steps.flatten().map(|task| task.run).max()
        }
        _ => None,
    });
    runs.max().unwrap_or(0)
}

/// A target that waits in a hold call for the end of a run restarts, and accepts the start of a job
/// of six tasks, of which the leader has the answers.
fn accept_job_after_restart() -> (World, JobKey) {
    let mut world = World::new(1, 1);
    world.holds_wait = true;
    world.claim();
    world.submit(1, job(vec![long_running_step(1, 0)]));
    world.run_for(600);
    world.restart_unpublished(&only_target());
    let key = world.submit(2, job(vec![step(6, 1_500, &[])]));
    world.run_for(100);
    assert_eq!(world.running(key).len(), 6);
    (world, key)
}

fn let_leader_learn(world: &mut World, source: Source) {
    match source {
        Source::Hold => {}
        Source::List => world.publish_entry(&only_target()),
        Source::NextHold => {
            world.kill();
            world.claim();
        }
        Source::NextList => {
            world.publish_entry(&only_target());
            world.kill();
            world.claim();
        }
    }
}

/// Guards against two runs of a task at the same time: a start that the new incarnation had accepted
/// counted as one of the earlier incarnation, and the task started again.
#[rstest]
fn runs_that_the_new_incarnation_accepted_do_not_start_again(
    #[values(Source::Hold, Source::List, Source::NextList, Source::NextHold)] source: Source,
) {
    let (mut world, key) = accept_job_after_restart();

    let_leader_learn(&mut world, source);
    world.run_for(8_000);

    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
}

/// Guards against work that is thrown away: the leader knows that these runs go on.
#[rstest]
fn runs_that_the_new_incarnation_accepted_go_on(
    #[values(Source::Hold, Source::List)] source: Source,
) {
    let (mut world, key) = accept_job_after_restart();

    let_leader_learn(&mut world, source);
    world.run_for(8_000);

    assert_eq!(highest_run(&world, key), 1);
    assert_eq!(world.state(key), Some(JobState::Complete));
}

/// Guards against runs that the next leader stops: their stored incarnation remained the earlier one.
#[test]
fn the_next_leader_lets_runs_of_the_new_incarnation_go_on() {
    let (mut world, key) = accept_job_after_restart();
    world.publish_entry(&only_target());
    world.run_for(300);

    world.kill();
    world.claim();
    world.run_for(8_000);

    assert_eq!(highest_run(&world, key), 1);
    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against crashes that are counted against tasks of which the new incarnation runs: a job
/// would be given up for crashes that none of its tasks can have caused.
#[test]
fn a_restart_does_not_count_against_runs_that_began_after_it() {
    let (mut world, key) = accept_job_after_restart();

    world.publish_entry(&only_target());
    world.run_for(500);

    let stored = world.stored();
    let progress = &stored.get(key).unwrap().progress;
    let counted = (0..6).filter_map(|i| progress.task(task(2, i)));
    let counted: Vec<u32> = counted.map(|task| task.crashes.count).collect();
    assert_eq!(counted, vec![0; 6]);
}

/// Guards against tasks that wait for ever, or for the end of a lease: the earlier incarnation had
/// accepted their starts, and its end was never reported.
#[test]
fn runs_that_ended_with_the_earlier_incarnation_start_again_soon() {
    let mut world = World::new(1, 1);
    world.holds_wait = true;
    world.claim();
    world.submit(1, job(vec![long_running_step(1, 0)]));
    world.run_for(600);
    let key = world.submit(2, job(vec![step(6, 500, &[])]));
    world.run_for(100);

    world.restart(&only_target());
    world.run_for(4_000);

    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a lease that is taken to have lapsed too early: a call whose deadline is of the
/// clock of the earlier incarnation gives the new one the longest lease.
#[rstest]
fn runs_of_a_new_incarnation_that_falls_silent_start_again_after_the_longest_lease(
    #[values(false, true)] published: bool,
) {
    let mut world = World::new(2, 1);
    world.holds_wait = true;
    world.claim();
    world.submit(1, job(vec![long_running_step(2, 0)]));
    world.run_for(9_000);
    for id in ["t0", "t1"] {
        world.restart_unpublished(&TargetId(id.into()));
    }
    let key = world.submit(2, job(vec![step(6, 9_000, &[])]));
    world.run_for(50);
    let silent = world.running(key)[0].0.clone();

    world.targets[&silent].reachable = false;
    if published {
        world.publish_all_entries();
    }
    world.run_for(30_000);

    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against two runs of a task: the next leader's list still had the former incarnation, and
/// tasks that were placed on the present one counted as not running at the end of a shorter lease.
#[test]
fn tasks_on_an_incarnation_that_the_next_leader_does_not_list_yet_go_on() {
    let (mut world, key) = accept_job_after_restart();
    world.publish_entry(&only_target());
    world.run_for(300);
    let placed = world.stored();
    let placed = placed.get(key).unwrap().progress.task(task(2, 0));
    let born = match &placed.unwrap().phase {
        TaskPhase::Placed { born, .. } => *born,
        other => panic!("{other:?}"),
    };
    let target = &mut world.targets[&only_target()];
    let mut former = target.entry.clone();
    former.born -= 1;
    target.listed_as = Some(former);

    world.kill();
    world.claim();
    world.run_for(8_000);

    assert_eq!(born, world.targets[&only_target()].entry.born);
    assert_eq!(highest_run(&world, key), 1);
    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a start of a task that is done: a hold call that was meant for the earlier
/// incarnation let the new one forget its ends before anybody had read them.
#[test]
fn ends_of_the_new_incarnation_are_not_forgotten_unread() {
    let mut world = World::new(1, 1);
    world.holds_wait = true;
    world.claim();
    world.submit(1, job(vec![long_running_step(1, 0)]));
    let first = world.submit(2, job(vec![step(8, 300, &[])]));
    world.run_for(1_500);
    assert_eq!(world.state(first), Some(JobState::Complete));

    world.restart_unpublished(&only_target());
    let second = world.submit(3, job(vec![step(2, 300, &[])]));
    world.run_for(5_000);

    assert_eq!(world.state(second), Some(JobState::Complete));
    assert_eq!(highest_run(&world, second), 1);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Simulates 16 s or more in which targets restart under their ids beside cuts, lost answers and
/// changes of the leader, and then 40 s without. Returns the rules that were violated.
fn run_with_restarts(seed: u64) -> Vec<String> {
    let mut world = World::new(4, seed);
    world.holds_wait = !seed.is_multiple_of(4);
    if seed.is_multiple_of(2) {
        world.faults.lost_answers = 30;
    }
    world.claim();
    let mut keys = Vec::new();
    for round in 0..ROUNDS {
        let length = 200 + world.rng().u64(..2_500);
        let count = 1 + world.rng().u32(..8);
        keys.push(world.submit(round, job(vec![step(count, length, &[])])));
        disturb(&mut world);
        world.run_for(400);
    }
    world.store_up = true;
    world.faults = Faults::default();
    for target in world.targets.values_mut() {
        target.reachable = true;
    }
    world.publish_all_entries();
    world.kill();
    world.claim();
    world.run_for(40_000);
    let unended = keys.iter().filter_map(|key| {
        let state = world.state(*key);
        (!state.is_some_and(JobState::ended)).then(|| format!("{key} is {state:?}"))
    });
    let unended: Vec<String> = unended.collect();
    world.violations.into_iter().chain(unended).collect()
}

/// Lets a random fault begin or end, or none.
fn disturb(world: &mut World) {
    let i = world.rng().usize(..4);
    let id = world.targets[i].entry.id.clone();
    match world.rng().u32(..16) {
        0..=3 => {
            let lag_ms: Millis = world.rng().u64(..1_700);
            world.restart_with_lag(&id, lag_ms);
        }
        4 | 5 => world.targets[&id].reachable = false,
        6..=8 => {
            for target in world.targets.values_mut() {
                target.reachable = true;
            }
        }
        9 => {
            world.kill();
            world.run_for(1_300);
            world.claim();
        }
        10 => {
            world.hand_over();
            world.run_for(200);
            world.claim();
        }
        11 => world.store_up = false,
        12 | 13 => world.store_up = true,
        _ => {}
    }
}

/// Guards against what the tests above do not think of; [`World`] checks that nothing runs twice.
#[test]
fn nothing_runs_twice_among_restarts_that_are_listed_late() {
    let violations: Vec<_> = further_seeds(SEEDS)
        .map(|seed| (seed, run_with_restarts(seed)))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();

    assert_eq!(violations, Vec::new());
}
