//! The log's records, the fold and its snapshots.

mod budgets;
mod fixtures;
mod fold;
mod invariants;
mod record;
mod snapshot;
