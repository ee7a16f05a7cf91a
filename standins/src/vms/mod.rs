//! VMs of the fleet and the lagging list of them.

mod machine;
mod service;
#[cfg(test)]
mod tests;

pub(crate) use machine::{Listing, Machine, Machines, Mismatch};
pub use machine::{Phase, VmState};
pub(crate) use service::VmsService;
