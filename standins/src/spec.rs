//! Specification of a fleet, and its expansion into VMs.

use std::net::{IpAddr, Ipv4Addr};

use anyhow::{Result, ensure};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// Specification of a fleet; absent fields take their defaults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSpec {
    /// VM classes by name.
    pub classes: IndexMap<String, ClassSpec>,
    /// Data centres by name; VMs are created in this order.
    pub data_centres: IndexMap<String, DataCentreSpec>,
    /// Limits of the log service.
    pub log: LogSpec,
    /// How far the VM list lags behind the actual state, in ms.
    pub list_lag_ms: u64,
    /// How far the usage reports of workers lag behind, in ms.
    pub usage_lag_ms: u64,
    /// How long a VM stays down for a reboot, in ms.
    pub reboot_ms: u64,
    /// IP address that all stand-ins listen on.
    pub bind_ip: IpAddr,
    /// Threads shared by all stand-ins; 0 is treated as 1.
    pub threads: usize,
    /// Maximum number of request ids whose runs are counted one by one. Runs of further ids are
    /// counted only in total, as `untracked`.
    pub tracked_requests: usize,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            classes: IndexMap::new(),
            data_centres: IndexMap::new(),
            log: LogSpec::default(),
            list_lag_ms: 500,
            usage_lag_ms: 1_000,
            reboot_ms: 2_000,
            bind_ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
            threads: 2,
            tracked_requests: 1_000_000,
        }
    }
}

/// Kind and resources of the VMs of a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassSpec {
    /// Whether the VMs are executors or workers.
    pub kind: Kind,
    /// Requests that an executor runs concurrently; must be above 0 for executors.
    pub slots: usize,
    /// Connections that an executor accepts concurrently; must be above 0 for executors.
    pub connections: usize,
    /// Default run time of a request, in ms; an `X-Run-Ms` header overrides it.
    pub run_ms: u64,
    /// CPU cores of a worker.
    pub cores: u32,
    /// Memory of a worker, in MB.
    pub memory_mb: u32,
    /// Accelerators of a worker.
    pub accelerators: u32,
}

impl Default for ClassSpec {
    fn default() -> Self {
        Self {
            kind: Kind::Executor,
            slots: 8,
            connections: 64,
            run_ms: 0,
            cores: 16,
            memory_mb: 32 << 10,
            accelerators: 0,
        }
    }
}

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Serves requests on its own address.
    Executor,
    /// Runs tasks under leases.
    Worker,
}

/// VMs of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DataCentreSpec {
    /// Number of VMs by class name.
    pub vms: IndexMap<String, usize>,
    /// VMs in a rack; racks are filled class by class. Must be above 0.
    pub per_rack: usize,
}

impl Default for DataCentreSpec {
    fn default() -> Self {
        Self {
            vms: IndexMap::new(),
            per_rack: 4,
        }
    }
}

/// Limits of the log service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSpec {
    /// Maximum number of records kept in each stream.
    pub max_records: usize,
    /// Maximum age of a record, in ms.
    pub max_age_ms: u64,
    /// Maximum appends per second over all streams; a batch counts once, and 0 refuses all.
    pub append_rate: u32,
}

impl Default for LogSpec {
    fn default() -> Self {
        Self {
            max_records: 1_000_000,
            max_age_ms: 86_400_000,
            append_rate: 500,
        }
    }
}

/// A VM that a [`FleetSpec`] asks for.
#[derive(Clone, Debug)]
pub(crate) struct VmSpec<'a> {
    pub(crate) id: String,
    pub(crate) class: &'a str,
    pub(crate) class_spec: &'a ClassSpec,
    pub(crate) data_centre: &'a str,
    pub(crate) rack: String,
}

impl FleetSpec {
    /// Expands the spec into its VMs, in order.
    ///
    /// # Errors
    /// Fails if the spec is invalid; the error lists every problem, one per line.
    pub(crate) fn vms(&self) -> Result<Vec<VmSpec<'_>>> {
        let mut errors = self.validate();
        let vms = self.expand();
        let mut ids = IndexSet::new();
        for vm in &vms {
            if !ids.insert(vm.id.as_str()) {
                errors.push(format!("two VMs have the name {}", vm.id));
            }
        }
        ensure!(errors.is_empty(), "{}", errors.join("\n"));
        Ok(vms)
    }

    fn validate(&self) -> Vec<String> {
        let mut errors = Vec::new();
        for (name, class) in &self.classes {
            if class.kind == Kind::Executor && (class.slots == 0 || class.connections == 0) {
                errors.push(format!(
                    "class {name}: slots and connections must be above 0"
                ));
            }
        }
        for (name, data_centre) in &self.data_centres {
            if data_centre.per_rack == 0 {
                errors.push(format!("data centre {name}: per_rack must be above 0"));
            }
            let classes = data_centre.vms.keys();
            for class in classes.filter(|class| !self.classes.contains_key(*class)) {
                errors.push(format!("data centre {name}: unknown class {class}"));
            }
        }
        errors
    }

    fn expand(&self) -> Vec<VmSpec<'_>> {
        let mut vms = Vec::new();
        for (data_centre, spec) in &self.data_centres {
            let mut vm_count = 0;
            for (class, &count) in &spec.vms {
                let Some(class_spec) = self.classes.get(class) else {
                    continue;
                };
                for i in 0..count {
                    let rack = vm_count / spec.per_rack.max(1);
                    vms.push(VmSpec {
                        id: format!("{data_centre}-{class}-{i}"),
                        class,
                        class_spec,
                        data_centre,
                        rack: format!("{data_centre}-rack-{rack}"),
                    });
                    vm_count += 1;
                }
            }
        }
        vms
    }
}
