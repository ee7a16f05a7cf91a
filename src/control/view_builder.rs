//! Builds the view that the traffic threads read.

use std::time::Instant;

use indexmap::IndexMap;

use super::core::Core;
use crate::document::Document;
use crate::id::{PoolId, TeamId};
use crate::ledger::Registration;
use crate::services::{Vm, VmPhase};
use crate::view::{Member, Target, TeamLimits, View};

pub(super) fn build(core: &Core, now: Instant) -> View {
    let facts = core.state.facts();
    let document = core.state.document().cloned();
    let held = facts.planner.as_ref();
    View {
        offset: facts.offset,
        targets: document
            .as_deref()
            .map_or_else(IndexMap::new, |document| targets(core, document)),
        limits: limits(core, now),
        members: members(core, now),
        planner: held.map(|held| (held.member.clone(), held.epoch)),
        verified: core.verified(),
        document,
    }
}

fn targets(core: &Core, document: &Document) -> IndexMap<PoolId, Vec<Target>> {
    let pools = document.teams.values().flat_map(|team| team.pools.keys());
    let mut targets: IndexMap<PoolId, Vec<Target>> =
        pools.map(|pool| (pool.clone(), Vec::new())).collect();
    for vm in core.inventory.vms() {
        let pool = core.state.facts().assignment.get(&vm.id);
        let place = pool.and_then(|pool| targets.get_mut(pool));
        if let Some((place, target)) = place.zip(target(core, document, vm)) {
            place.push(target);
        }
    }
    targets
}

fn target(core: &Core, document: &Document, vm: &Vm) -> Option<Target> {
    let class = document.fleet.classes.get(&vm.class)?;
    let stopping = core.state.facts().stops.contains_key(&vm.id);
    Some(Target {
        vm: vm.id.clone(),
        data_centre: vm.data_centre.clone(),
        rack: vm.rack.clone(),
        address: vm.address?,
        slots: class.slots,
        connections: class.connections,
        leaving: stopping || vm.phase != VmPhase::Live,
    })
}

fn limits(core: &Core, now: Instant) -> TeamLimits {
    let version = core.quota.version();
    let until = core.lease_expires_at(now);
    if until.is_none_or(|until| until <= now) {
        let teams = IndexMap::new();
        return TeamLimits {
            version,
            valid_until: until,
            teams,
        };
    }
    let teams = core.state.facts().allotments.keys();
    let limit = |team: &TeamId| core.quota.limit(&core.state, team, now);
    TeamLimits {
        version,
        valid_until: until,
        teams: teams.map(|team| (team.clone(), limit(team))).collect(),
    }
}

/// All members; this process is included even before its registration is in the log.
fn members(core: &Core, now: Instant) -> Vec<Member> {
    let known = core.state.facts().members.values();
    let others = known.filter(|known| known.registration.id != core.common.id);
    let own = core.registrar.registration(&core.common);
    others
        .map(|known| member(core, &known.registration, now))
        .chain(own.map(|own| member(core, &own, now)))
        .collect()
}

fn member(core: &Core, registration: &Registration, now: Instant) -> Member {
    let own = registration.id == core.common.id;
    let alive = own || !core.heartbeats || core.failure_detector.is_alive(&registration.id, now);
    Member {
        id: registration.id.clone(),
        incarnation: registration.incarnation,
        data_centre: registration.data_centre.clone(),
        peer: registration.peer_address,
        alive,
    }
}
