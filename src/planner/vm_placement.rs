//! Places VMs into pools with few moves, and spreads each pool over racks.

use indexmap::{IndexMap, IndexSet};

use crate::document::{Document, PoolSpec};
use crate::id::{ClassId, DataCentre, PoolId, Rack, VmId};
use crate::ledger::{PlannedStop, VmLocation};
use crate::services::{Vm, VmPhase};

/// A move of one VM into a pool, out of one or between two; `None` is outside every pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmMove {
    /// VM to move.
    pub vm: VmId,
    /// Pool that it is in.
    pub from: Option<PoolId>,
    /// Pool that it is moved to.
    pub to: Option<PoolId>,
}

/// The state of the fleet that moves are planned from.
///
/// A VM in a pool counts there until it is in `to_replace`, whatever the platform's list
/// shows; only VMs that the list shows as live are given a place.
#[derive(Clone, Copy, Debug)]
pub struct VmPlacementInput<'a> {
    /// The accepted document.
    pub document: &'a Document,
    /// The platform's list of VMs; it may lag or be incomplete.
    pub vms: &'a [Vm],
    /// Data centre, rack and class of each VM.
    pub locations: &'a IndexMap<VmId, VmLocation>,
    /// Pool of each VM that is in one.
    pub assignment: &'a IndexMap<VmId, PoolId>,
    /// Planned stops that have not ended; their VMs are not moved.
    pub stops: &'a IndexMap<VmId, PlannedStop>,
    /// VMs that are down; they are given no place.
    pub down: &'a IndexSet<VmId>,
    /// VMs that are down and that another VM may replace now.
    pub to_replace: &'a IndexSet<VmId>,
    /// VMs that go down too often and are given no new place for now.
    pub held_back: &'a IndexSet<VmId>,
}

/// Moves that bring the assignment closer to the document, at most one for each VM.
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

/// VMs of one class in one data centre, any of which can replace another.
type SubstituteKey<'a> = (&'a ClassId, &'a DataCentre);

/// The moves so far, and the VMs that are still to be considered.
struct Plan<'a> {
    input: VmPlacementInput<'a>,
    specs: IndexMap<&'a PoolId, &'a PoolSpec>,
    members: IndexMap<PoolPart<'a>, Vec<Member<'a>>>,
    /// Lost VMs, which stay in their pool until others have replaced them, so that they
    /// count against its budget.
    awaiting_replacement: IndexMap<PoolPart<'a>, Vec<&'a VmId>>,
    /// VMs that may be given a place.
    candidates: IndexMap<SubstituteKey<'a>, Vec<Candidate<'a>>>,
    /// VMs that have to leave their pool, with that pool.
    surplus: IndexMap<&'a VmId, &'a PoolId>,
    moves: Vec<VmMove>,
}

/// A VM that counts in the part of a pool that it is in.
#[derive(Clone, Copy)]
struct Member<'a> {
    vm: &'a VmId,
    rack: &'a Rack,
}

/// Where a candidate comes from, in the order in which they are taken.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateSource {
    /// Has to leave its pool anyway.
    Surplus,
    /// In no pool.
    Free,
    /// In a spare pool.
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

    /// Sorts the VMs in pools into members, surplus ones and those awaiting replacement.
    fn classify_members(&mut self) {
        let VmPlacementInput {
            assignment,
            locations,
            stops,
            to_replace,
            ..
        } = self.input;
        for (vm, pool) in assignment {
            let stopping = stops.contains_key(vm);
            let Some(location) = locations.get(vm) else {
                continue;
            };
            let part = (pool, &location.data_centre);
            let spec = self.specs.get(pool).copied();
            let fits = spec.is_some_and(|spec| spec.class == location.class);
            if stopping || (fits && !to_replace.contains(vm)) {
                let rack = &location.rack;
                let members = self.members.entry(part).or_default();
                members.push(Member { vm, rack });
            } else if fits && !spec.is_some_and(|spec| spec.spare) {
                self.awaiting_replacement.entry(part).or_default().push(vm);
            } else {
                self.surplus.insert(vm, pool);
            }
        }
    }

    /// Takes surplus VMs out of parts that have too many: first those that are down, then from
    /// the rack with the most members.
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

    /// Lists the VMs that may be given a place, each once even if it is listed twice.
    fn collect_candidates(&mut self) {
        let VmPlacementInput {
            vms,
            locations,
            stops,
            down,
            held_back,
            ..
        } = self.input;
        let live = vms.iter().filter(|vm| vm.phase == VmPhase::Live);
        let mut seen: IndexSet<&VmId> = IndexSet::new();
        for vm in live.map(|vm| &vm.id) {
            let eligible = !stops.contains_key(vm) && !down.contains(vm) && !held_back.contains(vm);
            let (true, true, Some((vm, location))) =
                (eligible, seen.insert(vm), locations.get_key_value(vm))
            else {
                continue;
            };
            if let Some(source) = self.source_of(vm) {
                let rack = &location.rack;
                let key = (&location.class, &location.data_centre);
                let candidates = self.candidates.entry(key).or_default();
                candidates.push(Candidate { vm, rack, source });
            }
        }
    }

    /// Where a VM would come from; `None` if it stays in its pool.
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

    /// Fills the spare pools if `spare` is set, otherwise all others.
    fn fill_pools(&mut self, spare: bool) {
        let document = self.input.document;
        let pools = document.teams.values().flat_map(|team| &team.pools);
        for (pool, spec) in pools.filter(|(_, spec)| spec.spare == spare) {
            for (data_centre, wanted) in &spec.vms {
                self.fill_part((pool, data_centre), spec, *wanted as usize);
            }
        }
    }

    /// Moves candidates to the part of a pool until it has `wanted` VMs, and lets as many
    /// lost VMs go as have been replaced.
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

    /// Takes the candidate with the best source and, among these, in the rack that has the
    /// fewest VMs of the part. Spare pools take none from other spare pools.
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

    /// Moves surplus VMs that no pool has taken out of their pools, and lost VMs too where the
    /// document no longer has their part.
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

/// Number of members in each rack.
fn count_by_rack<'a>(members: &[Member<'a>]) -> IndexMap<&'a Rack, usize> {
    let mut racks = IndexMap::new();
    for member in members {
        *racks.entry(member.rack).or_default() += 1;
    }
    racks
}
