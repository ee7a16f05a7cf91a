//! VMs and the maintenance that is asked for.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::{Capacity, Millis, TargetId, Wave};

/// Time between two lists of the VMs while some are on their way, in ms.
const BUSY_LIST_INTERVAL_MS: Millis = 500;

/// Time between two lists of the VMs otherwise, in ms.
const IDLE_LIST_INTERVAL_MS: Millis = 4_000;

/// Time to the next order for a VM after one that was refused or not answered, in ms.
const RETRY_MS: Millis = 400;

/// Time after which a VM that was ordered away is taken as back even if the list, which
/// may lag, never showed it away, in ms.
const ASSUME_BACK_MS: Millis = 1_500;

/// Where a VM stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// In its pool.
    Up,
    /// On its way to another pool.
    Moving,
    /// Being maintained.
    Upkeep,
    /// Not running.
    Down,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: Arc<str>,
    /// Where it stands.
    pub state: MachineState,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// What it offers.
    pub capacity: Capacity,
    /// The target on it; `None` in a pool whose VMs are off.
    pub target: Option<TargetId>,
}

/// What the platform said to an order for a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineOutcome {
    /// It is carried out.
    Begun,
    /// Another holder with a higher fencing token has called.
    Fenced,
    /// The VM is not up, or leaves.
    Busy,
    /// The VM is not part of the wave.
    NotInWave,
    /// There is no such VM, or it can't be there.
    Invalid,
    /// Nothing is known; it may have been carried out.
    Unknown,
}

/// An order for a VM that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum MachineOrder {
    Upkeep(u64),
    Move(Arc<str>),
}

/// What is known of a VM besides the list.
#[derive(Clone, Debug)]
struct PendingOrder {
    order: MachineOrder,
    /// False while the order is not confirmed.
    accepted: bool,
    /// When the next order may be sent.
    retry_at: Millis,
    since: Millis,
}

/// A wave and what is left of it.
#[derive(Clone, Debug)]
pub(super) struct OpenWave {
    pub(super) wave: Wave,
    pub(super) requested_at: Millis,
    last_report: Option<bool>,
    report_in_flight: bool,
}

/// VMs, waves and orders on their way.
#[derive(Debug)]
pub(super) struct MachineTracker {
    machines: IndexMap<String, Machine>,
    waves: IndexMap<u64, OpenWave>,
    pending_orders: IndexMap<String, PendingOrder>,
    /// No order goes out before.
    orders_allowed_at: Millis,
    next_list_at: Millis,
    list_in_flight: bool,
    missing: IndexSet<String>,
    /// Moves that the platform said are impossible.
    impossible_moves: IndexSet<(String, Arc<str>)>,
}

impl MachineTracker {
    pub(super) fn new(orders_allowed_at: Millis) -> Self {
        Self {
            machines: IndexMap::new(),
            waves: IndexMap::new(),
            pending_orders: IndexMap::new(),
            orders_allowed_at,
            next_list_at: 0,
            list_in_flight: false,
            missing: IndexSet::new(),
            impossible_moves: IndexSet::new(),
        }
    }

    /// A wave is asked for.
    pub(super) fn add_wave(&mut self, wave: Wave, now: Millis) {
        let number = wave.number;
        self.waves.entry(number).or_insert_with(|| {
            spdlog::info!("wave_asked", kv: { wave = number, vms = wave.machines.len(), cap = wave.max_down, limit_ms = wave.limit_ms });
            OpenWave {
                wave,
                requested_at: now,
                last_report: None,
                report_in_flight: false,
            }
        });
        self.next_list_at = self.next_list_at.min(now);
    }

    pub(super) const fn orders_allowed(&self, now: Millis) -> bool {
        now >= self.orders_allowed_at
    }

    /// True when the VMs should be listed now; the caller then does so.
    pub(super) fn start_listing(&mut self, now: Millis) -> bool {
        let due = !self.list_in_flight && now >= self.next_list_at;
        if due {
            self.list_in_flight = true;
        }
        due
    }

    /// Takes in the list of the VMs.
    pub(super) fn apply_list(&mut self, machines: Option<Vec<Machine>>, now: Millis) {
        self.list_in_flight = false;
        let Some(machines) = machines else {
            self.next_list_at = now + RETRY_MS;
            return;
        };
        let machines: IndexMap<String, Machine> = machines
            .into_iter()
            .map(|machine| (machine.name.clone(), machine))
            .collect();
        self.pending_orders.retain(|name, pending| {
            let up = machines
                .get(name)
                .is_none_or(|machine| machine.state == MachineState::Up);
            !(pending.accepted && up && now - pending.since > ASSUME_BACK_MS)
        });
        self.missing = self
            .waves
            .values()
            .flat_map(|open| &open.wave.machines)
            .filter(|name| !machines.contains_key(*name))
            .cloned()
            .collect();
        self.machines = machines;
        let busy = !self.pending_orders.is_empty()
            || self.waves.values().any(|w| w.last_report != Some(true));
        let pause = if busy {
            BUSY_LIST_INTERVAL_MS
        } else {
            IDLE_LIST_INTERVAL_MS
        };
        self.next_list_at = now + pause;
    }

    /// VMs by name.
    pub(super) const fn machines(&self) -> &IndexMap<String, Machine> {
        &self.machines
    }

    /// True once the VMs have been listed.
    pub(super) fn has_list(&self) -> bool {
        !self.machines.is_empty()
    }

    /// Waves that are not complete, oldest first.
    pub(super) fn open_waves(&self) -> Vec<OpenWave> {
        let open = self.waves.values().filter(|w| w.last_report != Some(true));
        open.cloned().collect()
    }

    /// VMs that are missing from the list for good.
    pub(super) fn is_missing(&self, name: &str) -> bool {
        self.missing.contains(name)
    }

    /// True when an order for the VM is on its way or being carried out.
    pub(super) fn has_pending_order(&self, name: &str) -> bool {
        self.pending_orders.contains_key(name)
    }

    /// True when the platform has said that the VM can't go to the pool.
    pub(super) fn is_impossible_move(&self, name: &str, pool: &Arc<str>) -> bool {
        self.impossible_moves
            .contains(&(name.to_owned(), Arc::clone(pool)))
    }

    /// VMs that are on their way to another pool, with the pool.
    pub(super) fn pending_moves(&self) -> IndexMap<&str, &Arc<str>> {
        let pending = self.pending_orders.iter();
        pending
            .filter_map(|(name, pending)| match &pending.order {
                MachineOrder::Move(pool) => Some((name.as_str(), pool)),
                MachineOrder::Upkeep(_) => None,
            })
            .collect()
    }

    /// VMs that are down for a wave, or may be.
    pub(super) fn down_count(&self, wave: &Wave) -> usize {
        let down = |name: &&String| {
            let listed = self.machines.get(*name);
            listed.is_some_and(|machine| machine.state == MachineState::Upkeep)
                || self.pending_orders.get(*name).is_some_and(
                    |pending| matches!(pending.order, MachineOrder::Upkeep(n) if n == wave.number),
                )
        };
        wave.machines.iter().filter(down).count()
    }

    /// Notes an order that is sent now.
    pub(super) fn record_order(&mut self, name: &str, order: MachineOrder, now: Millis) {
        let pending = PendingOrder {
            order,
            accepted: false,
            retry_at: Millis::MAX,
            since: now,
        };
        self.pending_orders.insert(name.to_owned(), pending);
    }

    /// Orders that may have been carried out and have to be repeated.
    pub(super) fn take_retries(&mut self, now: Millis) -> Vec<(String, MachineOrder)> {
        let mut due = Vec::new();
        for (name, pending) in &mut self.pending_orders {
            if !pending.accepted && pending.retry_at <= now {
                pending.retry_at = Millis::MAX;
                due.push((name.clone(), pending.order.clone()));
            }
        }
        due
    }

    /// Takes in the answer to an order; returns the order once it is decided.
    pub(super) fn apply_answer(
        &mut self,
        name: &str,
        outcome: MachineOutcome,
        now: Millis,
    ) -> Option<MachineOrder> {
        let pending = self.pending_orders.get_mut(name)?;
        match outcome {
            MachineOutcome::Begun => {
                pending.accepted = true;
                pending.since = now;
                self.next_list_at = self.next_list_at.min(now + BUSY_LIST_INTERVAL_MS);
                Some(pending.order.clone())
            }
            MachineOutcome::Unknown => {
                pending.retry_at = now + RETRY_MS;
                None
            }
            outcome => {
                let order = self.pending_orders.swap_remove(name)?.order;
                if let (MachineOutcome::Invalid, MachineOrder::Move(pool)) = (outcome, &order) {
                    self.impossible_moves
                        .insert((name.to_owned(), Arc::clone(pool)));
                }
                Some(order)
            }
        }
    }

    /// A report on a wave is due: true for complete. The caller then sends it.
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

    /// The report is stored, or could not be.
    pub(super) fn report_finished(&mut self, wave: u64, stored: bool) {
        if let Some(open) = self.waves.get_mut(&wave) {
            open.report_in_flight = false;
            if !stored {
                open.last_report = None;
            }
        }
    }
}
