//! Settings of a leader.

use super::Predecessor;
use crate::scheduler::Holder;

/// Settings of a leader: its claim of the role, and time limits.
#[derive(Clone, Debug)]
pub struct LeaderSettings {
    /// The stored record that claimed the role for this process.
    pub holder: Holder,
    /// Length of the lease that a start or hold call gives a target, in ms.
    pub lease_ms: u64,
    /// Longest lease that a target accepts, in ms: what a call gives it whose deadline is meant for
    /// the clock of an earlier incarnation.
    pub max_lease_ms: u64,
    /// Time after the start of the leader in which earlier leaders may still extend leases of
    /// targets that do not know of this one, in ms.
    pub earlier_extend_ms: u64,
    /// Earlier leaders that have not given the role up, and may still extend leases.
    pub predecessors: Vec<Predecessor>,
    /// Time from the last sign of the earlier leader to the start of the leader, in ms; `None` if there
    /// was no earlier one.
    pub earlier_silence_ms: Option<u64>,
    /// A leader steps down when no batch of it has been stored for longer than this, in ms.
    pub step_down_after_ms: u64,
    /// Time after the start of the leader in which it sends no orders for VMs, in ms, so
    /// that its orders and the last ones of the earlier leader do not alternate.
    pub vm_order_delay_ms: u64,
    /// Time that a stop may take at a target, in ms. A stop call that is not confirmed is
    /// repeated after a little more.
    pub stop_timeout_ms: u64,
    /// Time for which the records of an ended job are kept, in ms.
    pub job_retention_ms: u64,
}
