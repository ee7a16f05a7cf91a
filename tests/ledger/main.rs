//! The log's records, the fold and its snapshots.

mod fixtures;
mod fold;
mod invariants;
mod record;
mod snapshot;
