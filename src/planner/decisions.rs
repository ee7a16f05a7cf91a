//! All decisions on VMs; no I/O, `now` is handed in.

use std::time::Instant;

use indexmap::IndexSet;

use super::health::{Check, Health};
use super::maintenance::{Maintenance, StopStatus};
use super::placement::{self, Situation};
use super::repair::Repair;
use super::stop::{Action, Sight};
use crate::control::FleetState;
use crate::id::{Epoch, VmId};
use crate::ledger::Proposal;

/// What one process decides on VMs, and what it remembers for that.
#[derive(Debug, Default)]
pub struct Decisions {
    health: Health,
    maintenance: Maintenance,
    repair: Repair,
}

impl Decisions {
    /// Checks to make now, at most `limit`.
    pub fn checks(&mut self, fleet: &FleetState, now: Instant, limit: usize) -> Vec<Check> {
        self.health.list(&fleet.vms, now);
        self.health.checks(now, limit)
    }

    /// Notes how a check went.
    pub fn checked(&mut self, vm: &VmId, serves: bool, now: Instant) {
        self.health.checked(vm, serves, now);
    }

    /// Proposals on places, losses and returns; `clock_s` is in s since 1970.
    pub fn observe(
        &mut self,
        fleet: &FleetState,
        epoch: Epoch,
        now: Instant,
        clock_s: u64,
    ) -> Vec<Proposal> {
        self.health.proposals(fleet, epoch, now, clock_s)
    }

    /// Moves of VMs between pools.
    pub fn moves(&mut self, fleet: &FleetState, epoch: Epoch, now: Instant) -> Vec<Proposal> {
        let Some(document) = fleet.document.as_deref() else {
            return Vec::new();
        };
        let vms = fleet.vms.iter().map(|vm| &vm.id);
        let flapping = vms.filter(|vm| self.health.is_flapping(vm, now));
        let unfit: IndexSet<VmId> = flapping.cloned().collect();
        let steps = placement::steps(&Situation {
            document,
            vms: &fleet.vms,
            sites: &fleet.sites,
            assignment: &fleet.assignment,
            stops: &fleet.stops,
            down: &fleet.down,
            lost: self.repair.admit(fleet, now),
            unfit: &unfit,
        });
        let moves = steps.into_iter().map(|step| Proposal::Assign {
            vm: step.vm,
            from: step.from,
            to: step.to,
            epoch,
        });
        moves.collect()
    }

    /// VMs to stop now for maintenance; `clock_s` is in s since 1970.
    #[must_use]
    pub fn starts(&self, fleet: &FleetState, now: Instant, clock_s: u64) -> Vec<VmId> {
        self.maintenance.starts(fleet, now, clock_s)
    }

    /// The action for an accepted stop, given what is seen of its VM.
    pub fn decide(
        &mut self,
        fleet: &FleetState,
        vm: &VmId,
        sight: &Sight,
        now: Instant,
    ) -> Option<Action> {
        self.maintenance.decide(fleet, vm, sight, now)
    }

    /// The stops that this process watches.
    #[must_use]
    pub fn stops(&self, now: Instant) -> Vec<StopStatus> {
        self.maintenance.status(now)
    }
}
