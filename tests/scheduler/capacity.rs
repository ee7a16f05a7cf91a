//! Targets whose capacity shrinks and grows while they run.

use std::sync::Arc;

use amaranthwick::scheduler::{Capacity, JobState, Millis, Step, TargetId, TaskKey};

use crate::fixtures::{POOL, job, long_running_step, step};
use crate::world::{ENTRY_LAG_MS, World};

/// Time after which a capacity that has shrunk counts, in ms: the time that leaders have to learn
/// of it, and a heartbeat of the target.
const SHRUNK_AFTER_MS: Millis = 4_500;

/// Capacity of a target with this number of cores, and 2 GB of memory for each.
pub(crate) const fn cores(count: u64) -> Capacity {
    Capacity {
        cpu: count * 1_000,
        mem_mb: count * 2_048,
        gpu: 0,
    }
}

/// The capacity of a fake target.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    /// Whether the target refuses what does not fit.
    pub(crate) guarded: bool,
    capacity: Capacity,
    /// Whether the target's entry shows its capacity.
    shown: bool,
    /// Earlier capacities, each with the time until which the target had it.
    earlier: Vec<(Millis, Capacity)>,
}

impl Room {
    pub(crate) const fn new(capacity: Capacity) -> Self {
        Self {
            guarded: true,
            capacity,
            shown: true,
            earlier: Vec::new(),
        }
    }

    pub(crate) fn change(&mut self, capacity: Capacity, now: Millis) {
        self.earlier.push((now, self.capacity));
        self.capacity = capacity;
        self.shown = false;
    }

    /// The target publishes an entry with its capacity. It may have had none for a while, because
    /// its entry had expired; the capacity before the last change counts until then.
    pub(crate) fn show(&mut self, now: Millis) -> Capacity {
        if !self.shown
            && let Some((until, _)) = self.earlier.last_mut()
        {
            *until = (*until).max(now.saturating_sub(ENTRY_LAG_MS));
        }
        self.shown = true;
        self.capacity
    }

    /// Returns whether the target starts a task while `used` is reserved there.
    pub(crate) const fn admits(&self, used: &Capacity, reserved: &Capacity) -> bool {
        !self.guarded || used.fits(reserved, &self.capacity)
    }

    /// What may be reserved on the target after a start that was sent at `sent_at`: a capacity
    /// counts for a while after it has shrunk.
    fn limit_at(&self, sent_at: Millis) -> Capacity {
        let counting = self
            .earlier
            .iter()
            .filter(|(until, _)| until + SHRUNK_AFTER_MS > sent_at)
            .chain(self.earlier.last().filter(|_| !self.shown))
            .map(|(_, capacity)| capacity);
        counting.fold(self.capacity, |largest, other| Capacity {
            cpu: largest.cpu.max(other.cpu),
            mem_mb: largest.mem_mb.max(other.mem_mb),
            gpu: largest.gpu.max(other.gpu),
        })
    }
}

impl World {
    /// Checks that the start of a task, sent at `sent_at`, has not brought a target over its
    /// capacity. The network may have held the start up.
    pub(crate) fn check_room(&mut self, task: TaskKey, on: &TargetId, sent_at: Millis) {
        let now = self.now;
        let target = &self.targets[on];
        let (used, limit) = (target.used(), target.room.limit_at(sent_at));
        if !target.room.guarded && !used.fits(&Capacity::default(), &limit) {
            self.violations.push(format!(
                "{now}: {task} brings {on} over its capacity: {used:?} of {limit:?}"
            ));
        }
    }
}

fn first_target(world: &World) -> TargetId {
    world.targets.get_index(0).unwrap().0.clone()
}

#[test]
fn a_shrunk_target_gets_work_up_to_what_is_left_and_more_when_it_grows() {
    let mut world = World::new(1, 1);
    world.remove_admission_check();
    world.claim();
    let id = first_target(&world);
    for i in 0..200 {
        world.submit(i, job(vec![step(2, 900, &[])]));
    }
    world.run_for(2_000);
    let before = world.targets[&id].used().cpu;

    world.set_capacity(&id, cores(5));
    world.run_for(6_000);
    let shrunk = world.targets[&id].used().cpu;
    world.set_capacity(&id, cores(0));
    world.run_for(6_000);
    let nothing = world.targets[&id].used().cpu;
    world.set_capacity(&id, cores(9));
    world.run_for(2_000);
    let grown = world.targets[&id].used().cpu;

    assert_eq!([before, shrunk, nothing, grown], [16_000, 5_000, 0, 9_000]);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn tasks_go_on_running_on_a_target_that_shrinks_below_them() {
    let mut world = World::new(2, 1);
    world.claim();
    let key = world.submit(1, job(vec![long_running_step(2, 1)]));
    world.run_for(1_000);
    let before = world.running(key);

    for (id, _) in &before {
        world.set_capacity(id, cores(0));
    }
    world.run_for(10_000);

    assert_eq!(before.len(), 2);
    assert_eq!(world.running(key), before);
}

/// Guards against starts beyond a target's capacity: the target shrank while the store was
/// unavailable, and the starts that had waited for the store were sent all the same.
#[test]
fn starts_that_waited_for_the_store_still_fit_their_target() {
    let mut world = World::new(1, 1);
    world.remove_admission_check();
    world.claim();
    world.run_for(200);
    let id = first_target(&world);
    world.store_up = false;
    let key = world.submit(1, job(vec![step(8, 900, &[])]));
    world.run_for(200);

    world.set_capacity(&id, cores(3));
    world.run_for(5_500);
    world.store_up = true;
    world.run_for(600);
    let together = world.running(key).len();
    world.run_for(3_000);

    assert_eq!(together, 3);
    assert_eq!(world.state(key), Some(JobState::Complete));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// A platform with `working` targets in the pool that runs jobs, of which one has nothing left, and
/// 6 in the standby pool. A job of one step is in, and the leader has begun to send orders for VMs.
fn world_with_standby(working: usize, without_capacity: usize, step: Step) -> World {
    let mut world = World::new(working + 6, 1);
    for target in world.targets.values_mut().skip(working) {
        target.entry.pool = Arc::from("spare");
    }
    world.claim();
    let id = world.targets.get_index(without_capacity).unwrap().0.clone();
    world.set_capacity(&id, cores(0));
    world.run_for(1_800);
    world.submit(1, job(vec![step]));
    world.run_for(2_700);
    world
}

/// Number of VMs that were to be moved to the pool that runs jobs.
fn moves_to_pool(world: &World) -> usize {
    world.moves.iter().filter(|(_, pool)| pool == POOL).count()
}

/// Guards against needless VMs: when the last target of a pool had nothing left, the pool wanted a
/// VM for each thousandth of a core in demand, and got all that were off.
#[test]
fn a_target_without_capacity_does_not_draw_all_vms_into_its_pool() {
    let world = world_with_standby(2, 1, step(4, 60_000, &[]));

    assert_eq!(moves_to_pool(&world), 0);
}

/// Guards against tasks that wait although VMs are off: a target that had shrunk counted as a
/// whole VM of its pool.
#[test]
fn a_pool_gets_vms_for_what_its_targets_have_lost() {
    let world = world_with_standby(2, 0, step(20, 60_000, &[]));

    assert_eq!(moves_to_pool(&world), 1);
}

/// Guards against needless VMs, as above, in a pool whose targets all have nothing left.
#[test]
fn a_pool_without_capacity_gets_as_many_vms_as_its_demand_needs() {
    let world = world_with_standby(1, 0, step(4, 60_000, &[]));

    assert_eq!(moves_to_pool(&world), 1);
}

/// Guards against a long-running task that waits although VMs are off: its step may not share
/// targets, and one that was too small for its tasks counted as one for them.
#[test]
fn a_step_that_may_not_share_targets_gets_vms_for_those_that_are_too_small() {
    let world = world_with_standby(2, 1, long_running_step(2, 1));

    assert_eq!(moves_to_pool(&world), 1);
}

/// A target that shrinks below a task that it runs is still a target for its step.
#[test]
fn a_step_that_runs_on_targets_that_have_shrunk_gets_no_further_vms() {
    let mut world = world_with_standby(3, 2, long_running_step(2, 1));
    let first = first_target(&world);

    world.set_capacity(&first, cores(0));
    world.run_for(3_000);

    assert_eq!(moves_to_pool(&world), 0);
}

/// Guards against an overflow: a task that needs more than any number of targets has was taken to
/// fit beside another one, because the sum of what they need exceeded 64 bits.
#[test]
fn a_task_of_any_size_is_weighed_without_overflow() {
    let mut world = World::new(1, 1);
    world.remove_admission_check();
    world.claim();
    let small = world.submit(1, job(vec![step(1, 6_000, &[])]));
    world.run_for(500);
    let mut huge = step(2, 1_000, &[]);
    huge.needs.cpu = u64::MAX;
    huge.needs.mem_mb = u64::MAX;
    let huge = world.submit(2, job(vec![huge]));

    world.run_for(5_000);

    assert_eq!(world.running(small).len(), 1);
    assert_eq!(world.running(huge), Vec::new());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against starvation: a target that had shrunk was kept free for a task that could never
/// fit there beside a long-running one, because it had the least CPU in use.
#[test]
fn no_target_is_reserved_that_long_running_tasks_keep_too_full() {
    let mut world = World::new(2, 1);
    world.claim();
    let mut first = long_running_step(1, 1);
    first.needs.cpu = 4_000;
    let first = world.submit(1_000, job(vec![first]));
    world.run_for(1_000);
    let home = world.running(first)[0].0.clone();
    world.set_capacity(&home, cores(8));
    world.run_for(2_000);
    for i in 0..400 {
        world.submit(i, job(vec![step(1, 500 + i * 37 % 900, &[])]));
    }
    world.run_for(2_000);
    let mut large = long_running_step(1, 1);
    large.needs.cpu = 6_000;

    let key = world.submit(1_001, job(vec![large]));
    world.run_for(2_000);

    assert_eq!(world.running(key).len(), 1);
}
