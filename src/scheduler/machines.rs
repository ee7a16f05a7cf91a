//! VMs and the maintenance that is asked for.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::{Capacity, Millis, TargetId, Wave};

/// Time between two lists of the VMs while some are on their way, in ms.
const BUSY_EVERY_MS: Millis = 500;

/// Time between two lists of the VMs otherwise, in ms.
const QUIET_EVERY_MS: Millis = 4_000;

/// Time to the next order for a VM after one that was refused or not answered, in ms.
const RETRY_MS: Millis = 400;

/// Time after which a VM that was ordered away is taken as back even if the list, which
/// may lag, never showed it away, in ms.
const AWAY_MS: Millis = 1_500;

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
    begun: bool,
    /// When the next order may be sent.
    next: Millis,
    since: Millis,
}

/// A wave and what is left of it.
#[derive(Clone, Debug)]
pub(super) struct OpenWave {
    pub(super) wave: Wave,
    pub(super) since: Millis,
    reported: Option<bool>,
    reporting: bool,
}

/// VMs, waves and orders on their way.
#[derive(Debug)]
pub(super) struct MachineTracker {
    machines: IndexMap<String, Machine>,
    waves: IndexMap<u64, OpenWave>,
    errands: IndexMap<String, PendingOrder>,
    /// No order goes out before.
    settled: Millis,
    list_at: Millis,
    listing: bool,
    gone: IndexSet<String>,
    /// Moves that the platform said are impossible.
    barred: IndexSet<(String, Arc<str>)>,
}

impl MachineTracker {
    pub(super) fn new(settled: Millis) -> Self {
        Self {
            machines: IndexMap::new(),
            waves: IndexMap::new(),
            errands: IndexMap::new(),
            settled,
            list_at: 0,
            listing: false,
            gone: IndexSet::new(),
            barred: IndexSet::new(),
        }
    }

    /// A wave is asked for.
    pub(super) fn wave(&mut self, wave: Wave, now: Millis) {
        let number = wave.number;
        self.waves.entry(number).or_insert_with(|| {
            spdlog::info!("wave_asked", kv: { wave = number, vms = wave.machines.len(), cap = wave.max_down, limit_ms = wave.limit_ms });
            OpenWave {
                wave,
                since: now,
                reported: None,
                reporting: false,
            }
        });
        self.list_at = self.list_at.min(now);
    }

    pub(super) const fn settled(&self, now: Millis) -> bool {
        now >= self.settled
    }

    /// True when the VMs should be listed now; the caller then does so.
    pub(super) fn list_due(&mut self, now: Millis) -> bool {
        let due = !self.listing && now >= self.list_at;
        if due {
            self.listing = true;
        }
        due
    }

    /// Takes in the list of the VMs.
    pub(super) fn listed(&mut self, machines: Option<Vec<Machine>>, now: Millis) {
        self.listing = false;
        let Some(machines) = machines else {
            self.list_at = now + RETRY_MS;
            return;
        };
        let machines: IndexMap<String, Machine> = machines
            .into_iter()
            .map(|machine| (machine.name.clone(), machine))
            .collect();
        self.errands.retain(|name, errand| {
            let up = machines
                .get(name)
                .is_none_or(|machine| machine.state == MachineState::Up);
            !(errand.begun && up && now - errand.since > AWAY_MS)
        });
        self.gone = self
            .waves
            .values()
            .flat_map(|open| &open.wave.machines)
            .filter(|name| !machines.contains_key(*name))
            .cloned()
            .collect();
        self.machines = machines;
        let busy =
            !self.errands.is_empty() || self.waves.values().any(|w| w.reported != Some(true));
        let pause = if busy { BUSY_EVERY_MS } else { QUIET_EVERY_MS };
        self.list_at = now + pause;
    }

    /// VMs by name.
    pub(super) const fn machines(&self) -> &IndexMap<String, Machine> {
        &self.machines
    }

    /// True once the VMs have been listed.
    pub(super) fn known(&self) -> bool {
        !self.machines.is_empty()
    }

    /// Waves that are not complete, oldest first.
    pub(super) fn open_waves(&self) -> Vec<OpenWave> {
        let open = self.waves.values().filter(|w| w.reported != Some(true));
        open.cloned().collect()
    }

    /// VMs that are missing from the list for good.
    pub(super) fn gone(&self, name: &str) -> bool {
        self.gone.contains(name)
    }

    /// True when an order for the VM is on its way or being carried out.
    pub(super) fn away(&self, name: &str) -> bool {
        self.errands.contains_key(name)
    }

    /// True when the platform has said that the VM can't go to the pool.
    pub(super) fn barred(&self, name: &str, pool: &Arc<str>) -> bool {
        self.barred.contains(&(name.to_owned(), Arc::clone(pool)))
    }

    /// VMs that are on their way to another pool, with the pool.
    pub(super) fn incoming(&self) -> IndexMap<&str, &Arc<str>> {
        let errands = self.errands.iter();
        errands
            .filter_map(|(name, errand)| match &errand.order {
                MachineOrder::Move(pool) => Some((name.as_str(), pool)),
                MachineOrder::Upkeep(_) => None,
            })
            .collect()
    }

    /// VMs that are down for a wave, or may be.
    pub(super) fn down_for(&self, wave: &Wave) -> usize {
        let down = |name: &&String| {
            let listed = self.machines.get(*name);
            listed.is_some_and(|machine| machine.state == MachineState::Upkeep)
                || self.errands.get(*name).is_some_and(
                    |errand| matches!(errand.order, MachineOrder::Upkeep(n) if n == wave.number),
                )
        };
        wave.machines.iter().filter(down).count()
    }

    /// Notes an order that is sent now.
    pub(super) fn order(&mut self, name: &str, order: MachineOrder, now: Millis) {
        let errand = PendingOrder {
            order,
            begun: false,
            next: Millis::MAX,
            since: now,
        };
        self.errands.insert(name.to_owned(), errand);
    }

    /// Orders that may have been carried out and have to be repeated.
    pub(super) fn repeats(&mut self, now: Millis) -> Vec<(String, MachineOrder)> {
        let mut due = Vec::new();
        for (name, errand) in &mut self.errands {
            if !errand.begun && errand.next <= now {
                errand.next = Millis::MAX;
                due.push((name.clone(), errand.order.clone()));
            }
        }
        due
    }

    /// Takes in the answer to an order; returns the order once it is decided.
    pub(super) fn answered(
        &mut self,
        name: &str,
        outcome: MachineOutcome,
        now: Millis,
    ) -> Option<MachineOrder> {
        let errand = self.errands.get_mut(name)?;
        match outcome {
            MachineOutcome::Begun => {
                errand.begun = true;
                errand.since = now;
                self.list_at = self.list_at.min(now + BUSY_EVERY_MS);
                Some(errand.order.clone())
            }
            MachineOutcome::Unknown => {
                errand.next = now + RETRY_MS;
                None
            }
            outcome => {
                let order = self.errands.swap_remove(name)?.order;
                if let (MachineOutcome::Invalid, MachineOrder::Move(pool)) = (outcome, &order) {
                    self.barred.insert((name.to_owned(), Arc::clone(pool)));
                }
                Some(order)
            }
        }
    }

    /// A report on a wave is due: true for complete. The caller then sends it.
    pub(super) fn report_due(&mut self, wave: u64, complete: bool) -> bool {
        let Some(open) = self.waves.get_mut(&wave) else {
            return false;
        };
        let due = !open.reporting && open.reported != Some(complete);
        if due {
            open.reporting = true;
            open.reported = Some(complete);
        }
        due
    }

    /// The report is stored, or could not be.
    pub(super) fn reported(&mut self, wave: u64, stored: bool) {
        if let Some(open) = self.waves.get_mut(&wave) {
            open.reporting = false;
            if !stored {
                open.reported = None;
            }
        }
    }
}
