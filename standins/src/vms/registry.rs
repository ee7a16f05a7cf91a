//! VMs, the history of their phases, and the versions of the lagging list.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Version of the list when the fleet starts.
const FIRST_VERSION: u64 = 1;

/// Phase in the life of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// In service.
    Live,
    /// Draining: still in service, but about to be rebooted or removed.
    Leaving,
    /// Off, or booting.
    Down,
}

/// A VM as the VM list reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmState {
    /// Unique id of the VM.
    pub id: String,
    /// Name of the VM's class.
    pub class: String,
    /// Name of the data centre that the VM is in.
    pub data_centre: String,
    /// Id of the rack, a failure domain: its VMs can fail together.
    pub rack: String,
    /// Address of an executor; `None` for a worker.
    pub address: Option<SocketAddr>,
    /// Phase at the time that the list shows.
    pub phase: Phase,
    /// Incremented by every drain, restore and reboot; starts at 0.
    pub generation: u64,
}

/// A phase change at an instant that may be in the future.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Instant,
    phase: Phase,
    generation: u64,
}

/// A VM with its recent and scheduled phase changes.
#[derive(Clone, Debug)]
pub(crate) struct VmHistory {
    initial: VmState,
    /// Generation that the last reboot assigned; 0 before the first.
    reboot_generation: u64,
    changes: VecDeque<Change>,
    /// Phase and generation that the list last showed.
    listed: (Phase, u64),
    /// List version in which `listed` first appeared.
    version: u64,
}

/// The VM list, or the changes in it since a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Listing {
    /// Version of the list; incremented for every VM whose shown state changes.
    pub(crate) version: u64,
    /// Version that the changes are relative to; `None` for the whole list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) since: Option<u64>,
    /// Number of VMs in the whole list.
    pub(crate) count: usize,
    /// All VMs, or only those changed after version `since`.
    pub(crate) vms: Vec<VmState>,
}

/// Why a conditional phase change was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeError {
    /// The VM doesn't exist.
    UnknownVm,
    /// The VM has this generation instead of the requested one.
    GenerationMismatch(u64),
    /// The VM is in this phase, which doesn't allow the change.
    PhaseNotAllowed(Phase),
}

impl VmHistory {
    /// Creates a VM whose first change, at `now`, is to the phase of `initial`.
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

    /// State of the VM at `moment`; its initial state if `moment` is `None` or before its
    /// start.
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

    /// Adds a change, and drops all changes scheduled after it.
    fn push_change(&mut self, at: Instant, phase: Phase, generation: u64) {
        self.changes.retain(|c| c.at <= at);
        self.changes.push_back(Change {
            at,
            phase,
            generation,
        });
    }

    /// Drops changes superseded at or before `before`, which the lagging list can't show any more.
    fn prune(&mut self, before: Instant) {
        while self.changes.get(1).is_some_and(|c| c.at <= before) {
            self.changes.pop_front();
        }
    }
}

/// All VMs of the fleet, and the versions of the VM list.
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
    /// Assigns a new version to each VM whose state at `moment` differs from the listed one.
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
    /// Creates a registry whose list shows the VMs as they were `lag` ago.
    pub(crate) fn new(lag: Duration, histories: IndexMap<String, VmHistory>) -> Self {
        Self {
            lag,
            inner: Mutex::new(Inner {
                histories,
                version: FIRST_VERSION,
            }),
        }
    }

    /// Returns the list as of now, or only the changes since version `since`. A `since` outside the
    /// versions so far gives the whole list.
    pub(crate) fn list(&self, now: Instant, since: Option<u64>) -> Listing {
        let moment = now.checked_sub(self.lag);
        let mut inner = self.lock();
        inner.update_versions(moment);
        let since = since.filter(|since| (FIRST_VERSION..=inner.version).contains(since));
        let has_changed = |history: &&VmHistory| since.is_none_or(|since| history.version > since);
        let histories = inner.histories.values();
        Listing {
            version: inner.version,
            since,
            count: histories.len(),
            vms: histories
                .filter(has_changed)
                .map(|history| history.state_at(moment))
                .collect(),
        }
    }

    /// States of all VMs now, without the lag.
    pub(crate) fn current(&self, now: Instant) -> Vec<VmState> {
        let inner = self.lock();
        let histories = inner.histories.values();
        histories
            .map(|history| history.state_at(Some(now)))
            .collect()
    }

    /// State of one VM now, without the lag.
    pub(crate) fn get(&self, vm: &str, now: Instant) -> Option<VmState> {
        let inner = self.lock();
        inner
            .histories
            .get(vm)
            .map(|history| history.state_at(Some(now)))
    }

    /// Generation that the last reboot assigned to a VM; 0 before the first, or if the VM is
    /// unknown.
    pub(crate) fn reboot_generation(&self, vm: &str) -> u64 {
        let inner = self.lock();
        inner
            .histories
            .get(vm)
            .map_or(0, |history| history.reboot_generation)
    }

    /// Sets the phase of a VM if it has this generation and is in an allowed phase; returns the
    /// new generation.
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

    /// Sets the phase of a VM from `at` on, which may be in the future; keeps the generation.
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
