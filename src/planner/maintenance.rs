//! Regular maintenance: which VMs to stop next, and how their stops go on.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::stop::{StopAction, StopEnd, StopProgress, VmObservation, WaitReason};
use crate::control::FleetState;
use crate::id::{DataCentre, Rack, VmId};
use crate::ledger::{Availability, Fleet, JobPhase, MAX_FAILED};
use crate::services::VmPhase;

const DAY_S: u64 = 24 * 60 * 60;

/// A VM becomes due this part of a cycle ahead of its deadline, so that a log or a data
/// centre that is away for days delays nothing beyond the deadline.
const LEAD_DIVISOR: u64 = 3;

/// Part of the time between due and deadline for which a worker with jobs is passed over.
const BUSY_DIVISOR: u64 = 2;

/// Time for which a VM is left alone after a stop was given up.
const RETRY_DELAY: Duration = Duration::from_hours(1);

/// Maintenance as this process carries it out.
#[derive(Debug, Default)]
pub struct Maintenance {
    stops: IndexMap<VmId, WatchedStop>,
    /// VMs that are left alone, with the time until when.
    held_back: IndexMap<VmId, Instant>,
}

#[derive(Debug)]
struct WatchedStop {
    progress: StopProgress,
    waiting_for: Option<WaitReason>,
}

/// A VM that is due; the earliest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueVm<'a> {
    cycle_start: u64,
    vm: &'a VmId,
}

/// VMs that are due in each rack of each data centre.
type DueRacks<'a> = IndexMap<&'a DataCentre, IndexMap<&'a Rack, Vec<DueVm<'a>>>>;

/// Progress of a stop, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopStatus {
    /// The VM.
    pub vm: VmId,
    /// What it waits for.
    pub waiting_for: Option<WaitReason>,
    /// Time for which this process has watched it.
    pub watched_for: Duration,
}

impl Maintenance {
    /// VMs to stop now, all within the budgets; `clock_s` is in s since 1970.
    ///
    /// In each data centre the racks of the earliest due day go first, and of these the one
    /// of which the budgets leave the least behind.
    #[must_use]
    pub fn vms_to_stop(&self, fleet: &FleetState, now: Instant, unix_s: u64) -> Vec<VmId> {
        let Some(document) = fleet.document.as_deref() else {
            return Vec::new();
        };
        if fleet.failed.len() >= MAX_FAILED {
            return Vec::new();
        }
        let mut available = Availability::count(Fleet {
            document,
            assignment: &fleet.assignment,
            sites: &fleet.sites,
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
            let (Some(cycle_start), Some(site)) = (fleet.cycles.get(vm), fleet.sites.get(vm))
            else {
                continue;
            };
            let wait = if with_jobs.contains(vm) {
                cycle - lead / BUSY_DIVISOR
            } else {
                cycle - lead
            };
            if unix_s >= cycle_start.saturating_add(wait) {
                let racks = due.entry(&site.data_centre).or_default();
                let rack = racks.entry(&site.rack).or_default();
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

    /// The action for a stop, given what is seen of its VM.
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

    /// The stops that this process watches.
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

/// The rack to go on with, if a VM of any may be stopped.
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

/// VMs of a rack that may be stopped together, counted as stopped from now on.
fn take_stoppable(available: &mut Availability<'_>, due: &[DueVm<'_>]) -> Vec<VmId> {
    let mut taken = Vec::new();
    for due in due {
        if available.check_stop(due.vm).is_ok() {
            available.note_out(due.vm);
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
