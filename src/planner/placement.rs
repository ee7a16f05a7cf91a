//! First-fit placement of VMs into pools with as few moves as possible.

use indexmap::{IndexMap, IndexSet};

use crate::document::{Document, PoolSpec};
use crate::id::{DataCentre, PoolId, VmId};
use crate::platform::{Vm, VmPhase};

/// A move of one VM; `None` is outside every pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The VM.
    pub vm: VmId,
    /// Where it is now.
    pub from: Option<PoolId>,
    /// Where it is put.
    pub to: Option<PoolId>,
}

/// Steps from the current assignment towards the document, at most one a VM.
///
/// VMs first leave pools that no longer want them; a later call places them anew.
#[must_use]
pub fn steps(document: &Document, vms: &[Vm], assignment: &IndexMap<VmId, PoolId>) -> Vec<Step> {
    if vms.is_empty() {
        return Vec::new();
    }
    let mut plan = Plan::open(document, vms, assignment);
    plan.release();
    plan.fill(false);
    plan.fill(true);
    plan.steps
}

struct Plan<'a> {
    document: &'a Document,
    vms: IndexMap<&'a VmId, &'a Vm>,
    assignment: &'a IndexMap<VmId, PoolId>,
    /// VMs that already have a step.
    moved: IndexSet<&'a VmId>,
    counts: IndexMap<Site<'a>, u32>,
    steps: Vec<Step>,
}

/// The part of a pool in one data centre.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Site<'a> {
    pool: &'a PoolId,
    data_centre: &'a DataCentre,
}

impl<'a> Plan<'a> {
    fn open(document: &'a Document, vms: &'a [Vm], assignment: &'a IndexMap<VmId, PoolId>) -> Self {
        Self {
            document,
            vms: vms.iter().map(|vm| (&vm.id, vm)).collect(),
            assignment,
            moved: IndexSet::new(),
            counts: IndexMap::new(),
            steps: Vec::new(),
        }
    }

    /// Takes VMs out of pools where they are gone, of the wrong class or too many.
    fn release(&mut self) {
        for (vm, pool) in self.assignment {
            if self.is_wanted(vm, pool) {
                continue;
            }
            self.moved.insert(vm);
            self.steps.push(Step {
                vm: vm.clone(),
                from: Some(pool.clone()),
                to: None,
            });
        }
    }

    fn is_wanted(&mut self, vm: &VmId, pool: &'a PoolId) -> bool {
        let (Some(vm), Some(spec)) = (self.vms.get(vm).copied(), self.spec(pool)) else {
            return false;
        };
        let wanted = spec.vms.get(&vm.data_centre).copied().unwrap_or(0);
        let site = Site {
            pool,
            data_centre: &vm.data_centre,
        };
        let count = self.counts.entry(site).or_insert(0);
        if vm.class != spec.class || *count >= wanted {
            return false;
        }
        *count += 1;
        true
    }

    fn spec(&self, pool: &PoolId) -> Option<&'a PoolSpec> {
        let mut teams = self.document.teams.values();
        teams.find_map(|team| team.pools.get(pool))
    }

    /// Fills spare pools, or all others.
    fn fill(&mut self, spare: bool) {
        let document = self.document;
        let pools = document.teams.values().flat_map(|team| &team.pools);
        for (pool, spec) in pools.filter(|(_, spec)| spec.spare == spare) {
            for (data_centre, wanted) in &spec.vms {
                self.fill_site(Site { pool, data_centre }, spec, *wanted);
            }
        }
    }

    fn fill_site(&mut self, site: Site<'a>, spec: &PoolSpec, wanted: u32) {
        let count = self.counts.get(&site).copied().unwrap_or(0);
        for _ in count..wanted {
            let Some(vm) = self.pick(site, spec) else {
                return;
            };
            self.moved.insert(vm);
            self.steps.push(Step {
                vm: vm.clone(),
                from: self.assignment.get(vm).cloned(),
                to: Some(site.pool.clone()),
            });
        }
    }

    /// An unassigned VM, else one of a spare pool.
    fn pick(&self, site: Site<'_>, spec: &PoolSpec) -> Option<&'a VmId> {
        let fits = |vm: &&Vm| {
            vm.class == spec.class
                && vm.data_centre == *site.data_centre
                && vm.phase == VmPhase::Live
                && !self.moved.contains(&vm.id)
        };
        let mut candidates = self.vms.values().copied().filter(fits);
        let free = candidates
            .clone()
            .find(|vm| !self.assignment.contains_key(&vm.id));
        let spare = |vm: &&Vm| !spec.spare && self.is_spare(&vm.id);
        free.or_else(|| candidates.find(spare)).map(|vm| &vm.id)
    }

    fn is_spare(&self, vm: &VmId) -> bool {
        let pool = self.assignment.get(vm);
        pool.and_then(|pool| self.spec(pool))
            .is_some_and(|spec| spec.spare)
    }
}
