//! Cost of the request path: direct to an executor, through the entry that owns the pool, and
//! forwarded to the owner by another entry.
//!
//! Executors and entries run as separate processes of this program, so that their processor time
//! and memory can be told apart from the callers'. Prints key=value lines. The three routes take
//! turns within each round, so that other load on the machine affects all of them alike.

mod child;
#[path = "../../tests/common/entry.rs"]
mod common;
mod load;

use std::net::SocketAddr;
use std::time::Duration;

use child::{ChildProcess, Role};
use load::{Load, Sample};

const ROUNDS: usize = 5;

/// Time for which each route gets load in each round.
const ROUND_DURATION: Duration = Duration::from_secs(1);

/// Number of connections, and run time of each request in ms.
const CASES: [(usize, u64); 3] = [(1, 0), (8, 0), (8, 2)];

/// Callers that wait for an answer at the same time.
const OPEN_CALLERS: usize = 5_000;

/// Run time of each request of the open callers, so that most of them wait.
const OPEN_CALLER_RUN_MS: u64 = 5;

fn main() {
    match child::role() {
        Some(Role::Executors) => child::run_executors(),
        Some(Role::Entry) => child::run_entry(),
        None => run_bench(),
    }
}

/// The processes under test.
struct Fleet {
    executors: ChildProcess,
    /// Entry that owns the pool.
    owner: ChildProcess,
    /// Entry that forwards requests to the owner.
    non_owner: ChildProcess,
}

impl Fleet {
    fn open() -> Self {
        let mut executors = ChildProcess::spawn(Role::Executors, "executors");
        let targets = executors.read_line();
        let mut entries = ["a", "b"].map(|name| ChildProcess::spawn(Role::Entry, name));
        let peers = entries
            .each_mut()
            .map(|entry| entry.read_address("peers"))
            .map(|address| address.to_string())
            .join(",");
        for entry in &mut entries {
            entry.write_line(&targets);
            entry.write_line(&peers);
        }
        let owns = entries.each_mut().map(|entry| entry.read_line() == "owner");
        let [a, b] = entries;
        let (owner, non_owner) = if owns[0] { (a, b) } else { (b, a) };
        Self {
            executors,
            owner,
            non_owner,
        }
    }

    /// Address of the first executor.
    fn executor_address(&self) -> SocketAddr {
        let address = self.executors.first_line.split(',').next();
        address.and_then(|text| text.parse().ok()).expect("address")
    }
}

/// How requests reach the executors.
#[derive(Clone, Copy)]
struct Route<'a> {
    /// Value of `way` in the output.
    name: &'static str,
    /// Where callers connect.
    address: SocketAddr,
    /// Entries on the route, whose processor time counts.
    entries: &'a [&'a ChildProcess],
    path: &'static str,
}

fn run_bench() {
    let fleet = Fleet::open();
    let idle_kb = fleet.owner.resident_kb();
    for (connections, run_ms) in CASES {
        compare_routes(&fleet, connections, run_ms);
    }
    measure_open_callers(&fleet, idle_kb);
}

/// Prints the median round of each route, and its ratios to the direct route.
fn compare_routes(fleet: &Fleet, connections: usize, run_ms: u64) {
    let routes = [
        Route {
            name: "direct",
            address: fleet.executor_address(),
            entries: &[],
            path: "/x",
        },
        Route {
            name: "owner",
            address: fleet.owner.caller_address,
            entries: &[&fleet.owner],
            path: "/q/own/x",
        },
        Route {
            name: "forwarded",
            address: fleet.non_owner.caller_address,
            entries: &[&fleet.owner, &fleet.non_owner],
            path: "/q/own/x",
        },
    ];
    let mut samples = routes.map(|_| Vec::new());
    for _ in 0..ROUNDS {
        for (route, samples) in routes.iter().zip(&mut samples) {
            samples.push(measure(route, connections, run_ms));
        }
    }
    let samples = samples.map(|mut rounds| median(&mut rounds));
    for (route, sample) in routes.iter().zip(&samples) {
        print_sample(route.name, connections, run_ms, sample);
    }
    for (route, sample) in routes.iter().zip(&samples).skip(1) {
        println!(
            "bench=request_path way={} connections={connections} run_ms={run_ms} p50_ratio={:.2} p99_ratio={:.2} rate_ratio={:.2}",
            route.name,
            sample.p50_us / samples[0].p50_us,
            sample.p99_us / samples[0].p99_us,
            sample.rate / samples[0].rate,
        );
    }
}

fn measure(route: &Route<'_>, connections: usize, run_ms: u64) -> Sample {
    let before: f64 = route.entries.iter().map(|entry| entry.cpu_us()).sum();
    let mut sample = Load::new(route.address, route.path, run_ms).run(connections, ROUND_DURATION);
    let after: f64 = route.entries.iter().map(|entry| entry.cpu_us()).sum();
    #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
    let requests = sample.requests as f64;
    sample.cpu_us = (after - before) / requests;
    sample
}

/// The round whose p50 is the median; sorts `rounds`.
fn median(rounds: &mut [Sample]) -> Sample {
    rounds.sort_by(|a, b| a.p50_us.total_cmp(&b.p50_us));
    rounds[rounds.len() / 2]
}

fn print_sample(route: &str, connections: usize, run_ms: u64, sample: &Sample) {
    println!(
        "bench=request_path way={route} connections={connections} run_ms={run_ms} requests={} failed={} rate={:.0} p50_us={:.0} p99_us={:.0} entry_cpu_us={:.1}",
        sample.requests, sample.failed, sample.rate, sample.p50_us, sample.p99_us, sample.cpu_us,
    );
}

/// Prints the owner's memory per open caller, beyond the `idle_kb` that it had before any load.
fn measure_open_callers(fleet: &Fleet, idle_kb: u64) {
    let load = Load::new(fleet.owner.caller_address, "/q/open/x", OPEN_CALLER_RUN_MS);
    let (answered, loaded_kb) = load.open_callers(OPEN_CALLERS, || fleet.owner.resident_kb());
    println!(
        "bench=request_path memory=owner callers={OPEN_CALLERS} answered={answered} idle_kb={idle_kb} loaded_kb={loaded_kb} kb_a_caller={}",
        loaded_kb.saturating_sub(idle_kb) / OPEN_CALLERS as u64,
    );
}
