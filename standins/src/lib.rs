//! Stand-ins for the platform: log service, VM list, pools, executors and workers.
//!
//! A [`Fleet`] runs all of them on threads of its own, each service on a
//! loopback address that the kernel chose. `docs/PLATFORM.md` describes the
//! protocol, and the control path by which faults are brought about.

mod control;
mod counters;
mod executor;
mod fault;
mod fleet;
mod lifecycle;
pub mod load;
mod log;
mod pools;
mod serve;
mod spec;
mod thread_pool;
mod vms;
mod workers;

pub use control::Control;
pub use counters::{Counters, ExecutorCounters, TeamCounters};
pub use fault::{Cut, Fault, PLATFORM, SiteName, WrongAnswer};
pub use fleet::{ExecutorAddress, Fleet};
pub use spec::{ClassSpec, DataCentreSpec, FleetSpec, Kind, LogSpec};
pub use vms::{Phase, VmState};
pub use workers::{TaskSpec, TaskState, TaskStatus, Usage};
