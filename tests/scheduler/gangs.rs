//! Gangs whose members crash, or are out of reach.

use amaranthwick::scheduler::{JobKey, JobState, Step};

use crate::capacity::cores;
use crate::fixtures::{job, step};
use crate::world::{Returns, World};

/// A gang of four tasks, each on a target of its own.
fn gang_of_four() -> Step {
    let mut gang = step(4, 800, &[]);
    gang.gang = true;
    gang.max_per_target = 1;
    gang
}

fn run_number(world: &World, key: JobKey) -> u32 {
    let (target, task) = world.running(key)[0].clone();
    world.targets[&target].run_number(task)
}

#[test]
fn a_gang_on_several_targets_completes_as_one() {
    let mut world = World::new(4, 1);
    world.claim();
    let key = world.submit(1, job(vec![gang_of_four()]));

    world.run_for(600);
    let members = world.running(key).len();
    world.run_for(400);

    assert_eq!(members, 4);
    assert_eq!(world.running(key), Vec::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against members that wait for others in vain: a target shrank while the decision to
/// start was being stored, and the rest of the gang started without the member there.
#[test]
fn no_member_starts_when_another_has_lost_its_room() {
    let mut world = World::new(5, 1);
    world.remove_admission_check();
    world.claim();
    world.run_for(500);

    world.store_up = false;
    let key = world.submit(1, job(vec![gang_of_four()]));
    world.run_for(100);
    for i in 0..2 {
        let id = world.targets.get_index(i).unwrap().0.clone();
        world.set_capacity(&id, cores(0));
    }
    world.run_for(2_000);
    world.store_up = true;
    let mut started = Vec::new();
    for _ in 0..40 {
        world.run_for(50);
        started.push(world.running(key).len());
    }

    assert_eq!(started, vec![0; 40]);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_crash_under_one_member_breaks_the_others_and_the_gang_runs_again() {
    let mut world = World::new(4, 1);
    world.crashes.returns = Returns::SameId;
    world.claim();
    let key = world.submit(1, job(vec![gang_of_four()]));
    world.run_for(400);
    let first = run_number(&world, key);
    let (crashed, _) = world.running(key)[0].clone();

    world.crash(&crashed);
    world.run_for(10);
    let others = world.running(key);
    world.run_for(4_000);
    let later = run_number(&world, key);
    world.run_for(2_000);

    assert_eq!(others, Vec::new());
    assert!(later > first);
    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_member_out_of_reach_works_on_with_the_others() {
    let mut world = World::new(4, 1);
    world.claim();
    let key = world.submit(1, job(vec![gang_of_four()]));
    world.run_for(400);
    let first = run_number(&world, key);
    let (dark, _) = world.running(key)[0].clone();

    world.targets[&dark].reachable = false;
    world.run_for(300);
    let members = world.running(key).len();
    let later = run_number(&world, key);
    world.run_for(400);

    assert_eq!((members, later), (4, first));
    assert_eq!(world.running(key), Vec::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn members_wait_for_one_whose_start_is_lost_and_end_alone() {
    let mut world = World::new(4, 1);
    world.claim();
    world.run_for(200);
    let key = world.submit(1, job(vec![gang_of_four()]));
    world.targets[0].reachable = false;

    world.run_for(2_900);
    let waiting = world.running(key).len();
    world.run_for(200);
    let ended = world.running(key);
    world.targets[0].reachable = true;
    world.run_for(8_000);

    assert_eq!(waiting, 3);
    assert_eq!(ended, Vec::new());
    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}
