//! VMs as the platform lists them, orders for them, and its answers to these.

use std::sync::Arc;

use super::{Capacity, TargetId};

/// State of a VM, as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// Running in its pool.
    Up,
    /// Being moved to another pool.
    Moving,
    /// Being maintained.
    Upkeep,
    /// Not running.
    Down,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Name of the pool that the VM is in.
    pub pool: Arc<str>,
    /// Name of the data centre that the VM is in; empty if the list does not tell.
    pub data_centre: Arc<str>,
    /// Whether the VM is running, being moved, being maintained or down.
    pub state: VmState,
    /// Labels of the VM: its kind and its rack.
    pub labels: Vec<String>,
    /// Total capacity of the VM.
    pub capacity: Capacity,
    /// Id of the target on the VM; `None` in a pool whose VMs are off.
    pub target: Option<TargetId>,
}

/// The platform's answer to an order to move or maintain a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmOutcome {
    /// The platform has begun to carry it out.
    Begun,
    /// Refused: another leader with a higher fencing token has called.
    Fenced,
    /// Refused: the VM is not up, or is about to leave.
    Busy,
    /// Refused: the VM is not part of the wave.
    NotInWave,
    /// Refused: there is no such VM, or it can't be in that pool.
    Invalid,
    /// There was no usable answer; the order may have been carried out.
    Unknown,
}

/// An order to the platform for a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum VmOrder {
    /// Maintain the VM in the wave of this number.
    Upkeep(u64),
    /// Move the VM to the pool of this name.
    Move(Arc<str>),
}
