//! Chooses a target for a request and counts the slots in use on each target.
//!
//! The caller passes the current time, in microseconds since an arbitrary start.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::id::{Rack, VmId};
use crate::view::Target;

/// Failures in a row after which a target is ejected: it gets no requests for a while.
const EJECT_AFTER_FAILURES: u32 = 3;

/// Length of a target's first ejection; doubled at each further one.
const BASE_EJECTION_US: u64 = 250_000;

/// Longest ejection.
const MAX_EJECTION_US: u64 = 30_000_000;

/// What the end of a run tells about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// It answered with a status below 500.
    Good,
    /// It tells nothing: the target had no free slot although one was counted, or the
    /// request was not sent.
    Busy,
    /// The attempt failed: the target was not reached, say, or answered with 500 or more.
    Bad,
}

/// A target on which a slot was taken for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChosenTarget {
    pub(crate) vm: VmId,
    pub(crate) rack: Rack,
    pub(crate) address: SocketAddr,
}

/// Targets, and their racks, on which a request has already failed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct FailedTargets {
    pub(crate) vms: Vec<VmId>,
    pub(crate) racks: Vec<Rack>,
}

impl FailedTargets {
    /// Adds a target on which an attempt failed.
    pub(crate) fn add(&mut self, target: &ChosenTarget) {
        self.vms.push(target.vm.clone());
        self.racks.push(target.rack.clone());
    }

    /// 0 for a rack without a failed attempt, 1 for another VM of a rack with one, 2 for a VM
    /// with one.
    fn penalty(&self, state: &TargetState) -> u8 {
        match state {
            _ if self.vms.contains(&state.target.vm) => 2,
            _ if self.racks.contains(&state.target.rack) => 1,
            _ => 0,
        }
    }
}

/// A target with its running requests and recent failures.
#[derive(Debug)]
struct TargetState {
    target: Target,
    running: u32,
    /// False once the newest view no longer lists the target; the state is kept until its
    /// last request has ended.
    in_view: bool,
    consecutive_failures: u32,
    /// Ejections since the last good answer.
    ejections: u32,
    ejected_until_us: u64,
    /// Value of [`Balancer::pick_count`] when it was last chosen; among equal targets the
    /// one chosen longest ago is next.
    last_pick: u64,
}

impl TargetState {
    fn new(target: Target) -> Self {
        Self {
            target,
            running: 0,
            in_view: true,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until_us: 0,
            last_pick: 0,
        }
    }

    fn accepts_work(&self) -> bool {
        self.in_view && !self.target.leaving
    }

    /// Requests that it may run at a time. After an ejection that is one, until an answer
    /// with a status below 500.
    fn max_running(&self) -> u32 {
        if self.ejections > 0 {
            1
        } else {
            self.target.slots.min(self.target.connections)
        }
    }

    fn has_free_slot(&self) -> bool {
        self.accepts_work() && self.running < self.max_running()
    }
}

/// Targets of one pool in one data centre.
#[derive(Debug, Default)]
pub(crate) struct Balancer {
    targets: IndexMap<VmId, TargetState>,
    /// Targets chosen so far.
    pick_count: u64,
}

impl Balancer {
    /// Replaces the targets by those of a newer view; counts of known targets are kept.
    pub(crate) fn update<'a>(&mut self, targets: impl IntoIterator<Item = &'a Target>) {
        for state in self.targets.values_mut() {
            state.in_view = false;
        }
        for target in targets {
            let state = self
                .targets
                .entry(target.vm.clone())
                .or_insert_with(|| TargetState::new(target.clone()));
            state.in_view = true;
            state.target.clone_from(target);
        }
        self.targets
            .retain(|_, state| state.in_view || state.running > 0);
    }

    /// Slots of all targets that take new requests, in use or not, ejected targets included.
    pub(crate) fn total_slots(&self) -> u64 {
        let targets = self.targets.values().filter(|state| state.accepts_work());
        targets.map(|state| u64::from(state.target.slots)).sum()
    }

    /// True if any target takes new requests, now or when its ejection ends.
    pub(crate) fn has_targets(&self) -> bool {
        self.targets.values().any(TargetState::accepts_work)
    }

    /// True if a request could start on a target now.
    pub(crate) fn has_free_slot(&self, now_us: u64) -> bool {
        self.targets
            .values()
            .any(|state| state.has_free_slot() && state.ejected_until_us <= now_us)
    }

    /// Takes a slot. Targets in racks outside `avoid` come first, then the least loaded
    /// target, then the rack that runs least, then the target chosen longest ago. `None` if
    /// no target has a free slot.
    pub(crate) fn acquire(&mut self, avoid: &FailedTargets, now_us: u64) -> Option<ChosenTarget> {
        let racks = self.running_by_rack();
        let vm = self
            .targets
            .iter()
            .filter(|(_, state)| state.has_free_slot() && state.ejected_until_us <= now_us)
            .min_by_key(|(_, state)| {
                let load_permille = load_permille(state);
                let rack = racks.get(&state.target.rack).copied().unwrap_or(0);
                (avoid.penalty(state), load_permille, rack, state.last_pick)
            })
            .map(|(vm, _)| vm.clone())?;
        self.pick_count += 1;
        let last_pick = self.pick_count;
        let state = self.targets.get_mut(&vm)?;
        state.running += 1;
        state.last_pick = last_pick;
        Some(ChosenTarget {
            vm,
            rack: state.target.rack.clone(),
            address: state.target.address,
        })
    }

    /// Returns a slot that [`Balancer::acquire`] took and ejects the target if it has failed
    /// too often.
    pub(crate) fn release(&mut self, vm: &VmId, health: Health, now_us: u64) {
        let may_eject = self.may_eject(now_us);
        let Some(state) = self.targets.get_mut(vm) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        match health {
            Health::Good => {
                state.consecutive_failures = 0;
                state.ejections = 0;
            }
            Health::Busy => {}
            Health::Bad => {
                state.consecutive_failures += 1;
                let ejected_before = state.ejections > 0;
                if may_eject
                    && state.ejected_until_us <= now_us
                    && (ejected_before || state.consecutive_failures >= EJECT_AFTER_FAILURES)
                {
                    let duration_us = BASE_EJECTION_US << state.ejections.min(10);
                    state.ejected_until_us = now_us + duration_us.min(MAX_EJECTION_US);
                    state.ejections += 1;
                    state.consecutive_failures = 0;
                }
            }
        }
        if !state.in_view && state.running == 0 {
            self.targets.swap_remove(vm);
        }
    }

    /// VM, running requests and slots of each target, and whether it gets no new requests
    /// because it is ejected, leaving or no longer listed.
    pub(crate) fn loads(&self, now_us: u64) -> impl Iterator<Item = (&VmId, u32, u32, bool)> {
        self.targets.iter().map(move |(vm, state)| {
            let excluded = !state.accepts_work() || state.ejected_until_us > now_us;
            (vm, state.running, state.target.slots, excluded)
        })
    }

    /// False when another ejection would leave out more than half of the targets. When that
    /// many fail, the cause is more likely in the requests or the network.
    fn may_eject(&self, now_us: u64) -> bool {
        let states = self.targets.values().filter(|state| state.accepts_work());
        let (mut all, mut excluded) = (0, 0);
        for state in states {
            all += 1;
            excluded += usize::from(state.ejected_until_us > now_us);
        }
        (excluded + 1) * 2 <= all
    }

    fn running_by_rack(&self) -> IndexMap<Rack, u32> {
        let mut racks = IndexMap::new();
        for state in self.targets.values() {
            *racks.entry(state.target.rack.clone()).or_insert(0) += state.running;
        }
        racks
    }
}

/// Running requests per slot, in thousandths.
fn load_permille(state: &TargetState) -> u32 {
    state.running * 1_000 / state.target.slots.max(1)
}
