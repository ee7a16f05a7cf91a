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

/// Result of one attempt to run a request, as far as it tells something about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptResult {
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
    fn penalty(&self, tracked: &TrackedTarget) -> u8 {
        match tracked {
            _ if self.vms.contains(&tracked.target.vm) => 2,
            _ if self.racks.contains(&tracked.target.rack) => 1,
            _ => 0,
        }
    }
}

/// A target with its running requests and recent failures.
#[derive(Debug)]
struct TrackedTarget {
    target: Target,
    running: u32,
    /// False once the newest view no longer lists the target; the entry is kept until its
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

impl TrackedTarget {
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
    targets: IndexMap<VmId, TrackedTarget>,
    /// Targets chosen so far.
    pick_count: u64,
}

impl Balancer {
    /// Replaces the targets by those of a newer view; counts of known targets are kept.
    pub(crate) fn update<'a>(&mut self, targets: impl IntoIterator<Item = &'a Target>) {
        for tracked in self.targets.values_mut() {
            tracked.in_view = false;
        }
        for target in targets {
            let tracked = self
                .targets
                .entry(target.vm.clone())
                .or_insert_with(|| TrackedTarget::new(target.clone()));
            tracked.in_view = true;
            tracked.target.clone_from(target);
        }
        self.targets
            .retain(|_, tracked| tracked.in_view || tracked.running > 0);
    }

    /// Slots of all targets that take new requests, in use or not, ejected targets included.
    pub(crate) fn total_slots(&self) -> u64 {
        let targets = self
            .targets
            .values()
            .filter(|tracked| tracked.accepts_work());
        targets.map(|tracked| u64::from(tracked.target.slots)).sum()
    }

    /// True if any target takes new requests, now or when its ejection ends.
    pub(crate) fn has_targets(&self) -> bool {
        self.targets.values().any(TrackedTarget::accepts_work)
    }

    /// True if a request could start on a target now.
    pub(crate) fn has_free_slot(&self, now_us: u64) -> bool {
        self.targets
            .values()
            .any(|tracked| tracked.has_free_slot() && tracked.ejected_until_us <= now_us)
    }

    /// Takes a slot. Targets in racks outside `avoid` come first, then the least loaded
    /// target, then the rack that runs least, then the target chosen longest ago. `None` if
    /// no target has a free slot.
    pub(crate) fn acquire(&mut self, avoid: &FailedTargets, now_us: u64) -> Option<ChosenTarget> {
        let racks = self.running_by_rack();
        let vm = self
            .targets
            .iter()
            .filter(|(_, tracked)| tracked.has_free_slot() && tracked.ejected_until_us <= now_us)
            .min_by_key(|(_, tracked)| {
                let load_permille = load_permille(tracked);
                let rack = racks.get(&tracked.target.rack).copied().unwrap_or(0);
                (
                    avoid.penalty(tracked),
                    load_permille,
                    rack,
                    tracked.last_pick,
                )
            })
            .map(|(vm, _)| vm.clone())?;
        self.pick_count += 1;
        let last_pick = self.pick_count;
        let tracked = self.targets.get_mut(&vm)?;
        tracked.running += 1;
        tracked.last_pick = last_pick;
        Some(ChosenTarget {
            vm,
            rack: tracked.target.rack.clone(),
            address: tracked.target.address,
        })
    }

    /// Returns a slot that [`Balancer::acquire`] took and ejects the target if it has failed
    /// too often.
    pub(crate) fn release(&mut self, vm: &VmId, result: AttemptResult, now_us: u64) {
        let may_eject = self.may_eject(now_us);
        let Some(tracked) = self.targets.get_mut(vm) else {
            return;
        };
        tracked.running = tracked.running.saturating_sub(1);
        match result {
            AttemptResult::Good => {
                tracked.consecutive_failures = 0;
                tracked.ejections = 0;
            }
            AttemptResult::Busy => {}
            AttemptResult::Bad => {
                tracked.consecutive_failures += 1;
                let ejected_before = tracked.ejections > 0;
                if may_eject
                    && tracked.ejected_until_us <= now_us
                    && (ejected_before || tracked.consecutive_failures >= EJECT_AFTER_FAILURES)
                {
                    let duration_us = BASE_EJECTION_US << tracked.ejections.min(10);
                    tracked.ejected_until_us = now_us + duration_us.min(MAX_EJECTION_US);
                    tracked.ejections += 1;
                    tracked.consecutive_failures = 0;
                }
            }
        }
        if !tracked.in_view && tracked.running == 0 {
            self.targets.swap_remove(vm);
        }
    }

    /// VM, running requests and slots of each target, and whether it gets no new requests
    /// because it is ejected, leaving or no longer listed.
    pub(crate) fn loads(&self, now_us: u64) -> impl Iterator<Item = (&VmId, u32, u32, bool)> {
        self.targets.iter().map(move |(vm, tracked)| {
            let excluded = !tracked.accepts_work() || tracked.ejected_until_us > now_us;
            (vm, tracked.running, tracked.target.slots, excluded)
        })
    }

    /// False when another ejection would leave out more than half of the targets. When that
    /// many fail, the cause is more likely in the requests or the network.
    fn may_eject(&self, now_us: u64) -> bool {
        let accepting = self
            .targets
            .values()
            .filter(|tracked| tracked.accepts_work());
        let (mut all, mut excluded) = (0, 0);
        for tracked in accepting {
            all += 1;
            excluded += usize::from(tracked.ejected_until_us > now_us);
        }
        (excluded + 1) * 2 <= all
    }

    fn running_by_rack(&self) -> IndexMap<Rack, u32> {
        let mut racks = IndexMap::new();
        for tracked in self.targets.values() {
            *racks.entry(tracked.target.rack.clone()).or_insert(0) += tracked.running;
        }
        racks
    }
}

/// Running requests per slot, in thousandths.
fn load_permille(tracked: &TrackedTarget) -> u32 {
    tracked.running * 1_000 / tracked.target.slots.max(1)
}
