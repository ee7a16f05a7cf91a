//! Decides where VMs and jobs are placed.

mod claimant;
mod jobs;
mod placement;
mod runner;
mod share;
mod shell;

pub use claimant::Claimant;
pub use jobs::{Placement, place};
pub use placement::{Step, steps};
pub use runner::{Call, JobCall, Runner, TASK_LEASE_MS};
pub use share::transfers;
pub use shell::{Planner, spawn};
