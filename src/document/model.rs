//! Typed form of a valid capacity document.

use indexmap::IndexMap;

use crate::id::{ClassId, DataCentre, KeyId, OperatorId, PoolId, QueueId, ServiceId, TeamId};

/// Ed25519 public key of an operator.
pub type PublicKey = [u8; 32];

/// The whole accepted document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The section common to all teams.
    pub fleet: FleetSection,
    /// One section a team.
    pub teams: IndexMap<TeamId, TeamSection>,
}

impl Document {
    /// A pool, whichever team owns it.
    #[must_use]
    pub fn pool(&self, id: &PoolId) -> Option<&PoolSpec> {
        self.teams.values().find_map(|team| team.pools.get(id))
    }

    /// What the targets of a pool run.
    #[must_use]
    pub fn service(&self, pool: &PoolId) -> Option<&Service> {
        let service = self.pool(pool)?.service.as_ref()?;
        self.fleet.services.get(service)
    }

    /// Joins sections; teams are kept in the order of their names.
    pub(super) fn new(fleet: FleetSection, mut teams: IndexMap<TeamId, TeamSection>) -> Self {
        teams.sort_unstable_keys();
        Self { fleet, teams }
    }
}

/// The section common to all teams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSection {
    /// Zones, each cut off from the others now and then.
    pub data_centres: IndexMap<DataCentre, DataCentreSpec>,
    /// Sizes of VMs.
    pub classes: IndexMap<ClassId, Class>,
    /// Kinds of back end.
    pub services: IndexMap<ServiceId, Service>,
    /// How many VMs may be down at a time.
    pub budgets: Budgets,
    /// Operators who may edit the fleet section.
    pub operators: IndexMap<OperatorId, PublicKey>,
    /// Keys that may create or recover the section of a team.
    pub owners: IndexMap<TeamId, PublicKey>,
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreSpec {
    /// Name of the region it lies in.
    pub region: String,
}

/// What a VM of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// Serves requests.
    Executor,
    /// Runs jobs under leases.
    Worker,
}

/// Size of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// What it does.
    pub kind: TargetKind,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Requests that an executor runs at a time; 0 for a worker.
    pub slots: u32,
    /// Connections that an executor accepts; 0 for a worker.
    pub connections: u32,
}

/// A kind of back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Class of the VMs that run it.
    pub class: ClassId,
    /// Longest time a request may run, in ms.
    pub run_limit_ms: u64,
    /// True when a request may run twice whatever its method.
    pub idempotent: bool,
}

/// Limits on VMs that are down at a time, planned or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budgets {
    /// Part of a pool, in percent; at least one VM of a pool of two or more may be down.
    pub pool_percent: u32,
    /// Racks with a planned stop at a time in one data centre.
    pub racks: u32,
    /// VMs with a planned stop at a time in one data centre.
    pub vms: u32,
    /// Days in which each VM is maintained once.
    pub cycle_days: u32,
}

/// The section of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamSection {
    /// Weight when the fleet is full.
    pub share: u32,
    /// Requests and jobs that may run at a time in the whole fleet.
    pub ceiling: u32,
    /// Pools that the team owns; names are unique in the document.
    pub pools: IndexMap<PoolId, PoolSpec>,
    /// Queues that the team offers; names are unique in the document.
    pub queues: IndexMap<QueueId, QueueSpec>,
    /// Callers' keys.
    pub keys: IndexMap<KeyId, TeamKey>,
    /// Operators who may edit this section.
    pub operators: IndexMap<OperatorId, PublicKey>,
    /// What becomes of keyed requests while the document may be out of date.
    pub on_stale: OnStale,
}

/// A group of VMs serving one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSpec {
    /// What its VMs run; `None` for a pool of workers or spares.
    pub service: Option<ServiceId>,
    /// Class of its VMs.
    pub class: ClassId,
    /// VMs wanted in each data centre.
    pub vms: IndexMap<DataCentre, u32>,
    /// True for the pool that replacements are taken from.
    pub spare: bool,
}

/// Who may use a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Everyone, also without a key; counted for the team that offers the queue.
    Open,
    /// Every team's keys; counted for the key's team.
    Teams,
    /// Only the keys of the team that offers the queue.
    Own,
}

/// A queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueSpec {
    /// The pool that serves it.
    pub pool: PoolId,
    /// Who may use it.
    pub access: Access,
    /// Requests that may wait in one data centre.
    pub max_queued: u32,
    /// Bytes of waiting requests in one data centre.
    pub max_bytes: u64,
    /// Deadline of a request that states none, in ms.
    pub wait_ms: u64,
}

/// A caller's key; only the hash of the secret is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamKey {
    /// SHA-256 of the secret's 32 bytes.
    pub sha256: [u8; 32],
}

/// What becomes of keyed requests while the document may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnStale {
    /// Refused as not run.
    Refuse,
    /// Served on the last accepted document.
    Serve,
}
