//! VMs of the fleet, and the VM list, which lags behind their actual state.

mod registry;
mod service;
#[cfg(test)]
mod tests;

pub(crate) use registry::{ChangeError, Listing, VmHistory, VmRegistry};
pub use registry::{Phase, VmState};
pub(crate) use service::VmsService;
