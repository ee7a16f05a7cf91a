//! Control path: faults, failures of VMs and counters.

mod handle;
mod service;

pub use handle::Control;
pub(crate) use service::ControlService;
