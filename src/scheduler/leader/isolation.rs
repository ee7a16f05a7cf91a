//! Places tasks that may have crashed a target, so that a further crash shows whose it is: while
//! one starts up, its target starts nothing of another job.

use std::collections::HashMap;

use indexmap::IndexSet;

use super::Leader;
use crate::scheduler::placement::{self, PlacementRequest, RackRuns, ReservedTargets};
use crate::scheduler::{Millis, TargetId};

/// Time between two passes over the jobs while a task is isolated or waits to be, in ms.
const CHECK_INTERVAL_MS: Millis = 50;

/// Largest share of a pool's targets that are reserved for tasks to be isolated, in percent; at
/// least one target.
const RESERVED_PERCENT: usize = 25;

/// Largest share of a pool's targets on which tasks are isolated after their first crash, in
/// percent; at least one target. So a crash of many targets does not hold up their pool.
const ISOLATING_PERCENT: usize = 50;

/// How a task is to start.
pub(super) enum Isolation {
    /// Like any other.
    None,
    /// Isolated on this target.
    On(TargetId),
    /// Not yet.
    Wait,
}

/// Targets of a pool.
struct PoolTargets {
    count: usize,
    /// Number of targets that isolate a task.
    isolating: usize,
    /// Number of targets that are reserved after this pass.
    reserved: usize,
    /// Whether a task waits for which no target is reserved.
    exhausted: bool,
}

impl PoolTargets {
    /// Number of targets in a share of the pool; at least 1.
    fn share(&self, percent: usize) -> usize {
        (self.count * percent / 100).max(1)
    }
}

/// Targets that are reserved in a pass over the jobs.
struct Reservations {
    /// Those that the last pass has reserved.
    earlier: ReservedTargets,
    /// Those that stay reserved after this pass.
    kept: ReservedTargets,
    /// Those that are reserved for tasks that are not isolated.
    excluded: ReservedTargets,
}

/// State of one pass over the jobs.
pub(super) struct IsolationPass {
    reservations: Reservations,
    /// Targets of pools with tasks to be isolated, by the pool's name.
    pools: HashMap<String, PoolTargets>,
}

impl IsolationPass {
    pub(super) fn new(earlier: ReservedTargets) -> Self {
        Self {
            reservations: Reservations {
                earlier,
                kept: IndexSet::new(),
                excluded: IndexSet::new(),
            },
            pools: HashMap::new(),
        }
    }

    /// Excludes a target that is reserved for another task.
    pub(super) fn exclude(&mut self, target: Option<&TargetId>) {
        self.reservations.excluded.extend(target.cloned());
    }
}

impl Leader {
    /// Chooses a target on which a task with this number of crashes is isolated. After the first
    /// crash it is not, if many tasks of its pool are.
    pub(super) fn isolate(
        &self,
        request: &PlacementRequest<'_>,
        crashes: u32,
        pass: &mut IsolationPass,
        now: Millis,
    ) -> Isolation {
        if crashes == 0 {
            return Isolation::None;
        }
        let refused = if crashes == 1 {
            Isolation::None
        } else {
            Isolation::Wait
        };
        if !pass.pools.contains_key(request.pool) {
            let targets = self.pool_targets(request.pool, now);
            pass.pools.insert(request.pool.to_owned(), targets);
        }
        let Some(pool) = pass.pools.get_mut(request.pool) else {
            return refused;
        };
        let many = pool.isolating >= pool.share(ISOLATING_PERCENT);
        if pool.exhausted || (crashes == 1 && many) {
            return refused;
        }
        let request = PlacementRequest {
            suspect: true,
            ..*request
        };
        let reservations = &mut pass.reservations;
        let runs = RackRuns::new(&self.targets, &request);
        let (targets, excluded) = (self.targets.iter(), &reservations.excluded);
        if let Some(id) = placement::choose_target(targets, &runs, &request, excluded, now) {
            let isolates = self.targets.get(&id).is_some_and(|t| t.starts_suspect(now));
            pool.isolating += usize::from(!isolates);
            return Isolation::On(id);
        }
        if pool.reserved >= pool.share(RESERVED_PERCENT) {
            pool.exhausted = true;
            return refused;
        }
        let Some(target) = self.target_to_isolate_on(&request, reservations, now) else {
            return refused;
        };
        pool.reserved += 1;
        reservations.kept.insert(target);
        Isolation::Wait
    }

    /// Chooses a target to reserve for a task that waits to be isolated, if possible one that was
    /// reserved in the last pass.
    fn target_to_isolate_on(
        &self,
        request: &PlacementRequest<'_>,
        reservations: &Reservations,
        now: Millis,
    ) -> Option<TargetId> {
        let taken: ReservedTargets = reservations
            .kept
            .union(&reservations.excluded)
            .cloned()
            .collect();
        let earlier = reservations.earlier.iter().find(|id| {
            let target = self.targets.get(*id).filter(|_| !taken.contains(*id));
            target.is_some_and(|target| placement::may_run(target, request, now))
        });
        earlier
            .cloned()
            .or_else(|| placement::target_to_reserve(&self.targets, request, &taken, now))
    }

    fn pool_targets(&self, pool: &str, now: Millis) -> PoolTargets {
        let targets = self.targets.values();
        let targets = targets
            .filter(|target| *target.entry.pool == *pool && target.listed && !target.evacuated);
        let (mut count, mut isolating) = (0, 0);
        for target in targets {
            count += 1;
            isolating += usize::from(target.starts_suspect(now));
        }
        PoolTargets {
            count,
            isolating,
            reserved: 0,
            exhausted: false,
        }
    }

    /// Keeps the reserved targets for the next pass, and sets when that is due while tasks are
    /// isolated or wait to be.
    pub(super) fn finish_isolation(&mut self, pass: IsolationPass, now: Millis) {
        let reserved = pass.reservations.kept;
        let waiting = !reserved.is_empty() || pass.pools.values().any(|pool| pool.exhausted);
        let mut targets = self.targets.values();
        let isolating = targets.any(|target| target.starts_suspect(now));
        self.reschedule_at = (waiting || isolating).then_some(now + CHECK_INTERVAL_MS);
        self.isolation_targets = reserved;
    }
}
