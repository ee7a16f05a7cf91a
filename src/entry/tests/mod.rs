//! Decision code of the entry in virtual time.

mod balancer;
mod dedup;
mod queue;
mod scheduler;
