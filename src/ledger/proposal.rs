//! What may be proposed through the log, and the fold's verdict.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ChainDigest;
use crate::finding::Findings;
use crate::id::{
    ClassId, DataCentre, Epoch, Generation, Incarnation, JobId, MemberId, Offset, OperatorId,
    PoolId, Rack, Revision, SectionId, TeamId, VmId,
};

/// A change that takes effect only if the fold accepts it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposal {
    /// New text of a section.
    Edit(Edit),
    /// Moves a VM between pools; `None` is outside every pool.
    Assign {
        /// The VM.
        vm: VmId,
        /// Pool that it must be in now.
        from: Option<PoolId>,
        /// Pool that it is put in.
        to: Option<PoolId>,
        /// Epoch of the planner that decided it.
        epoch: Epoch,
    },
    /// Starts a planned stop.
    Stop {
        /// The VM.
        vm: VmId,
        /// Why.
        reason: StopReason,
        /// Epoch of the planner that decided it.
        epoch: Epoch,
        /// Generation of the VM before the stop; it tells later what has been done.
        #[serde(default)]
        generation: Generation,
    },
    /// Ends a planned stop, whether it was carried out or given up.
    Stopped {
        /// The VM.
        vm: VmId,
        /// True when the VM is back and healthy.
        healthy: bool,
        /// Epoch of the planner that saw it.
        epoch: Epoch,
        /// When the VM was seen back, in s since 1970; `None` if it was not rebooted.
        #[serde(default)]
        rebooted_s: Option<u64>,
    },
    /// Moves part of a team's ceiling between those who may use it.
    Transfer {
        /// The team.
        team: TeamId,
        /// Who gives; it has stopped using the part.
        from: TransferParty,
        /// Who receives.
        to: TransferParty,
        /// Requests or jobs that may run at a time.
        amount: u32,
    },
    /// Takes or renews a role.
    Claim(Claim),
    /// Makes a process known, or says again that it is there.
    Register(Registration),
    /// Takes out a process that has been silent for long.
    Retire {
        /// The process.
        id: MemberId,
        /// Offset of its last accepted registration.
        registered_at: Offset,
    },
    /// Submits long work.
    Submit(Job),
    /// Changes the state of long work.
    Update(JobUpdate),
    /// Says that a snapshot has been stored.
    Snapshot {
        /// Next offset to be folded after it; a multiple of the checkpoint distance.
        offset: Offset,
        /// Digest of the chain of decisions before `offset`.
        digest: ChainDigest,
    },
    /// Switches the rules of the fold.
    Upgrade {
        /// The version from the next record on.
        version: u16,
    },
    /// Says where a VM is, or that it is no longer there.
    Locate {
        /// The VM.
        vm: VmId,
        /// Its place; `None` forgets a VM that is in no pool.
        location: Option<VmLocation>,
        /// When it was seen, in s since 1970; starts its first maintenance cycle.
        seen_s: u64,
        /// Epoch of the planner that saw it.
        epoch: Epoch,
    },
    /// Says that a VM is down without a plan.
    Down {
        /// The VM.
        vm: VmId,
        /// Epoch of the planner that saw it.
        epoch: Epoch,
    },
    /// Says that a VM that was down serves again.
    Up {
        /// The VM.
        vm: VmId,
        /// Epoch of the planner that saw it.
        epoch: Epoch,
    },
}

/// Place and class of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmLocation {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its failure domain.
    pub rack: Rack,
    /// Its class.
    pub class: ClassId,
}

/// A planned stop that is not resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// Why.
    pub reason: StopReason,
    /// Generation of the VM before the stop.
    pub generation: Generation,
}

/// Side of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferParty {
    /// What nobody uses.
    Reserve,
    /// Jobs, as placed by the planner of this epoch.
    Jobs(Epoch),
    /// Requests run by this incarnation of a process.
    Member(MemberId, Incarnation),
}

/// New text of one section, signed by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// The section.
    pub section: SectionId,
    /// Revision that the text was made from; 0 creates the section.
    pub base_revision: Revision,
    /// Text of the section: JSON with comments.
    pub text: String,
    /// Who signs.
    pub operator: OperatorId,
    /// Ed25519 signature over section, base and text; 64 bytes.
    #[serde(with = "serde_bytes")]
    pub signature: Vec<u8>,
}

/// A role that one process holds at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Places VMs and jobs and writes snapshots.
    Planner,
}

/// Takes or renews a role by compare-and-set on offsets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The role.
    pub role: Role,
    /// Who claims it.
    pub holder: MemberId,
    /// Current epoch to renew, the next one to take over.
    pub epoch: Epoch,
    /// Offset of the last accepted claim that the claimant has seen.
    pub last_renewal: Option<Offset>,
}

/// Addresses of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name from its settings.
    pub id: MemberId,
    /// Start of this run of the process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address for messages between processes.
    #[serde(rename = "peer")]
    pub peer_address: SocketAddr,
}

/// Why a VM is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    /// Regular maintenance.
    Maintenance,
    /// It leaves the pool.
    Drain,
    /// It fails what it runs.
    Repair,
}

/// Long work of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Chosen by the caller or drawn for it; a repeat changes nothing.
    pub id: JobId,
    /// The team whose key came with it.
    pub team: TeamId,
    /// Name of the program that the worker runs.
    pub task: String,
    /// Input of the program.
    pub input: String,
    /// Declared cores.
    pub cores: u32,
    /// Declared memory in MB.
    pub memory_mb: u32,
    /// Declared accelerators.
    pub accelerators: u32,
    /// 0 is the most urgent and 7 the least.
    pub urgency: u8,
    /// True when it may run more than once.
    pub idempotent: bool,
}

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Waits for a worker.
    Waiting,
    /// Placed on a worker; it may be running.
    Placed(VmId),
    /// Ended well, with its output.
    Done(String),
    /// Ended badly.
    Failed(String),
    /// Cancelled by its team.
    Cancelled,
}

/// Changes the state of a job by compare-and-set on its number of steps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobUpdate {
    /// The job.
    pub id: JobId,
    /// Steps that the job must have taken so far.
    pub expected_step: u32,
    /// The new state.
    pub phase: JobPhase,
    /// Epoch of the planner that decided it; `None` for the team's own cancellation.
    pub epoch: Option<Epoch>,
}

/// What the fold says of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// In force from this offset on.
    Accepted(Offset),
    /// Without effect.
    Refused(Offset, Refusal),
}

impl Verdict {
    /// Offset of the record that it judges.
    #[must_use]
    pub const fn offset(&self) -> Offset {
        match self {
            Self::Accepted(offset) | Self::Refused(offset, _) => *offset,
        }
    }
}

/// Why the fold refused a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The section has moved on; its current revision is given.
    Conflict(Revision),
    /// Not signed by an operator of the section, or by nobody of the fleet.
    Unsigned,
    /// The text or the whole resulting document is not valid.
    Invalid(Findings),
    /// The VM is not in the pool that the step starts from.
    Moved(Option<PoolId>),
    /// The step was decided under an older epoch than the current one.
    Fenced(Epoch),
    /// An availability budget would be broken.
    Budget(String),
    /// The giver has less to give than the amount.
    Allotment(u32),
    /// The claim cites an older renewal or a wrong epoch.
    Held(MemberId, Epoch),
    /// The process has registered again since the cited offset.
    Renewed(Offset),
    /// A newer incarnation of the same process is known.
    Outdated(Incarnation),
    /// Pool, VM, team or job is not known.
    Missing(String),
    /// The job is known already; its id is the same.
    Repeated,
    /// The job has taken another step meanwhile.
    Stepped(u32),
    /// The record is too old to be told from a repeat, or cites what has expired.
    Expired,
    /// The digest is not that of the fold; one of the two processes is faulty.
    Digest,
    /// No worker of the document could ever run the job.
    Impossible(String),
}
