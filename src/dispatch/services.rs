//! What the scheduler needs of the platform it runs on.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::scheduler::{
    Change, HoldFailure, JobKey, JobSpec, Policy, Record, StartOutcome, StopOutcome, TargetEntry,
    TargetId, TargetReport, TaskKey, Vm, VmOutcome, Wave,
};

/// Identifies the appends of one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Producer {
    /// Fencing token; the store refuses lower ones than it has seen.
    pub epoch: u64,
    /// Number of the append; a repeat with the same number is stored once.
    pub seq: u64,
}

/// What the store said to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// Stored; the stream now ends there.
    Stored {
        /// Offset after the last record.
        end: u64,
    },
    /// Refused: the stream does not end where it was expected to.
    Moved,
    /// Refused: a higher epoch was seen, or another claim has the same one.
    Fenced,
    /// Refused for now; nothing was stored.
    Busy,
    /// Nothing is known; it may be stored now or later.
    Unknown,
}

/// The newest record of each key.
#[derive(Debug)]
pub struct Snapshot {
    /// The records, as changes.
    pub changes: Vec<Change>,
    /// Reading goes on from this offset; some records after it may be included.
    pub next: u64,
}

/// Records that were read.
#[derive(Debug)]
pub struct Page {
    /// The records, as changes.
    pub changes: Vec<Change>,
    /// Offset after the last of them.
    pub next: u64,
    /// Offset after the last record of the stream.
    pub end: u64,
}

/// What came of a read.
#[derive(Debug)]
pub enum ReadOutcome<T> {
    /// Something was read.
    Read(T),
    /// The records are gone; the newest of each key must be loaded.
    Expired,
    /// The store did not answer, with the cause.
    Failed(String),
}

impl<T> ReadOutcome<T> {
    /// Turns what was read into something else.
    pub fn map<U>(self, turn: impl FnOnce(T) -> U) -> ReadOutcome<U> {
        match self {
            Self::Read(page) => ReadOutcome::Read(turn(page)),
            Self::Expired => ReadOutcome::Expired,
            Self::Failed(cause) => ReadOutcome::Failed(cause),
        }
    }
}

/// What the operators changed.
#[derive(Debug)]
pub enum OperatorChange {
    /// A version of queues, pools, teams and keys.
    Policy(Arc<Policy>),
    /// A maintenance wave.
    Wave(Wave),
}

/// A change in the list of targets.
#[derive(Debug)]
pub enum TargetChange {
    /// A target described itself.
    Entry(TargetEntry),
    /// An entry has gone.
    Gone(TargetId),
}

impl TargetChange {
    pub(super) fn entry(self) -> Option<TargetEntry> {
        match self {
            Self::Entry(entry) => Some(entry),
            Self::Gone(_) => None,
        }
    }
}

/// A start for a target.
#[derive(Debug)]
pub struct StartRequest<'a> {
    /// The target.
    pub target: &'a TargetEntry,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: u32,
    /// Its job.
    pub spec: &'a JobSpec,
    /// Lease for all that runs there, by the target's clock.
    pub deadline_ms: u64,
    /// Fencing token.
    pub epoch: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: &'a str,
}

/// What a target said to a start.
#[derive(Clone, Copy, Debug)]
pub struct StartAnswer {
    /// What is known.
    pub outcome: StartOutcome,
    /// The target's clock, in ms, where it said.
    pub clock_ms: Option<u64>,
}

/// A stop for a target.
#[derive(Debug)]
pub struct StopRequest<'a> {
    /// The target.
    pub target: &'a TargetEntry,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: u32,
    /// Fencing token.
    pub epoch: u64,
}

/// A hold for a target.
#[derive(Debug)]
pub struct HoldRequest<'a> {
    /// The target.
    pub target: &'a TargetEntry,
    /// Lease, by the target's clock.
    pub deadline_ms: Option<u64>,
    /// Ends up to this one may be forgotten.
    pub forget_up_to: u64,
    /// Time that the target may wait for an end, in ms.
    pub wait_ms: u64,
    /// Fencing token.
    pub epoch: u64,
}

/// The platform: its store, targets and VMs.
pub trait Services: Send + Sync + std::fmt::Debug + 'static {
    /// Loads the newest record of each key of the stream.
    fn load_snapshot(&self) -> impl Future<Output = ReadOutcome<Snapshot>> + Send;

    /// Reads the stream from an offset; waits for a record for up to `wait_ms`.
    fn read_records(
        &self,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = ReadOutcome<Page>> + Send;

    /// Appends records, and deletions of jobs; `expected` is where the stream must end.
    fn append(
        &self,
        records: &[Record],
        forget: &[JobKey],
        producer: Option<Producer>,
        expected: Option<u64>,
    ) -> impl Future<Output = AppendOutcome> + Send;

    /// Hands callers' records to the process at `peer`, which stores them if it leads.
    fn forward(
        &self,
        peer: SocketAddr,
        records: &[Record],
    ) -> impl Future<Output = AppendOutcome> + Send;

    /// What the operators changed since `cursor`, or everything without one.
    fn operator_changes(
        &self,
        cursor: Option<u64>,
        wait_ms: u64,
    ) -> impl Future<Output = ReadOutcome<(Vec<OperatorChange>, u64)>> + Send;

    /// What changed in the list of targets since `cursor`, or everything without one.
    fn target_changes(
        &self,
        cursor: Option<u64>,
        wait_ms: u64,
    ) -> impl Future<Output = ReadOutcome<(Vec<TargetChange>, u64)>> + Send;

    /// Starts a task.
    fn start_run(&self, start: StartRequest<'_>) -> impl Future<Output = StartAnswer> + Send;

    /// Stops a task.
    fn stop_run(&self, stop: StopRequest<'_>) -> impl Future<Output = StopOutcome> + Send;

    /// Extends a target's lease and lists what runs there.
    fn hold(
        &self,
        hold: HoldRequest<'_>,
    ) -> impl Future<Output = Result<TargetReport, HoldFailure>> + Send;

    /// Lists the VMs.
    fn list_vms(&self) -> impl Future<Output = Option<Vec<Vm>>> + Send;

    /// Begins the upkeep of a VM.
    fn begin_upkeep(
        &self,
        vm: &str,
        wave: u64,
        epoch: u64,
    ) -> impl Future<Output = VmOutcome> + Send;

    /// Moves a VM to another pool.
    fn move_vm(&self, vm: &str, pool: &str, epoch: u64) -> impl Future<Output = VmOutcome> + Send;

    /// Addresses of the other processes, through which the store may be reached.
    fn set_peers(&self, peers: Vec<SocketAddr>);

    /// Reports the state of a wave to the operators; true once it is stored.
    fn report_wave(&self, wave: u64, complete: bool) -> impl Future<Output = bool> + Send;
}
