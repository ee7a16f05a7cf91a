//! All workers and the checkpoints of their tasks.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::host::Host;
use super::task::TaskStatus;

/// All workers of the fleet.
#[derive(Debug)]
pub(crate) struct Workers {
    usage_lag: Duration,
    state: Mutex<State>,
}

/// Workers by the id of their VM, and saved work by the id of its checkpoint.
#[derive(Debug)]
pub(super) struct State {
    pub(super) hosts: IndexMap<String, Host>,
    pub(super) checkpoints: IndexMap<String, Duration>,
}

impl Workers {
    /// Workers whose reports of usage are `usage_lag` old.
    pub(crate) fn new(usage_lag: Duration, hosts: IndexMap<String, Host>) -> Self {
        Self {
            usage_lag,
            state: Mutex::new(State {
                hosts,
                checkpoints: IndexMap::new(),
            }),
        }
    }

    /// Age of what is reported of usage.
    pub(super) const fn usage_lag(&self) -> Duration {
        self.usage_lag
    }

    /// Switches a worker off or on; does nothing for other VMs.
    pub(crate) fn set_powered(&self, vm: &str, on: bool, now: Instant) {
        if let Some(host) = self.lock().hosts.get_mut(vm) {
            host.set_powered(on, now);
        }
    }

    /// Makes every later task of a worker fail; false when it is not known.
    pub(crate) fn set_broken(&self, vm: &str, broken: bool) -> bool {
        match self.lock().hosts.get_mut(vm) {
            Some(host) => {
                host.set_broken(broken);
                true
            }
            None => false,
        }
    }

    /// Tasks that run on a worker now; 0 for other VMs.
    pub(crate) fn running(&self, vm: &str, now: Instant) -> u64 {
        self.lock().hosts.get_mut(vm).map_or(0, |host| {
            host.settle(now);
            host.running()
        })
    }

    /// Every task of every worker.
    pub(crate) fn tasks(&self, now: Instant) -> IndexMap<String, Vec<TaskStatus>> {
        let mut state = self.lock();
        let hosts = state.hosts.iter_mut();
        let listed = hosts.map(|(vm, host)| {
            host.settle(now);
            (vm.clone(), host.statuses())
        });
        listed.collect()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
