//! Capacity that a pool can get from the others and from the standby pool.
//!
//! Addresses the load in which a pool has few VMs at the start of its burst, because another pool
//! holds them: a job is not refused for lack of capacity that can be moved.

/// What a pool requests of the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolRequest {
    /// Highest priority of its waiting jobs; 0 is the highest.
    pub(super) priority: u32,
    /// Fraction of the fleet that its running tasks and those that could start reserve.
    pub(super) demand: f64,
}

/// Fraction of the fleet that the pool at `index` can have if it requests as much as it can get:
/// what the other pools leave, but at least an equal part. Pools whose jobs have a lower priority
/// yield.
pub(super) fn attainable(requests: &[PoolRequest], index: usize) -> f64 {
    let Some(own) = requests.get(index) else {
        return 0.0;
    };
    let others = requests.iter().enumerate();
    let mut others: Vec<f64> = others
        .filter(|(at, other)| *at != index && other.priority <= own.priority)
        .map(|(_, other)| other.demand)
        .collect();
    others.sort_by(f64::total_cmp);
    let mut left = 1.0;
    let mut pools = u32::try_from(others.len()).unwrap_or(u32::MAX - 1) + 1;
    for demand in others {
        if demand >= left / f64::from(pools) {
            break;
        }
        left -= demand;
        pools -= 1;
    }
    left / f64::from(pools)
}
