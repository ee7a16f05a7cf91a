//! The planner: its role, placement of VMs and jobs, and the whole of it on stand-ins.

mod claimant;
mod fixtures;
mod fleet;
mod jobs;
mod placement;
mod runner;
mod scenarios;
mod world;
