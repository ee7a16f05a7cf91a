//! Control API: injects faults and VM failures, and reads counters.

mod handle;
mod service;

pub use handle::Control;
pub(crate) use service::ControlService;
