//! Measures the fold, snapshots and the spread of edits; prints `key=value` lines.

#![allow(clippy::cast_precision_loss)] // Counts are far below 2^52.

mod fleet;
mod fold;
mod heartbeat;
mod snapshot;
mod spread;

fn main() {
    println!("bench=ledger");
    fold::run();
    snapshot::run();
    heartbeat::run();
    spread::run();
}
