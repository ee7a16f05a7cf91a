//! Drains, reboots, failures and repairs of VMs.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use indexmap::IndexMap;
use serde::Serialize;

use crate::counters::Tally;
use crate::fault::Site;
use crate::threads::Spawner;
use crate::vms::{Machines, Mismatch, Phase, VmState};
use crate::workers::Workers;

/// Everything that has to follow when a VM changes.
#[derive(Clone, Debug)]
pub(crate) struct Power {
    /// All VMs.
    pub(crate) machines: Arc<Machines>,
    /// Listening addresses of the executors.
    pub(crate) sites: Arc<IndexMap<String, Arc<Site>>>,
    /// All workers.
    pub(crate) workers: Arc<Workers>,
    /// Requests that run on the executors.
    pub(crate) tally: Arc<Tally>,
    /// Runs the ends of reboots.
    pub(crate) spawner: Spawner,
    /// Time that a VM is down for a reboot.
    pub(crate) reboot: Duration,
}

/// A VM at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct VmReport {
    phase: Phase,
    generation: u64,
    rebooted: u64,
    running: u64,
}

impl Power {
    /// What a VM is and runs now.
    pub(crate) fn inspect(&self, vm: &str) -> Option<VmReport> {
        let now = Instant::now();
        let state = self.machines.get(vm, now)?;
        Some(VmReport {
            phase: state.phase,
            generation: state.generation,
            rebooted: self.machines.rebooted(vm),
            running: self.tally.running(vm) + self.workers.running(vm, now),
        })
    }

    /// Marks a live VM as leaving; returns its next generation.
    pub(crate) fn drain(&self, vm: &str, generation: u64) -> Result<u64, Mismatch> {
        let now = Instant::now();
        self.machines
            .advance(vm, generation, &[Phase::Live], Phase::Leaving, now)
    }

    /// Marks a leaving VM as live again; returns its next generation.
    pub(crate) fn restore(&self, vm: &str, generation: u64) -> Result<u64, Mismatch> {
        let now = Instant::now();
        self.machines
            .advance(vm, generation, &[Phase::Leaving], Phase::Live, now)
    }

    /// Takes a VM down and brings it back later; returns its next generation.
    pub(crate) fn reboot(&self, vm: &str, generation: u64) -> Result<u64, Mismatch> {
        let now = Instant::now();
        let allowed = [Phase::Live, Phase::Leaving, Phase::Down];
        let next = self
            .machines
            .advance(vm, generation, &allowed, Phase::Down, now)?;
        let up = now + self.reboot;
        self.machines.set(vm, Phase::Live, up)?;
        // A listener that can't be closed leaves the executor up, and checks see it.
        let _ = self.switch(vm, false);
        self.spawner.spawn(self.clone().resume(vm.to_owned(), up));
        Ok(next)
    }

    /// Takes a VM down until it is repaired or rebooted.
    pub(crate) fn fail(&self, vm: &str) -> io::Result<()> {
        self.force(vm, Phase::Down)
    }

    /// Brings a VM back at once.
    pub(crate) fn repair(&self, vm: &str) -> io::Result<()> {
        self.force(vm, Phase::Live)
    }

    /// Ids of the VMs that `test` picks.
    pub(crate) fn pick(&self, test: impl Fn(&VmState) -> bool) -> Vec<String> {
        let vms = self.machines.current(Instant::now());
        vms.into_iter().filter(test).map(|vm| vm.id).collect()
    }

    fn force(&self, vm: &str, phase: Phase) -> io::Result<()> {
        self.machines
            .set(vm, phase, Instant::now())
            .map_err(|_| io::Error::new(io::ErrorKind::NotFound, format!("no VM {vm}")))?;
        self.switch(vm, phase != Phase::Down)
    }

    fn switch(&self, vm: &str, on: bool) -> io::Result<()> {
        self.workers.power(vm, on, Instant::now());
        match self.sites.get(vm) {
            Some(site) => site.power(on),
            None => Ok(()),
        }
    }

    async fn resume(self, vm: String, up: Instant) {
        Timer::at(up).await;
        let state = self.machines.get(&vm, Instant::now());
        if state.is_some_and(|state| state.phase == Phase::Live) {
            let _ = self.switch(&vm, true);
        }
    }
}
