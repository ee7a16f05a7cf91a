//! Decides where VMs and jobs are placed, and when VMs are stopped for maintenance.
//!
//! Several processes may run a planner; only the one that holds the planner role acts.

mod buffer;
mod ceiling;
mod claimant;
mod clock;
mod decisions;
mod health;
mod job_placement;
mod main_loop;
mod maintenance;
mod proposer;
mod replacement;
mod stop;
mod task_runner;
mod timeout;
mod vm_loop;
mod vm_placement;

pub use buffer::{BufferNeed, buffer_needs};
pub use ceiling::ceiling_transfers;
pub use claimant::Claimant;
pub use decisions::VmPlanner;
pub use health::{HealthCheck, HealthTracker};
pub use job_placement::{JobPlacement, place_jobs};
pub use main_loop::{Planner, PlatformClients, spawn};
pub use maintenance::{Maintenance, StopStatus};
pub use replacement::{ReplacementLimiter, is_cut_off};
pub use stop::{StopAction, StopEnd, StopProgress, VmObservation, WaitReason};
pub use task_runner::{JobCall, TASK_LEASE_MS, TaskRunner, WorkerCall};
pub use vm_placement::{VmMove, VmPlacementInput, plan_moves};
