//! Placement of VMs into pools: as few moves as possible, spread over racks.

use indexmap::{IndexMap, IndexSet};

use crate::document::{Document, PoolSpec};
use crate::id::{ClassId, DataCentre, PoolId, Rack, VmId};
use crate::ledger::{PlannedStop, Site};
use crate::services::{Vm, VmPhase};

/// A move of one VM; `None` is outside every pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmMove {
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
pub struct VmPlacementInput<'a> {
    /// The accepted document.
    pub document: &'a Document,
    /// The platform's list.
    pub vms: &'a [Vm],
    /// Where each VM is.
    pub sites: &'a IndexMap<VmId, Site>,
    /// Pool of each VM that is in one.
    pub assignment: &'a IndexMap<VmId, PoolId>,
    /// Planned stops that are not resolved; their VMs are not moved.
    pub stops: &'a IndexMap<VmId, PlannedStop>,
    /// VMs that are down.
    pub down: &'a IndexSet<VmId>,
    /// VMs whose place another one takes now.
    pub to_replace: &'a IndexSet<VmId>,
    /// VMs that are given no new place.
    pub held_back: &'a IndexSet<VmId>,
}

/// Steps from the current assignment towards the document, at most one a VM.
#[must_use]
pub fn plan_moves(input: &VmPlacementInput<'_>) -> Vec<VmMove> {
    let mut plan = Plan::new(*input);
    plan.classify_members();
    plan.remove_excess();
    plan.collect_candidates();
    plan.fill_pools(false);
    plan.fill_pools(true);
    plan.release_surplus();
    plan.moves
}

/// The part of a pool in one data centre.
type PoolPart<'a> = (&'a PoolId, &'a DataCentre);

/// VMs that can stand in for each other.
type SubstituteKey<'a> = (&'a ClassId, &'a DataCentre);

struct Plan<'a> {
    input: VmPlacementInput<'a>,
    specs: IndexMap<&'a PoolId, &'a PoolSpec>,
    members: IndexMap<PoolPart<'a>, Vec<Member<'a>>>,
    /// Lost VMs, which stay in their pool until others have taken their places, so that
    /// they count against its budget.
    awaiting_replacement: IndexMap<PoolPart<'a>, Vec<&'a VmId>>,
    /// VMs that may be moved, by what they can stand in for.
    candidates: IndexMap<SubstituteKey<'a>, Vec<Candidate<'a>>>,
    /// VMs that have to leave their pool.
    surplus: IndexMap<&'a VmId, &'a PoolId>,
    moves: Vec<VmMove>,
}

#[derive(Clone, Copy)]
struct Member<'a> {
    vm: &'a VmId,
    rack: &'a Rack,
}

/// Where a candidate comes from, the cheapest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateSource {
    Surplus,
    Free,
    Spare,
}

#[derive(Clone, Copy)]
struct Candidate<'a> {
    vm: &'a VmId,
    rack: &'a Rack,
    source: CandidateSource,
}

impl<'a> Plan<'a> {
    fn new(input: VmPlacementInput<'a>) -> Self {
        let teams = input.document.teams.values();
        Self {
            input,
            specs: teams.flat_map(|team| &team.pools).collect(),
            members: IndexMap::new(),
            awaiting_replacement: IndexMap::new(),
            candidates: IndexMap::new(),
            surplus: IndexMap::new(),
            moves: Vec::new(),
        }
    }

    /// Sorts the VMs in pools into members, surplus and lost ones.
    fn classify_members(&mut self) {
        let VmPlacementInput {
            assignment,
            sites,
            stops,
            to_replace,
            ..
        } = self.input;
        for (vm, pool) in assignment {
            let stopping = stops.contains_key(vm);
            let Some(site) = sites.get(vm) else {
                continue;
            };
            let part = (pool, &site.data_centre);
            let spec = self.specs.get(pool).copied();
            let fits = spec.is_some_and(|spec| spec.class == site.class);
            if stopping || (fits && !to_replace.contains(vm)) {
                let rack = &site.rack;
                let members = self.members.entry(part).or_default();
                members.push(Member { vm, rack });
            } else if fits && !spec.is_some_and(|spec| spec.spare) {
                self.awaiting_replacement.entry(part).or_default().push(vm);
            } else {
                self.surplus.insert(vm, pool);
            }
        }
    }

    /// Takes VMs out of parts that have too many, the most crowded rack first.
    fn remove_excess(&mut self) {
        let VmPlacementInput { down, stops, .. } = self.input;
        for ((pool, data_centre), members) in &mut self.members {
            let spec = self.specs.get(pool);
            let wanted = spec.and_then(|spec| spec.vms.get(*data_centre));
            let wanted = wanted.map_or(0, |wanted| *wanted as usize);
            while members.len() > wanted {
                let racks = count_by_rack(members);
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
    fn collect_candidates(&mut self) {
        let VmPlacementInput {
            vms,
            sites,
            stops,
            down,
            held_back,
            ..
        } = self.input;
        let live = vms.iter().filter(|vm| vm.phase == VmPhase::Live);
        let mut seen: IndexSet<&VmId> = IndexSet::new();
        for vm in live.map(|vm| &vm.id) {
            let eligible = !stops.contains_key(vm) && !down.contains(vm) && !held_back.contains(vm);
            let (true, true, Some((vm, site))) =
                (eligible, seen.insert(vm), sites.get_key_value(vm))
            else {
                continue;
            };
            if let Some(source) = self.source_of(vm) {
                let rack = &site.rack;
                let key = (&site.class, &site.data_centre);
                let candidates = self.candidates.entry(key).or_default();
                candidates.push(Candidate { vm, rack, source });
            }
        }
    }

    fn source_of(&self, vm: &VmId) -> Option<CandidateSource> {
        if self.surplus.contains_key(vm) {
            return Some(CandidateSource::Surplus);
        }
        let Some(pool) = self.input.assignment.get(vm) else {
            return Some(CandidateSource::Free);
        };
        let spare = self.specs.get(pool).is_some_and(|spec| spec.spare);
        spare.then_some(CandidateSource::Spare)
    }

    /// Fills spare pools, or all others.
    fn fill_pools(&mut self, spare: bool) {
        let document = self.input.document;
        let pools = document.teams.values().flat_map(|team| &team.pools);
        for (pool, spec) in pools.filter(|(_, spec)| spec.spare == spare) {
            for (data_centre, wanted) in &spec.vms {
                self.fill_part((pool, data_centre), spec, *wanted as usize);
            }
        }
    }

    fn fill_part(&mut self, part: PoolPart<'a>, spec: &'a PoolSpec, wanted: usize) {
        let members = self.members.get(&part);
        let mut racks = members.map_or_else(IndexMap::new, |members| count_by_rack(members));
        let count = members.map_or(0, Vec::len);
        let (pool, data_centre) = part;
        let mut missing = wanted.saturating_sub(count);
        while missing > 0 {
            let Some(candidate) =
                self.take_candidate((&spec.class, data_centre), spec.spare, &racks)
            else {
                break;
            };
            missing -= 1;
            *racks.entry(candidate.rack).or_default() += 1;
            self.surplus.swap_remove(candidate.vm);
            self.moves.push(VmMove {
                vm: candidate.vm.clone(),
                from: self.input.assignment.get(candidate.vm).cloned(),
                to: Some(pool.clone()),
            });
        }
        if let Some(to_replace) = self.awaiting_replacement.get_mut(&part) {
            let replaced = to_replace.len().saturating_sub(missing);
            let replaced = to_replace.drain(..replaced).map(|vm| (vm, pool));
            self.surplus.extend(replaced);
        }
    }

    /// The cheapest offer, in the rack that has the fewest VMs of the part.
    fn take_candidate(
        &mut self,
        key: SubstituteKey<'a>,
        spare: bool,
        racks: &IndexMap<&Rack, usize>,
    ) -> Option<Candidate<'a>> {
        let candidates = self.candidates.get_mut(&key)?;
        let usable =
            |candidate: &Candidate<'_>| !(spare && candidate.source == CandidateSource::Spare);
        let (best, _) = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| usable(candidate))
            .min_by_key(|(i, candidate)| {
                let in_rack = racks.get(candidate.rack).copied().unwrap_or(0);
                (candidate.source, in_rack, *i)
            })?;
        Some(candidates.remove(best))
    }

    /// What has to leave its pool and is wanted nowhere goes out of every pool.
    fn release_surplus(&mut self) {
        let unwanted = self
            .awaiting_replacement
            .iter()
            .filter(|((pool, data_centre), _)| {
                let spec = self.specs.get(*pool);
                spec.is_none_or(|spec| !spec.vms.contains_key(*data_centre))
            });
        let unwanted =
            unwanted.flat_map(|((pool, _), to_replace)| to_replace.iter().map(|vm| (*vm, *pool)));
        self.surplus.extend(unwanted);
        for (vm, pool) in &self.surplus {
            self.moves.push(VmMove {
                vm: (*vm).clone(),
                from: Some((*pool).clone()),
                to: None,
            });
        }
    }
}

fn count_by_rack<'a>(members: &[Member<'a>]) -> IndexMap<&'a Rack, usize> {
    let mut racks = IndexMap::new();
    for member in members {
        *racks.entry(member.rack).or_default() += 1;
    }
    racks
}
