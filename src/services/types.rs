//! What the platform's services say.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{ClassId, DataCentre, Generation, Offset, Rack, VmId};

/// Records read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Oldest offset still kept.
    pub oldest: Offset,
    /// Offset that the next append gets.
    pub head: Offset,
    /// Offset of the first record of `records`.
    pub first: Offset,
    /// Consecutive records.
    pub records: Vec<Vec<u8>>,
}

/// Why a call to the log failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogError {
    /// The log says that it is not available.
    Unavailable,
    /// The wanted records have expired; the oldest kept offset is given.
    Expired(Offset),
    /// The log was not reached; an append has had no effect.
    NotSent(String),
    /// No answer; an append may have taken effect.
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
    /// The condition of the call no longer holds.
    Conflict,
    /// The VM or task is not known.
    Missing,
    /// The service refused, with its words.
    Refused(String),
    /// The service was not reached; the call has had no effect.
    NotSent(String),
    /// No answer; the call may have taken effect.
    Unknown(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("generation has changed"),
            Self::Missing => f.write_str("not known to the platform"),
            Self::Refused(words) => write!(f, "refused: {words}"),
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
    /// Serves.
    Live,
    /// Will be taken away or rebooted.
    Leaving,
    /// Off or starting.
    Down,
}

/// A VM as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub id: VmId,
    /// Its class.
    pub class: ClassId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its failure domain.
    pub rack: Rack,
    /// Address of the target on it; workers have none.
    pub address: Option<SocketAddr>,
    /// Its state.
    pub phase: VmPhase,
    /// Changed by every drain and reboot.
    pub generation: Generation,
}

/// Version of the VM list; rises with every change of it and never falls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ListVersion(pub u64);

/// Answer to a read of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The list still has the version that was asked about.
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
        /// VMs in the whole list with the changes.
        count: usize,
        /// VMs that are new or differ, as they are now.
        vms: Vec<Vm>,
        /// VMs that are no longer in the list.
        removed: Vec<VmId>,
    },
}

/// A VM as the pools know it at this moment, without the lag of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmReport {
    /// Its state.
    pub phase: VmPhase,
    /// Changed by every drain and reboot.
    pub generation: Generation,
    /// Generation that its last reboot through the pools gave it; 0 before the first.
    pub rebooted: Generation,
    /// Requests or tasks that run on it.
    pub running: u64,
}

/// A task for a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Unique id of this run.
    pub id: String,
    /// Name of the program.
    pub task: String,
    /// Its input.
    pub input: String,
    /// Cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// The worker stops the task when the lease is not renewed for this long, in ms.
    pub lease_ms: u64,
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Runs.
    Running,
    /// Ended well.
    Done,
    /// Ended badly.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Stopped because its lease lapsed.
    Lapsed,
}

/// A task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Where it stands.
    pub state: TaskState,
    /// Its output or its error, once it has ended.
    pub output: String,
}

/// A task of a worker, with its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Id of the run.
    pub id: String,
    /// Where it stands.
    pub state: TaskState,
    /// Its output or its error, once it has ended.
    pub output: String,
    /// Work done so far, in ms at full speed.
    pub progress_ms: u64,
}

/// Resources of a worker, or a part of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

/// A worker as the platform reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The VM.
    pub vm: VmId,
    /// True while it is off and its tasks can't be reached.
    pub off: bool,
    /// Its whole size.
    pub size: Size,
    /// What running tasks leave free, as they declared it.
    pub free: Size,
}

/// What the tasks of a worker really used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Age of the report, in ms.
    pub age_ms: u64,
    /// Tasks that ran at that moment.
    pub tasks: Vec<TaskUsage>,
}

/// What one task really used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// Id of the run.
    pub id: String,
    /// Processor use, in thousandths of a core.
    pub millicores: u64,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}
