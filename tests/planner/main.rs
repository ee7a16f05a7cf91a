//! Tests of the planner: its role, placement of VMs and jobs, running of tasks, faults in a
//! simulation, and all of it on stand-ins of the platform.

mod claimant;
mod fixtures;
mod job_placement;
mod scenarios;
mod simulation;
mod standins;
mod task_runner;
mod vm_placement;
