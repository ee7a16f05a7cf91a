//! Events that the leader takes in, and commands that it returns.

use std::sync::Arc;

use crate::scheduler::run::{EndedRun, RunningTask};
use crate::scheduler::{
    Evacuations, JobKey, JobSpec, JobState, Millis, Policy, Record, TargetEntry, TargetId, TaskKey,
    Vm, VmOutcome, Wave,
};

/// Outcome of a start call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The target has confirmed the run.
    Running,
    /// Refused: the target has too little free capacity.
    NoRoom,
    /// Refused: the start arrived after its deadline.
    Late,
    /// Refused: a run of the task with this number or a higher one has ended on the target.
    OldRun,
    /// Refused: another leader with a higher fencing token has called the target.
    Fenced,
    /// Refused: the target could not use the request.
    Invalid,
    /// Another incarnation of the target, or another target, answered at the address.
    OtherIncarnation,
    /// The call did not reach the target, or the target refused it as overloaded or
    /// unavailable; nothing was started.
    Unhealthy,
    /// There was no usable answer; the run may have started, or may still start.
    Unknown,
}

impl StartOutcome {
    /// Name in the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::NoRoom => "no room",
            Self::Late => "late",
            Self::OldRun => "old run",
            Self::Fenced => "fenced",
            Self::Invalid => "invalid",
            Self::OtherIncarnation => "other incarnation",
            Self::Unhealthy => "unhealthy",
            Self::Unknown => "unknown",
        }
    }

    /// Returns whether the call may have extended the lease of whoever received it. A target takes the
    /// deadline of a start that it refuses for want of room, or as old, too.
    pub(super) const fn may_extend_lease(self) -> bool {
        matches!(
            self,
            Self::Running | Self::NoRoom | Self::OldRun | Self::Unknown
        )
    }
}

/// Outcome of a stop call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The target ends the run, or will refuse a start of it that is still on its way.
    Confirmed,
    /// Refused: another leader with a higher fencing token has called the target.
    Fenced,
    /// Another incarnation of the target, or another target, answered at the address.
    OtherIncarnation,
    /// There was no usable answer; the run may still be executing.
    Unknown,
}

/// A target's answer to a hold call: its clock, running tasks and ended runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// When the incarnation that answered was started, in ms since 1970.
    pub born: u64,
    /// Time on the target's clock, in ms.
    pub clock_ms: u64,
    /// Tasks that are running on the target.
    pub running: Vec<RunningTask>,
    /// Ended runs that the target was not yet allowed to forget, by position.
    pub ended: Vec<EndedRun>,
    /// Whether these are all. A target lists only so many ended runs at a time; of a run that an
    /// incomplete report lacks nothing is known.
    pub complete: bool,
}

/// Why a hold call brought no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldFailure {
    /// Refused: another leader with a higher fencing token has called the target.
    Fenced,
    /// Another incarnation of the target, or another target, answered at the address: the
    /// incarnation that was called has ended.
    OtherIncarnation,
    /// No complete answer came in time, or one that could not be decoded.
    NoAnswer,
}

/// An event for the leader.
#[derive(Clone, Debug)]
pub enum Event {
    /// The record of a job, or of its cancellation, was applied to the table.
    JobChanged(JobKey),
    /// A job was cancelled by its caller.
    JobCancelled {
        /// Id of the job.
        job: JobKey,
        /// State that callers are shown now; `None` if the job is not known.
        shown: Option<JobState>,
    },
    /// The operators published a policy. One that is not newer than the current one is
    /// ignored.
    PolicyChanged(Arc<Policy>),
    /// An entry of the list of targets was written.
    TargetEntry(TargetEntry),
    /// The complete list of targets was read; targets that it lacks were removed.
    TargetList(Vec<TargetEntry>),
    /// The list of targets was read again after at least one read had failed.
    TargetListRegained,
    /// The entry of this target was removed from the list.
    TargetRemoved(TargetId),
    /// The operators requested a maintenance wave. One whose number is known is ignored.
    WaveRequested(Wave),
    /// The set of evacuated data centres changed, or is passed to a new leader.
    EvacuationsChanged {
        /// All data centres that are evacuated now.
        evacuations: Evacuations,
        /// Time since the operators' changes were last read before, in ms: the change may be that
        /// old.
        age_ms: Millis,
    },
    /// The batch of a [`Command::Append`] was stored.
    BatchStored {
        /// Number of the batch, as in the command.
        batch: u64,
    },
    /// A start call was answered or timed out.
    StartAnswered {
        /// Id of the target that was called.
        target: TargetId,
        /// `born` of the incarnation that the call was meant for.
        born: u64,
        /// Id of the task.
        task: TaskKey,
        /// Number of the run: counts the starts of the task, from 1.
        run: u32,
        /// The target's answer, or [`StartOutcome::Unknown`] without one.
        outcome: StartOutcome,
        /// Time on the target's clock, in ms; `None` if the answer did not tell it.
        clock_ms: Option<u64>,
        /// When the call was sent, on the local clock.
        sent_at: Millis,
    },
    /// A stop call was answered or timed out.
    StopAnswered {
        /// Id of the target that was called.
        target: TargetId,
        /// `born` of the incarnation that the call was meant for.
        born: u64,
        /// Id of the task.
        task: TaskKey,
        /// Number of the run that the call named.
        run: u32,
        /// The target's answer, or [`StopOutcome::Unknown`] without one.
        outcome: StopOutcome,
        /// Time on the target's clock, in ms; `None` if the answer did not tell it.
        clock_ms: Option<u64>,
        /// When the call was sent, on the local clock.
        sent_at: Millis,
    },
    /// A hold call was answered or timed out.
    HoldAnswered {
        /// Id of the target that was called.
        target: TargetId,
        /// `born` of the incarnation that the call was meant for.
        born: u64,
        /// Number of the call, as in the command.
        number: u64,
        /// What the target reported, or why there is no report.
        result: Result<TargetReport, HoldFailure>,
        /// When the call was sent, on the local clock.
        sent_at: Millis,
    },
    /// An earlier leader was told that it was replaced.
    PredecessorNotified {
        /// Name of its process, as in the command.
        member: String,
        /// Time for which the process has not led under an earlier fencing token, in ms, as of its
        /// answer; `None` without a usable one.
        idle_ms: Option<Millis>,
    },
    /// The list of VMs was read; `None` if that failed.
    VmList(Option<Vec<Vm>>),
    /// The platform answered a [`Command::BeginUpkeep`] or [`Command::MoveVm`].
    VmOrderAnswered {
        /// Name of the VM.
        vm: String,
        /// The platform's answer, or [`VmOutcome::Unknown`] without one.
        outcome: VmOutcome,
    },
    /// The report of a [`Command::ReportWave`] was stored, or could not be.
    WaveReported {
        /// Number of the wave.
        wave: u64,
        /// Whether the report was stored; if not, it is sent again.
        stored: bool,
    },
}

/// Something that the process must do for the leader.
#[derive(Clone, Debug)]
pub enum Command {
    /// Append records to the stream, all or none; answered by [`Event::BatchStored`].
    Append {
        /// Number of the batch: 1 for the leader's first, then rising by one.
        batch: u64,
        /// Records to store, in this order; the last is the [`Record::Holder`] that ends the
        /// batch.
        records: Vec<Record>,
        /// Jobs whose records are to be deleted.
        forgotten_jobs: Vec<JobKey>,
    },
    /// Start a run; answered by [`Event::StartAnswered`].
    Start {
        /// Entry of the target to call.
        target: Arc<TargetEntry>,
        /// Id of the task.
        task: TaskKey,
        /// Number of the run: counts the starts of the task, from 1.
        run: u32,
        /// Specification of the task's job.
        spec: Arc<JobSpec>,
        /// When the target's lease expires and with it all its runs, in ms of its clock.
        deadline_ms: u64,
        /// Name of the checkpoint to resume from; empty to start afresh.
        checkpoint: String,
    },
    /// Stop a run; answered by [`Event::StopAnswered`].
    Stop {
        /// Entry of the target to call.
        target: Arc<TargetEntry>,
        /// Id of the task.
        task: TaskKey,
        /// Number of the run: counts the starts of the task, from 1.
        run: u32,
    },
    /// Extend a target's lease and ask for its running tasks and ended runs; answered by
    /// [`Event::HoldAnswered`].
    Hold {
        /// Entry of the target to call.
        target: Arc<TargetEntry>,
        /// Counts the leader's hold calls, from 1.
        number: u64,
        /// When the target's lease expires, in ms of its clock. `None` leaves the lease as it
        /// is: the clock is not known, or the target did not answer the last call.
        deadline_ms: Option<u64>,
        /// Position of the last ended run that the target may forget; 0 for none.
        forget_up_to: u64,
        /// Time that the target may wait for a run to end before it answers, in ms.
        wait_ms: u64,
    },
    /// Tell an earlier leader that it was replaced; answered by [`Event::PredecessorNotified`].
    NotifyPredecessor {
        /// Name of its process.
        member: String,
    },
    /// List the VMs; answered by [`Event::VmList`].
    ListVms,
    /// Begin the maintenance of a VM; answered by [`Event::VmOrderAnswered`].
    BeginUpkeep {
        /// Name of the VM.
        vm: String,
        /// Number of the wave.
        wave: u64,
        /// Time on the leader's clock after which the order must not be sent, because another
        /// process may have claimed the role.
        send_by: Millis,
    },
    /// Move a VM to another pool; answered by [`Event::VmOrderAnswered`].
    MoveVm {
        /// Name of the VM.
        vm: String,
        /// Name of the pool that the VM is to move to.
        pool: Arc<str>,
        /// As for [`Command::BeginUpkeep`].
        send_by: Millis,
    },
    /// Report the state of a wave to the operators; answered by [`Event::WaveReported`].
    ReportWave {
        /// Number of the wave.
        wave: u64,
        /// Whether every VM of the wave has been maintained or is gone, and none is down for
        /// it any more.
        complete: bool,
    },
}
