//! Which VMs are down: the platform's list and this process's own checks must agree.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::control::FleetState;
use crate::id::{DataCentre, Epoch, VmId};
use crate::ledger::{Proposal, VmLocation};
use crate::services::{Vm, VmPhase};

/// Time for which the list must not show a VM as live.
const UNLISTED: Duration = Duration::from_secs(10);

/// Time for which checks must have failed.
const FAILING: Duration = Duration::from_secs(5);

/// Time for which checks must have failed when the list shows the VM as live.
const SILENT: Duration = Duration::from_mins(2);

/// Time for which a VM must answer before it counts as up.
const STEADY: Duration = Duration::from_secs(10);

/// Time between two checks of a VM of which nothing is suspected.
const CALM_CHECK: Duration = Duration::from_secs(30);

/// Time between two checks of any other VM.
const CLOSE_CHECK: Duration = Duration::from_secs(2);

/// Losses in [`FLAP_WINDOW`] from which a VM is held back.
const MAX_LOSSES: usize = 3;

const FLAP_WINDOW: Duration = Duration::from_hours(1);

/// Time after which a VM that is not listed is forgotten.
const FORGET: Duration = Duration::from_hours(24);

/// What this process has seen of each VM.
#[derive(Debug, Default)]
pub struct Health {
    vms: IndexMap<VmId, Track>,
}

/// A check that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    /// The VM.
    pub vm: VmId,
    /// Address of its target; workers have none.
    pub address: Option<SocketAddr>,
}

#[derive(Debug)]
struct Track {
    site: VmLocation,
    address: Option<SocketAddr>,
    /// When it was last listed in any phase.
    listed: Instant,
    /// Since when the list does not show it as live.
    unlisted: Option<Instant>,
    /// Since when checks fail.
    failing: Option<Instant>,
    /// Since when checks succeed.
    serving: Option<Instant>,
    checked: Option<Instant>,
    /// True while the fold has it as down.
    down: bool,
    losses: VecDeque<Instant>,
}

impl Track {
    fn open(vm: &Vm, now: Instant) -> Self {
        Self {
            site: site(vm),
            address: vm.address,
            listed: now,
            unlisted: None,
            failing: None,
            serving: None,
            checked: None,
            down: false,
            losses: VecDeque::new(),
        }
    }

    fn is_suspect(&self) -> bool {
        self.unlisted.is_some() || self.serving.is_none()
    }

    fn is_due(&self, now: Instant) -> bool {
        let gap = if self.is_suspect() {
            CLOSE_CHECK
        } else {
            CALM_CHECK
        };
        self.checked.is_none_or(|at| age(at, now) >= gap)
    }
}

impl Health {
    /// Notes the newest list; of two entries of one VM the first counts.
    pub fn list(&mut self, vms: &[Vm], now: Instant) {
        let mut live: IndexMap<&VmId, bool> = IndexMap::new();
        for vm in vms {
            live.entry(&vm.id).or_insert(vm.phase != VmPhase::Down);
            let track = self.vms.entry(vm.id.clone());
            let track = track.or_insert_with(|| Track::open(vm, now));
            track.site = site(vm);
            track.address = vm.address;
            track.listed = now;
        }
        for (vm, track) in &mut self.vms {
            let shown = live.get(vm).copied().unwrap_or(false);
            track.unlisted = (!shown).then(|| track.unlisted.unwrap_or(now));
        }
    }

    /// Checks to make now, at most `limit`; those that wait longest go first.
    pub fn checks(&mut self, now: Instant, limit: usize) -> Vec<Check> {
        let vms = self.vms.iter_mut();
        let mut due: Vec<_> = vms.filter(|(_, track)| track.is_due(now)).collect();
        due.sort_by_key(|(_, track)| track.checked);
        let due = due.into_iter().take(limit);
        due.map(|(vm, track)| {
            track.checked = Some(now);
            Check {
                vm: vm.clone(),
                address: track.address,
            }
        })
        .collect()
    }

    /// Notes how a check went.
    pub fn checked(&mut self, vm: &VmId, serves: bool, now: Instant) {
        let Some(track) = self.vms.get_mut(vm) else {
            return;
        };
        track.checked = Some(now);
        track.failing = (!serves).then(|| track.failing.unwrap_or(now));
        track.serving = serves.then(|| track.serving.unwrap_or(now));
    }

    /// Proposals that bring the fold up to what was seen.
    pub fn proposals(
        &mut self,
        fleet: &FleetState,
        epoch: Epoch,
        now: Instant,
        clock_s: u64,
    ) -> Vec<Proposal> {
        self.count_losses(fleet, now);
        let mut proposals = self.places(fleet, epoch, now, clock_s);
        let lost = self.lost(fleet, now).into_iter();
        proposals.extend(lost.map(|vm| Proposal::Down { vm, epoch }));
        let returned = fleet.down.iter().filter(|vm| self.is_back(vm, now));
        proposals.extend(returned.map(|vm| {
            let vm = vm.clone();
            Proposal::Up { vm, epoch }
        }));
        proposals
    }

    fn count_losses(&mut self, fleet: &FleetState, now: Instant) {
        for (vm, track) in &mut self.vms {
            let down = fleet.down.contains(vm);
            if down && !track.down {
                track.losses.push_back(now);
            }
            track.down = down;
            if track.losses.len() > MAX_LOSSES {
                track.losses.pop_front();
            }
        }
    }

    /// True for a VM that goes down again and again; it gets no new place for a time.
    #[must_use]
    pub fn is_flapping(&self, vm: &VmId, now: Instant) -> bool {
        let losses = self.vms.get(vm).map(|track| track.losses.iter());
        let recent = losses.map(|at| at.filter(|at| age(**at, now) < FLAP_WINDOW).count());
        recent.is_some_and(|count| count >= MAX_LOSSES)
    }

    fn places(
        &self,
        fleet: &FleetState,
        epoch: Epoch,
        now: Instant,
        clock_s: u64,
    ) -> Vec<Proposal> {
        let listed = self.vms.iter().filter(|(vm, track)| {
            track.unlisted.is_none() && fleet.sites.get(*vm) != Some(&track.site)
        });
        let known = listed.map(|(vm, track)| (vm, Some(track.site.clone())));
        let gone = self.vms.iter().filter(|(vm, track)| {
            let idle = !fleet.assignment.contains_key(*vm) && !fleet.stops.contains_key(*vm);
            age(track.listed, now) >= FORGET && idle && fleet.sites.contains_key(*vm)
        });
        let places = known.chain(gone.map(|(vm, _)| (vm, None)));
        places
            .map(|(vm, site)| Proposal::Locate {
                vm: vm.clone(),
                location: site,
                seen_s: clock_s,
                epoch,
            })
            .collect()
    }

    /// A VM in a planned stop is judged by that stop alone.
    fn lost(&self, fleet: &FleetState, now: Instant) -> Vec<VmId> {
        let tracked = self.vms.iter().filter(|(vm, _)| {
            let known = fleet.sites.contains_key(*vm);
            known && !fleet.down.contains(*vm) && !fleet.stops.contains_key(*vm)
        });
        tracked
            .filter(|(_, track)| self.is_lost(track, now))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    fn is_lost(&self, track: &Track, now: Instant) -> bool {
        let Some(failing) = track.failing.map(|at| age(at, now)) else {
            return false;
        };
        let unlisted = track.unlisted.is_some_and(|at| age(at, now) >= UNLISTED);
        if unlisted && failing >= FAILING {
            return true;
        }
        failing >= SILENT && self.is_reached(&track.site.data_centre)
    }

    /// True if most VMs of the data centre answer, so that it is not cut off from here.
    fn is_reached(&self, home: &DataCentre) -> bool {
        let vms = self.vms.values();
        let local = vms.filter(|track| track.site.data_centre == *home);
        let (mut serving, mut all) = (0, 0);
        for track in local {
            all += 1;
            serving += usize::from(track.serving.is_some());
        }
        serving * 2 > all
    }

    fn is_back(&self, vm: &VmId, now: Instant) -> bool {
        self.vms.get(vm).is_some_and(|track| {
            let steady = track.serving.is_some_and(|at| age(at, now) >= STEADY);
            steady && track.unlisted.is_none()
        })
    }
}

fn site(vm: &Vm) -> VmLocation {
    VmLocation {
        data_centre: vm.data_centre.clone(),
        rack: vm.rack.clone(),
        class: vm.class.clone(),
    }
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
