//! Drains, reboots, failures and repairs of VMs.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use indexmap::IndexMap;
use serde::Serialize;

use crate::counters::RunTracker;
use crate::fault::Site;
use crate::thread_pool::Spawner;
use crate::vms::{ChangeError, Phase, VmRegistry, VmState};
use crate::workers::WorkerRegistry;

/// Changes the phase of VMs and applies each change to the executor's listener or the worker.
#[derive(Clone, Debug)]
pub(crate) struct VmLifecycle {
    /// Phases and generations of all VMs.
    pub(crate) vms: Arc<VmRegistry>,
    /// Sites of the executors by VM id; workers have none.
    pub(crate) executor_sites: Arc<IndexMap<String, Arc<Site>>>,
    /// Workers by VM id, and their tasks.
    pub(crate) workers: Arc<WorkerRegistry>,
    /// Counts the requests that run on the executors.
    pub(crate) run_tracker: Arc<RunTracker>,
    /// Spawns the tasks that complete reboots.
    pub(crate) spawner: Spawner,
    /// How long a VM stays down for a reboot.
    pub(crate) reboot_duration: Duration,
}

/// Current state of a VM, without the lag of the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct VmReport {
    phase: Phase,
    generation: u64,
    rebooted: u64,
    running: u64,
}

impl VmLifecycle {
    /// Returns the current state of a VM and how many requests or tasks run on it; `None` for an
    /// unknown VM.
    pub(crate) fn inspect(&self, vm: &str) -> Option<VmReport> {
        let now = Instant::now();
        let state = self.vms.get(vm, now)?;
        Some(VmReport {
            phase: state.phase,
            generation: state.generation,
            rebooted: self.vms.reboot_generation(vm),
            running: self.run_tracker.running(vm) + self.workers.running(vm, now),
        })
    }

    /// Marks a live VM as leaving and returns its new generation.
    pub(crate) fn drain(&self, vm: &str, generation: u64) -> Result<u64, ChangeError> {
        let now = Instant::now();
        self.vms
            .change_phase(vm, generation, &[Phase::Live], Phase::Leaving, now)
    }

    /// Marks a leaving VM as live again and returns its new generation.
    pub(crate) fn restore(&self, vm: &str, generation: u64) -> Result<u64, ChangeError> {
        let now = Instant::now();
        self.vms
            .change_phase(vm, generation, &[Phase::Leaving], Phase::Live, now)
    }

    /// Takes a VM down, schedules its return after `reboot_duration`, and returns its new
    /// generation.
    pub(crate) fn reboot(&self, vm: &str, generation: u64) -> Result<u64, ChangeError> {
        let now = Instant::now();
        let allowed = [Phase::Live, Phase::Leaving, Phase::Down];
        let next = self
            .vms
            .change_phase(vm, generation, &allowed, Phase::Down, now)?;
        let up_at = now + self.reboot_duration;
        self.vms.set_phase(vm, Phase::Live, up_at)?;
        // If closing the listener fails, the executor stays up, which tests notice.
        let _ = self.set_powered(vm, false);
        self.spawner
            .spawn(self.clone().power_on_at(vm.to_owned(), up_at));
        Ok(next)
    }

    /// Takes a VM down until it is repaired or rebooted; its generation stays the same.
    pub(crate) fn fail(&self, vm: &str) -> io::Result<()> {
        self.force_phase(vm, Phase::Down)
    }

    /// Brings a VM back at once; its generation stays the same.
    pub(crate) fn repair(&self, vm: &str) -> io::Result<()> {
        self.force_phase(vm, Phase::Live)
    }

    /// Ids of the VMs whose current state satisfies `test`.
    pub(crate) fn ids_where(&self, test: impl Fn(&VmState) -> bool) -> Vec<String> {
        let vms = self.vms.current(Instant::now());
        vms.into_iter().filter(test).map(|vm| vm.id).collect()
    }

    fn force_phase(&self, vm: &str, phase: Phase) -> io::Result<()> {
        self.vms
            .set_phase(vm, phase, Instant::now())
            .map_err(|_| io::Error::new(io::ErrorKind::NotFound, format!("no VM {vm}")))?;
        self.set_powered(vm, phase != Phase::Down)
    }

    fn set_powered(&self, vm: &str, on: bool) -> io::Result<()> {
        self.workers.set_powered(vm, on, Instant::now());
        match self.executor_sites.get(vm) {
            Some(site) => site.set_powered(on),
            None => Ok(()),
        }
    }

    async fn power_on_at(self, vm: String, up_at: Instant) {
        Timer::at(up_at).await;
        let state = self.vms.get(&vm, Instant::now());
        if state.is_some_and(|state| state.phase == Phase::Live) {
            let _ = self.set_powered(&vm, true);
        }
    }
}
