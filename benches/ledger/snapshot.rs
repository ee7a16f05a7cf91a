//! Size of a snapshot, and time to encode and to decode it.

use std::time::Instant;

use amaranthwick::ledger::{decode_snapshot, encode_snapshot};

use crate::fleet::{
    FleetSize, FoldedLog, TARGET_SIZE, full_fleet, register, submit, transfer, trusted_keys,
};

/// Jobs that wait in the larger of the two states.
const JOBS: usize = 3_000;

/// Runs over which times are averaged.
const ROUNDS: u32 = 10;

pub(crate) fn run() {
    let today = FleetSize {
        workers: 100,
        teams: 6,
        pools: 6,
    };
    let half = FleetSize {
        workers: 1_550,
        teams: 70,
        pools: 18,
    };
    measure("today", &today);
    measure("half", &half);
    measure("aim", &TARGET_SIZE);
}

/// Measures the bare fleet, and then the fleet with jobs, transfers and so many records that the
/// deduplication window is full.
fn measure(name: &str, size: &FleetSize) {
    let mut log = full_fleet(size);
    measure_encoding(name, "bare", &log);
    for n in 0..JOBS {
        log.apply_accepted(submit(n, size.teams));
    }
    for n in 0..size.teams {
        log.apply_accepted(transfer(n, n % 80, false));
    }
    while log.state.offset().0 < 40_000 {
        log.apply_accepted(register(0));
    }
    measure_encoding(name, "with_jobs_and_full_window", &log);
}

fn measure_encoding(name: &str, load: &str, log: &FoldedLog) {
    let bytes = encode_snapshot(&log.state);
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let _ = encode_snapshot(&log.state);
    }
    let store_time = started.elapsed() / ROUNDS;
    let started = Instant::now();
    for _ in 0..ROUNDS {
        decode_snapshot(&bytes, &trusted_keys()).expect("valid");
    }
    let load_time = started.elapsed() / ROUNDS;
    println!(
        "snapshot={name} load={load} bytes={} store_us={} load_us={}",
        bytes.len(),
        store_time.as_micros(),
        load_time.as_micros()
    );
}
