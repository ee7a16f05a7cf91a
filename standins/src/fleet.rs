//! A running fleet of stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use indexmap::IndexMap;

use crate::control::{Control, ControlService};
use crate::counters::Tally;
use crate::executor::ExecutorService;
use crate::fault::{Network, PLATFORM, Site, SiteName, SiteSpec};
use crate::log::LogService;
use crate::pools::PoolsService;
use crate::power::Power;
use crate::serve::{Service, spawn};
use crate::spec::{FleetSpec, Kind, VmSpec};
use crate::threads::{Spawner, Threads};
use crate::vms::{Machine, Machines, Phase, VmState, VmsService};
use crate::workers::{Host, Size, Workers, WorkersService};

const SERVICE_CONNECTIONS: usize = 4_096;

/// A running fleet; dropping it ends all stand-ins.
#[derive(Debug)]
pub struct Fleet {
    log: SocketAddr,
    vms: SocketAddr,
    pools: SocketAddr,
    workers: SocketAddr,
    control_path: SocketAddr,
    executors: Vec<ExecutorAddress>,
    control: Control,
    _threads: Threads,
}

/// Where an executor listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutorAddress {
    /// Its VM.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its address.
    pub address: SocketAddr,
}

impl Fleet {
    /// Starts all stand-ins of a fleet on addresses that the kernel chooses.
    ///
    /// # Errors
    /// Fails on an unknown class, or when threads or sockets are refused.
    pub fn open(spec: &FleetSpec) -> Result<Self> {
        let threads = Threads::open(spec.threads)?;
        let spawner = threads.spawner();
        let network = Arc::new(Network::default());
        let tally = Arc::new(Tally::new(spec.tracked_requests));
        let vms = spec.vms()?;

        let sites = bind_executors(spec, &vms)?;
        for vm in &vms {
            if let Some(site) = sites.get(&vm.id) {
                let service = ExecutorService::new(&vm.id, vm.size, Arc::clone(&tally));
                serve(&spawner, site, &network, service);
            }
        }
        let executors = list_executors(&vms, &sites);
        let now = Instant::now();
        let power = Power {
            machines: Arc::new(Machines::new(
                Duration::from_millis(spec.list_lag_ms),
                machines(&vms, &sites, now),
            )),
            sites: Arc::new(sites),
            workers: Arc::new(Workers::new(
                Duration::from_millis(spec.usage_lag_ms),
                hosts(&vms),
            )),
            tally: Arc::clone(&tally),
            spawner: spawner.clone(),
            reboot: Duration::from_millis(spec.reboot_ms),
        };

        let bind = |connections| {
            Site::bind(&SiteSpec {
                address: SocketAddr::new(spec.bind_ip, 0),
                data_centre: PLATFORM,
                connections,
            })
            .context("bind a service")
        };
        let log_site = bind(SERVICE_CONNECTIONS)?;
        let vms_site = bind(SERVICE_CONNECTIONS)?;
        let pools_site = bind(SERVICE_CONNECTIONS)?;
        let workers_site = bind(SERVICE_CONNECTIONS)?;
        let control_site = bind(SERVICE_CONNECTIONS)?;

        let log = Arc::new(LogService::new(&spec.log, Arc::clone(&log_site), now));
        let vms_service = VmsService::new(Arc::clone(&power.machines));
        let workers_service = WorkersService::new(Arc::clone(&power.workers), Arc::clone(&network));
        spawn(
            &spawner,
            Arc::clone(&log_site),
            Arc::clone(&network),
            Arc::clone(&log),
        );
        serve(&spawner, &vms_site, &network, vms_service);
        serve(
            &spawner,
            &pools_site,
            &network,
            PoolsService::new(power.clone()),
        );
        serve(&spawner, &workers_site, &network, workers_service);

        let services = IndexMap::from([
            (SiteName::Log.to_string(), Arc::clone(&log_site)),
            (SiteName::Vms.to_string(), Arc::clone(&vms_site)),
            (SiteName::Pools.to_string(), Arc::clone(&pools_site)),
            (SiteName::Workers.to_string(), Arc::clone(&workers_site)),
        ]);
        let control = Control {
            services: Arc::new(services),
            network: Arc::clone(&network),
            power,
            tally,
            log,
        };
        serve(
            &spawner,
            &control_site,
            &network,
            ControlService::new(control.clone()),
        );
        Ok(Self {
            log: log_site.address(),
            vms: vms_site.address(),
            pools: pools_site.address(),
            workers: workers_site.address(),
            control_path: control_site.address(),
            executors,
            control,
            _threads: threads,
        })
    }

    /// Address of the log service.
    #[must_use]
    pub const fn log_address(&self) -> SocketAddr {
        self.log
    }

    /// Address of the VM list.
    #[must_use]
    pub const fn vms_address(&self) -> SocketAddr {
        self.vms
    }

    /// Address for drains and reboots.
    #[must_use]
    pub const fn pools_address(&self) -> SocketAddr {
        self.pools
    }

    /// Address for tasks of workers.
    #[must_use]
    pub const fn workers_address(&self) -> SocketAddr {
        self.workers
    }

    /// Address of the control path.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control_path
    }

    /// Executors in the order of the description.
    #[must_use]
    pub fn executors(&self) -> &[ExecutorAddress] {
        &self.executors
    }

    /// Faults, failures and counters, in process.
    #[must_use]
    pub const fn control(&self) -> &Control {
        &self.control
    }
}

fn serve<S: Service>(spawner: &Spawner, site: &Arc<Site>, network: &Arc<Network>, service: S) {
    let site = Arc::clone(site);
    let network = Arc::clone(network);
    spawn(spawner, site, network, Arc::new(service));
}

fn bind_executors(spec: &FleetSpec, vms: &[VmSpec<'_>]) -> Result<IndexMap<String, Arc<Site>>> {
    let executors = vms.iter().filter(|vm| vm.size.kind == Kind::Executor);
    executors
        .map(|vm| {
            let site = Site::bind(&SiteSpec {
                address: SocketAddr::new(spec.bind_ip, 0),
                data_centre: vm.data_centre,
                connections: vm.size.connections,
            })
            .with_context(|| format!("bind executor {}", vm.id))?;
            Ok((vm.id.clone(), site))
        })
        .collect()
}

fn list_executors(vms: &[VmSpec<'_>], sites: &IndexMap<String, Arc<Site>>) -> Vec<ExecutorAddress> {
    vms.iter()
        .filter_map(|vm| {
            Some(ExecutorAddress {
                vm: vm.id.clone(),
                data_centre: vm.data_centre.to_owned(),
                address: sites.get(&vm.id)?.address(),
            })
        })
        .collect()
}

fn machines(
    vms: &[VmSpec<'_>],
    sites: &IndexMap<String, Arc<Site>>,
    now: Instant,
) -> IndexMap<String, Machine> {
    vms.iter()
        .map(|vm| {
            let state = VmState {
                id: vm.id.clone(),
                class: vm.class.to_owned(),
                data_centre: vm.data_centre.to_owned(),
                rack: vm.rack.clone(),
                address: sites.get(&vm.id).map(|site| site.address()),
                phase: Phase::Live,
                generation: 0,
            };
            (vm.id.clone(), Machine::new(state, now))
        })
        .collect()
}

fn hosts(vms: &[VmSpec<'_>]) -> IndexMap<String, Host> {
    let workers = vms.iter().filter(|vm| vm.size.kind == Kind::Worker);
    workers
        .map(|vm| {
            let size = Size {
                cores: vm.size.cores,
                memory_mb: vm.size.memory_mb,
                accelerators: vm.size.accelerators,
            };
            (vm.id.clone(), Host::new(size, vm.data_centre))
        })
        .collect()
}
