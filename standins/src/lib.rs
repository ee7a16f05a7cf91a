//! Stand-ins for the platform's services in tests, benches and local runs: log service, VM
//! list, pools, executors and workers.
//!
//! A [`Fleet`] runs all of them on its own threads, each service on a port of
//! [`FleetSpec::bind_ip`] that the kernel assigns. `docs/PLATFORM.md` describes
//! the protocol and the control API that injects faults.

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
pub use workers::{Resources, TaskSpec, TaskState, TaskStatus, Usage};
