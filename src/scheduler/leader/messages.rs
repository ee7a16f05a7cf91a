//! What happens to the leader, and what it wants done.

use std::sync::Arc;

use crate::scheduler::run::{EndedRun, RunningTask};
use crate::scheduler::vms::{Vm, VmOutcome};
use crate::scheduler::{
    Change, JobKey, JobSpec, Millis, Policy, Record, TargetEntry, TargetId, TaskKey, Wave,
};

/// What a target said to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is there.
    Running,
    /// It has no room.
    NoRoom,
    /// The start came after its deadline.
    Late,
    /// A run with this number or a higher one ended there.
    OldRun,
    /// Another holder with a higher fencing token has called.
    Fenced,
    /// The start was malformed.
    Invalid,
    /// Another incarnation answers there.
    OtherIncarnation,
    /// It refused as unhealthy and did nothing.
    Unhealthy,
    /// Nothing is known: it may begin now or later.
    Unknown,
}

/// What a target said to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The run ends, or will never begin.
    Confirmed,
    /// Another holder with a higher fencing token has called.
    Fenced,
    /// Another incarnation answers there.
    OtherIncarnation,
    /// Nothing is known.
    Unknown,
}

/// What a target lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// Its incarnation.
    pub born: u64,
    /// Its clock, in ms.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Ends that were not forgotten yet, in order.
    pub ended: Vec<EndedRun>,
}

/// Why there is no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldFailure {
    /// Another holder with a higher fencing token has called.
    Fenced,
    /// Another incarnation answers there: the one that was meant has ended.
    OtherIncarnation,
    /// No whole answer came in time, or one that makes no sense.
    NoAnswer,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A change of the stream was applied to the table.
    JobChanged(JobKey),
    /// The operators changed what they allow.
    PolicyChanged(Arc<Policy>),
    /// A target described itself.
    TargetEntry(TargetEntry),
    /// The whole list of targets was read anew.
    TargetList(Vec<TargetEntry>),
    /// The list of targets can be read again after it could not.
    TargetListRegained,
    /// A target's entry has gone.
    TargetRemoved(TargetId),
    /// A wave is asked for.
    WaveRequested(Wave),
    /// A batch is stored.
    BatchStored {
        /// Its number.
        batch: u64,
    },
    /// A start was answered, or its time is over.
    StartAnswered {
        /// The target.
        target: TargetId,
        /// Incarnation that it was meant for.
        born: u64,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// What is known.
        outcome: StartOutcome,
        /// The target's clock, in ms, where it said.
        clock_ms: Option<u64>,
        /// When the call was sent.
        sent_at: Millis,
    },
    /// A stop was answered, or its time is over.
    StopAnswered {
        /// The target.
        target: TargetId,
        /// Incarnation that it was meant for.
        born: u64,
        /// The task.
        task: TaskKey,
        /// What is known.
        outcome: StopOutcome,
    },
    /// A hold was answered, or its time is over.
    HoldAnswered {
        /// The target.
        target: TargetId,
        /// Incarnation that it was meant for.
        born: u64,
        /// What it listed.
        result: Result<TargetReport, HoldFailure>,
        /// When the call was sent.
        sent_at: Millis,
    },
    /// The list of VMs; `None` when it could not be read.
    VmList(Option<Vec<Vm>>),
    /// The platform answered an order for a VM.
    VmOrderAnswered {
        /// The VM.
        vm: String,
        /// What is known.
        outcome: VmOutcome,
    },
    /// The state of a wave was reported, or could not be.
    WaveReported {
        /// The wave.
        wave: u64,
        /// True when the report is stored.
        stored: bool,
    },
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Store records, all or none; answered by [`Event::Stored`].
    Append {
        /// Number of the batch.
        batch: u64,
        /// The records.
        records: Vec<Record>,
        /// Jobs whose records are deleted.
        forgotten_jobs: Vec<JobKey>,
    },
    /// Start a task.
    Start {
        /// The target.
        target: Arc<TargetEntry>,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// Its job.
        spec: Arc<JobSpec>,
        /// Lease for all that runs there, by the target's clock.
        deadline_ms: u64,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
    },
    /// Stop a task.
    Stop {
        /// The target.
        target: Arc<TargetEntry>,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
    },
    /// Extend the lease and list what runs.
    Hold {
        /// The target.
        target: Arc<TargetEntry>,
        /// Lease, by the target's clock; `None` while the clock is not known.
        deadline_ms: Option<u64>,
        /// Ends up to this one may be forgotten.
        forget_up_to: u64,
        /// Time that the target may wait for an end, in ms.
        wait_ms: u64,
    },
    /// List the VMs.
    ListVms,
    /// Begin the upkeep of a VM.
    BeginUpkeep {
        /// The VM.
        vm: String,
        /// The wave.
        wave: u64,
    },
    /// Move a VM to another pool.
    MoveVm {
        /// The VM.
        vm: String,
        /// The pool.
        pool: Arc<str>,
    },
    /// Report the state of a wave to the operators.
    ReportWave {
        /// The wave.
        wave: u64,
        /// True when its work is done.
        complete: bool,
    },
}

/// What folding a change means for the leader.
#[must_use]
pub fn leader_event(change: &Change) -> Option<Event> {
    match change {
        Change::Put(Record::Job(job, _) | Record::Cancel(job)) => Some(Event::JobChanged(*job)),
        _ => None,
    }
}
