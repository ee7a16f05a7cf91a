//! Decides where VMs and jobs are placed, and when VMs are stopped.

mod buffer;
mod call;
mod claimant;
mod clock;
mod decisions;
mod health;
mod jobs;
mod maintenance;
mod placement;
mod proposer;
mod repair;
mod runner;
mod share;
mod shell;
mod stop;
mod upkeep;

pub use buffer::{BufferNeed, needs};
pub use claimant::Claimant;
pub use decisions::Decisions;
pub use health::{Check, Health};
pub use jobs::{Placement, place};
pub use maintenance::{Maintenance, StopStatus};
pub use placement::{Situation, Step, steps};
pub use repair::{Repair, is_cut_off};
pub use runner::{Call, JobCall, Runner, TASK_LEASE_MS};
pub use share::transfers;
pub use shell::{Planner, Platform, spawn};
pub use stop::{Action, Cause, End, Progress, Sight};
