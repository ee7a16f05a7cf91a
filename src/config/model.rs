//! Typed form of valid settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use indexmap::IndexMap;

use crate::document::PublicKey;
use crate::id::{DataCentre, MemberId, OperatorId};
use crate::secret::FleetSecret;

/// What every process of the fleet is told.
#[derive(Clone, Debug)]
pub struct CommonConfig {
    /// Name of the process, unique in the fleet.
    pub id: MemberId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address for messages between processes; port 0 lets the kernel choose.
    pub peer: SocketAddr,
    /// Address for operators: state dump and metrics.
    pub admin: SocketAddr,
    /// Processes to ask for their state when the log is away and no other is known.
    pub peers: IndexMap<MemberId, SocketAddr>,
    /// Where the platform's services answer.
    pub platform: PlatformAddresses,
    /// Authenticates processes and their records.
    pub secret: FleetSecret,
    /// Operator key that may create the fleet section.
    pub root_key: PublicKey,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug)]
pub struct PlatformAddresses {
    /// Log service.
    pub log: SocketAddr,
    /// VM list.
    pub vms: SocketAddr,
    /// Drain and reboot of VMs.
    pub pools: SocketAddr,
    /// Leases and tasks of workers.
    pub workers: SocketAddr,
}

/// Settings of `amaranthwick-entry`.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// What every process is told.
    pub common: CommonConfig,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Traffic threads.
    pub threads: usize,
    /// Callers' connections open at a time.
    pub max_callers: usize,
    /// Largest body of a request or an answer, in bytes.
    pub max_body_bytes: usize,
    /// Age of the last verified head after which keys may be out of date, in ms.
    pub stale_ms: u64,
    /// Time between failing health and closing the listener at a stop, in ms.
    pub drain_ms: u64,
}

/// Settings of `amaranthwick-planner`.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// What every process is told.
    pub common: CommonConfig,
    /// Time after which a claim that was not renewed may be taken over, in ms.
    pub lease_ms: u64,
    /// Records between snapshots.
    pub snapshot_every: u64,
}

/// Settings of the operators' command.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// Log service that edits are published to.
    pub log: SocketAddr,
    /// Admin addresses of processes.
    pub admins: IndexMap<MemberId, SocketAddr>,
    /// Who signs edits.
    pub operator: OperatorId,
    /// File with the seed of the operator's key.
    pub key_file: PathBuf,
}
