//! All decisions on VMs, without I/O; the caller passes the time.

use std::time::Instant;

use indexmap::IndexSet;

use super::health::{HealthCheck, HealthTracker};
use super::maintenance::{Maintenance, StopStatus};
use super::replacement::ReplacementLimiter;
use super::stop::{StopAction, VmObservation};
use super::vm_placement::{self, VmPlacementInput};
use crate::control::FleetState;
use crate::id::{Epoch, VmId};
use crate::ledger::Proposal;

/// Decides on health, moves and planned stops of VMs, with the state that one process keeps
/// for it in memory.
#[derive(Debug, Default)]
pub struct VmPlanner {
    health: HealthTracker,
    maintenance: Maintenance,
    replacements: ReplacementLimiter,
}

impl VmPlanner {
    /// Takes in the VM list of `fleet` and returns the health checks to make now, at most
    /// `limit`.
    pub fn due_checks(
        &mut self,
        fleet: &FleetState,
        now: Instant,
        limit: usize,
    ) -> Vec<HealthCheck> {
        self.health.update_list(&fleet.vms, now);
        self.health.due_checks(now, limit)
    }

    /// Records the result of a health check; `serves` is true if the VM answered.
    pub fn record_check(&mut self, vm: &VmId, serves: bool, now: Instant) {
        self.health.record_check(vm, serves, now);
    }

    /// Proposals that VMs are at a location, are down or are up again; `unix_s` is the wall-clock
    /// time in s since 1970.
    pub fn health_proposals(
        &mut self,
        fleet: &FleetState,
        epoch: Epoch,
        now: Instant,
        unix_s: u64,
    ) -> Vec<Proposal> {
        self.health.proposals(fleet, epoch, now, unix_s)
    }

    /// Proposals that move VMs into, between and out of pools.
    pub fn move_proposals(
        &mut self,
        fleet: &FleetState,
        epoch: Epoch,
        now: Instant,
    ) -> Vec<Proposal> {
        let Some(document) = fleet.document.as_deref() else {
            return Vec::new();
        };
        let vms = fleet.vms.iter().map(|vm| &vm.id);
        let flapping = vms.filter(|vm| self.health.is_flapping(vm, now));
        let held_back: IndexSet<VmId> = flapping.cloned().collect();
        let planned = vm_placement::plan_moves(&VmPlacementInput {
            document,
            vms: &fleet.vms,
            locations: &fleet.locations,
            assignment: &fleet.assignment,
            stops: &fleet.stops,
            down: &fleet.down,
            to_replace: self.replacements.admit(fleet, now),
            held_back: &held_back,
        });
        let proposals = planned.into_iter().map(|vm_move| Proposal::Assign {
            vm: vm_move.vm,
            from: vm_move.from,
            to: vm_move.to,
            epoch,
        });
        proposals.collect()
    }

    /// VMs to stop now for maintenance; `unix_s` is the wall-clock time in s since 1970.
    #[must_use]
    pub fn vms_to_stop(&self, fleet: &FleetState, now: Instant, unix_s: u64) -> Vec<VmId> {
        self.maintenance.vms_to_stop(fleet, now, unix_s)
    }

    /// The next action for the accepted stop of `vm`; `None` if it has none.
    pub fn next_action(
        &mut self,
        fleet: &FleetState,
        vm: &VmId,
        observation: &VmObservation,
        now: Instant,
    ) -> Option<StopAction> {
        self.maintenance.next_action(fleet, vm, observation, now)
    }

    /// Status of each stop that this process watches.
    #[must_use]
    pub fn stop_statuses(&self, now: Instant) -> Vec<StopStatus> {
        self.maintenance.statuses(now)
    }
}
