//! VMs and the history of their phases.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

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
            first,
            rebooted: 0,
            changes: VecDeque::from([change]),
        }
    }

    /// What it was at a moment; before its start, what it was at its start.
    fn at(&self, moment: Option<Instant>) -> VmState {
        let passed = |change: &&Change| moment.is_some_and(|m| change.at <= m);
        let found = self.changes.iter().rev().find(passed);
        let mut state = self.first.clone();
        if let Some(change) = found.or(self.changes.front()) {
            state.phase = change.phase;
            state.generation = change.generation;
        }
        state
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
    machines: Mutex<IndexMap<String, Machine>>,
}

impl Machines {
    /// A fleet of VMs whose list is `lag` old.
    pub(crate) fn new(lag: Duration, machines: IndexMap<String, Machine>) -> Self {
        Self {
            lag,
            machines: Mutex::new(machines),
        }
    }

    /// What the list shows now.
    pub(crate) fn list(&self, now: Instant) -> Vec<VmState> {
        let moment = now.checked_sub(self.lag);
        self.lock().values().map(|m| m.at(moment)).collect()
    }

    /// What is true now.
    pub(crate) fn current(&self, now: Instant) -> Vec<VmState> {
        self.lock().values().map(|m| m.at(Some(now))).collect()
    }

    /// What is true of one VM now.
    pub(crate) fn get(&self, vm: &str, now: Instant) -> Option<VmState> {
        self.lock().get(vm).map(|m| m.at(Some(now)))
    }

    /// Generation that its last reboot gave a VM; 0 before the first.
    pub(crate) fn rebooted(&self, vm: &str) -> u64 {
        self.lock().get(vm).map_or(0, |machine| machine.rebooted)
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
        let mut machines = self.lock();
        let machine = machines.get_mut(vm).ok_or(Mismatch::Missing)?;
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
        let mut machines = self.lock();
        let machine = machines.get_mut(vm).ok_or(Mismatch::Missing)?;
        let generation = machine.at(Some(at)).generation;
        machine.push(at, phase, generation);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<String, Machine>> {
        self.machines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
