//! Distributes the VMs that there are among the pools that ask for them.

use std::cmp::Reverse;

/// VMs that a pool asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PoolRequest {
    /// VMs without which a long-running task of it can't run, or it has none at all.
    pub(crate) floor: usize,
    /// VMs that it asks for in all.
    pub(crate) wanted: usize,
}

/// Number of the `available` VMs that each pool gets: first what the long-running tasks need, then
/// the pools in equal steps, so that one that asks for many leaves those that ask for few what they
/// need. The priority of jobs does not count: pools of lower priority would get nothing while one of
/// a higher priority asks for more VMs than there are.
pub(crate) fn grant_vms(requests: &[PoolRequest], available: usize) -> Vec<usize> {
    let mut granted = vec![0; requests.len()];
    let mut left = available;
    let floors: Vec<(usize, usize)> = requests.iter().map(|pool| pool.floor).enumerate().collect();
    left -= fill(&mut granted, &floors, left);
    let wanted: Vec<(usize, usize)> = requests
        .iter()
        .map(|pool| pool.wanted)
        .enumerate()
        .collect();
    fill(&mut granted, &wanted, left);
    granted
}

/// Raises the grants of some pools in equal steps, each to what it wants, with `left` VMs; returns
/// the number of VMs used.
fn fill(granted: &mut [usize], wanted: &[(usize, usize)], left: usize) -> usize {
    let mut open: Vec<(usize, usize)> = wanted
        .iter()
        .map(|(i, wanted)| (*i, wanted.saturating_sub(granted[*i])))
        .collect();
    open.sort_by_key(|(_, missing)| Reverse(*missing));
    let mut used = 0;
    // From the smallest request on, each pool may take an equal part of what is left.
    while let Some((i, missing)) = open.pop() {
        let part = (left - used) / (open.len() + 1);
        let taken = missing.min(part);
        granted[i] += taken;
        used += taken;
    }
    used
}
