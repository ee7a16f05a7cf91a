//! Immutable snapshot of the fleet's state, published by the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;

use crate::document::Document;
use crate::id::{DataCentre, Epoch, Incarnation, MemberId, Offset, PoolId, Rack, TeamId, VmId};

/// A back end: one VM in a pool, an executor or a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the VM on the platform.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Rack of the VM, a failure domain inside its data centre.
    pub rack: Rack,
    /// Address for requests.
    pub address: SocketAddr,
    /// Number of requests that it runs at a time; 0 for a worker.
    pub slots: u32,
    /// Number of connections that it accepts; 0 for a worker.
    pub connections: u32,
    /// True once the VM list or an accepted stop says that the VM is going away.
    pub leaving: bool,
}

/// A process that has registered as a member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name from the settings of the process.
    pub id: MemberId,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Data centre of the process.
    pub data_centre: DataCentre,
    /// Address for messages between processes.
    pub peer: SocketAddr,
    /// False while the process is suspected of having failed.
    pub alive: bool,
}

/// Number of requests of each team that this process may have running at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamLimits {
    /// Changes whenever a limit is lowered; this process reports the version that it complies with.
    pub version: u64,
    /// Time after which no request may start, unless a newer view has a later one; `None` when
    /// there is no end.
    pub valid_until: Option<Instant>,
    /// Limit of each team; a team that is missing may run nothing.
    pub teams: IndexMap<TeamId, u32>,
}

/// What the traffic threads know of the fleet; each change replaces it as a whole.
#[derive(Clone, Debug)]
pub struct View {
    /// Offset of the next log record to be applied.
    pub offset: Offset,
    /// Accepted capacity document; `None` until the first one is accepted.
    pub document: Option<Arc<Document>>,
    /// Targets of each pool; a pool without targets has an empty list.
    pub targets: IndexMap<PoolId, Vec<Target>>,
    /// Limits on what this process may run.
    pub limits: TeamLimits,
    /// Entries of all data centres, this process included if it is one of them.
    pub members: Vec<Member>,
    /// Holder of the planner role and its epoch; `None` before the first claim.
    pub planner: Option<(MemberId, Epoch)>,
    /// When the state was last known to include the whole log; `None` if never.
    pub verified: Option<Instant>,
}

impl View {
    /// The view before any log record was applied.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            offset: Offset(0),
            document: None,
            targets: IndexMap::new(),
            limits: TeamLimits::default(),
            members: Vec::new(),
            planner: None,
            verified: None,
        }
    }
}
