//! The platform's services as small traits, and clients for their HTTP protocol.

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

/// Append-only log with offsets and limited retention.
pub trait Log: Send + Sync + 'static {
    /// Appends records together, in order; returns the offset of the first.
    fn append(
        &self,
        stream: &str,
        records: &[Vec<u8>],
    ) -> impl Future<Output = Result<Offset, LogError>> + Send;

    /// Reads up to `limit` records from `from` on; waits up to `wait_ms` for the first.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Batch, LogError>> + Send;
}

/// Lagging list of live and leaving VMs.
pub trait VmList: Send + Sync + 'static {
    /// The list as the platform shows it now; only what has changed since the version
    /// that is `known`, if the platform still knows that one.
    fn list(
        &self,
        known: Option<ListVersion>,
    ) -> impl Future<Output = Result<Listing, PlatformError>> + Send;
}

/// Drain and reboot of VMs; conditional on the VM's generation.
pub trait Pools: Send + Sync + 'static {
    /// What the VM is and runs now.
    fn inspect(&self, vm: &VmId) -> impl Future<Output = Result<VmReport, PlatformError>> + Send;

    /// Asks the platform to stop sending work of its own to the VM.
    fn drain(
        &self,
        vm: &VmId,
        generation: Generation,
    ) -> impl Future<Output = Result<Generation, PlatformError>> + Send;

    /// Takes a drain back before any reboot.
    fn restore(
        &self,
        vm: &VmId,
        generation: Generation,
    ) -> impl Future<Output = Result<Generation, PlatformError>> + Send;

    /// Reboots a drained VM.
    fn reboot(
        &self,
        vm: &VmId,
        generation: Generation,
    ) -> impl Future<Output = Result<Generation, PlatformError>> + Send;
}

/// Tasks on workers, under leases.
pub trait Workers: Send + Sync + 'static {
    /// Starts a task, or does nothing if the task id is known there.
    fn start(
        &self,
        vm: &VmId,
        task: &TaskSpec,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Extends the lease of a task.
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

    /// Starts a task from a checkpoint, or does nothing if the task id is known there.
    fn resume(
        &self,
        vm: &VmId,
        task: &TaskSpec,
        checkpoint: &str,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Where a task stands.
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

    /// Saves the work of a running task; returns the id of the checkpoint.
    fn checkpoint(
        &self,
        vm: &VmId,
        task: &str,
    ) -> impl Future<Output = Result<String, PlatformError>> + Send;

    /// All workers with their size and what is free.
    fn workers(&self) -> impl Future<Output = Result<Vec<WorkerReport>, PlatformError>> + Send;

    /// All tasks that a worker remembers.
    fn tasks(
        &self,
        vm: &VmId,
    ) -> impl Future<Output = Result<Vec<TaskReport>, PlatformError>> + Send;

    /// What the tasks of a worker used a while ago.
    fn usage(&self, vm: &VmId) -> impl Future<Output = Result<UsageReport, PlatformError>> + Send;
}
