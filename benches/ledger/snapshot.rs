//! Size of a snapshot, and time to write and to load it.

use std::time::Instant;

use amaranthwick::ledger::{decode_snapshot, encode_snapshot};

use crate::fleet::{AIM, Size, Writer, full, register, submit, transfer, trust};

const JOBS: usize = 3_000;
const ROUNDS: u32 = 10;

pub(crate) fn run() {
    let today = Size {
        workers: 100,
        teams: 6,
        pools: 6,
    };
    let half = Size {
        workers: 1_550,
        teams: 70,
        pools: 18,
    };
    measure("today", &today);
    measure("half", &half);
    measure("aim", &AIM);
}

fn measure(name: &str, size: &Size) {
    let mut writer = full(size);
    report(name, "bare", &writer);
    for n in 0..JOBS {
        writer.accept(submit(n, size.teams));
    }
    for n in 0..size.teams {
        writer.accept(transfer(n, n % 80, false));
    }
    while writer.state.offset().0 < 40_000 {
        writer.accept(register(0));
    }
    report(name, "with_jobs_and_full_window", &writer);
}

fn report(name: &str, load: &str, writer: &Writer) {
    let bytes = encode_snapshot(&writer.state);
    let began = Instant::now();
    for _ in 0..ROUNDS {
        let _ = encode_snapshot(&writer.state);
    }
    let stored = began.elapsed() / ROUNDS;
    let began = Instant::now();
    for _ in 0..ROUNDS {
        decode_snapshot(&bytes, &trust()).expect("valid");
    }
    let loaded = began.elapsed() / ROUNDS;
    println!(
        "snapshot={name} load={load} bytes={} store_us={} load_us={}",
        bytes.len(),
        stored.as_micros(),
        loaded.as_micros()
    );
}
