//! The platform's services as traits, and HTTP clients that implement them.

mod call;
mod log;
mod pools;
mod status;
mod types;
mod vms;
mod workers;

pub use log::LogClient;
pub use pools::PoolsClient;
pub use types::{
    Batch, ListVersion, Listing, LogError, PlatformError, Size, TaskReport, TaskSpec, TaskState,
    TaskStatus, TaskUsage, UsageReport, Vm, VmPhase, VmReport, WorkerReport,
};
pub use vms::VmsClient;
pub use workers::WorkersClient;

use crate::id::{Generation, Offset, VmId};

/// Append-only log with offsets and limited retention, in named streams.
pub trait Log: Send + Sync + 'static {
    /// Appends records as one batch, in order; returns the offset of the first.
    fn append(
        &self,
        stream: &str,
        records: &[Vec<u8>],
    ) -> impl Future<Output = Result<Offset, LogError>> + Send;

    /// Reads up to `limit` records from offset `from` on; if there is none yet, waits up to
    /// `wait_ms` for one.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Batch, LogError>> + Send;
}

/// List of the platform's VMs; it lags behind their real state.
pub trait VmList: Send + Sync + 'static {
    /// Reads the list. If the platform still remembers the version `known`, it may answer
    /// with only the changes since.
    fn list(
        &self,
        known: Option<ListVersion>,
    ) -> impl Future<Output = Result<Listing, PlatformError>> + Send;
}

/// Drains and reboots VMs.
///
/// Each change is conditional: it fails with [`PlatformError::Conflict`] unless the VM still
/// has the given generation, and returns the new generation.
pub trait Pools: Send + Sync + 'static {
    /// Reads the current state of a VM, without the lag of the VM list.
    fn inspect(&self, vm: &VmId) -> impl Future<Output = Result<VmReport, PlatformError>> + Send;

    /// Asks the platform to send no more work of its own to the VM.
    fn drain(
        &self,
        vm: &VmId,
        generation: Generation,
    ) -> impl Future<Output = Result<Generation, PlatformError>> + Send;

    /// Undoes a drain that has not been followed by a reboot.
    fn restore(
        &self,
        vm: &VmId,
        generation: Generation,
    ) -> impl Future<Output = Result<Generation, PlatformError>> + Send;

    /// Reboots a VM, which should have been drained before.
    fn reboot(
        &self,
        vm: &VmId,
        generation: Generation,
    ) -> impl Future<Output = Result<Generation, PlatformError>> + Send;
}

/// Runs tasks on workers. Each task has a lease; its worker stops it unless the lease is
/// renewed.
pub trait Workers: Send + Sync + 'static {
    /// Starts a task; does nothing if the worker already knows the task id.
    fn start(
        &self,
        vm: &VmId,
        task: &TaskSpec,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Renews the lease of a task for `lease_ms` from now.
    fn renew(
        &self,
        vm: &VmId,
        task: &str,
        lease_ms: u64,
    ) -> impl Future<Output = Result<TaskStatus, PlatformError>> + Send;

    /// Stops a task and waits until it no longer runs.
    fn stop(
        &self,
        vm: &VmId,
        task: &str,
    ) -> impl Future<Output = Result<TaskStatus, PlatformError>> + Send;

    /// Starts a task from a checkpoint; does nothing if the worker already knows the task id.
    fn resume(
        &self,
        vm: &VmId,
        task: &TaskSpec,
        checkpoint: &str,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads the status of a task.
    fn status(
        &self,
        vm: &VmId,
        task: &str,
    ) -> impl Future<Output = Result<TaskStatus, PlatformError>> + Send;

    /// Sets the speed of a task, in percent of full speed; 0 pauses it.
    fn throttle(
        &self,
        vm: &VmId,
        task: &str,
        percent: u32,
    ) -> impl Future<Output = Result<TaskStatus, PlatformError>> + Send;

    /// Saves the progress of a running task; returns the id of the checkpoint.
    fn checkpoint(
        &self,
        vm: &VmId,
        task: &str,
    ) -> impl Future<Output = Result<String, PlatformError>> + Send;

    /// Lists all workers with their total and free resources.
    fn workers(&self) -> impl Future<Output = Result<Vec<WorkerReport>, PlatformError>> + Send;

    /// Lists all tasks that a worker remembers, ended ones included.
    fn tasks(
        &self,
        vm: &VmId,
    ) -> impl Future<Output = Result<Vec<TaskReport>, PlatformError>> + Send;

    /// Reads what the tasks of a worker used; the report may be some time old.
    fn usage(&self, vm: &VmId) -> impl Future<Output = Result<UsageReport, PlatformError>> + Send;
}
