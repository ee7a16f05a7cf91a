//! Interface of the platform that the scheduler runs on: the store, the targets and the VMs.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use super::clock::Clock;
use super::forwarding::ForwardAnswer;
use crate::scheduler::{
    Change, EvacuationChange, HoldFailure, JobKey, JobSpec, Millis, Policy, Record, StartOutcome,
    StopOutcome, TargetEntry, TargetId, TargetReport, TaskKey, Vm, VmOutcome, Wave,
};

/// Identifies an append of a leader, so that the store can refuse those of earlier leaders and
/// store repeated ones only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Producer {
    /// Fencing token of the leader; the store refuses one that is lower than it has seen.
    pub epoch: u64,
    /// Sequence number of the append, random for a claim and then rising by one. A repeat with
    /// the same number is not stored again.
    pub seq: u64,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records are stored.
    Stored {
        /// Offset after the last record of the stream; 0 when another process stored the records.
        end: u64,
    },
    /// Refused: the stream does not end where it was expected to.
    EndMismatch,
    /// Refused: the store has seen a higher fencing token, or another claim with the same one.
    Fenced,
    /// Refused for now; nothing was stored.
    Busy,
    /// There was no usable answer; the records may have been stored, or may still be.
    Unknown,
}

/// The newest record of each key of the stream.
#[derive(Debug)]
pub struct Snapshot {
    /// The records, as changes to the table.
    pub changes: Vec<Change>,
    /// Offset from which to read on; some records after it may be included already.
    pub next: u64,
}

/// Consecutive records that were read from the stream.
#[derive(Debug)]
pub struct Page {
    /// The records, as changes to the table, in the order of the stream.
    pub changes: Vec<Change>,
    /// Offset after the last of these records.
    pub next: u64,
    /// Offset after the last record of the stream.
    pub end: u64,
}

/// Outcome of a read from the store.
#[derive(Debug)]
pub enum ReadOutcome<T> {
    /// The read succeeded.
    Read(T),
    /// The store no longer has the records at that position; the newest record of each key must
    /// be loaded instead.
    Expired,
    /// The read failed, for this cause.
    Failed(String),
}

impl<T> ReadOutcome<T> {
    /// Applies `convert` to what was read.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> ReadOutcome<U> {
        match self {
            Self::Read(page) => ReadOutcome::Read(convert(page)),
            Self::Expired => ReadOutcome::Expired,
            Self::Failed(cause) => ReadOutcome::Failed(cause),
        }
    }
}

/// A change that the operators made.
#[derive(Debug)]
pub enum OperatorChange {
    /// A new version of the queues, pools, teams and API keys.
    Policy(Arc<Policy>),
    /// A requested maintenance wave.
    Wave(Wave),
    /// The evacuation of a data centre, or its withdrawal.
    Evacuation(EvacuationChange),
}

/// A change in the list of targets.
#[derive(Debug)]
pub enum TargetChange {
    /// An entry was written.
    Entry(TargetEntry),
    /// The entry of this target was removed.
    Gone(TargetId),
}

impl TargetChange {
    /// The entry that was written; `None` for a removed one.
    pub(super) fn entry(self) -> Option<TargetEntry> {
        match self {
            Self::Entry(entry) => Some(entry),
            Self::Gone(_) => None,
        }
    }
}

/// A call to a target to start a run.
#[derive(Debug)]
pub struct StartRequest<'a> {
    /// Entry of the target to call.
    pub target: &'a TargetEntry,
    /// Id of the task.
    pub task: TaskKey,
    /// Number of the run: counts the starts of the task, from 1.
    pub run: u32,
    /// Specification of the task's job.
    pub spec: &'a JobSpec,
    /// When the target's lease expires and with it all its runs, in ms of its clock.
    pub deadline_ms: u64,
    /// Fencing token of the leader.
    pub epoch: u64,
    /// Name of the checkpoint to resume from; empty to start afresh.
    pub checkpoint: &'a str,
}

/// A target's answer to a start call.
#[derive(Clone, Copy, Debug)]
pub struct StartAnswer {
    /// Whether the run started, or why not.
    pub outcome: StartOutcome,
    /// Time on the target's clock, in ms; `None` if the answer did not tell it.
    pub clock_ms: Option<u64>,
}

/// A target's answer to a stop call.
#[derive(Clone, Copy, Debug)]
pub struct StopAnswer {
    /// Whether the target ends the run, or why not.
    pub outcome: StopOutcome,
    /// Time on the target's clock, in ms; `None` if the answer did not tell it.
    pub clock_ms: Option<u64>,
}

/// A call to a target to stop a run.
#[derive(Debug)]
pub struct StopRequest<'a> {
    /// Entry of the target to call.
    pub target: &'a TargetEntry,
    /// Id of the task.
    pub task: TaskKey,
    /// Number of the run: counts the starts of the task, from 1.
    pub run: u32,
    /// Fencing token of the leader.
    pub epoch: u64,
}

/// A call to a target to extend its lease and report its runs.
#[derive(Debug)]
pub struct HoldRequest<'a> {
    /// Entry of the target to call.
    pub target: &'a TargetEntry,
    /// When the target's lease expires, in ms of its clock; `None` leaves the lease as it is.
    pub deadline_ms: Option<u64>,
    /// Position of the last ended run that the target may forget; 0 for none.
    pub forget_up_to: u64,
    /// Time that the target may wait for a run to end before it answers, in ms.
    pub wait_ms: u64,
    /// Fencing token of the leader.
    pub epoch: u64,
}

/// The claim of the leader role under which an order for a VM is sent.
#[derive(Clone, Copy, Debug)]
pub struct OrderClaim {
    /// Fencing token of the leader.
    pub epoch: u64,
    pub(super) clock: Clock,
    pub(super) send_by: Millis,
}

impl OrderClaim {
    /// Returns whether the order may be sent now: the store confirmed the claim so recently that
    /// no other process can have claimed the role since. It must be called immediately before the
    /// order is written, as the process may be suspended at any time.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.clock.now() < self.send_by
    }
}

/// Calls to the platform: its store, targets and VMs.
pub trait Services: Send + Sync + std::fmt::Debug + 'static {
    /// Loads the newest record of each key of the stream.
    fn load_snapshot(&self) -> impl Future<Output = ReadOutcome<Snapshot>> + Send;

    /// Reads the stream from the offset `from`; waits for a record for up to `wait_ms`.
    fn read_records(
        &self,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = ReadOutcome<Page>> + Send;

    /// Appends records to the stream, and deletes the records of the jobs in `forget`; all or
    /// nothing. With a `producer` the append is fenced, and stored once however often it is
    /// repeated. With `expected` it is refused unless the stream ends at that offset.
    fn append(
        &self,
        records: &[Record],
        forget: &[JobKey],
        producer: Option<Producer>,
        expected: Option<u64>,
    ) -> impl Future<Output = AppendOutcome> + Send;

    /// Forwards callers' records to the process at `peer`, which stores them if it leads, but may
    /// refuse jobs among them. `summary_age_ms` is the age of the last summary that it sent; `None`
    /// without one.
    fn forward(
        &self,
        peer: SocketAddr,
        records: &[Record],
        summary_age_ms: Option<Millis>,
    ) -> impl Future<Output = ForwardAnswer> + Send;

    /// Tells the process `member`, which may be at `peer`, that the leader with the fencing token
    /// `epoch` has replaced earlier ones. Returns the time for which that process has not led under an
    /// earlier token, in ms, as of its answer; `None` without a usable one.
    fn notify_predecessor(
        &self,
        peer: SocketAddr,
        member: &str,
        epoch: u64,
    ) -> impl Future<Output = Option<Millis>> + Send;

    /// Reads the changes of the operators since `cursor`, or without one all that is in force;
    /// waits for a change for up to `wait_ms`. Returns the changes and the next cursor.
    fn operator_changes(
        &self,
        cursor: Option<u64>,
        wait_ms: u64,
    ) -> impl Future<Output = ReadOutcome<(Vec<OperatorChange>, u64)>> + Send;

    /// Reads the changes in the list of targets since `cursor`, or the complete list without one;
    /// waits for a change for up to `wait_ms`. Returns the changes and the next cursor.
    fn target_changes(
        &self,
        cursor: Option<u64>,
        wait_ms: u64,
    ) -> impl Future<Output = ReadOutcome<(Vec<TargetChange>, u64)>> + Send;

    /// Starts a run on a target.
    fn start_run(&self, start: StartRequest<'_>) -> impl Future<Output = StartAnswer> + Send;

    /// Stops a run on a target.
    fn stop_run(&self, stop: StopRequest<'_>) -> impl Future<Output = StopAnswer> + Send;

    /// Extends a target's lease and returns its running tasks and ended runs.
    fn hold(
        &self,
        hold: HoldRequest<'_>,
    ) -> impl Future<Output = Result<TargetReport, HoldFailure>> + Send;

    /// Lists the VMs; `None` if the list could not be read as a whole.
    fn list_vms(&self) -> impl Future<Output = Option<Vec<Vm>>> + Send;

    /// Begins the maintenance of a VM as part of a wave.
    fn begin_upkeep(
        &self,
        vm: &str,
        wave: u64,
        claim: OrderClaim,
    ) -> impl Future<Output = VmOutcome> + Send;

    /// Moves a VM to another pool.
    fn move_vm(
        &self,
        vm: &str,
        pool: &str,
        claim: OrderClaim,
    ) -> impl Future<Output = VmOutcome> + Send;

    /// Sets the addresses of the other processes, through which the store may be reached.
    fn set_peers(&self, peers: Vec<SocketAddr>);

    /// Reports to the operators whether a wave is complete; returns whether the report was stored.
    fn report_wave(&self, wave: u64, complete: bool) -> impl Future<Output = bool> + Send;
}
