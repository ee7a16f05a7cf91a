//! Tests of the scheduler against a simulated platform in virtual time.

mod cancelled_jobs;
mod capacity;
mod crash_limits;
mod crash_troubles;
mod crashes_beside_orders;
mod crashing_tasks;
mod evacuation;
mod evacuation_moves;
mod evacuation_orders;
mod evacuation_set;
mod expired_entries;
mod faults;
mod fixtures;
mod gangs;
mod jobs;
mod pool_day;
mod pools;
mod records;
mod returned_targets;
mod silent_crashes;
mod target;
mod upkeep;
mod vm_orders;
mod vm_service;
mod world;
