//! Tracks the platform's VMs, the orders to move or maintain them, and maintenance waves.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::missing_vms::MissingVms;
use super::target_entry::Incarnation;
use super::vm::{Vm, VmOrder, VmOutcome, VmState};
use super::{Millis, TargetEntry, TargetId, Wave};

/// Time between two listings of the VMs while an order or a wave is open, in ms.
const BUSY_LIST_INTERVAL_MS: Millis = 500;

/// Time between two listings of the VMs otherwise, in ms.
const IDLE_LIST_INTERVAL_MS: Millis = 4_000;

/// Time for which the VMs are listed often after [`VmTracker::watch`], in ms: long enough for a
/// target that has crashed to be back, or for its VM to be listed as down.
const WATCH_MS: Millis = 15_000;

/// Time until a listing that failed, or an order whose outcome is unknown, is repeated, in
/// ms.
const RETRY_MS: Millis = 400;

/// Time after the answer that accepted an order for which a listed state of up is ignored, in
/// ms: the list lags, and may still show the VM as it was before the order. From then on, a VM
/// that is listed as up has finished the order, even if the list never showed it as away.
const LIST_LAG_MS: Millis = 1_500;

/// An order for a VM that was sent and has not been seen to be finished.
#[derive(Clone, Debug)]
struct PendingOrder {
    order: VmOrder,
    /// What was on the VM when the order was sent; `None` if nothing was known to be. The order
    /// ends nothing else: whatever comes up on the VM until it is finished is not due to leave.
    subject: Option<Incarnation>,
    /// Whether the platform has confirmed that it carries the order out.
    accepted: bool,
    /// When the order is sent again; the largest value while a call is in flight.
    retry_at: Millis,
    /// When the order was sent, or once it is accepted, when that was learned.
    since: Millis,
}

/// A wave and what was reported of it to the operators.
#[derive(Clone, Debug)]
pub(super) struct OpenWave {
    pub(super) wave: Wave,
    /// When the leader learned of the wave.
    pub(super) requested_at: Millis,
    /// Latest report sent: whether the wave is complete. `None` before the first and after
    /// one that could not be stored.
    last_report: Option<bool>,
    report_in_flight: bool,
}

/// The leader's state of VMs, of pending orders for them and of maintenance waves.
#[derive(Debug)]
pub(super) struct VmTracker {
    /// VMs by name, as last listed; empty before the first list.
    vms: IndexMap<String, Vm>,
    /// Waves by number, in the order in which they became known.
    waves: IndexMap<u64, OpenWave>,
    /// Pending orders by the name of the VM.
    pending_orders: IndexMap<String, PendingOrder>,
    /// No order is sent before this time.
    orders_allowed_at: Millis,
    next_list_at: Millis,
    list_in_flight: bool,
    /// Until when the VMs are listed often without an open order or wave.
    watched_until: Millis,
    /// VMs of waves and of pending orders that are not listed.
    missing: MissingVms,
    /// Pairs of VM and pool for which the platform refused a move as invalid.
    impossible_moves: IndexSet<(String, Arc<str>)>,
}

impl VmTracker {
    pub(super) fn new(orders_allowed_at: Millis) -> Self {
        Self {
            vms: IndexMap::new(),
            waves: IndexMap::new(),
            pending_orders: IndexMap::new(),
            orders_allowed_at,
            next_list_at: 0,
            list_in_flight: false,
            watched_until: 0,
            missing: MissingVms::default(),
            impossible_moves: IndexSet::new(),
        }
    }

    /// Adds a wave, unless one of its number is known, and makes a listing of the VMs due.
    pub(super) fn add_wave(&mut self, wave: Wave, now: Millis) {
        let number = wave.number;
        self.waves.entry(number).or_insert_with(|| {
            spdlog::info!("wave_asked", kv: { wave = number, vms = wave.vms.len(), cap = wave.max_down, limit_ms = wave.limit_ms });
            OpenWave {
                wave,
                requested_at: now,
                last_report: None,
                report_in_flight: false,
            }
        });
        self.next_list_at = self.next_list_at.min(now);
    }

    /// Makes a listing of the VMs due, and further ones often for a while: it is open what became
    /// of a target.
    pub(super) fn watch(&mut self, now: Millis) {
        self.watched_until = now + WATCH_MS;
        self.next_list_at = self.next_list_at.min(now);
    }

    /// Returns whether the time before which no order may be sent has passed.
    pub(super) const fn orders_allowed(&self, now: Millis) -> bool {
        now >= self.orders_allowed_at
    }

    /// Returns whether the VMs should be listed now. The listing then counts as begun until
    /// [`Self::apply_list`], and the caller must send it.
    pub(super) fn start_listing(&mut self, now: Millis) -> bool {
        let due = !self.list_in_flight && now >= self.next_list_at;
        if due {
            self.list_in_flight = true;
        }
        due
    }

    /// Takes in a list of the VMs; `None` when it could not be read. Orders that were accepted
    /// are taken as finished for VMs that are up again or missing.
    pub(super) fn apply_list(&mut self, vms: Option<Vec<Vm>>, now: Millis) {
        self.list_in_flight = false;
        let Some(vms) = vms else {
            self.next_list_at = now + RETRY_MS;
            return;
        };
        let vms: IndexMap<String, Vm> = vms.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
        let of_waves = self.waves.values().flat_map(|open| &open.wave.vms);
        let names = of_waves.chain(self.pending_orders.keys());
        self.missing.update(names, &vms);
        let missing = &self.missing;
        self.pending_orders.retain(|name, pending| {
            let finished = vms
                .get(name)
                .map_or_else(|| missing.contains(name), |vm| vm.state == VmState::Up);
            !(pending.accepted && finished && now - pending.since > LIST_LAG_MS)
        });
        self.vms = vms;
        let busy = !self.pending_orders.is_empty()
            || now < self.watched_until
            || self.waves.values().any(|w| w.last_report != Some(true));
        let pause = if busy {
            BUSY_LIST_INTERVAL_MS
        } else {
            IDLE_LIST_INTERVAL_MS
        };
        self.next_list_at = now + pause;
    }

    /// VMs by name, as last listed.
    pub(super) const fn vms(&self) -> &IndexMap<String, Vm> {
        &self.vms
    }

    /// Name of the VM that a target was last listed on; `None` if it was on none.
    pub(super) fn vm_of(&self, id: &TargetId) -> Option<String> {
        let mut vms = self.vms.values();
        let vm = vms.find(|vm| vm.target.as_ref() == Some(id))?;
        Some(vm.name.clone())
    }

    /// Returns whether a list that is not empty has been read.
    pub(super) fn has_list(&self) -> bool {
        !self.vms.is_empty()
    }

    /// Waves that were not reported as complete, in the order in which they became known.
    pub(super) fn open_waves(&self) -> Vec<OpenWave> {
        let open = self.waves.values().filter(|w| w.last_report != Some(true));
        open.cloned().collect()
    }

    /// Returns whether the VM is part of a wave, but not in the latest two lists: it is gone and
    /// need not be maintained.
    pub(super) fn is_missing(&self, name: &str) -> bool {
        self.missing.contains(name)
    }

    /// Returns whether an order for the VM is in flight or being carried out.
    pub(super) fn has_pending_order(&self, name: &str) -> bool {
        self.pending_orders.contains_key(name)
    }

    /// Returns whether the target was on its VM when a pending order for that was sent.
    pub(super) fn has_order_for(&self, entry: &TargetEntry) -> bool {
        let pending = self.pending_orders.get(&*entry.vm);
        let subject = pending.and_then(|pending| pending.subject.as_ref());
        subject.is_some_and(|subject| subject.is_of(entry))
    }

    /// Returns whether the platform has refused a move of the VM to the pool as invalid.
    pub(super) fn is_impossible_move(&self, name: &str, pool: &Arc<str>) -> bool {
        self.impossible_moves
            .contains(&(name.to_owned(), Arc::clone(pool)))
    }

    /// VMs with a pending move, and the pools that they move to.
    pub(super) fn pending_moves(&self) -> IndexMap<&str, &Arc<str>> {
        let pending = self.pending_orders.iter();
        pending
            .filter_map(|(name, pending)| match &pending.order {
                VmOrder::Move(pool) => Some((name.as_str(), pool)),
                VmOrder::Upkeep(_) => None,
            })
            .collect()
    }

    /// Number of the wave's VMs that are being maintained, or may be because an order for
    /// that is pending.
    pub(super) fn down_count(&self, wave: &Wave) -> usize {
        let down = |name: &&String| {
            let listed = self.vms.get(*name);
            listed.is_some_and(|vm| vm.state == VmState::Upkeep)
                || self.pending_orders.get(*name).is_some_and(
                    |pending| matches!(pending.order, VmOrder::Upkeep(n) if n == wave.number),
                )
        };
        wave.vms.iter().filter(down).count()
    }

    /// Records an order that is sent now; `subject` is on the VM.
    pub(super) fn record_order(
        &mut self,
        name: &str,
        order: VmOrder,
        subject: Option<Incarnation>,
        now: Millis,
    ) {
        let pending = PendingOrder {
            order,
            subject,
            accepted: false,
            retry_at: Millis::MAX,
            since: now,
        };
        self.pending_orders.insert(name.to_owned(), pending);
    }

    /// Returns the orders of unknown outcome that are due to be sent again; the caller must
    /// send them.
    pub(super) fn take_retries(&mut self, now: Millis) -> Vec<(String, VmOrder)> {
        let mut due = Vec::new();
        for (name, pending) in &mut self.pending_orders {
            if !pending.accepted && pending.retry_at <= now {
                pending.retry_at = Millis::MAX;
                due.push((name.clone(), pending.order.clone()));
            }
        }
        due
    }

    /// Takes in the answer to an order; returns the order unless its outcome is unknown.
    pub(super) fn apply_answer(
        &mut self,
        name: &str,
        outcome: VmOutcome,
        now: Millis,
    ) -> Option<VmOrder> {
        let pending = self.pending_orders.get_mut(name)?;
        match outcome {
            VmOutcome::Begun => {
                pending.accepted = true;
                pending.since = now;
                self.next_list_at = self.next_list_at.min(now + BUSY_LIST_INTERVAL_MS);
                Some(pending.order.clone())
            }
            VmOutcome::Unknown => {
                pending.retry_at = now + RETRY_MS;
                None
            }
            outcome => {
                let order = self.pending_orders.swap_remove(name)?.order;
                if let (VmOutcome::Invalid, VmOrder::Move(pool)) = (outcome, &order) {
                    self.impossible_moves
                        .insert((name.to_owned(), Arc::clone(pool)));
                }
                Some(order)
            }
        }
    }

    /// Returns whether a report must be sent to the operators that the wave is complete, or
    /// is not. The report then counts as in flight until [`Self::report_finished`], and the
    /// caller must send it.
    pub(super) fn start_report(&mut self, wave: u64, complete: bool) -> bool {
        let Some(open) = self.waves.get_mut(&wave) else {
            return false;
        };
        let due = !open.report_in_flight && open.last_report != Some(complete);
        if due {
            open.report_in_flight = true;
            open.last_report = Some(complete);
        }
        due
    }

    /// Notes that the report in flight was stored, or could not be.
    pub(super) fn report_finished(&mut self, wave: u64, stored: bool) {
        if let Some(open) = self.waves.get_mut(&wave) {
            open.report_in_flight = false;
            if !stored {
                open.last_report = None;
            }
        }
    }
}
