//! Regular maintenance: chooses the VMs to stop next, and follows their stops.
//!
//! Every VM is rebooted once in each cycle of `cycle_days`, the setting in the budgets of the
//! document.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::stop::{StopAction, StopEnd, StopProgress, VmObservation, WaitReason};
use crate::control::FleetState;
use crate::id::{DataCentre, Rack, VmId};
use crate::ledger::{Availability, BudgetInputs, JobPhase, MAX_FAILED_STOPS};
use crate::services::VmPhase;

const DAY_S: u64 = 24 * 60 * 60;

/// A VM becomes due when this part of a cycle (1 / divisor) is left before its deadline, the end
/// of the cycle, so that no VM misses the deadline because the log or a data centre is out of
/// service for days.
const LEAD_DIVISOR: u64 = 3;

/// A worker with jobs becomes due later than other VMs: when this part (1 / divisor) of the time
/// that [`LEAD_DIVISOR`] gives is left before the deadline.
const BUSY_DIVISOR: u64 = 2;

/// Time for which a VM is not stopped again after a stop of it was given up.
const RETRY_DELAY: Duration = Duration::from_hours(1);

/// Plans and carries out maintenance, with the state that one process keeps for it.
#[derive(Debug, Default)]
pub struct Maintenance {
    stops: IndexMap<VmId, WatchedStop>,
    /// VMs whose last stop was given up, with the time until which they are not stopped.
    held_back: IndexMap<VmId, Instant>,
}

/// A stop that this process has decided on at least once.
#[derive(Debug)]
struct WatchedStop {
    progress: StopProgress,
    waiting_for: Option<WaitReason>,
}

/// A VM that is due; those whose cycle began first go first. `cycle_start` is in s since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueVm<'a> {
    cycle_start: u64,
    vm: &'a VmId,
}

/// VMs that are due, by data centre and rack.
type DueRacks<'a> = IndexMap<&'a DataCentre, IndexMap<&'a Rack, Vec<DueVm<'a>>>>;

/// Progress of a stop, for the log that operators read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopStatus {
    /// VM to be stopped.
    pub vm: VmId,
    /// What the stop is waiting for; `None` if it is not waiting.
    pub waiting_for: Option<WaitReason>,
    /// Time for which this process has watched the stop.
    pub watched_for: Duration,
}

impl Maintenance {
    /// VMs to stop now, within the budgets; none after too many failed stops. `unix_s` is the
    /// wall-clock time in s since 1970.
    ///
    /// In each data centre the racks with the VM whose cycle began on the earliest day go
    /// first, and of these the one with the fewest due VMs that the budgets do not allow to be
    /// stopped.
    #[must_use]
    pub fn vms_to_stop(&self, fleet: &FleetState, now: Instant, unix_s: u64) -> Vec<VmId> {
        let Some(document) = fleet.document.as_deref() else {
            return Vec::new();
        };
        if fleet.failed_stops.len() >= MAX_FAILED_STOPS {
            return Vec::new();
        }
        let mut available = Availability::count(BudgetInputs {
            document,
            assignment: &fleet.assignment,
            locations: &fleet.locations,
            stops: &fleet.stops,
            down: &fleet.down,
        });
        let mut to_stop = Vec::new();
        for (_, mut racks) in self.due_vms(fleet, now, unix_s) {
            while let Some(rack) = next_rack(&available, &racks) {
                let due = racks.swap_remove(rack).unwrap_or_default();
                to_stop.extend(take_stoppable(&mut available, &due));
            }
        }
        to_stop
    }

    /// VMs that are due and may be stopped as far as their own state goes; budgets are not
    /// considered yet.
    fn due_vms<'a>(&self, fleet: &'a FleetState, now: Instant, unix_s: u64) -> DueRacks<'a> {
        let cycle = fleet.document.as_deref().map_or(0, |document| {
            u64::from(document.fleet.budgets.cycle_days) * DAY_S
        });
        let lead = cycle / LEAD_DIVISOR;
        let with_jobs = workers_with_jobs(fleet);
        let listed = fleet.vms.iter().filter(|vm| vm.phase == VmPhase::Live);
        let vms = listed.filter(|vm| {
            let held_back = self.held_back.get(&vm.id).is_some_and(|until| now < *until);
            !held_back && !fleet.stops.contains_key(&vm.id) && !fleet.down.contains(&vm.id)
        });
        let mut due = DueRacks::new();
        for vm in vms.map(|vm| &vm.id) {
            let (Some(cycle_start), Some(location)) =
                (fleet.cycle_starts_s.get(vm), fleet.locations.get(vm))
            else {
                continue;
            };
            let wait = if with_jobs.contains(vm) {
                cycle - lead / BUSY_DIVISOR
            } else {
                cycle - lead
            };
            if unix_s >= cycle_start.saturating_add(wait) {
                let racks = due.entry(&location.data_centre).or_default();
                let rack = racks.entry(&location.rack).or_default();
                rack.push(DueVm {
                    cycle_start: *cycle_start,
                    vm,
                });
            }
        }
        let racks = due.values_mut().flat_map(IndexMap::values_mut);
        for rack in racks {
            rack.sort_unstable();
            rack.dedup();
        }
        due
    }

    /// The next action for the accepted stop of `vm`; `None` if it has none.
    pub fn next_action(
        &mut self,
        fleet: &FleetState,
        vm: &VmId,
        observation: &VmObservation,
        now: Instant,
    ) -> Option<StopAction> {
        self.stops.retain(|vm, _| fleet.stops.contains_key(vm));
        self.held_back.retain(|_, until| now < *until);
        let stop = fleet.stops.get(vm)?;
        let watched = self.stops.entry(vm.clone()).or_insert_with(|| WatchedStop {
            progress: StopProgress::new(now),
            waiting_for: None,
        });
        let action = watched.progress.next_action(stop, observation, now);
        watched.waiting_for = match &action {
            StopAction::Wait(reason) => Some(reason.clone()),
            _ => None,
        };
        if action == StopAction::Resolve(StopEnd::Abandoned) {
            self.held_back.insert(vm.clone(), now + RETRY_DELAY);
        }
        Some(action)
    }

    /// Status of each watched stop; ended ones are dropped by the next call of `next_action`.
    #[must_use]
    pub fn statuses(&self, now: Instant) -> Vec<StopStatus> {
        let stops = self.stops.iter();
        stops
            .map(|(vm, watched)| StopStatus {
                vm: vm.clone(),
                waiting_for: watched.waiting_for.clone(),
                watched_for: watched.progress.watched_for(now),
            })
            .collect()
    }
}

/// The rack to stop VMs of next; `None` if no VM that is due may be stopped.
fn next_rack<'a>(
    available: &Availability<'a>,
    racks: &IndexMap<&'a Rack, Vec<DueVm<'a>>>,
) -> Option<&'a Rack> {
    let scored = racks.iter().filter_map(|(rack, due)| {
        let possible = due.iter().any(|due| available.check_stop(due.vm).is_ok());
        if !possible {
            return None;
        }
        let stoppable = take_stoppable(&mut available.clone(), due).len();
        let day = due.first().map(|due| due.cycle_start / DAY_S);
        Some(((day, due.len() - stoppable, Reverse(stoppable)), *rack))
    });
    scored.min_by_key(|(score, _)| *score).map(|(_, rack)| rack)
}

/// The VMs of `due` that may be stopped together; `available` counts them as stopped from
/// now on.
fn take_stoppable(available: &mut Availability<'_>, due: &[DueVm<'_>]) -> Vec<VmId> {
    let mut taken = Vec::new();
    for due in due {
        if available.check_stop(due.vm).is_ok() {
            available.add_unavailable(due.vm);
            taken.push(due.vm.clone());
        }
    }
    taken
}

fn workers_with_jobs(fleet: &FleetState) -> IndexSet<&VmId> {
    let jobs = fleet.jobs.iter();
    jobs.filter_map(|state| match &state.phase {
        JobPhase::Placed(vm) => Some(vm),
        _ => None,
    })
    .collect()
}
