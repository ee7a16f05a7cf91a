//! Workers: run tasks under leases, limited by cores, memory and accelerators.

mod program;
mod registry;
mod service;
mod task;
#[cfg(test)]
mod tests;
mod worker;

pub(crate) use registry::WorkerRegistry;
pub(crate) use service::WorkersService;
pub use task::{TaskSpec, TaskState, TaskStatus, Usage};
pub use worker::Resources;
pub(crate) use worker::Worker;
