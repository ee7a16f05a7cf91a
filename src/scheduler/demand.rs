//! Plans which VMs should move to which pool, from the demand of each pool.

use std::cmp::Reverse;
use std::sync::Arc;

use indexmap::IndexMap;

use super::balance::PoolRequest;
use super::{Capacity, Millis};

/// A VM without work is moved to the standby pool once its pool has not needed it for this long, in
/// ms: a move costs as much as a second in a pool, and demand next changes several seconds later.
const STANDBY_AFTER_IDLE_MS: Millis = 500;

/// Capacity that is lost because tasks do not fill a VM exactly, in percent of the demand.
const FRAGMENTATION_PERCENT: u64 = 10;

/// The VMs that a pool has and the demand for them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolDemand {
    /// Largest capacity of its VMs, by resource.
    pub(super) vm_capacity: Capacity,
    /// Capacity that its smaller VMs lack to be as large: they are of another kind, or have
    /// shrunk.
    pub(super) lacking: Capacity,
    /// Number of VMs in the pool or on their way to it, without those that are to leave.
    pub(super) vms: usize,
    /// Capacity that its runs reserve, and the tasks that could start now of jobs that are of use.
    pub(super) demand: Capacity,
    /// Further demand expected by the time that a VM moved now is ready.
    pub(super) expected_rise: Capacity,
    /// Whether a job for the pool is known. Before the first one the pool's demand is
    /// unknown, and it gives no VMs away.
    pub(super) has_had_jobs: bool,
    /// Least number of VMs that the pool needs whatever their capacity, because tasks of a
    /// step may not share one.
    pub(super) min_vms: usize,
    /// Highest priority of its jobs that are of use; 0 is the highest.
    pub(super) priority: u32,
    /// VMs that it gets of those that there are; at most what it asks for.
    pub(super) granted: usize,
}

/// A VM without work that could be moved now.
#[derive(Clone, Debug)]
pub(super) struct MoveCandidate {
    pub(super) vm: String,
    /// Pool that the VM is in.
    pub(super) pool: Arc<str>,
    /// Time that it has been without work or drained, in ms; the largest value for a VM that is
    /// off.
    pub(super) idle_ms: Millis,
}

/// A planned move of a VM to a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PoolMove {
    pub(super) vm: String,
    pub(super) pool: Arc<str>,
}

impl PoolDemand {
    /// Number of VMs that the pool should have, at least 1.
    pub(super) fn wanted_vms(&self) -> usize {
        let count = |demand: u64, lacking: u64, per_vm: u64| {
            let lost = demand.saturating_mul(FRAGMENTATION_PERCENT) / 100;
            let demand = demand.saturating_add(lost).saturating_add(lacking);
            usize::try_from(demand.div_ceil(per_vm.max(1))).unwrap_or(usize::MAX)
        };
        let mut demand = self.demand;
        demand.add(&self.expected_rise);
        let (lacking, per_vm) = (&self.lacking, &self.vm_capacity);
        let cores = count(demand.cpu, lacking.cpu, per_vm.cpu);
        let memory = count(demand.mem_mb, lacking.mem_mb, per_vm.mem_mb);
        let accelerators = count(demand.gpu, lacking.gpu, per_vm.gpu);
        cores.max(memory).max(accelerators).max(self.min_vms).max(1)
    }
}

impl PoolDemand {
    /// VMs that the pool asks for. One whose demand is not known yet keeps what it has.
    pub(super) fn request(&self) -> PoolRequest {
        let kept = if self.has_had_jobs { 0 } else { self.vms };
        PoolRequest {
            floor: self.min_vms.max(1).max(kept),
            wanted: self.wanted_vms().max(kept),
        }
    }

    /// Number of VMs that the pool can give to others.
    pub(super) const fn surplus_vms(&self) -> usize {
        self.vms.saturating_sub(self.granted)
    }

    /// Returns whether the pool gets fewer VMs than it asks for.
    pub(super) fn short(&self) -> bool {
        self.granted < self.wanted_vms()
    }
}

/// Plans the moves to make now. Pools that hold fewer VMs than they are granted get the candidates
/// that have been idle longest, beginning with VMs that are off: first the pools that lack VMs for
/// their long-running tasks, then by priority, then those that lack most. VMs that no pool needs
/// move to the `standby` pool, whose VMs are off. The platform has refused moves for which
/// `possible` is false.
pub(super) fn plan_moves(
    pools: &IndexMap<Arc<str>, PoolDemand>,
    candidates: &[MoveCandidate],
    standby: &Arc<str>,
    possible: impl Fn(&str, &Arc<str>) -> bool,
) -> Vec<PoolMove> {
    let mut surplus: IndexMap<&Arc<str>, usize> = pools
        .iter()
        .map(|(name, pool)| (name, pool.surplus_vms()))
        .collect();
    let mut free: Vec<&MoveCandidate> = candidates.iter().collect();
    free.sort_by_key(|candidate| Reverse(candidate.idle_ms));
    let mut moves = Vec::new();
    let mut take = |destination: &Arc<str>, count: usize, idle_ms: Millis| {
        let mut left = count;
        free.retain(|candidate| {
            let fits = left > 0
                && candidate.pool != *destination
                && candidate.idle_ms >= idle_ms
                && possible(&candidate.vm, destination);
            let spare = surplus.get_mut(&candidate.pool);
            let spare = spare.filter(|spare| **spare > 0);
            if !fits || (candidate.pool != *standby && spare.is_none()) {
                return true;
            }
            if let Some(spare) = spare {
                *spare -= 1;
            }
            left -= 1;
            moves.push(PoolMove {
                vm: candidate.vm.clone(),
                pool: Arc::clone(destination),
            });
            false
        });
    };
    let mut short: Vec<(&Arc<str>, usize)> = pools
        .iter()
        .map(|(name, pool)| (name, pool.granted.saturating_sub(pool.vms)))
        .collect();
    short.sort_by_key(|(name, missing)| {
        let pool = &pools[*name];
        let above_floor = pool.vms >= pool.request().floor;
        (above_floor, pool.priority, Reverse(*missing))
    });
    for (pool, missing) in short {
        take(pool, missing, 0);
    }
    take(standby, usize::MAX, STANDBY_AFTER_IDLE_MS);
    moves
}
