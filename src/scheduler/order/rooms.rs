//! Room on the targets of a pool in one pass over the jobs.

use indexmap::IndexMap;

use crate::scheduler::target::Target;
use crate::scheduler::{Capacity, Millis, TargetId};

/// Least that a waiting task of a pool reserves, by resource. A target with less free gets none.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SmallestTask(Capacity);

impl Default for SmallestTask {
    fn default() -> Self {
        Self(Capacity {
            cpu: u64::MAX,
            mem_mb: u64::MAX,
            gpu: u64::MAX,
        })
    }
}

impl SmallestTask {
    /// Takes in a waiting task.
    pub(crate) fn include(&mut self, reservation: &Capacity) {
        let least = &mut self.0;
        least.cpu = least.cpu.min(reservation.cpu);
        least.mem_mb = least.mem_mb.min(reservation.mem_mb);
        least.gpu = least.gpu.min(reservation.gpu);
    }
}

/// Targets of a pool with room for some waiting task, and the tasks that found none.
#[derive(Debug, Default)]
pub(crate) struct PoolRoom {
    /// Indices of the targets.
    pub(crate) targets: Vec<usize>,
    /// CPU of all targets of the pool that accept work, without what long-running tasks reserve,
    /// in thousandths of a core.
    pub(crate) capacity: u64,
    /// Most that one of the targets had free when the pass began, by resource.
    largest: Capacity,
    /// Reservations for which no target has room; none of them fits into another one.
    failed: Vec<Capacity>,
}

impl PoolRoom {
    /// Rooms of pools that lie in the same order as `smallest`; `pool_of` gives the index of a
    /// target's pool.
    pub(crate) fn of_pools(
        targets: &IndexMap<TargetId, Target>,
        smallest: &[SmallestTask],
        pool_of: impl Fn(&Target) -> Option<usize>,
        now: Millis,
    ) -> Vec<Self> {
        let mut rooms: Vec<Self> = Vec::new();
        rooms.resize_with(smallest.len(), Self::default);
        for (index, target) in targets.values().enumerate() {
            let capacity = &target.entry.capacity;
            let Some(pool) = pool_of(target) else {
                continue;
            };
            if !target.accepts_work(now) {
                continue;
            }
            let room = &mut rooms[pool];
            let long_running = target.long_running_used().cpu;
            room.capacity += capacity.cpu.saturating_sub(long_running);
            if !target.used.fits(&smallest[pool].0, capacity) {
                continue;
            }
            let mut free = *capacity;
            free.subtract(&target.used);
            room.largest = room.largest.max_each(&free);
            room.targets.push(index);
        }
        rooms
    }

    /// Returns whether it is known that no target has room for a task.
    pub(crate) fn lacks(&self, reservation: &Capacity) -> bool {
        let none_used = Capacity::default();
        let too_large = !none_used.fits(reservation, &self.largest);
        let mut failed = self.failed.iter();
        too_large || failed.any(|failed| none_used.fits(failed, reservation))
    }

    /// Notes that no target has room for a task.
    pub(crate) fn note_failed(&mut self, reservation: Capacity) {
        let none_used = Capacity::default();
        self.failed
            .retain(|other| !none_used.fits(&reservation, other));
        self.failed.push(reservation);
    }
}
