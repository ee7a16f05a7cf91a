//! The platform's services as small traits, and clients for their HTTP protocol.

mod types;

pub use types::{Batch, LogError, PlatformError, TaskSpec, TaskState, TaskStatus, Vm, VmPhase};

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
    /// The whole list as the platform shows it now.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, PlatformError>> + Send;
}

/// Drain and reboot of VMs; conditional on the VM's generation.
pub trait Pools: Send + Sync + 'static {
    /// Asks the platform to stop sending work of its own to the VM.
    fn drain(
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
}
