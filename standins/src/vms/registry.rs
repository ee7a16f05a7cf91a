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
pub(crate) struct VmHistory {
    initial: VmState,
    /// Generation given by the last reboot.
    reboot_generation: u64,
    changes: VecDeque<Change>,
    /// Phase and generation in the list as last shown.
    listed: (Phase, u64),
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
pub(crate) enum ChangeError {
    /// No such VM.
    UnknownVm,
    /// The VM has another generation, which is given.
    GenerationMismatch(u64),
    /// The VM is not in a phase that allows the change.
    PhaseNotAllowed(Phase),
}

impl VmHistory {
    /// A VM that is live from now on.
    pub(crate) fn new(initial: VmState, now: Instant) -> Self {
        let change = Change {
            at: now,
            phase: initial.phase,
            generation: initial.generation,
        };
        Self {
            listed: (initial.phase, initial.generation),
            version: FIRST_VERSION,
            initial,
            reboot_generation: 0,
            changes: VecDeque::from([change]),
        }
    }

    /// What it was at a moment; before its start, what it was at its start.
    fn state_at(&self, moment: Option<Instant>) -> VmState {
        let (phase, generation) = self.phase_at(moment);
        VmState {
            phase,
            generation,
            ..self.initial.clone()
        }
    }

    fn phase_at(&self, moment: Option<Instant>) -> (Phase, u64) {
        let is_due = |change: &&Change| moment.is_some_and(|m| change.at <= m);
        let found = self.changes.iter().rev().find(is_due);
        found
            .or(self.changes.front())
            .map_or((self.initial.phase, self.initial.generation), |change| {
                (change.phase, change.generation)
            })
    }

    /// Adds a change in place of all that lie ahead of it.
    fn push_change(&mut self, at: Instant, phase: Phase, generation: u64) {
        self.changes.retain(|c| c.at <= at);
        self.changes.push_back(Change {
            at,
            phase,
            generation,
        });
    }

    /// Forgets changes that no lagging list can show any more.
    fn prune(&mut self, before: Instant) {
        while self.changes.get(1).is_some_and(|c| c.at <= before) {
            self.changes.pop_front();
        }
    }
}

/// All VMs of the fleet.
#[derive(Debug)]
pub(crate) struct VmRegistry {
    lag: Duration,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    histories: IndexMap<String, VmHistory>,
    version: u64,
}

impl Inner {
    /// Gives a new version to each VM that is shown differently from before.
    fn update_versions(&mut self, moment: Option<Instant>) {
        for history in self.histories.values_mut() {
            let state = history.phase_at(moment);
            if state != history.listed {
                self.version += 1;
                history.listed = state;
                history.version = self.version;
            }
        }
    }
}

impl VmRegistry {
    /// A fleet of VMs whose list is `lag` old.
    pub(crate) fn new(lag: Duration, histories: IndexMap<String, VmHistory>) -> Self {
        Self {
            lag,
            inner: Mutex::new(Inner {
                histories,
                version: FIRST_VERSION,
            }),
        }
    }

    /// What the list shows now, or what has changed in it since a version that it had.
    pub(crate) fn list(&self, now: Instant, since: Option<u64>) -> Listing {
        let moment = now.checked_sub(self.lag);
        let mut inner = self.lock();
        inner.update_versions(moment);
        let since = since.filter(|since| (FIRST_VERSION..=inner.version).contains(since));
        let has_changed = |m: &&VmHistory| since.is_none_or(|since| m.version > since);
        let histories = inner.histories.values();
        Listing {
            version: inner.version,
            since,
            count: histories.len(),
            vms: histories
                .filter(has_changed)
                .map(|m| m.state_at(moment))
                .collect(),
        }
    }

    /// What is true now.
    pub(crate) fn current(&self, now: Instant) -> Vec<VmState> {
        let inner = self.lock();
        let histories = inner.histories.values();
        histories.map(|m| m.state_at(Some(now))).collect()
    }

    /// What is true of one VM now.
    pub(crate) fn get(&self, vm: &str, now: Instant) -> Option<VmState> {
        let inner = self.lock();
        inner.histories.get(vm).map(|m| m.state_at(Some(now)))
    }

    /// Generation that its last reboot gave a VM; 0 before the first.
    pub(crate) fn reboot_generation(&self, vm: &str) -> u64 {
        let inner = self.lock();
        inner
            .histories
            .get(vm)
            .map_or(0, |history| history.reboot_generation)
    }

    /// Changes a VM if it has the generation; returns the next one.
    pub(crate) fn change_phase(
        &self,
        vm: &str,
        generation: u64,
        allowed: &[Phase],
        phase: Phase,
        now: Instant,
    ) -> Result<u64, ChangeError> {
        let mut inner = self.lock();
        let history = inner.histories.get_mut(vm).ok_or(ChangeError::UnknownVm)?;
        let state = history.state_at(Some(now));
        if state.generation != generation {
            return Err(ChangeError::GenerationMismatch(state.generation));
        }
        if !allowed.contains(&state.phase) {
            return Err(ChangeError::PhaseNotAllowed(state.phase));
        }
        if let Some(listed_at) = now.checked_sub(self.lag) {
            history.prune(listed_at);
        }
        history.push_change(now, phase, generation + 1);
        if phase == Phase::Down {
            history.reboot_generation = generation + 1;
        }
        Ok(generation + 1)
    }

    /// Sets the phase of a VM without a new generation; `at` may lie ahead.
    pub(crate) fn set_phase(&self, vm: &str, phase: Phase, at: Instant) -> Result<(), ChangeError> {
        let mut inner = self.lock();
        let history = inner.histories.get_mut(vm).ok_or(ChangeError::UnknownVm)?;
        let generation = history.state_at(Some(at)).generation;
        history.push_change(at, phase, generation);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
