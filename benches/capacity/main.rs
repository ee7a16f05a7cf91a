//! How state, messages, processor time and memory of each role grow with the fleet.
//!
//! Each part prints a line of key=value pairs for each size. Given names of parts as arguments,
//! the bench runs only these.

#![allow(clippy::cast_precision_loss)] // Counts are far below 2^52.

mod appends;
#[allow(dead_code)] // The ledger bench uses the rest.
#[path = "../ledger/fleet.rs"]
mod fleet;
#[path = "../ledger/heartbeat.rs"]
mod heartbeat;
mod heartbeat_headers;
mod members;
mod processes;
mod relay;
#[path = "../ledger/snapshot.rs"]
mod snapshot;
#[path = "../../tests/support/mod.rs"]
mod support;
mod usage;
mod vm_list;

/// The parts of the bench by name, in the order in which they run.
const PARTS: [(&str, fn()); 10] = [
    ("vm_list", vm_list::run),
    ("beat", heartbeat_headers::run),
    ("heartbeat", heartbeat::run),
    ("snapshot", snapshot::run),
    ("appends", appends::run),
    ("by_vms", processes::by_vms),
    ("by_teams", processes::by_teams),
    ("by_pools", processes::by_pools),
    ("by_members", processes::by_members),
    ("standby", processes::standby),
];

fn main() {
    println!("bench=capacity");
    // Cargo passes `--bench`, which names no part.
    let wanted: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with('-'))
        .collect();
    for (name, run) in PARTS {
        if wanted.is_empty() || wanted.iter().any(|part| part == name) {
            run();
        }
    }
}
