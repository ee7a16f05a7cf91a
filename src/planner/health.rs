//! Finds VMs that are down, from the platform's list and this process's own checks.
//!
//! Where both agree, a VM is taken to be down within seconds; checks alone must fail for
//! minutes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::control::FleetState;
use crate::id::{DataCentre, Epoch, VmId};
use crate::ledger::{Proposal, VmLocation};
use crate::services::{Vm, VmPhase};

/// Time for which the list must have shown a VM as down or not at all before it is lost.
const MIN_UNLISTED: Duration = Duration::from_secs(10);

/// Time for which checks must have failed as well as [`MIN_UNLISTED`].
const MIN_FAILING: Duration = Duration::from_secs(5);

/// Time for which checks must have failed if the list still shows the VM as up.
const MIN_FAILING_LISTED: Duration = Duration::from_mins(2);

/// Time for which a VM that was down must answer checks before it counts as up.
const MIN_SERVING: Duration = Duration::from_secs(10);

/// Time between two checks of a VM that is listed and answered its last check.
const HEALTHY_CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// Time between two checks of any other VM.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// A VM that went down at least this many times within [`FLAP_WINDOW`] is not newly assigned
/// to any pool.
const FLAP_LOSSES: usize = 3;

/// Time for which an occasion on which a VM went down counts towards [`FLAP_LOSSES`].
const FLAP_WINDOW: Duration = Duration::from_hours(1);

/// Time after which the location of a VM that is no longer listed is removed from the log's
/// state, if the VM is in no pool and has no planned stop.
const FORGET_AFTER: Duration = Duration::from_hours(24);

/// List entries and check results of each VM, as this process has seen them.
#[derive(Debug, Default)]
pub struct HealthTracker {
    vms: IndexMap<VmId, VmHealth>,
}

/// A health check to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthCheck {
    /// VM to check.
    pub vm: VmId,
    /// Address to connect to; `None` for workers, which are checked through the workers'
    /// service.
    pub address: Option<SocketAddr>,
}

#[derive(Debug)]
struct VmHealth {
    location: VmLocation,
    address: Option<SocketAddr>,
    /// When the list last had an entry of the VM, in any phase.
    last_listed: Instant,
    /// Since when the list shows it as down or not at all; `None` while it shows it as up.
    unlisted_since: Option<Instant>,
    /// Since when checks have failed; `None` unless the last one did.
    failing_since: Option<Instant>,
    /// Since when checks have succeeded; `None` unless the last one did.
    serving_since: Option<Instant>,
    /// When a check was last begun or ended; `None` before the first.
    last_checked: Option<Instant>,
    /// True if the folded state had it as down at the last look.
    was_down: bool,
    /// When it last went down, at most [`FLAP_LOSSES`] times.
    losses: VecDeque<Instant>,
}

impl VmHealth {
    fn new(vm: &Vm, now: Instant) -> Self {
        Self {
            location: location_of(vm),
            address: vm.address,
            last_listed: now,
            unlisted_since: None,
            failing_since: None,
            serving_since: None,
            last_checked: None,
            was_down: false,
            losses: VecDeque::new(),
        }
    }

    fn is_suspect(&self) -> bool {
        self.unlisted_since.is_some() || self.serving_since.is_none()
    }

    fn is_due(&self, now: Instant) -> bool {
        let interval = if self.is_suspect() {
            SUSPECT_CHECK_INTERVAL
        } else {
            HEALTHY_CHECK_INTERVAL
        };
        self.last_checked.is_none_or(|at| age(at, now) >= interval)
    }
}

impl HealthTracker {
    /// Takes in the newest list. If it has two entries of one VM, the first tells whether the
    /// VM is up.
    pub fn update_list(&mut self, vms: &[Vm], now: Instant) {
        let mut live: IndexMap<&VmId, bool> = IndexMap::new();
        for vm in vms {
            live.entry(&vm.id).or_insert(vm.phase != VmPhase::Down);
            let health = self.vms.entry(vm.id.clone());
            let health = health.or_insert_with(|| VmHealth::new(vm, now));
            health.location = location_of(vm);
            health.address = vm.address;
            health.last_listed = now;
        }
        for (vm, health) in &mut self.vms {
            let shown = live.get(vm).copied().unwrap_or(false);
            health.unlisted_since = (!shown).then(|| health.unlisted_since.unwrap_or(now));
        }
    }

    /// Checks to make now, at most `limit`, those of the VMs checked longest ago first.
    pub fn due_checks(&mut self, now: Instant, limit: usize) -> Vec<HealthCheck> {
        let vms = self.vms.iter_mut();
        let mut due: Vec<_> = vms.filter(|(_, health)| health.is_due(now)).collect();
        due.sort_by_key(|(_, health)| health.last_checked);
        let due = due.into_iter().take(limit);
        due.map(|(vm, health)| {
            health.last_checked = Some(now);
            HealthCheck {
                vm: vm.clone(),
                address: health.address,
            }
        })
        .collect()
    }

    /// Records the result of a check; `serves` is true if the VM answered.
    pub fn record_check(&mut self, vm: &VmId, serves: bool, now: Instant) {
        let Some(health) = self.vms.get_mut(vm) else {
            return;
        };
        health.last_checked = Some(now);
        health.failing_since = (!serves).then(|| health.failing_since.unwrap_or(now));
        health.serving_since = serves.then(|| health.serving_since.unwrap_or(now));
    }

    /// Proposals that bring the folded state in line with what was seen; `unix_s` is the
    /// wall-clock time in s since 1970.
    pub fn proposals(
        &mut self,
        fleet: &FleetState,
        epoch: Epoch,
        now: Instant,
        unix_s: u64,
    ) -> Vec<Proposal> {
        self.count_losses(fleet, now);
        let mut proposals = self.location_proposals(fleet, epoch, now, unix_s);
        let lost = self.lost_vms(fleet, now).into_iter();
        proposals.extend(lost.map(|vm| Proposal::Down { vm, epoch }));
        let returned = fleet.down.iter().filter(|vm| self.has_recovered(vm, now));
        proposals.extend(returned.map(|vm| {
            let vm = vm.clone();
            Proposal::Up { vm, epoch }
        }));
        proposals
    }

    fn count_losses(&mut self, fleet: &FleetState, now: Instant) {
        for (vm, health) in &mut self.vms {
            let down = fleet.down.contains(vm);
            if down && !health.was_down {
                health.losses.push_back(now);
            }
            health.was_down = down;
            if health.losses.len() > FLAP_LOSSES {
                health.losses.pop_front();
            }
        }
    }

    /// True for a VM that went down at least three times within an hour; it is given no new
    /// place until the first of these is over an hour ago.
    #[must_use]
    pub fn is_flapping(&self, vm: &VmId, now: Instant) -> bool {
        let losses = self.vms.get(vm).map(|health| health.losses.iter());
        let recent = losses.map(|at| at.filter(|at| age(**at, now) < FLAP_WINDOW).count());
        recent.is_some_and(|count| count >= FLAP_LOSSES)
    }

    /// Proposals for VMs whose location is new or has changed, and for those to be forgotten.
    fn location_proposals(
        &self,
        fleet: &FleetState,
        epoch: Epoch,
        now: Instant,
        unix_s: u64,
    ) -> Vec<Proposal> {
        let listed = self.vms.iter().filter(|(vm, health)| {
            health.unlisted_since.is_none() && fleet.locations.get(*vm) != Some(&health.location)
        });
        let known = listed.map(|(vm, health)| (vm, Some(health.location.clone())));
        let gone = self.vms.iter().filter(|(vm, health)| {
            let idle = !fleet.assignment.contains_key(*vm) && !fleet.stops.contains_key(*vm);
            age(health.last_listed, now) >= FORGET_AFTER
                && idle
                && fleet.locations.contains_key(*vm)
        });
        let changes = known.chain(gone.map(|(vm, _)| (vm, None)));
        changes
            .map(|(vm, location)| Proposal::Locate {
                vm: vm.clone(),
                location,
                seen_s: unix_s,
                epoch,
            })
            .collect()
    }

    /// VMs to report as down; a VM in a planned stop is left to that stop.
    fn lost_vms(&self, fleet: &FleetState, now: Instant) -> Vec<VmId> {
        let tracked = self.vms.iter().filter(|(vm, _)| {
            let known = fleet.locations.contains_key(*vm);
            known && !fleet.down.contains(*vm) && !fleet.stops.contains_key(*vm)
        });
        tracked
            .filter(|(_, health)| self.is_lost(health, now))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    fn is_lost(&self, health: &VmHealth, now: Instant) -> bool {
        let Some(failing) = health.failing_since.map(|at| age(at, now)) else {
            return false;
        };
        let unlisted = health
            .unlisted_since
            .is_some_and(|at| age(at, now) >= MIN_UNLISTED);
        if unlisted && failing >= MIN_FAILING {
            return true;
        }
        failing >= MIN_FAILING_LISTED && self.is_reachable(&health.location.data_centre)
    }

    /// True if more than half of the VMs of the data centre answer, so that the data centre is
    /// not cut off from this process.
    fn is_reachable(&self, data_centre: &DataCentre) -> bool {
        let vms = self.vms.values();
        let local = vms.filter(|health| health.location.data_centre == *data_centre);
        let (mut serving, mut all) = (0, 0);
        for health in local {
            all += 1;
            serving += usize::from(health.serving_since.is_some());
        }
        serving * 2 > all
    }

    fn has_recovered(&self, vm: &VmId, now: Instant) -> bool {
        self.vms.get(vm).is_some_and(|health| {
            let steady = health
                .serving_since
                .is_some_and(|at| age(at, now) >= MIN_SERVING);
            steady && health.unlisted_since.is_none()
        })
    }
}

fn location_of(vm: &Vm) -> VmLocation {
    VmLocation {
        data_centre: vm.data_centre.clone(),
        rack: vm.rack.clone(),
        class: vm.class.clone(),
    }
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
