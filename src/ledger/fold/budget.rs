//! Availability budgets: which VMs may be stopped, given those that do not serve.

use indexmap::{IndexMap, IndexSet};

use crate::document::Document;
use crate::id::{DataCentre, PoolId, Rack, VmId};
use crate::ledger::{PlannedStop, VmLocation};

/// VMs of a pool that may always be stopped one at a time, if the pool has others.
const MIN_UNAVAILABLE: usize = 1;

/// VMs whose last stop ended badly and that end all regular stops.
pub const MAX_FAILED_STOPS: usize = 2;

/// What the budgets are checked against; the fold and the planner use the same rules.
#[derive(Clone, Copy, Debug)]
pub struct BudgetInputs<'a> {
    /// The accepted document.
    pub document: &'a Document,
    /// Pool of each VM that is in one.
    pub assignment: &'a IndexMap<VmId, PoolId>,
    /// Where each VM is.
    pub locations: &'a IndexMap<VmId, VmLocation>,
    /// Planned stops that are not resolved.
    pub stops: &'a IndexMap<VmId, PlannedStop>,
    /// VMs that are down without a plan, or after one.
    pub down: &'a IndexSet<VmId>,
}

/// VMs that do not serve, by pool and by data centre.
#[derive(Clone, Debug)]
pub struct Availability<'a> {
    inputs: BudgetInputs<'a>,
    pools: IndexMap<&'a PoolId, PoolCount>,
    /// VMs that do not serve in each rack of each data centre.
    racks: IndexMap<&'a DataCentre, IndexMap<&'a Rack, usize>>,
}

/// VMs of a pool, and those of them that do not serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCount {
    /// All VMs.
    pub vms: usize,
    /// VMs that are stopped or down.
    pub unavailable: usize,
}

impl<'a> Availability<'a> {
    /// Counts all VMs of a fleet.
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

    /// Counts a further VM that does not serve.
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

    /// Checks that one more planned stop keeps every budget.
    ///
    /// A VM that is down counts in its pool already, so that its stop costs the pool nothing.
    ///
    /// # Errors
    /// Names the budget that would be broken.
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

    /// Checks that a pool can give a VM away.
    ///
    /// # Errors
    /// Says how many of its VMs do not serve.
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

    /// VMs of a pool and those that do not serve.
    #[must_use]
    pub fn pool(&self, pool: &PoolId) -> PoolCount {
        self.pools.get(pool).copied().unwrap_or_default()
    }

    /// VMs of a pool that need not serve.
    #[must_use]
    pub fn max_unavailable(&self, pool: &PoolId) -> usize {
        self.allowed(pool, self.pool(pool).vms)
    }

    /// A pool keeps one VM that serves, but for spare pools, which serve nobody.
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

    /// True for a VM that is down in a pool.
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

    /// `own` is 1 for a VM that is itself among those counted.
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
