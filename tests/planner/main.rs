//! The planner: its role, placement of VMs and jobs, and the whole of it on stand-ins.

mod claimant;
mod fixtures;
mod job_placement;
mod scenarios;
mod simulation;
mod standins;
mod task_runner;
mod vm_placement;
