//! Changes that may be proposed through the log, and verdicts on them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ChainDigest;
use crate::finding::Findings;
use crate::id::{
    ClassId, DataCentre, Epoch, Generation, Incarnation, JobId, MemberId, Offset, OperatorId,
    PoolId, Rack, Revision, SectionId, TeamId, VmId,
};

/// A change that takes effect only if it is accepted when its record is applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposal {
    /// Replaces or creates the text of a section.
    Edit(Edit),
    /// Moves a VM into, out of or between pools; `None` means outside every pool.
    Assign {
        /// The VM to move.
        vm: VmId,
        /// Pool that the VM must be in for the move to be accepted.
        from: Option<PoolId>,
        /// Pool that the VM is in afterwards.
        to: Option<PoolId>,
        /// Epoch of the planner that decided it.
        epoch: Epoch,
    },
    /// Starts a planned stop.
    Stop {
        /// The VM to stop.
        vm: VmId,
        /// Why it is stopped.
        reason: StopReason,
        /// Epoch of the planner that decided it.
        epoch: Epoch,
        /// Generation of the VM before the stop; a later one shows what has been done to it.
        #[serde(default)]
        generation: Generation,
    },
    /// Ends a planned stop that was carried out or given up.
    Stopped {
        /// The VM whose stop ends.
        vm: VmId,
        /// False if the VM did not come back healthy.
        healthy: bool,
        /// Epoch of the planner that ends it.
        epoch: Epoch,
        /// When the VM was seen back, in s since 1970; `None` if it was not rebooted.
        #[serde(default)]
        rebooted_s: Option<u64>,
    },
    /// Moves part of a team's ceiling from one holder to another.
    Transfer {
        /// Team whose ceiling is divided.
        team: TeamId,
        /// The giver, which has already stopped using that part.
        from: TransferParty,
        /// The receiver.
        to: TransferParty,
        /// Number of requests or jobs that may run at a time.
        amount: u32,
    },
    /// Takes or renews a role.
    Claim(Claim),
    /// Registers a process or renews its registration.
    Register(Registration),
    /// Removes a process that has been silent for long.
    Retire {
        /// The process to remove.
        id: MemberId,
        /// Offset of the last accepted registration that the proposer has seen of it; a newer
        /// one makes this be refused.
        registered_at: Offset,
    },
    /// Submits a job.
    Submit(Job),
    /// Changes the phase of a job.
    Update(JobUpdate),
    /// Announces a snapshot that has been stored.
    Snapshot {
        /// Offset of the first record after the snapshot; a multiple of
        /// [`CHECKPOINT_OFFSETS`](super::CHECKPOINT_OFFSETS).
        offset: Offset,
        /// Head of the hash chain before `offset`.
        digest: ChainDigest,
    },
    /// Switches to the next version of the rules by which records are accepted.
    Upgrade {
        /// Version in force from the next record on; the current one plus 1.
        version: u16,
    },
    /// Records the location of a VM, or removes the VM.
    Locate {
        /// The VM that was seen or is gone.
        vm: VmId,
        /// Data centre, rack and class; `None` removes a VM that is in no pool.
        location: Option<VmLocation>,
        /// When the VM was seen, in s since 1970; starts its first maintenance cycle.
        seen_s: u64,
        /// Epoch of the planner that saw it.
        epoch: Epoch,
    },
    /// Marks a VM as down without a planned stop.
    Down {
        /// The VM that is down.
        vm: VmId,
        /// Epoch of the planner that saw it.
        epoch: Epoch,
    },
    /// Marks a VM that was down as serving again.
    Up {
        /// The VM that serves again.
        vm: VmId,
        /// Epoch of the planner that saw it.
        epoch: Epoch,
    },
}

/// Location and class of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmLocation {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Failure domain within the data centre.
    pub rack: Rack,
    /// Class of the document that gives the VM's size and kind.
    pub class: ClassId,
}

/// A planned stop that has started and not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// Why the VM is stopped.
    pub reason: StopReason,
    /// Generation of the VM before the stop; a later one shows what has been done to it.
    pub generation: Generation,
}

/// Giver or receiver of a transfer, as named by its proposer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferParty {
    /// The part of the ceiling that nobody uses.
    Reserve,
    /// The team's jobs; the transfer is refused unless the planner's epoch is this one.
    Jobs(Epoch),
    /// Requests of a process; the transfer is refused unless this is its registered
    /// incarnation.
    Member(MemberId, Incarnation),
}

/// New text of one section, signed by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Section that the text replaces.
    pub section: SectionId,
    /// Revision that the edit was made from, which must be the current one; 0 creates the
    /// section.
    pub base_revision: Revision,
    /// Text of the section: JSON with comments.
    pub text: String,
    /// Name of the operator who signed.
    pub operator: OperatorId,
    /// Ed25519 signature over section, base revision and text; 64 bytes.
    #[serde(with = "serde_bytes")]
    pub signature: Vec<u8>,
}

/// A role that one process holds at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Places VMs and jobs and writes snapshots.
    Planner,
}

/// Takes or renews a role by compare-and-set on the offset of the last claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Role that is claimed.
    pub role: Role,
    /// The claimant.
    pub holder: MemberId,
    /// The current epoch to renew the role, the next one to take it over.
    pub epoch: Epoch,
    /// Offset of the last accepted claim that the claimant has seen; `None` for the first.
    pub last_renewal: Option<Offset>,
}

/// A process and how to reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of the process, from its settings.
    pub id: MemberId,
    /// Number of this run of the process, drawn from its start time; a later run has a higher
    /// one.
    pub incarnation: Incarnation,
    /// Data centre that the process runs in.
    pub data_centre: DataCentre,
    /// Address for messages between processes.
    #[serde(rename = "peer")]
    pub peer_address: SocketAddr,
}

/// Why a VM is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    /// Regular maintenance of the VM.
    Maintenance,
    /// The VM is to leave its pool.
    Drain,
    /// The VM fails the requests or jobs that it runs.
    Repair,
}

/// A long-running piece of work of a team, run on one worker at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Chosen by the caller or drawn for it; a second submission under it is refused.
    pub id: JobId,
    /// The team whose key the caller sent.
    pub team: TeamId,
    /// Name of the program that the worker runs.
    pub task: String,
    /// Input of the program.
    pub input: String,
    /// Cores that the job needs.
    pub cores: u32,
    /// Memory that the job needs, in MB.
    pub memory_mb: u32,
    /// Accelerators that the job needs.
    pub accelerators: u32,
    /// 0 is the most urgent and 7 the least.
    pub urgency: u8,
    /// True when it may run more than once.
    pub idempotent: bool,
}

/// Phase of a job, from submission to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Waits for a worker.
    Waiting,
    /// Placed on a worker; it may be running.
    Placed(VmId),
    /// Ended successfully, with its output.
    Done(String),
    /// Ended with a failure; holds the cause.
    Failed(String),
    /// Cancelled by its team.
    Cancelled,
}

/// Changes the phase of a job by compare-and-set on its step count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobUpdate {
    /// Id of the job to change.
    pub id: JobId,
    /// Number of phase changes so far; the update is refused if the job has had another.
    pub expected_step: u32,
    /// The new phase.
    pub phase: JobPhase,
    /// Epoch of the planner that decided it; `None` for a cancellation by the team.
    pub epoch: Option<Epoch>,
}

/// Decision on a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The proposal took effect at this offset.
    Accepted(Offset),
    /// The proposal at this offset was refused, for the reason given.
    Refused(Offset, Refusal),
}

impl Verdict {
    /// Offset of the record.
    #[must_use]
    pub const fn offset(&self) -> Offset {
        match self {
            Self::Accepted(offset) | Self::Refused(offset, _) => *offset,
        }
    }
}

/// Why a proposal was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The section has changed since; holds its current revision.
    Conflict(Revision),
    /// The edit is not signed by an operator of its section, or a job update without an epoch
    /// is no cancellation.
    Unsigned,
    /// The text, or the document that would result, is not valid; holds the findings.
    Invalid(Findings),
    /// The VM is in another pool than the change assumes; holds its current pool.
    Moved(Option<PoolId>),
    /// The change was decided under another epoch than the planner's current one, which is
    /// given.
    Fenced(Epoch),
    /// An availability budget would be exceeded, or the VM is down or has a planned stop;
    /// holds the cause.
    Budget(String),
    /// The giver can give less than the amount, or jobs have no share left to place another;
    /// holds what can be given, or the share of jobs.
    Allotment(u32),
    /// The claim does not cite the last accepted one or has a wrong epoch; holds the current
    /// holder and epoch, or the claimant and 0 while nobody holds the role.
    Held(MemberId, Epoch),
    /// The process has registered again since the cited offset; holds the newer offset.
    Renewed(Offset),
    /// The process is registered under another incarnation, which is given.
    Outdated(Incarnation),
    /// What the proposal refers to is not known, such as a pool, VM, team, member or job;
    /// holds its name.
    Missing(String),
    /// The change is already in force: the job was submitted, or the VM is stopped or down.
    Repeated,
    /// The job has another step count than expected, or has ended; holds its step count.
    Stepped(u32),
    /// The record is too old to be told from a repeat, was proposed at a later offset than its
    /// own, or cites a checkpoint that is not kept.
    Expired,
    /// The announced digest differs from the own one; one of the two processes is faulty.
    Digest,
    /// No worker of the document could ever run the job; holds the cause.
    Impossible(String),
}
