//! Types that the platform's services return or take.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{ClassId, DataCentre, Generation, Offset, Rack, VmId};

/// Result of a read of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Oldest offset that the log still keeps.
    pub oldest: Offset,
    /// Offset that the next appended record will get.
    pub head: Offset,
    /// Offset of the first of `records`.
    pub first: Offset,
    /// Consecutive records; empty if there are none from `first` on yet.
    pub records: Vec<Vec<u8>>,
}

/// Why a call to the log failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogError {
    /// The log says that it is not available.
    Unavailable,
    /// The requested records have expired; holds the oldest offset that is still kept.
    Expired(Offset),
    /// The log was not reached or refused the call; an append has had no effect.
    NotSent(String),
    /// There was no valid reply; an append may have taken effect.
    Unknown(String),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable => f.write_str("log unavailable"),
            Self::Expired(oldest) => write!(f, "records before offset {oldest} have expired"),
            Self::NotSent(cause) => write!(f, "log not reached: {cause}"),
            Self::Unknown(cause) => write!(f, "log gave no answer: {cause}"),
        }
    }
}

impl std::error::Error for LogError {}

/// Why a call to another platform service failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The VM has another generation than the call was conditional on.
    Conflict,
    /// The VM, task or checkpoint does not exist.
    Missing,
    /// The service refused the call, with this message.
    Refused(String),
    /// The call was not sent and has had no effect.
    NotSent(String),
    /// There was no valid reply; the call may have taken effect.
    Unknown(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("generation has changed"),
            Self::Missing => f.write_str("not known to the platform"),
            Self::Refused(message) => write!(f, "refused: {message}"),
            Self::NotSent(cause) => write!(f, "not reached: {cause}"),
            Self::Unknown(cause) => write!(f, "no answer: {cause}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmPhase {
    /// Running and in service.
    Live,
    /// To be removed or rebooted.
    Leaving,
    /// Off or starting.
    Down,
}

/// A VM as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM, unique in the fleet.
    pub id: VmId,
    /// Class, which determines the size of the VM.
    pub class: ClassId,
    /// Data centre that the VM runs in.
    pub data_centre: DataCentre,
    /// Failure domain within the data centre.
    pub rack: Rack,
    /// Address of the target that runs on the VM; `None` for a worker.
    pub address: Option<SocketAddr>,
    /// State of the VM when the list was made.
    pub phase: VmPhase,
    /// Rises with every drain, restore and reboot.
    pub generation: Generation,
}

/// Version of the VM list; rises with every change of it and never falls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ListVersion(pub u64);

/// Answer to a read of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The list still has the version that the read was conditional on.
    Unchanged,
    /// The whole list.
    Whole {
        /// Version of the list.
        version: ListVersion,
        /// All VMs.
        vms: Vec<Vm>,
    },
    /// What has changed since a version.
    Changes {
        /// Version that the changes are relative to.
        since: ListVersion,
        /// Version of the list with the changes.
        version: ListVersion,
        /// Number of VMs in the whole list after the changes.
        count: usize,
        /// VMs that are new or have changed, in their new state.
        vms: Vec<Vm>,
        /// VMs that are no longer in the list.
        removed: Vec<VmId>,
    },
}

/// State of a VM as the pools service reports it, without the lag of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmReport {
    /// Current state of the VM.
    pub phase: VmPhase,
    /// Rises with every drain, restore and reboot.
    pub generation: Generation,
    /// Generation that the VM got from its last reboot through the pools service; 0 before
    /// the first.
    pub rebooted: Generation,
    /// Number of requests or tasks that run on the VM.
    pub running: u64,
}

/// A task to start on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Unique id of this run of the program.
    pub id: String,
    /// Name of the program to run.
    pub task: String,
    /// Input of the program.
    pub input: String,
    /// Number of cores to reserve.
    pub cores: u32,
    /// Memory to reserve, in MB.
    pub memory_mb: u32,
    /// Number of accelerators to reserve.
    pub accelerators: u32,
    /// The worker stops the task when the lease is not renewed for this long, in ms.
    pub lease_ms: u64,
}

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Started and not ended; it may be throttled.
    Running,
    /// Ended with success.
    Done,
    /// Ended with an error.
    Failed,
    /// Stopped by a call.
    Stopped,
    /// Stopped because its lease was not renewed in time.
    Lapsed,
}

/// Status of one task, without its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// State of the task.
    pub state: TaskState,
    /// Output or error text of the task, once it has ended.
    pub output: String,
}

/// Status of one task in a list of a worker's tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Id of the run.
    pub id: String,
    /// State of the task.
    pub state: TaskState,
    /// Output or error text of the task, once it has ended.
    pub output: String,
    /// Work done so far, in ms at full speed.
    pub progress_ms: u64,
}

/// Amount of a worker's resources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Number of cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// A worker as the platform reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// VM of the worker.
    pub vm: VmId,
    /// True while the VM is off and its tasks can't be reached.
    pub off: bool,
    /// Total resources of the worker.
    pub size: Size,
    /// Resources that are not reserved by running tasks.
    pub free: Size,
}

/// Measured resource use of a worker's tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Age of the report, in ms.
    pub age_ms: u64,
    /// Tasks that ran at the time of the report.
    pub tasks: Vec<TaskUsage>,
}

/// Measured resource use of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// Id of the run.
    pub id: String,
    /// Processor use in thousandths of a core.
    pub millicores: u64,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}
