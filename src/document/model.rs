//! Capacity document after parsing and validation.

use indexmap::IndexMap;

use crate::id::{ClassId, DataCentre, KeyId, OperatorId, PoolId, QueueId, ServiceId, TeamId};

/// Ed25519 public key of an operator.
pub type PublicKey = [u8; 32];

/// A valid capacity document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Section common to all teams.
    pub fleet: FleetSection,
    /// Section of each team, sorted by the team's name.
    pub teams: IndexMap<TeamId, TeamSection>,
}

impl Document {
    /// Returns a pool, whichever team owns it.
    #[must_use]
    pub fn pool(&self, id: &PoolId) -> Option<&PoolSpec> {
        self.teams.values().find_map(|team| team.pools.get(id))
    }

    /// Returns the service of a pool; `None` for an unknown pool or one without a service.
    #[must_use]
    pub fn service(&self, pool: &PoolId) -> Option<&Service> {
        let service = self.pool(pool)?.service.as_ref()?;
        self.fleet.services.get(service)
    }

    /// Makes a document of its sections and sorts the teams by name.
    pub(super) fn new(fleet: FleetSection, mut teams: IndexMap<TeamId, TeamSection>) -> Self {
        teams.sort_unstable_keys();
        Self { fleet, teams }
    }
}

/// The section common to all teams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSection {
    /// Data centres; any of them may lose its connection to the others at times.
    pub data_centres: IndexMap<DataCentre, DataCentreSpec>,
    /// Classes of VMs.
    pub classes: IndexMap<ClassId, Class>,
    /// Services that pools can run.
    pub services: IndexMap<ServiceId, Service>,
    /// Limits on VMs that are down at a time.
    pub budgets: Budgets,
    /// Public keys of the operators who may edit the fleet section.
    pub operators: IndexMap<OperatorId, PublicKey>,
    /// Public key that may create or recover the section of each team.
    pub owners: IndexMap<TeamId, PublicKey>,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreSpec {
    /// Name of its region, which is a group of data centres.
    pub region: String,
}

/// Kind of work that the VMs of a class do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// Serves callers' requests.
    Executor,
    /// Runs jobs under leases.
    Worker,
}

/// A class of VMs with the same kind of work and the same size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Kind of work of the VMs.
    pub kind: TargetKind,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of accelerators; 0 for none.
    pub accelerators: u32,
    /// Number of requests that an executor runs at a time; 0 for a worker.
    pub slots: u32,
    /// Number of connections that an executor accepts; 0 for a worker.
    pub connections: u32,
}

/// A service that executors run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Class of the VMs that run it; a class of executors.
    pub class: ClassId,
    /// Maximum time that a request may run, in ms.
    pub run_limit_ms: u64,
    /// True when any request, whatever its method, may safely run twice.
    pub idempotent: bool,
}

/// Limits on VMs that are down at a time, and the length of the maintenance cycle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budgets {
    /// Percentage of a pool's VMs that may be down, planned or not; in a pool of two or more VMs
    /// at least one may be.
    pub pool_percent: u32,
    /// Number of racks of a data centre that may have planned stops at a time.
    pub racks: u32,
    /// Number of VMs of a data centre that may have planned stops at a time.
    pub vms: u32,
    /// Length of the maintenance cycle, in days; each VM is stopped once in a cycle.
    pub cycle_days: u32,
}

/// Section of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamSection {
    /// Weight of the team's share of the capacity when the fleet is full.
    pub share: u32,
    /// Number of requests and jobs of the team that may run at a time in the whole fleet.
    pub ceiling: u32,
    /// Pools that the team owns; names are unique in the document.
    pub pools: IndexMap<PoolId, PoolSpec>,
    /// Queues that the team offers; names are unique in the document.
    pub queues: IndexMap<QueueId, QueueSpec>,
    /// Keys of the team's callers.
    pub keys: IndexMap<KeyId, TeamKey>,
    /// Public keys of the operators who may edit this section.
    pub operators: IndexMap<OperatorId, PublicKey>,
    /// What to do with requests that carry a key while the document may be out of date.
    pub on_stale: OnStale,
}

/// A group of VMs of one class: executors of one service, workers or spares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSpec {
    /// Service that its VMs run; `None` for a pool of workers or spares.
    pub service: Option<ServiceId>,
    /// Class of its VMs.
    pub class: ClassId,
    /// Number of VMs wanted in each data centre.
    pub vms: IndexMap<DataCentre, u32>,
    /// True for the spare pool of its class, which replacement VMs are taken from.
    pub spare: bool,
}

/// Who may use a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Everyone, with or without a key; requests count for the team that offers the queue.
    Open,
    /// Callers with a key of any team; requests count for that team.
    Teams,
    /// Only callers with a key of the team that offers the queue.
    Own,
}

/// A queue of requests that one pool serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueSpec {
    /// Pool that serves it, owned by the same team.
    pub pool: PoolId,
    /// Who may use it.
    pub access: Access,
    /// Maximum number of requests that wait in one data centre.
    pub max_queued: u32,
    /// Maximum size of the requests that wait in one data centre, in bytes.
    pub max_bytes: u64,
    /// Time to the deadline of a request that states none, in ms.
    pub wait_ms: u64,
}

/// A caller's key; the document has only the hash of its secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamKey {
    /// SHA-256 hash of the secret's 32 bytes.
    pub sha256: [u8; 32],
}

/// What to do with requests that carry a key while the document may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnStale {
    /// Refuse them as not run.
    Refuse,
    /// Serve them as the last accepted document allows.
    Serve,
}
