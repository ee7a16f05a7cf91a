//! A running fleet of stand-ins.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use indexmap::IndexMap;

use crate::control::{Control, ControlService};
use crate::counters::RunTracker;
use crate::executor::ExecutorService;
use crate::fault::{Network, PLATFORM, Site, SiteName, SiteSpec};
use crate::lifecycle::VmLifecycle;
use crate::log::LogService;
use crate::pools::PoolsService;
use crate::serve::{Service, spawn_server};
use crate::spec::{FleetSpec, Kind, VmSpec};
use crate::thread_pool::{Spawner, ThreadPool};
use crate::vms::{Phase, VmHistory, VmRegistry, VmState, VmsService};
use crate::workers::{Resources, Worker, WorkerRegistry, WorkersService};

const MAX_SERVICE_CONNECTIONS: usize = 4_096;

/// A running fleet of stand-ins. Dropping it closes all listeners and ends all tasks.
#[derive(Debug)]
pub struct Fleet {
    log: SocketAddr,
    vms: SocketAddr,
    pools: SocketAddr,
    workers: SocketAddr,
    control_site: SocketAddr,
    executors: Vec<ExecutorAddress>,
    control: Control,
    _threads: ThreadPool,
}

/// Listening address of an executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutorAddress {
    /// Id of the executor's VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address for requests.
    pub address: SocketAddr,
}

impl Fleet {
    /// Starts all stand-ins of a fleet, on ports that the kernel assigns.
    ///
    /// # Errors
    /// Fails if the spec is invalid, or if a thread or socket can't be created.
    pub fn open(spec: &FleetSpec) -> Result<Self> {
        let threads = ThreadPool::open(spec.threads)?;
        let opener = SiteOpener {
            spawner: threads.spawner(),
            network: Arc::new(Network::default()),
            bind_ip: spec.bind_ip,
        };
        let vms = spec.vms()?;
        let run_tracker = Arc::new(RunTracker::new(spec.tracked_requests));
        let sites = opener.open_executors(&vms, &run_tracker)?;
        let executors = list_executors(&vms, &sites);
        let lifecycle = build_lifecycle(spec, &vms, sites, &run_tracker, &opener.spawner);
        let services = opener.open_services(spec, &lifecycle)?;
        let control = Control {
            service_sites: Arc::new(services.sites),
            network: Arc::clone(&opener.network),
            lifecycle,
            run_tracker,
            log: services.log,
        };
        let control_site = opener.open_service(ControlService::new(control.clone()))?;
        let address = |name: &SiteName| control.service_sites[&name.to_string()].address();
        Ok(Self {
            log: address(&SiteName::Log),
            vms: address(&SiteName::Vms),
            pools: address(&SiteName::Pools),
            workers: address(&SiteName::Workers),
            control_site: control_site.address(),
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

    /// Address of the pools service, which drains, restores and reboots VMs.
    #[must_use]
    pub const fn pools_address(&self) -> SocketAddr {
        self.pools
    }

    /// Address of the workers service, which starts and manages tasks.
    #[must_use]
    pub const fn workers_address(&self) -> SocketAddr {
        self.workers
    }

    /// Address of the control API, which injects faults and reads counters.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control_site
    }

    /// All executors, in the order of the spec.
    #[must_use]
    pub fn executors(&self) -> &[ExecutorAddress] {
        &self.executors
    }

    /// In-process handle that injects faults and failures and reads counters.
    #[must_use]
    pub const fn control(&self) -> &Control {
        &self.control
    }
}

impl Drop for Fleet {
    /// Closes the listeners explicitly, because a clone of the control handle keeps them alive.
    fn drop(&mut self) {
        self.control.close();
    }
}

/// Opens sites and serves them, with the state that all sites share.
struct SiteOpener {
    spawner: Spawner,
    network: Arc<Network>,
    bind_ip: IpAddr,
}

/// Sites of the platform's services by site name, without the control API.
struct Services {
    sites: IndexMap<String, Arc<Site>>,
    log: Arc<LogService>,
}

impl SiteOpener {
    fn open_executors(
        &self,
        vms: &[VmSpec<'_>],
        run_tracker: &Arc<RunTracker>,
    ) -> Result<IndexMap<String, Arc<Site>>> {
        let mut sites = IndexMap::new();
        for vm in vms.iter().filter(|vm| vm.class_spec.kind == Kind::Executor) {
            let site = self
                .bind_site(vm.data_centre, vm.class_spec.connections)
                .with_context(|| format!("bind executor {}", vm.id))?;
            let service = ExecutorService::new(&vm.id, vm.class_spec, Arc::clone(run_tracker));
            self.serve(&site, Arc::new(service));
            sites.insert(vm.id.clone(), site);
        }
        Ok(sites)
    }

    fn open_services(&self, spec: &FleetSpec, lifecycle: &VmLifecycle) -> Result<Services> {
        let log_site = self.bind_site(PLATFORM, MAX_SERVICE_CONNECTIONS)?;
        let log = LogService::new(&spec.log, Arc::clone(&log_site), Instant::now());
        let log = Arc::new(log);
        self.serve(&log_site, Arc::clone(&log));
        let vms = VmsService::new(Arc::clone(&lifecycle.vms));
        let pools = PoolsService::new(lifecycle.clone());
        let workers =
            WorkersService::new(Arc::clone(&lifecycle.workers), Arc::clone(&self.network));
        let sites = IndexMap::from([
            (SiteName::Log.to_string(), log_site),
            (SiteName::Vms.to_string(), self.open_service(vms)?),
            (SiteName::Pools.to_string(), self.open_service(pools)?),
            (SiteName::Workers.to_string(), self.open_service(workers)?),
        ]);
        Ok(Services { sites, log })
    }

    fn open_service(&self, service: impl Service) -> Result<Arc<Site>> {
        let site = self.bind_site(PLATFORM, MAX_SERVICE_CONNECTIONS)?;
        self.serve(&site, Arc::new(service));
        Ok(site)
    }

    fn bind_site(&self, data_centre: &str, max_connections: usize) -> Result<Arc<Site>> {
        Site::bind(&SiteSpec {
            address: SocketAddr::new(self.bind_ip, 0),
            data_centre,
            max_connections,
        })
        .context("bind a site")
    }

    fn serve<S: Service>(&self, site: &Arc<Site>, service: Arc<S>) {
        let network = Arc::clone(&self.network);
        spawn_server(&self.spawner, Arc::clone(site), network, service);
    }
}

fn build_lifecycle(
    spec: &FleetSpec,
    vms: &[VmSpec<'_>],
    sites: IndexMap<String, Arc<Site>>,
    run_tracker: &Arc<RunTracker>,
    spawner: &Spawner,
) -> VmLifecycle {
    let histories = vm_histories(vms, &sites, Instant::now());
    let list_lag = Duration::from_millis(spec.list_lag_ms);
    let usage_lag = Duration::from_millis(spec.usage_lag_ms);
    VmLifecycle {
        vms: Arc::new(VmRegistry::new(list_lag, histories)),
        executor_sites: Arc::new(sites),
        workers: Arc::new(WorkerRegistry::new(usage_lag, build_workers(vms))),
        run_tracker: Arc::clone(run_tracker),
        spawner: spawner.clone(),
        reboot_duration: Duration::from_millis(spec.reboot_ms),
    }
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

fn vm_histories(
    vms: &[VmSpec<'_>],
    sites: &IndexMap<String, Arc<Site>>,
    now: Instant,
) -> IndexMap<String, VmHistory> {
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
            (vm.id.clone(), VmHistory::new(state, now))
        })
        .collect()
}

fn build_workers(vms: &[VmSpec<'_>]) -> IndexMap<String, Worker> {
    let workers = vms.iter().filter(|vm| vm.class_spec.kind == Kind::Worker);
    workers
        .map(|vm| {
            let resources = Resources {
                cores: vm.class_spec.cores,
                memory_mb: vm.class_spec.memory_mb,
                accelerators: vm.class_spec.accelerators,
            };
            (vm.id.clone(), Worker::new(resources, vm.data_centre))
        })
        .collect()
}
