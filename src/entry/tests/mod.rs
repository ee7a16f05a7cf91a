//! Tests of the entry's state machines, with time passed in as a number.

mod balancer;
mod fair_queue;
mod idempotency_store;
mod scheduler;
