//! All workers, and the checkpoints of their tasks.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::task::TaskStatus;
use super::worker::{Resources, Worker};

/// All workers of the fleet.
#[derive(Debug)]
pub(crate) struct WorkerRegistry {
    usage_lag: Duration,
    state: Mutex<State>,
}

/// Workers by VM id, and progress at full speed by checkpoint id.
#[derive(Debug)]
pub(super) struct State {
    pub(super) workers: IndexMap<String, Worker>,
    pub(super) checkpoints: IndexMap<String, Duration>,
}

impl WorkerRegistry {
    /// Creates a registry whose usage reports are `usage_lag` old.
    pub(crate) fn new(usage_lag: Duration, workers: IndexMap<String, Worker>) -> Self {
        Self {
            usage_lag,
            state: Mutex::new(State {
                workers,
                checkpoints: IndexMap::new(),
            }),
        }
    }

    /// Age of usage reports.
    pub(super) const fn usage_lag(&self) -> Duration {
        self.usage_lag
    }

    /// Powers a worker on or off; does nothing for other VMs.
    pub(crate) fn set_powered(&self, vm: &str, on: bool, now: Instant) {
        if let Some(worker) = self.lock().workers.get_mut(vm) {
            worker.set_powered(on, now);
        }
    }

    /// Sets whether every task that a worker starts from now on fails at once. Returns false if the
    /// worker is unknown.
    pub(crate) fn set_broken(&self, vm: &str, broken: bool) -> bool {
        match self.lock().workers.get_mut(vm) {
            Some(worker) => {
                worker.set_broken(broken);
                true
            }
            None => false,
        }
    }

    /// Replaces the total resources of a worker. Returns false if the worker is unknown.
    pub(crate) fn set_resources(&self, vm: &str, resources: Resources) -> bool {
        match self.lock().workers.get_mut(vm) {
            Some(worker) => {
                worker.set_resources(resources);
                true
            }
            None => false,
        }
    }

    /// Number of tasks running on a worker now; 0 for other VMs.
    pub(crate) fn running(&self, vm: &str, now: Instant) -> u64 {
        self.lock().workers.get_mut(vm).map_or(0, |worker| {
            worker.advance_to(now);
            worker.running()
        })
    }

    /// Status of each task, by the id of its worker's VM.
    pub(crate) fn tasks(&self, now: Instant) -> IndexMap<String, Vec<TaskStatus>> {
        let mut state = self.lock();
        let workers = state.workers.iter_mut();
        let listed = workers.map(|(vm, worker)| {
            worker.advance_to(now);
            (vm.clone(), worker.statuses())
        });
        listed.collect()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
