//! Regular maintenance: which VMs to stop next, and how their stops go on.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::stop::{Action, Cause, End, Progress, Sight};
use crate::control::FleetState;
use crate::id::{DataCentre, Rack, VmId};
use crate::ledger::{Availability, Fleet, JobPhase, MAX_FAILED};
use crate::platform::VmPhase;

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

/// A VM that is due, in the order of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due<'a> {
    data_centre: &'a DataCentre,
    /// Earliest start of a cycle in the rack.
    rack_start: u64,
    rack: &'a Rack,
    start: u64,
    vm: &'a VmId,
}

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
    /// The earliest due rack of each data centre goes first, and its VMs go together.
    #[must_use]
    pub fn starts(&self, fleet: &FleetState, now: Instant, clock_s: u64) -> Vec<VmId> {
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
        let mut starts = Vec::new();
        for due in self.due(fleet, now, clock_s) {
            if available.check_stop(due.vm).is_ok() {
                available.note_out(due.vm);
                starts.push(due.vm.clone());
            }
        }
        starts
    }

    fn due<'a>(&self, fleet: &'a FleetState, now: Instant, clock_s: u64) -> Vec<Due<'a>> {
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
        let mut due: Vec<Due<'_>> = vms
            .filter_map(|vm| {
                let start = *fleet.cycles.get(&vm.id)?;
                let site = fleet.sites.get(&vm.id)?;
                let wait = if busy.contains(&vm.id) {
                    cycle - early / BUSY_PARTS
                } else {
                    cycle - early
                };
                (clock_s >= start.saturating_add(wait)).then_some(Due {
                    data_centre: &site.data_centre,
                    rack_start: start,
                    rack: &site.rack,
                    start,
                    vm: &vm.id,
                })
            })
            .collect();
        order(&mut due);
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

/// Sorts by data centre, then by the earliest start of a cycle in each rack.
fn order(due: &mut [Due<'_>]) {
    let mut racks: IndexMap<(&DataCentre, &Rack), u64> = IndexMap::new();
    for vm in due.iter() {
        let start = racks.entry((vm.data_centre, vm.rack)).or_insert(vm.start);
        *start = vm.start.min(*start);
    }
    for vm in due.iter_mut() {
        vm.rack_start = racks[&(vm.data_centre, vm.rack)];
    }
    due.sort_unstable();
}

fn busy_workers(fleet: &FleetState) -> IndexSet<&VmId> {
    let jobs = fleet.jobs.iter();
    jobs.filter_map(|state| match &state.phase {
        JobPhase::Placed(vm) => Some(vm),
        _ => None,
    })
    .collect()
}
