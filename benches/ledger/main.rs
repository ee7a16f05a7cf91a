//! Measures the fold, snapshots, heartbeats, the control thread and how fast edits spread; prints
//! `key=value` lines.

#![allow(clippy::cast_precision_loss)] // Counts are far below 2^52.

mod fleet;
mod fold;
mod heartbeat;
mod processes;
mod snapshot;
mod spread;
#[path = "../../tests/support/mod.rs"]
mod support;
mod tick;

fn main() {
    println!("bench=ledger");
    fold::run();
    snapshot::run();
    heartbeat::run();
    tick::run();
    spread::run();
    processes::run();
}
