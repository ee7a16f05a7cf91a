//! Tests of the scheduler against a simulated platform in virtual time.

mod capacity;
mod expired_entries;
mod faults;
mod fixtures;
mod jobs;
mod target;
mod upkeep;
mod vm_orders;
mod vm_service;
mod world;
