//! Chooses a target for a request and keeps count of its slots.
//!
//! Times are in microseconds since an arbitrary start and are handed in.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::id::{Rack, VmId};
use crate::view::Target;

/// Failures in a row after which a target is left out for a while.
const STRIKES: u32 = 3;

/// First time for which a failing target is left out; doubled each time after.
const EJECT_US: u64 = 250_000;

/// Longest time for which a failing target is left out.
const MAX_EJECT_US: u64 = 30_000_000;

/// How a run ended, as far as the target is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// It answered.
    Good,
    /// It has no free slot although one was counted.
    Busy,
    /// It failed.
    Bad,
}

/// A target that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChosenTarget {
    pub(crate) vm: VmId,
    pub(crate) rack: Rack,
    pub(crate) address: SocketAddr,
}

/// Targets where a request has failed already.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct FailedTargets {
    pub(crate) vms: Vec<VmId>,
    pub(crate) racks: Vec<Rack>,
}

impl FailedTargets {
    /// Adds a target.
    pub(crate) fn add(&mut self, choice: &ChosenTarget) {
        self.vms.push(choice.vm.clone());
        self.racks.push(choice.rack.clone());
    }

    /// 0 for another rack, 1 for another VM of the same rack, 2 for the same VM.
    fn distance(&self, seat: &TargetState) -> u8 {
        match seat {
            _ if self.vms.contains(&seat.target.vm) => 2,
            _ if self.racks.contains(&seat.target.rack) => 1,
            _ => 0,
        }
    }
}

#[derive(Debug)]
struct TargetState {
    target: Target,
    running: u32,
    /// False once the target is no longer in the view; kept while it runs something.
    listed: bool,
    strikes: u32,
    ejections: u32,
    ejected_until: u64,
    /// Number of the last start on it, to take turns among equals.
    turn: u64,
}

impl TargetState {
    fn new(target: Target) -> Self {
        Self {
            target,
            running: 0,
            listed: true,
            strikes: 0,
            ejections: 0,
            ejected_until: 0,
            turn: 0,
        }
    }

    fn serves(&self) -> bool {
        self.listed && !self.target.leaving
    }

    /// A target that comes back gets one request at a time until it answers.
    fn limit(&self) -> u32 {
        if self.ejections > 0 {
            1
        } else {
            self.target.slots.min(self.target.connections)
        }
    }

    fn free(&self) -> bool {
        self.serves() && self.running < self.limit()
    }
}

/// Targets of one pool in one data centre.
#[derive(Debug, Default)]
pub(crate) struct Balancer {
    seats: IndexMap<VmId, TargetState>,
    turn: u64,
}

impl Balancer {
    /// Takes over the targets of a newer view.
    pub(crate) fn update<'a>(&mut self, targets: impl IntoIterator<Item = &'a Target>) {
        for seat in self.seats.values_mut() {
            seat.listed = false;
        }
        for target in targets {
            let seat = self
                .seats
                .entry(target.vm.clone())
                .or_insert_with(|| TargetState::new(target.clone()));
            seat.listed = true;
            seat.target.clone_from(target);
        }
        self.seats.retain(|_, seat| seat.listed || seat.running > 0);
    }

    /// Slots of all targets that take new work.
    pub(crate) fn slots(&self) -> u64 {
        let seats = self.seats.values().filter(|seat| seat.serves());
        seats.map(|seat| u64::from(seat.target.slots)).sum()
    }

    /// True when any target takes new work, now or later.
    pub(crate) fn any(&self) -> bool {
        self.seats.values().any(TargetState::serves)
    }

    /// True when a target could start something now.
    pub(crate) fn has_room(&self, now_us: u64) -> bool {
        self.seats
            .values()
            .any(|seat| seat.free() && seat.ejected_until <= now_us)
    }

    /// Takes a slot: another rack than before first, then the least loaded target, then
    /// the least loaded rack, then the one whose turn is longest ago.
    pub(crate) fn take(&mut self, avoid: &FailedTargets, now_us: u64) -> Option<ChosenTarget> {
        let racks = self.running_by_rack();
        let vm = self
            .seats
            .iter()
            .filter(|(_, seat)| seat.free() && seat.ejected_until <= now_us)
            .min_by_key(|(_, seat)| {
                let load = load(seat);
                let rack = racks.get(&seat.target.rack).copied().unwrap_or(0);
                (avoid.distance(seat), load, rack, seat.turn)
            })
            .map(|(vm, _)| vm.clone())?;
        self.turn += 1;
        let turn = self.turn;
        let seat = self.seats.get_mut(&vm)?;
        seat.running += 1;
        seat.turn = turn;
        Some(ChosenTarget {
            vm,
            rack: seat.target.rack.clone(),
            address: seat.target.address,
        })
    }

    /// Gives a slot back.
    pub(crate) fn release(&mut self, vm: &VmId, health: Health, now_us: u64) {
        let may_eject = self.may_eject(now_us);
        let Some(seat) = self.seats.get_mut(vm) else {
            return;
        };
        seat.running = seat.running.saturating_sub(1);
        match health {
            Health::Good => {
                seat.strikes = 0;
                seat.ejections = 0;
            }
            Health::Busy => {}
            Health::Bad => {
                seat.strikes += 1;
                let again = seat.ejections > 0;
                if may_eject && seat.ejected_until <= now_us && (again || seat.strikes >= STRIKES) {
                    let time = EJECT_US << seat.ejections.min(10);
                    seat.ejected_until = now_us + time.min(MAX_EJECT_US);
                    seat.ejections += 1;
                    seat.strikes = 0;
                }
            }
        }
        if !seat.listed && seat.running == 0 {
            self.seats.swap_remove(vm);
        }
    }

    /// Load of each target: VM, running requests, slots, left out.
    pub(crate) fn loads(&self, now_us: u64) -> impl Iterator<Item = (&VmId, u32, u32, bool)> {
        self.seats.iter().map(move |(vm, seat)| {
            let out = !seat.serves() || seat.ejected_until > now_us;
            (vm, seat.running, seat.target.slots, out)
        })
    }

    /// At most half of the targets are left out at a time; when more fail, the fault lies
    /// rather in the requests or on the way.
    fn may_eject(&self, now_us: u64) -> bool {
        let serving = self.seats.values().filter(|seat| seat.serves());
        let (mut all, mut out) = (0, 0);
        for seat in serving {
            all += 1;
            out += usize::from(seat.ejected_until > now_us);
        }
        (out + 1) * 2 <= all
    }

    fn running_by_rack(&self) -> IndexMap<Rack, u32> {
        let mut racks = IndexMap::new();
        for seat in self.seats.values() {
            *racks.entry(seat.target.rack.clone()).or_insert(0) += seat.running;
        }
        racks
    }
}

/// Part of the slots in use, in thousandths.
fn load(seat: &TargetState) -> u32 {
    seat.running * 1_000 / seat.target.slots.max(1)
}
