//! Availability budgets: which VMs may be stopped, given those that do not serve.

use indexmap::{IndexMap, IndexSet};

use crate::document::Document;
use crate::id::{DataCentre, PoolId, Rack, VmId};
use crate::ledger::{PlannedStop, Site};

/// VMs of a pool that may always be stopped one at a time, if the pool has others.
const MIN_STOPS: usize = 1;

/// VMs whose last stop ended badly and that end all regular stops.
pub const MAX_FAILED: usize = 2;

/// What the budgets are checked against; the fold and the planner use the same rules.
#[derive(Clone, Copy, Debug)]
pub struct Availability<'a> {
    /// The accepted document.
    pub document: &'a Document,
    /// Pool of each VM that is in one.
    pub assignment: &'a IndexMap<VmId, PoolId>,
    /// Where each VM is.
    pub sites: &'a IndexMap<VmId, Site>,
    /// Planned stops that are not resolved.
    pub stops: &'a IndexMap<VmId, PlannedStop>,
    /// VMs that are down without a plan, or after one.
    pub down: &'a IndexSet<VmId>,
}

/// VMs of a pool, and those of them that do not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolCount {
    /// All VMs.
    pub size: usize,
    /// VMs that are stopped or down.
    pub out: usize,
}

impl Availability<'_> {
    /// Checks that one more planned stop keeps every budget.
    ///
    /// A VM that is down counts in its pool already, so that its stop costs the pool nothing.
    ///
    /// # Errors
    /// Names the budget that would be broken.
    pub fn check_stop(&self, vm: &VmId) -> Result<(), String> {
        if let Some(pool) = self.assignment.get(vm)
            && !self.down.contains(vm)
        {
            self.check_pool(pool)?;
        }
        match self.sites.get(vm) {
            Some(site) => self.check_data_centre(vm, site),
            None => Err(format!("place of {vm} is not known")),
        }
    }

    /// Checks that a pool can give a VM away.
    ///
    /// # Errors
    /// Says how many of its VMs do not serve.
    pub fn check_leave(&self, vm: &VmId, pool: &PoolId) -> Result<(), String> {
        let count = self.count(pool);
        if self.is_out(vm) || count.out == 0 {
            return Ok(());
        }
        let allowed = self.allowed(count.size.saturating_sub(1));
        if count.out <= allowed {
            return Ok(());
        }
        let PoolCount { out, .. } = count;
        Err(format!(
            "pool {pool}: {out} VMs do not serve and {allowed} may without {vm}"
        ))
    }

    /// VMs of a pool and those that do not serve.
    #[must_use]
    pub fn count(&self, pool: &PoolId) -> PoolCount {
        let mut count = PoolCount { size: 0, out: 0 };
        for (vm, _) in self.assignment.iter().filter(|(_, p)| *p == pool) {
            count.size += 1;
            count.out += usize::from(self.is_out(vm));
        }
        count
    }

    /// VMs of a pool of `size` that need not serve.
    #[must_use]
    pub fn allowed(&self, size: usize) -> usize {
        let percent = self.document.fleet.budgets.pool_percent as usize;
        let part = (size * percent / 100).max(MIN_STOPS);
        part.min(size.saturating_sub(1))
    }

    fn is_out(&self, vm: &VmId) -> bool {
        self.stops.contains_key(vm) || self.down.contains(vm)
    }

    fn check_pool(&self, pool: &PoolId) -> Result<(), String> {
        let PoolCount { size, out } = self.count(pool);
        let allowed = self.allowed(size);
        if out < allowed {
            return Ok(());
        }
        Err(format!(
            "pool {pool}: {out} of {allowed} VMs that may be stopped or down are"
        ))
    }

    fn check_data_centre(&self, vm: &VmId, site: &Site) -> Result<(), String> {
        let budgets = &self.document.fleet.budgets;
        let home = &site.data_centre;
        let out = self.out_in(home, vm);
        if out.len() >= budgets.vms as usize {
            return Err(format!(
                "data centre {home}: {} of {} VMs that may be stopped or down are",
                out.len(),
                budgets.vms
            ));
        }
        let mut racks: IndexSet<&Rack> = out.into_iter().map(|site| &site.rack).collect();
        racks.insert(&site.rack);
        if racks.len() > budgets.racks as usize {
            return Err(format!(
                "data centre {home}: stops in {} racks at a time, {} are allowed",
                racks.len(),
                budgets.racks
            ));
        }
        Ok(())
    }

    /// Places of the other VMs of a data centre that are stopped, or down in a pool.
    fn out_in(&self, home: &DataCentre, but: &VmId) -> Vec<&Site> {
        let assigned = |vm: &&VmId| self.assignment.contains_key(*vm);
        let down = self.down.iter().filter(assigned);
        let out: IndexSet<&VmId> = self.stops.keys().chain(down).collect();
        let others = out.into_iter().filter(|vm| *vm != but);
        let sites = others.filter_map(|vm| self.sites.get(vm));
        sites.filter(|site| site.data_centre == *home).collect()
    }
}
