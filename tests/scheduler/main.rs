//! Tests of the scheduler against a simulated platform in virtual time.

mod burst;
mod cancelled_jobs;
mod capacity;
mod crash_limits;
mod crashing_tasks;
mod expired_entries;
mod faults;
mod fixtures;
mod gangs;
mod jobs;
mod records;
mod returned_targets;
mod target;
mod upkeep;
mod vm_orders;
mod vm_service;
mod world;
