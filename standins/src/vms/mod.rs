//! VMs of the fleet and the lagging list of them.

mod registry;
mod service;
#[cfg(test)]
mod tests;

pub(crate) use registry::{ChangeError, Listing, VmHistory, VmRegistry};
pub use registry::{Phase, VmState};
pub(crate) use service::VmsService;
