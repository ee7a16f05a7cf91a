//! Tests of log records, of the state machine that applies them, and of its snapshots.

mod budgets;
mod fixtures;
mod fold;
mod invariants;
mod record;
mod snapshot;
