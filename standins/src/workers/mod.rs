//! Workers: tasks under leases, accounted by cores, memory and accelerators.

mod host;
mod program;
mod service;
mod state;
mod task;
#[cfg(test)]
mod tests;

pub(crate) use host::{Host, Size};
pub(crate) use service::WorkersService;
pub(crate) use state::Workers;
pub use task::{TaskSpec, TaskState, TaskStatus, Usage};
