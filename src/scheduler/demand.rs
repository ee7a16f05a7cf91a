//! Works out which VMs should go to which pool.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

use super::{Capacity, Millis};

/// A VM without work for this long is parked, in ms: a move costs as much as a second in a
/// pool, and the next turn of the demand is several seconds away.
const PARK_AFTER_MS: Millis = 500;

/// Room that is lost because tasks don't fill a VM evenly, in parts of a hundred.
const FRAGMENTATION_PERCENT: u64 = 10;

/// What a pool has and needs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolDemand {
    /// What one of its VMs offers.
    pub(super) vm_capacity: Capacity,
    /// VMs in it, with those on their way.
    pub(super) vms: usize,
    /// What runs and could start now.
    pub(super) demand: Capacity,
    /// How much more it will need by the time that a VM ordered now has come.
    pub(super) expected_rise: Capacity,
    /// Some job for it has been seen; before the first its demand is not known.
    pub(super) has_had_jobs: bool,
    /// VMs that it needs whatever their size, for tasks that must not share one.
    pub(super) min_vms: usize,
}

/// Time over which the change of a demand is measured, in ms.
const TREND_WINDOW_MS: Millis = 800;

/// Time from an order to the first task on a moved VM, in ms.
const MOVE_LEAD_MS: u64 = 1_700;

/// The recent demand of a pool.
#[derive(Debug, Default)]
pub(super) struct DemandTrend {
    samples: VecDeque<(Millis, Capacity)>,
}

impl DemandTrend {
    /// Takes a sample, and returns how much a rising demand will have risen further by the
    /// time that a VM ordered now has come.
    pub(super) fn add_sample(&mut self, demand: Capacity, now: Millis) -> Capacity {
        self.samples.push_back((now, demand));
        while self.samples.len() > 1 && now - self.samples[1].0 >= TREND_WINDOW_MS {
            self.samples.pop_front();
        }
        let (at, before) = self.samples[0];
        let span = (now - at).max(TREND_WINDOW_MS);
        let rise = |current: u64, before: u64| current.saturating_sub(before) * MOVE_LEAD_MS / span;
        Capacity {
            cpu: rise(demand.cpu, before.cpu),
            mem_mb: rise(demand.mem_mb, before.mem_mb),
            gpu: 0,
        }
    }
}

/// A VM that could be moved now.
#[derive(Clone, Debug)]
pub(super) struct MoveCandidate {
    pub(super) machine: String,
    pub(super) pool: Arc<str>,
    /// Time without work.
    pub(super) idle_ms: Millis,
}

/// A VM to be moved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PoolMove {
    pub(super) machine: String,
    pub(super) pool: Arc<str>,
}

impl PoolDemand {
    /// VMs that the pool should have.
    pub(super) fn wanted_vms(&self) -> usize {
        let count = |demand: u64, per_vm: u64| {
            let demand = demand + demand * FRAGMENTATION_PERCENT / 100;
            usize::try_from(demand.div_ceil(per_vm.max(1))).unwrap_or(usize::MAX)
        };
        let cores = count(
            self.demand.cpu + self.expected_rise.cpu,
            self.vm_capacity.cpu,
        );
        let memory = count(
            self.demand.mem_mb + self.expected_rise.mem_mb,
            self.vm_capacity.mem_mb,
        );
        let accelerators = count(self.demand.gpu, self.vm_capacity.gpu);
        cores.max(memory).max(accelerators).max(self.min_vms).max(1)
    }
}

impl PoolDemand {
    /// VMs that others may have.
    fn surplus_vms(&self) -> usize {
        if self.has_had_jobs {
            self.vms.saturating_sub(self.wanted_vms())
        } else {
            0
        }
    }
}

/// The moves for this moment: pools that are short get the VMs that are off, then those
/// that have been idle longest elsewhere; what nobody needs is parked.
pub(super) fn plan_moves(
    pools: &IndexMap<Arc<str>, PoolDemand>,
    donors: &[MoveCandidate],
    standby: &Arc<str>,
) -> Vec<PoolMove> {
    let mut spare: IndexMap<&Arc<str>, usize> = pools
        .iter()
        .map(|(name, pool)| (name, pool.surplus_vms()))
        .collect();
    let mut free: Vec<&MoveCandidate> = donors.iter().collect();
    free.sort_by_key(|donor| std::cmp::Reverse(donor.idle_ms));
    let mut free = free.into_iter().filter(|donor| {
        if donor.pool == *standby {
            return true;
        }
        let Some(left) = spare.get_mut(&donor.pool) else {
            return false;
        };
        let some = *left > 0;
        *left -= usize::from(some);
        some
    });
    let mut moves = Vec::new();
    let mut short: Vec<(&Arc<str>, usize)> = pools
        .iter()
        .map(|(name, pool)| (name, pool.wanted_vms().saturating_sub(pool.vms)))
        .collect();
    short.sort_by_key(|(_, missing)| std::cmp::Reverse(*missing));
    for (pool, missing) in short {
        for donor in free.by_ref().take(missing) {
            moves.push(PoolMove {
                machine: donor.machine.clone(),
                pool: Arc::clone(pool),
            });
        }
    }
    let idle = free.filter(|donor| donor.pool != *standby && donor.idle_ms >= PARK_AFTER_MS);
    moves.extend(idle.map(|donor| PoolMove {
        machine: donor.machine.clone(),
        pool: Arc::clone(standby),
    }));
    moves
}
