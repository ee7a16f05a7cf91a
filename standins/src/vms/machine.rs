//! VMs and the history of their phases.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Version of the list at the start.
const FIRST_VERSION: u64 = 1;

/// Phase of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Serves.
    Live,
    /// Will be taken away or rebooted.
    Leaving,
    /// Off or starting.
    Down,
}

/// A VM as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmState {
    /// Its name.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its failure domain.
    pub rack: String,
    /// Address of an executor; workers have none.
    pub address: Option<SocketAddr>,
    /// Its phase.
    pub phase: Phase,
    /// Changed by every drain, restore and reboot.
    pub generation: u64,
}

/// A change of phase at a moment, which may lie ahead.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Instant,
    phase: Phase,
    generation: u64,
}

/// One VM.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    first: VmState,
    /// Generation given by the last reboot.
    rebooted: u64,
    changes: VecDeque<Change>,
    /// Phase and generation in the list as last shown.
    shown: (Phase, u64),
    /// Version of the list since which it has been shown like that.
    version: u64,
}

/// The list as it is shown, whole or what has changed in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Listing {
    /// Rises with every change of the list.
    pub(crate) version: u64,
    /// Version that the changes are relative to; absent from a whole list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) since: Option<u64>,
    /// VMs in the whole list.
    pub(crate) count: usize,
    /// All VMs, or those that have changed.
    pub(crate) vms: Vec<VmState>,
}

/// Why a conditional change was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mismatch {
    /// No such VM.
    Missing,
    /// The VM has another generation, which is given.
    Generation(u64),
    /// The VM is not in a phase that allows the change.
    Phase(Phase),
}

impl Machine {
    /// A VM that is live from now on.
    pub(crate) fn new(first: VmState, now: Instant) -> Self {
        let change = Change {
            at: now,
            phase: first.phase,
            generation: first.generation,
        };
        Self {
            shown: (first.phase, first.generation),
            version: FIRST_VERSION,
            first,
            rebooted: 0,
            changes: VecDeque::from([change]),
        }
    }

    /// What it was at a moment; before its start, what it was at its start.
    fn at(&self, moment: Option<Instant>) -> VmState {
        let (phase, generation) = self.state_at(moment);
        VmState {
            phase,
            generation,
            ..self.first.clone()
        }
    }

    fn state_at(&self, moment: Option<Instant>) -> (Phase, u64) {
        let passed = |change: &&Change| moment.is_some_and(|m| change.at <= m);
        let found = self.changes.iter().rev().find(passed);
        found
            .or(self.changes.front())
            .map_or((self.first.phase, self.first.generation), |change| {
                (change.phase, change.generation)
            })
    }

    /// Adds a change in place of all that lie ahead of it.
    fn push(&mut self, at: Instant, phase: Phase, generation: u64) {
        self.changes.retain(|c| c.at <= at);
        self.changes.push_back(Change {
            at,
            phase,
            generation,
        });
    }

    /// Forgets changes that no lagging list can show any more.
    fn forget(&mut self, before: Instant) {
        while self.changes.get(1).is_some_and(|c| c.at <= before) {
            self.changes.pop_front();
        }
    }
}

/// All VMs of the fleet.
#[derive(Debug)]
pub(crate) struct Machines {
    lag: Duration,
    roll: Mutex<Roll>,
}

#[derive(Debug)]
struct Roll {
    machines: IndexMap<String, Machine>,
    version: u64,
}

impl Roll {
    /// Gives a new version to each VM that is shown differently from before.
    fn show(&mut self, moment: Option<Instant>) {
        for machine in self.machines.values_mut() {
            let state = machine.state_at(moment);
            if state != machine.shown {
                self.version += 1;
                machine.shown = state;
                machine.version = self.version;
            }
        }
    }
}

impl Machines {
    /// A fleet of VMs whose list is `lag` old.
    pub(crate) fn new(lag: Duration, machines: IndexMap<String, Machine>) -> Self {
        Self {
            lag,
            roll: Mutex::new(Roll {
                machines,
                version: FIRST_VERSION,
            }),
        }
    }

    /// What the list shows now, or what has changed in it since a version that it had.
    pub(crate) fn list(&self, now: Instant, since: Option<u64>) -> Listing {
        let moment = now.checked_sub(self.lag);
        let mut roll = self.lock();
        roll.show(moment);
        let since = since.filter(|since| (FIRST_VERSION..=roll.version).contains(since));
        let wanted = |m: &&Machine| since.is_none_or(|since| m.version > since);
        let machines = roll.machines.values();
        Listing {
            version: roll.version,
            since,
            count: machines.len(),
            vms: machines.filter(wanted).map(|m| m.at(moment)).collect(),
        }
    }

    /// What is true now.
    pub(crate) fn current(&self, now: Instant) -> Vec<VmState> {
        let roll = self.lock();
        let machines = roll.machines.values();
        machines.map(|m| m.at(Some(now))).collect()
    }

    /// What is true of one VM now.
    pub(crate) fn get(&self, vm: &str, now: Instant) -> Option<VmState> {
        let roll = self.lock();
        roll.machines.get(vm).map(|m| m.at(Some(now)))
    }

    /// Generation that its last reboot gave a VM; 0 before the first.
    pub(crate) fn rebooted(&self, vm: &str) -> u64 {
        let roll = self.lock();
        roll.machines.get(vm).map_or(0, |machine| machine.rebooted)
    }

    /// Changes a VM if it has the generation; returns the next one.
    pub(crate) fn advance(
        &self,
        vm: &str,
        generation: u64,
        allowed: &[Phase],
        phase: Phase,
        now: Instant,
    ) -> Result<u64, Mismatch> {
        let mut roll = self.lock();
        let machine = roll.machines.get_mut(vm).ok_or(Mismatch::Missing)?;
        let state = machine.at(Some(now));
        if state.generation != generation {
            return Err(Mismatch::Generation(state.generation));
        }
        if !allowed.contains(&state.phase) {
            return Err(Mismatch::Phase(state.phase));
        }
        if let Some(shown) = now.checked_sub(self.lag) {
            machine.forget(shown);
        }
        machine.push(now, phase, generation + 1);
        if phase == Phase::Down {
            machine.rebooted = generation + 1;
        }
        Ok(generation + 1)
    }

    /// Sets the phase of a VM without a new generation; `at` may lie ahead.
    pub(crate) fn set(&self, vm: &str, phase: Phase, at: Instant) -> Result<(), Mismatch> {
        let mut roll = self.lock();
        let machine = roll.machines.get_mut(vm).ok_or(Mismatch::Missing)?;
        let generation = machine.at(Some(at)).generation;
        machine.push(at, phase, generation);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Roll> {
        self.roll.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
