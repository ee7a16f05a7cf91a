//! Immutable picture of the fleet, published by the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;

use crate::document::Document;
use crate::id::{DataCentre, Epoch, Incarnation, MemberId, Offset, PoolId, Rack, TeamId, VmId};

/// A back end: one VM in a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The VM.
    pub vm: VmId,
    /// Where the VM is.
    pub data_centre: DataCentre,
    /// Failure domain of the VM.
    pub rack: Rack,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// True once the VM list or an accepted stop says that it leaves.
    pub leaving: bool,
}

/// A process of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name from its settings.
    pub id: MemberId,
    /// Start of this run of the process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address for messages between processes.
    pub peer: SocketAddr,
    /// False while it is suspected of having failed.
    pub alive: bool,
}

/// Requests of each team that this process may have running at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamLimits {
    /// Changes whenever a limit is lowered; a report says which version was kept.
    pub version: u64,
    /// Time after which nothing may be started, unless a newer view says otherwise.
    pub valid_until: Option<Instant>,
    /// A team that is left out may run nothing.
    pub teams: IndexMap<TeamId, u32>,
}

/// What traffic threads know of the fleet; replaced as a whole.
#[derive(Clone, Debug)]
pub struct View {
    /// Next offset to be folded.
    pub offset: Offset,
    /// The accepted document, once there is one.
    pub document: Option<Arc<Document>>,
    /// Targets of each pool.
    pub targets: IndexMap<PoolId, Vec<Target>>,
    /// What this process may run.
    pub limits: TeamLimits,
    /// Entries of all data centres, this one included.
    pub members: Vec<Member>,
    /// Holder of the planner role and its epoch.
    pub planner: Option<(MemberId, Epoch)>,
    /// When the head of the log was last known to be folded.
    pub verified: Option<Instant>,
}

impl View {
    /// A view that knows nothing.
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
