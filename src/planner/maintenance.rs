//! Regular maintenance: which VMs to stop next, and how their stops go on.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::stop::{Action, Cause, End, Progress, Sight};
use crate::control::FleetState;
use crate::id::{DataCentre, Rack, VmId};
use crate::ledger::{Availability, BudgetInputs, JobPhase, MAX_FAILED_STOPS};
use crate::services::VmPhase;

const DAY_S: u64 = 24 * 60 * 60;

/// A VM becomes due this part of a cycle ahead of its deadline, so that a log or a data
/// centre that is away for days delays nothing beyond the deadline.
const EARLY_PARTS: u64 = 3;

/// Part of the time between due and deadline for which a worker with jobs is passed over.
const BUSY_PARTS: u64 = 2;

/// Time for which a VM is left alone after a stop was given up.
const HOLD: Duration = Duration::from_hours(1);

/// Maintenance as this process carries it out.
#[derive(Debug, Default)]
pub struct Maintenance {
    stops: IndexMap<VmId, Watched>,
    /// VMs that are left alone, with the time until when.
    held: IndexMap<VmId, Instant>,
}

#[derive(Debug)]
struct Watched {
    progress: Progress,
    cause: Option<Cause>,
}

/// A VM that is due; the earliest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due<'a> {
    start: u64,
    vm: &'a VmId,
}

/// VMs that are due in each rack of each data centre.
type Racks<'a> = IndexMap<&'a DataCentre, IndexMap<&'a Rack, Vec<Due<'a>>>>;

/// Progress of a stop, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopStatus {
    /// The VM.
    pub vm: VmId,
    /// What it waits for.
    pub cause: Option<Cause>,
    /// Time for which this process has watched it.
    pub age: Duration,
}

impl Maintenance {
    /// VMs to stop now, all within the budgets; `clock_s` is in s since 1970.
    ///
    /// In each data centre the racks of the earliest due day go first, and of these the one
    /// of which the budgets leave the least behind.
    #[must_use]
    pub fn starts(&self, fleet: &FleetState, now: Instant, clock_s: u64) -> Vec<VmId> {
        let Some(document) = fleet.document.as_deref() else {
            return Vec::new();
        };
        if fleet.failed.len() >= MAX_FAILED_STOPS {
            return Vec::new();
        }
        let mut available = Availability::count(BudgetInputs {
            document,
            assignment: &fleet.assignment,
            locations: &fleet.sites,
            stops: &fleet.stops,
            down: &fleet.down,
        });
        let mut starts = Vec::new();
        for (_, mut racks) in self.due(fleet, now, clock_s) {
            while let Some(rack) = best(&available, &racks) {
                let due = racks.swap_remove(rack).unwrap_or_default();
                starts.extend(begin(&mut available, &due));
            }
        }
        starts
    }

    fn due<'a>(&self, fleet: &'a FleetState, now: Instant, clock_s: u64) -> Racks<'a> {
        let cycle = fleet.document.as_deref().map_or(0, |document| {
            u64::from(document.fleet.budgets.cycle_days) * DAY_S
        });
        let early = cycle / EARLY_PARTS;
        let busy = busy_workers(fleet);
        let listed = fleet.vms.iter().filter(|vm| vm.phase == VmPhase::Live);
        let vms = listed.filter(|vm| {
            let held = self.held.get(&vm.id).is_some_and(|until| now < *until);
            !held && !fleet.stops.contains_key(&vm.id) && !fleet.down.contains(&vm.id)
        });
        let mut due = Racks::new();
        for vm in vms.map(|vm| &vm.id) {
            let (Some(start), Some(site)) = (fleet.cycles.get(vm), fleet.sites.get(vm)) else {
                continue;
            };
            let wait = if busy.contains(vm) {
                cycle - early / BUSY_PARTS
            } else {
                cycle - early
            };
            if clock_s >= start.saturating_add(wait) {
                let racks = due.entry(&site.data_centre).or_default();
                let rack = racks.entry(&site.rack).or_default();
                rack.push(Due { start: *start, vm });
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
    pub fn decide(
        &mut self,
        fleet: &FleetState,
        vm: &VmId,
        sight: &Sight,
        now: Instant,
    ) -> Option<Action> {
        self.stops.retain(|vm, _| fleet.stops.contains_key(vm));
        self.held.retain(|_, until| now < *until);
        let stop = fleet.stops.get(vm)?;
        let watched = self.stops.entry(vm.clone()).or_insert_with(|| Watched {
            progress: Progress::open(now),
            cause: None,
        });
        let action = watched.progress.decide(stop, sight, now);
        watched.cause = match &action {
            Action::Wait(cause) => Some(cause.clone()),
            _ => None,
        };
        if action == Action::Resolve(End::Abandoned) {
            self.held.insert(vm.clone(), now + HOLD);
        }
        Some(action)
    }

    /// The stops that this process watches.
    #[must_use]
    pub fn status(&self, now: Instant) -> Vec<StopStatus> {
        let stops = self.stops.iter();
        stops
            .map(|(vm, watched)| StopStatus {
                vm: vm.clone(),
                cause: watched.cause.clone(),
                age: watched.progress.age(now),
            })
            .collect()
    }
}

/// The rack to go on with, if a VM of any may be stopped.
fn best<'a>(
    available: &Availability<'a>,
    racks: &IndexMap<&'a Rack, Vec<Due<'a>>>,
) -> Option<&'a Rack> {
    let scored = racks.iter().filter_map(|(rack, due)| {
        let possible = due.iter().any(|due| available.check_stop(due.vm).is_ok());
        if !possible {
            return None;
        }
        let begun = begin(&mut available.clone(), due).len();
        let day = due.first().map(|due| due.start / DAY_S);
        Some(((day, due.len() - begun, Reverse(begun)), *rack))
    });
    scored.min_by_key(|(score, _)| *score).map(|(_, rack)| rack)
}

/// VMs of a rack that may be stopped together, counted as stopped from now on.
fn begin(available: &mut Availability<'_>, due: &[Due<'_>]) -> Vec<VmId> {
    let mut begun = Vec::new();
    for due in due {
        if available.check_stop(due.vm).is_ok() {
            available.add_unavailable(due.vm);
            begun.push(due.vm.clone());
        }
    }
    begun
}

fn busy_workers(fleet: &FleetState) -> IndexSet<&VmId> {
    let jobs = fleet.jobs.iter();
    jobs.filter_map(|state| match &state.phase {
        JobPhase::Placed(vm) => Some(vm),
        _ => None,
    })
    .collect()
}
