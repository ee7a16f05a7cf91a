//! Settings after parsing and validation.

use std::net::SocketAddr;
use std::path::PathBuf;

use indexmap::IndexMap;

use crate::document::PublicKey;
use crate::id::{DataCentre, MemberId, OperatorId};
use crate::secret::FleetSecret;

/// Settings that every process has.
#[derive(Clone, Debug)]
pub struct CommonConfig {
    /// Name of the process, unique in the fleet.
    pub id: MemberId,
    /// Data centre where the process runs.
    pub data_centre: DataCentre,
    /// Address to listen on for messages from other processes; port 0 lets the kernel choose one.
    pub peer: SocketAddr,
    /// Address to listen on for operators, who read the state dump and metrics there.
    pub admin: SocketAddr,
    /// Processes to fetch the state from when the log can't be reached and no other is known.
    pub peers: IndexMap<MemberId, SocketAddr>,
    /// Addresses of the platform's services.
    pub platform: PlatformAddresses,
    /// Secret that authenticates the messages, records and snapshots of the fleet's processes.
    pub secret: FleetSecret,
    /// Public key of the operator that may create the fleet section.
    pub root_key: PublicKey,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug)]
pub struct PlatformAddresses {
    /// Service that stores the log.
    pub log: SocketAddr,
    /// Service that lists the VMs.
    pub vms: SocketAddr,
    /// Service that drains and reboots VMs.
    pub pools: SocketAddr,
    /// Service that handles leases and tasks of workers.
    pub workers: SocketAddr,
}

/// Settings of `amaranthwick-entry`.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Settings that every process has.
    pub common: CommonConfig,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Number of threads that serve requests.
    pub threads: usize,
    /// Maximum number of open connections of callers.
    pub max_callers: usize,
    /// Maximum body of a request or a response, in bytes.
    pub max_body_bytes: usize,
    /// Time since the state was last known to include the whole log after which keys may be out
    /// of date, in ms.
    pub stale_ms: u64,
    /// Time at shutdown between reporting as unhealthy and closing the listener, in ms.
    pub drain_ms: u64,
}

/// Settings of `amaranthwick-planner`.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// Settings that every process has.
    pub common: CommonConfig,
    /// Time after which another planner may take over a role that was not renewed, in ms.
    pub lease_ms: u64,
    /// Number of log records between two snapshots.
    pub snapshot_every: u64,
}

/// Settings of the `amaranthwick` command.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// Log service that edits are appended to.
    pub log: SocketAddr,
    /// Admin addresses of processes, tried in this order.
    pub admins: IndexMap<MemberId, SocketAddr>,
    /// Name of the operator who signs edits.
    pub operator: OperatorId,
    /// File with the seed of the operator's private key.
    pub key_file: PathBuf,
}
