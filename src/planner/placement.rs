//! Placement of VMs into pools: as few moves as possible, spread over racks.

use indexmap::{IndexMap, IndexSet};

use crate::document::{Document, PoolSpec};
use crate::id::{ClassId, DataCentre, PoolId, Rack, VmId};
use crate::ledger::{PlannedStop, VmLocation};
use crate::services::{Vm, VmPhase};

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

/// What placement decides on.
///
/// A VM in a pool counts there until it is in `lost`, whatever the list shows; only VMs
/// that the list shows as live are put anywhere.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// The accepted document.
    pub document: &'a Document,
    /// The platform's list.
    pub vms: &'a [Vm],
    /// Where each VM is.
    pub sites: &'a IndexMap<VmId, VmLocation>,
    /// Pool of each VM that is in one.
    pub assignment: &'a IndexMap<VmId, PoolId>,
    /// Planned stops that are not resolved; their VMs are not moved.
    pub stops: &'a IndexMap<VmId, PlannedStop>,
    /// VMs that are down.
    pub down: &'a IndexSet<VmId>,
    /// VMs whose place another one takes now.
    pub lost: &'a IndexSet<VmId>,
    /// VMs that are given no new place.
    pub unfit: &'a IndexSet<VmId>,
}

/// Steps from the current assignment towards the document, at most one a VM.
#[must_use]
pub fn steps(situation: &Situation<'_>) -> Vec<Step> {
    let mut plan = Plan::open(*situation);
    plan.review();
    plan.trim();
    plan.offer();
    plan.fill(false);
    plan.fill(true);
    plan.release();
    plan.steps
}

/// The part of a pool in one data centre.
type Part<'a> = (&'a PoolId, &'a DataCentre);

/// VMs that can stand in for each other.
type Kin<'a> = (&'a ClassId, &'a DataCentre);

struct Plan<'a> {
    situation: Situation<'a>,
    specs: IndexMap<&'a PoolId, &'a PoolSpec>,
    members: IndexMap<Part<'a>, Vec<Member<'a>>>,
    /// Lost VMs, which stay in their pool until others have taken their places, so that
    /// they count against its budget.
    lost: IndexMap<Part<'a>, Vec<&'a VmId>>,
    /// VMs that may be moved, by what they can stand in for.
    offers: IndexMap<Kin<'a>, Vec<Offer<'a>>>,
    /// VMs that have to leave their pool.
    surplus: IndexMap<&'a VmId, &'a PoolId>,
    steps: Vec<Step>,
}

#[derive(Clone, Copy)]
struct Member<'a> {
    vm: &'a VmId,
    rack: &'a Rack,
}

/// Where a candidate comes from, the cheapest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    Surplus,
    Free,
    Spare,
}

#[derive(Clone, Copy)]
struct Offer<'a> {
    vm: &'a VmId,
    rack: &'a Rack,
    source: Source,
}

impl<'a> Plan<'a> {
    fn open(situation: Situation<'a>) -> Self {
        let teams = situation.document.teams.values();
        Self {
            situation,
            specs: teams.flat_map(|team| &team.pools).collect(),
            members: IndexMap::new(),
            lost: IndexMap::new(),
            offers: IndexMap::new(),
            surplus: IndexMap::new(),
            steps: Vec::new(),
        }
    }

    /// Sorts the VMs in pools into members, surplus and lost ones.
    fn review(&mut self) {
        let Situation {
            assignment,
            sites,
            stops,
            lost,
            ..
        } = self.situation;
        for (vm, pool) in assignment {
            let stopping = stops.contains_key(vm);
            let Some(site) = sites.get(vm) else {
                continue;
            };
            let part = (pool, &site.data_centre);
            let spec = self.specs.get(pool).copied();
            let fits = spec.is_some_and(|spec| spec.class == site.class);
            if stopping || (fits && !lost.contains(vm)) {
                let rack = &site.rack;
                let members = self.members.entry(part).or_default();
                members.push(Member { vm, rack });
            } else if fits && !spec.is_some_and(|spec| spec.spare) {
                self.lost.entry(part).or_default().push(vm);
            } else {
                self.surplus.insert(vm, pool);
            }
        }
    }

    /// Takes VMs out of parts that have too many, the most crowded rack first.
    fn trim(&mut self) {
        let Situation { down, stops, .. } = self.situation;
        for ((pool, data_centre), members) in &mut self.members {
            let spec = self.specs.get(pool);
            let wanted = spec.and_then(|spec| spec.vms.get(*data_centre));
            let wanted = wanted.map_or(0, |wanted| *wanted as usize);
            while members.len() > wanted {
                let racks = crowding(members);
                let movable = members.iter().enumerate();
                let worst = movable
                    .filter(|(_, member)| !stops.contains_key(member.vm))
                    .max_by_key(|(i, member)| (down.contains(member.vm), racks[member.rack], *i));
                let Some((worst, _)) = worst else {
                    break;
                };
                let member = members.remove(worst);
                self.surplus.insert(member.vm, pool);
            }
        }
    }

    /// Lists the VMs that may be given a place.
    fn offer(&mut self) {
        let Situation {
            vms,
            sites,
            stops,
            down,
            unfit,
            ..
        } = self.situation;
        let live = vms.iter().filter(|vm| vm.phase == VmPhase::Live);
        let mut seen: IndexSet<&VmId> = IndexSet::new();
        for vm in live.map(|vm| &vm.id) {
            let fit = !stops.contains_key(vm) && !down.contains(vm) && !unfit.contains(vm);
            let (true, true, Some((vm, site))) = (fit, seen.insert(vm), sites.get_key_value(vm))
            else {
                continue;
            };
            if let Some(source) = self.source(vm) {
                let rack = &site.rack;
                let kin = (&site.class, &site.data_centre);
                let offers = self.offers.entry(kin).or_default();
                offers.push(Offer { vm, rack, source });
            }
        }
    }

    fn source(&self, vm: &VmId) -> Option<Source> {
        if self.surplus.contains_key(vm) {
            return Some(Source::Surplus);
        }
        let Some(pool) = self.situation.assignment.get(vm) else {
            return Some(Source::Free);
        };
        let spare = self.specs.get(pool).is_some_and(|spec| spec.spare);
        spare.then_some(Source::Spare)
    }

    /// Fills spare pools, or all others.
    fn fill(&mut self, spare: bool) {
        let document = self.situation.document;
        let pools = document.teams.values().flat_map(|team| &team.pools);
        for (pool, spec) in pools.filter(|(_, spec)| spec.spare == spare) {
            for (data_centre, wanted) in &spec.vms {
                self.fill_part((pool, data_centre), spec, *wanted as usize);
            }
        }
    }

    fn fill_part(&mut self, part: Part<'a>, spec: &'a PoolSpec, wanted: usize) {
        let members = self.members.get(&part);
        let mut racks = members.map_or_else(IndexMap::new, |members| crowding(members));
        let count = members.map_or(0, Vec::len);
        let (pool, data_centre) = part;
        let mut missing = wanted.saturating_sub(count);
        while missing > 0 {
            let Some(offer) = self.take((&spec.class, data_centre), spec.spare, &racks) else {
                break;
            };
            missing -= 1;
            *racks.entry(offer.rack).or_default() += 1;
            self.surplus.swap_remove(offer.vm);
            self.steps.push(Step {
                vm: offer.vm.clone(),
                from: self.situation.assignment.get(offer.vm).cloned(),
                to: Some(pool.clone()),
            });
        }
        if let Some(lost) = self.lost.get_mut(&part) {
            let replaced = lost.len().saturating_sub(missing);
            let replaced = lost.drain(..replaced).map(|vm| (vm, pool));
            self.surplus.extend(replaced);
        }
    }

    /// The cheapest offer, in the rack that has the fewest VMs of the part.
    fn take(
        &mut self,
        kin: Kin<'a>,
        spare: bool,
        racks: &IndexMap<&Rack, usize>,
    ) -> Option<Offer<'a>> {
        let offers = self.offers.get_mut(&kin)?;
        let usable = |offer: &Offer<'_>| !(spare && offer.source == Source::Spare);
        let (best, _) = offers
            .iter()
            .enumerate()
            .filter(|(_, offer)| usable(offer))
            .min_by_key(|(i, offer)| {
                let crowd = racks.get(offer.rack).copied().unwrap_or(0);
                (offer.source, crowd, *i)
            })?;
        Some(offers.remove(best))
    }

    /// What has to leave its pool and is wanted nowhere goes out of every pool.
    fn release(&mut self) {
        let unwanted = self.lost.iter().filter(|((pool, data_centre), _)| {
            let spec = self.specs.get(*pool);
            spec.is_none_or(|spec| !spec.vms.contains_key(*data_centre))
        });
        let unwanted = unwanted.flat_map(|((pool, _), lost)| lost.iter().map(|vm| (*vm, *pool)));
        self.surplus.extend(unwanted);
        for (vm, pool) in &self.surplus {
            self.steps.push(Step {
                vm: (*vm).clone(),
                from: Some((*pool).clone()),
                to: None,
            });
        }
    }
}

fn crowding<'a>(members: &[Member<'a>]) -> IndexMap<&'a Rack, usize> {
    let mut racks = IndexMap::new();
    for member in members {
        *racks.entry(member.rack).or_default() += 1;
    }
    racks
}
