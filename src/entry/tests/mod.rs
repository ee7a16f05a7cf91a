//! Decision code of the entry in virtual time.

mod balancer;
mod fair_queue;
mod idempotency_store;
mod scheduler;
