//! Availability budgets: which VMs may be stopped, given those that do not serve.

use indexmap::{IndexMap, IndexSet};

use crate::document::Document;
use crate::id::{DataCentre, PoolId, Rack, VmId};
use crate::ledger::{PlannedStop, VmLocation};

/// VMs of a pool that may always be stopped one at a time, if the pool has others.
const MIN_STOPS: usize = 1;

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
    pub sites: &'a IndexMap<VmId, VmLocation>,
    /// Planned stops that are not resolved.
    pub stops: &'a IndexMap<VmId, PlannedStop>,
    /// VMs that are down without a plan, or after one.
    pub down: &'a IndexSet<VmId>,
}

/// VMs that do not serve, by pool and by data centre.
#[derive(Clone, Debug)]
pub struct Availability<'a> {
    fleet: BudgetInputs<'a>,
    pools: IndexMap<&'a PoolId, PoolCount>,
    /// VMs that do not serve in each rack of each data centre.
    racks: IndexMap<&'a DataCentre, IndexMap<&'a Rack, usize>>,
}

/// VMs of a pool, and those of them that do not serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCount {
    /// All VMs.
    pub size: usize,
    /// VMs that are stopped or down.
    pub out: usize,
}

impl<'a> Availability<'a> {
    /// Counts all VMs of a fleet.
    #[must_use]
    pub fn count(fleet: BudgetInputs<'a>) -> Self {
        let mut counted = Self {
            fleet,
            pools: IndexMap::new(),
            racks: IndexMap::new(),
        };
        for pool in fleet.assignment.values() {
            counted.pools.entry(pool).or_default().size += 1;
        }
        let down = fleet.down.iter();
        let assigned = down.filter(|vm| fleet.assignment.contains_key(*vm));
        let out: IndexSet<&VmId> = fleet.stops.keys().chain(assigned).collect();
        for vm in out {
            counted.note_out(vm);
        }
        counted
    }

    /// Counts a further VM that does not serve.
    pub fn note_out(&mut self, vm: &VmId) {
        let pool = self.fleet.assignment.get(vm);
        if let Some(count) = pool.and_then(|pool| self.pools.get_mut(pool)) {
            count.out += 1;
        }
        if let Some(site) = self.fleet.sites.get(vm) {
            let racks = self.racks.entry(&site.data_centre).or_default();
            *racks.entry(&site.rack).or_default() += 1;
        }
    }

    /// Checks that one more planned stop keeps every budget.
    ///
    /// A VM that is down counts in its pool already, so that its stop costs the pool nothing.
    ///
    /// # Errors
    /// Names the budget that would be broken.
    pub fn check_stop(&self, vm: &VmId) -> Result<(), String> {
        let counted = self.is_down(vm);
        if let Some(pool) = self.fleet.assignment.get(vm)
            && !counted
        {
            self.check_pool(pool)?;
        }
        match self.fleet.sites.get(vm) {
            Some(site) => self.check_data_centre(site, usize::from(counted)),
            None => Err(format!("place of {vm} is not known")),
        }
    }

    /// Checks that a pool can give a VM away.
    ///
    /// # Errors
    /// Says how many of its VMs do not serve.
    pub fn check_leave(&self, vm: &VmId, pool: &PoolId) -> Result<(), String> {
        let PoolCount { size, out } = self.pool(pool);
        if self.is_down(vm) || self.fleet.stops.contains_key(vm) || out == 0 {
            return Ok(());
        }
        let allowed = self.allowed(pool, size.saturating_sub(1));
        if out <= allowed {
            return Ok(());
        }
        Err(format!(
            "pool {pool}: {out} VMs do not serve and {allowed} may without {vm}"
        ))
    }

    /// VMs of a pool and those that do not serve.
    #[must_use]
    pub fn pool(&self, pool: &PoolId) -> PoolCount {
        self.pools.get(pool).copied().unwrap_or_default()
    }

    /// VMs of a pool that need not serve.
    #[must_use]
    pub fn allowed_in(&self, pool: &PoolId) -> usize {
        self.allowed(pool, self.pool(pool).size)
    }

    /// A pool keeps one VM that serves, but for spare pools, which serve nobody.
    fn allowed(&self, pool: &PoolId, size: usize) -> usize {
        let percent = self.fleet.document.fleet.budgets.pool_percent as usize;
        let part = (size * percent / 100).max(MIN_STOPS);
        let kept = usize::from(!self.is_spare(pool));
        part.min(size.saturating_sub(kept))
    }

    fn is_spare(&self, pool: &PoolId) -> bool {
        let spec = self.fleet.document.pool(pool);
        spec.is_some_and(|spec| spec.spare)
    }

    /// True for a VM that is down in a pool.
    fn is_down(&self, vm: &VmId) -> bool {
        self.fleet.down.contains(vm) && self.fleet.assignment.contains_key(vm)
    }

    fn check_pool(&self, pool: &PoolId) -> Result<(), String> {
        let PoolCount { size, out } = self.pool(pool);
        let allowed = self.allowed(pool, size);
        if out < allowed {
            return Ok(());
        }
        Err(format!(
            "pool {pool}: {out} of {allowed} VMs that may be stopped or down are"
        ))
    }

    /// `own` is 1 for a VM that is itself among those counted.
    fn check_data_centre(&self, site: &VmLocation, own: usize) -> Result<(), String> {
        let budgets = &self.fleet.document.fleet.budgets;
        let home = &site.data_centre;
        let Some(counts) = self.racks.get(home) else {
            return Ok(());
        };
        let out = counts.values().sum::<usize>() - own;
        if out >= budgets.vms as usize {
            return Err(format!(
                "data centre {home}: {out} of {} VMs that may be stopped or down are",
                budgets.vms
            ));
        }
        let others = counts.keys().filter(|rack| **rack != &site.rack).count();
        if others >= budgets.racks as usize {
            return Err(format!(
                "data centre {home}: stops in {} racks at a time, {} are allowed",
                others + 1,
                budgets.racks
            ));
        }
        Ok(())
    }
}
