//! Availability budgets: which VMs may be stopped, given those already unavailable.

use indexmap::{IndexMap, IndexSet};

use crate::document::Document;
use crate::id::{DataCentre, PoolId, Rack, VmId};
use crate::ledger::{PlannedStop, VmLocation};

/// VMs of a pool that may be unavailable at a time even if the budget's percentage of the pool
/// rounds down to 0. One VM must still serve, except in a spare pool.
const MIN_UNAVAILABLE: usize = 1;

/// Once this many VMs did not come back healthy from their last stop, only stops for
/// repair are accepted.
pub const MAX_FAILED_STOPS: usize = 2;

/// State that the budgets are checked against; the ledger and the planner use the same
/// checks.
#[derive(Clone, Copy, Debug)]
pub struct BudgetInputs<'a> {
    /// The accepted document.
    pub document: &'a Document,
    /// Pool of each VM; a VM outside every pool is left out.
    pub assignment: &'a IndexMap<VmId, PoolId>,
    /// Data centre, rack and class of each known VM.
    pub locations: &'a IndexMap<VmId, VmLocation>,
    /// Planned stops that have started and not ended.
    pub stops: &'a IndexMap<VmId, PlannedStop>,
    /// VMs that were lost without a planned stop, or did not come back healthy from one.
    pub down: &'a IndexSet<VmId>,
}

/// Numbers of unavailable VMs, by pool and by rack.
#[derive(Clone, Debug)]
pub struct Availability<'a> {
    inputs: BudgetInputs<'a>,
    pools: IndexMap<&'a PoolId, PoolCount>,
    /// Unavailable VMs in each rack of each data centre.
    racks: IndexMap<&'a DataCentre, IndexMap<&'a Rack, usize>>,
}

/// Number of VMs of a pool, and of the unavailable ones among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCount {
    /// VMs assigned to the pool.
    pub vms: usize,
    /// Those of them that have a planned stop or are down.
    pub unavailable: usize,
}

impl<'a> Availability<'a> {
    /// Counts the unavailable VMs: those with a planned stop, and those down in a pool.
    #[must_use]
    pub fn count(inputs: BudgetInputs<'a>) -> Self {
        let mut availability = Self {
            inputs,
            pools: IndexMap::new(),
            racks: IndexMap::new(),
        };
        for pool in inputs.assignment.values() {
            availability.pools.entry(pool).or_default().vms += 1;
        }
        let down = inputs.down.iter();
        let assigned = down.filter(|vm| inputs.assignment.contains_key(*vm));
        let unavailable: IndexSet<&VmId> = inputs.stops.keys().chain(assigned).collect();
        for vm in unavailable {
            availability.add_unavailable(vm);
        }
        availability
    }

    /// Counts one more VM as unavailable; it must not have been counted before.
    pub fn add_unavailable(&mut self, vm: &VmId) {
        let pool = self.inputs.assignment.get(vm);
        if let Some(count) = pool.and_then(|pool| self.pools.get_mut(pool)) {
            count.unavailable += 1;
        }
        if let Some(location) = self.inputs.locations.get(vm) {
            let racks = self.racks.entry(&location.data_centre).or_default();
            *racks.entry(&location.rack).or_default() += 1;
        }
    }

    /// Checks that a planned stop of `vm` keeps the budgets of its pool and data centre.
    ///
    /// A VM that is down is already counted as unavailable, so its stop uses up nothing more.
    ///
    /// # Errors
    /// Describes the budget that would be exceeded.
    pub fn check_stop(&self, vm: &VmId) -> Result<(), String> {
        let already_down = self.is_down(vm);
        if let Some(pool) = self.inputs.assignment.get(vm)
            && !already_down
        {
            self.check_pool(pool)?;
        }
        match self.inputs.locations.get(vm) {
            Some(location) => self.check_data_centre(location, usize::from(already_down)),
            None => Err(format!("place of {vm} is not known")),
        }
    }

    /// Checks that a pool keeps its budget without one of its VMs.
    ///
    /// # Errors
    /// Describes how many of its VMs are unavailable and how many may be.
    pub fn check_removal(&self, vm: &VmId, pool: &PoolId) -> Result<(), String> {
        let PoolCount { vms, unavailable } = self.pool(pool);
        if self.is_down(vm) || self.inputs.stops.contains_key(vm) || unavailable == 0 {
            return Ok(());
        }
        let allowed = self.allowed(pool, vms.saturating_sub(1));
        if unavailable <= allowed {
            return Ok(());
        }
        Err(format!(
            "pool {pool}: {unavailable} VMs do not serve and {allowed} may without {vm}"
        ))
    }

    /// Counts of a pool; both are 0 for a pool without VMs.
    #[must_use]
    pub fn pool(&self, pool: &PoolId) -> PoolCount {
        self.pools.get(pool).copied().unwrap_or_default()
    }

    /// VMs of a pool that may be unavailable at a time.
    #[must_use]
    pub fn max_unavailable(&self, pool: &PoolId) -> usize {
        self.allowed(pool, self.pool(pool).vms)
    }

    /// VMs of a pool of `vms` that may be unavailable. At least one has to serve, except in
    /// a spare pool, which serves no requests.
    fn allowed(&self, pool: &PoolId, vms: usize) -> usize {
        let percent = self.inputs.document.fleet.budgets.pool_percent as usize;
        let share = (vms * percent / 100).max(MIN_UNAVAILABLE);
        let min_serving = usize::from(!self.is_spare(pool));
        share.min(vms.saturating_sub(min_serving))
    }

    fn is_spare(&self, pool: &PoolId) -> bool {
        let spec = self.inputs.document.pool(pool);
        spec.is_some_and(|spec| spec.spare)
    }

    /// True for a VM that is down and assigned to a pool.
    fn is_down(&self, vm: &VmId) -> bool {
        self.inputs.down.contains(vm) && self.inputs.assignment.contains_key(vm)
    }

    fn check_pool(&self, pool: &PoolId) -> Result<(), String> {
        let PoolCount { vms, unavailable } = self.pool(pool);
        let allowed = self.allowed(pool, vms);
        if unavailable < allowed {
            return Ok(());
        }
        Err(format!(
            "pool {pool}: {unavailable} of {allowed} VMs that may be stopped or down are"
        ))
    }

    /// `already_counted` is 1 if the VM to stop is itself among the unavailable ones, else 0.
    fn check_data_centre(
        &self,
        location: &VmLocation,
        already_counted: usize,
    ) -> Result<(), String> {
        let budgets = &self.inputs.document.fleet.budgets;
        let data_centre = &location.data_centre;
        let Some(counts) = self.racks.get(data_centre) else {
            return Ok(());
        };
        let unavailable = counts.values().sum::<usize>() - already_counted;
        if unavailable >= budgets.vms as usize {
            return Err(format!(
                "data centre {data_centre}: {unavailable} of {} VMs that may be stopped or down are",
                budgets.vms
            ));
        }
        let others = counts
            .keys()
            .filter(|rack| **rack != &location.rack)
            .count();
        if others >= budgets.racks as usize {
            return Err(format!(
                "data centre {data_centre}: stops in {} racks at a time, {} are allowed",
                others + 1,
                budgets.racks
            ));
        }
        Ok(())
    }
}
