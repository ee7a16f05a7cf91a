//! Decision code of the entry in virtual time.

mod balancer;
mod queue;
