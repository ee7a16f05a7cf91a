//! In-process handle for injecting faults and reading the state of a fleet.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use anyhow::{Context, Result, ensure};
use indexmap::IndexMap;

use crate::counters::{Counters, RunTracker};
use crate::fault::{Cut, Fault, Network, Site, SiteName};
use crate::lifecycle::VmLifecycle;
use crate::log::LogService;
use crate::vms::VmState;
use crate::workers::{Resources, TaskStatus};

/// Handle to a running fleet, cheap to clone. Injects faults and VM failures, and reads state
/// and counters.
#[derive(Clone, Debug)]
pub struct Control {
    pub(crate) service_sites: Arc<IndexMap<String, Arc<Site>>>,
    pub(crate) network: Arc<Network>,
    pub(crate) lifecycle: VmLifecycle,
    pub(crate) run_tracker: Arc<RunTracker>,
    pub(crate) log: Arc<LogService>,
}

impl Control {
    /// Injects a fault at a site; one of the same kind is replaced.
    ///
    /// # Errors
    /// Fails if the site is unknown, or if its listener can't be closed.
    pub fn set(&self, site: &SiteName, fault: &Fault) -> Result<()> {
        Ok(self.site(site)?.set(fault)?)
    }

    /// Clears all faults of a site.
    ///
    /// # Errors
    /// Fails if the site is unknown, or if its listener can't be reopened.
    pub fn clear(&self, site: &SiteName) -> Result<()> {
        Ok(self.site(site)?.clear()?)
    }

    /// Clears the faults of all sites and removes all cuts.
    ///
    /// # Errors
    /// Fails if a listener can't be reopened.
    pub fn clear_all(&self) -> Result<()> {
        self.network.heal_all();
        for site in self
            .service_sites
            .values()
            .chain(self.lifecycle.executor_sites.values())
        {
            site.clear()?;
        }
        Ok(())
    }

    /// Blocks what `from` sends to `to`; each is a data centre or [`crate::PLATFORM`].
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.network.cut(cut(from, to));
    }

    /// Blocks what `a` and `b` send to each other; each is a data centre or [`crate::PLATFORM`].
    pub fn cut(&self, a: &str, b: &str) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// Removes the cuts between `a` and `b` in both directions.
    pub fn heal(&self, a: &str, b: &str) {
        self.network.heal(&cut(a, b));
        self.network.heal(&cut(b, a));
    }

    /// The active cuts.
    #[must_use]
    pub fn cuts(&self) -> Vec<Cut> {
        self.network.list()
    }

    /// Takes a VM down until it is repaired or rebooted.
    ///
    /// # Errors
    /// Fails if the VM is unknown, or if its listener can't be closed.
    pub fn fail_vm(&self, vm: &str) -> Result<()> {
        Ok(self.lifecycle.fail(vm)?)
    }

    /// Brings a failed VM back at once.
    ///
    /// # Errors
    /// Fails if the VM is unknown, or if its listener can't be reopened.
    pub fn repair_vm(&self, vm: &str) -> Result<()> {
        Ok(self.lifecycle.repair(vm)?)
    }

    /// Takes all VMs of a rack down.
    ///
    /// # Errors
    /// Fails if the rack has no VMs, or if a listener can't be closed.
    pub fn fail_rack(&self, rack: &str) -> Result<()> {
        self.change_vms(|vm| vm.rack == rack, VmLifecycle::fail)
    }

    /// Brings all VMs of a rack back.
    ///
    /// # Errors
    /// Fails if the rack has no VMs, or if a listener can't be reopened.
    pub fn repair_rack(&self, rack: &str) -> Result<()> {
        self.change_vms(|vm| vm.rack == rack, VmLifecycle::repair)
    }

    /// Takes all VMs of a data centre down.
    ///
    /// # Errors
    /// Fails if the data centre has no VMs, or if a listener can't be closed.
    pub fn fail_data_centre(&self, data_centre: &str) -> Result<()> {
        self.change_vms(|vm| vm.data_centre == data_centre, VmLifecycle::fail)
    }

    /// Brings all VMs of a data centre back.
    ///
    /// # Errors
    /// Fails if the data centre has no VMs, or if a listener can't be reopened.
    pub fn repair_data_centre(&self, data_centre: &str) -> Result<()> {
        self.change_vms(|vm| vm.data_centre == data_centre, VmLifecycle::repair)
    }

    /// Sets whether every task that a worker starts from now on fails at once.
    ///
    /// # Errors
    /// Fails if the worker is unknown.
    pub fn set_broken(&self, vm: &str, broken: bool) -> Result<()> {
        let found = self.lifecycle.workers.set_broken(vm, broken);
        found.then_some(()).context("no such worker")
    }

    /// Replaces the total resources of a worker; tasks that run go on.
    ///
    /// # Errors
    /// Fails if the worker is unknown.
    pub fn set_resources(&self, vm: &str, resources: Resources) -> Result<()> {
        let found = self.lifecycle.workers.set_resources(vm, resources);
        found.then_some(()).context("no such worker")
    }

    /// All VMs as they are now, without the lag of the VM list.
    #[must_use]
    pub fn vms(&self) -> Vec<VmState> {
        self.lifecycle.vms.current(Instant::now())
    }

    /// All tasks by the id of their worker's VM, including those that ended within the last hour.
    #[must_use]
    pub fn tasks(&self) -> IndexMap<String, Vec<TaskStatus>> {
        self.lifecycle.workers.tasks(Instant::now())
    }

    /// Counters of the requests and connections of the executors.
    #[must_use]
    pub fn counters(&self) -> Counters {
        let mut counters = self.run_tracker.counters();
        for (vm, site) in self.lifecycle.executor_sites.iter() {
            let open = site.connections();
            let counts = counters.executors.entry(vm.clone()).or_default();
            counts.connections = open.open;
            counts.max_connections = open.max_open;
            counts.refused_connections = open.refused;
        }
        counters
    }

    /// Number of times that a request id started to run, over all executors; 0 if it is not tracked.
    #[must_use]
    pub fn run_count(&self, request_id: &str) -> u64 {
        self.run_tracker.run_count(request_id)
    }

    /// Resets all counters except those of connections; requests that are running stay counted as
    /// running.
    pub fn reset_counters(&self) {
        self.run_tracker.reset();
    }

    /// Appends a batch of records to a stream, bypassing HTTP and the rate limit.
    pub fn append(&self, stream: &str, records: Vec<Vec<u8>>) {
        self.log.append(stream, records);
    }

    /// Offset that the next record of a stream will get; 0 for an unknown stream.
    #[must_use]
    pub fn head(&self, stream: &str) -> u64 {
        self.log.head(stream)
    }

    /// Number of appends to the log that took effect; a batch counts once.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.log.appends()
    }

    /// Expires the records of a stream before offset `oldest` now.
    pub fn expire_before(&self, stream: &str, oldest: u64) {
        self.log.expire_before(stream, oldest);
    }

    /// Closes the listeners of all services and executors for good.
    pub(crate) fn close(&self) {
        for site in self
            .service_sites
            .values()
            .chain(self.lifecycle.executor_sites.values())
        {
            let _ = site.listener().close();
        }
    }

    fn change_vms(
        &self,
        test: impl Fn(&VmState) -> bool,
        change: impl Fn(&VmLifecycle, &str) -> io::Result<()>,
    ) -> Result<()> {
        let vms = self.lifecycle.ids_where(test);
        ensure!(!vms.is_empty(), "no VM is there");
        Ok(vms.iter().try_for_each(|vm| change(&self.lifecycle, vm))?)
    }

    fn site(&self, name: &SiteName) -> Result<&Site> {
        let found = match name {
            SiteName::Executor(vm) => self.lifecycle.executor_sites.get(vm),
            _ => self.service_sites.get(&name.to_string()),
        };
        let site = found.with_context(|| format!("no site {name}"))?;
        Ok(site)
    }
}

fn cut(from: &str, to: &str) -> Cut {
    Cut {
        from: from.to_owned(),
        to: to.to_owned(),
    }
}
