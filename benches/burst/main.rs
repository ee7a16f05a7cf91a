//! Wait of urgent requests while the queues of a pool burst in turn to five times their mean rate.
//!
//! There is one data centre, with one entry in this process and the stand-ins' executors; the
//! load is open-loop. Prints key=value lines. Those with `way=model-...` simulate other queue
//! disciplines over the same arrivals in virtual time; they are no measurement of the product.

#[path = "../../tests/common/entry.rs"]
mod common;
#[path = "../fairness/deployment.rs"]
mod deployment;
#[path = "../fairness/model.rs"]
mod model;

use std::thread;
use std::time::Duration;

use amaranthwick_standins::load::{Arrivals, LoadReport, Shape, run_open};

use deployment::{Deployment, EXAMPLES, Example, RUN_MS, request, to_f64};
use model::{Arrival, Pool};

const SEED: u64 = 43;

/// Time for which urgent requests are sent without other load.
const UNLOADED_DURATION: Duration = Duration::from_secs(5);

/// Just over one cycle of a 3 s burst and the lull after it.
const LOAD_DURATION: Duration = Duration::from_secs(16);

const BURST_DURATION: Duration = Duration::from_secs(3);

/// Mean rate of both bursting queues together, as a fraction of what the pool can serve.
const MEAN_LOAD: f64 = 0.6;

/// Urgent requests per second.
const URGENT_RATE: f64 = 50.0;

/// Time after which a request that still waits is not started.
const WAIT_S: u64 = 5;

const HIGHEST_URGENCY: u8 = 0;
const DEFAULT_URGENCY: u8 = 3;

fn main() {
    for example in &EXAMPLES {
        measure_example(example);
    }
}

/// Requests of one urgency to one queue, and the times at which they arrive.
struct RequestStream {
    queue: &'static str,
    urgency: u8,
    arrivals: Arrivals,
}

/// Urgent requests at a steady rate, and a stream of mean rate `rate` to each of the pool's two
/// queues; these two burst in turn.
fn streams(example: &Example, rate: f64) -> [RequestStream; 3] {
    let burst = |offset| Shape::Bursts {
        length: BURST_DURATION,
        offset,
    };
    [
        RequestStream {
            queue: example.queue,
            urgency: HIGHEST_URGENCY,
            arrivals: Arrivals::new(SEED, URGENT_RATE, Shape::Steady),
        },
        RequestStream {
            queue: example.queue,
            urgency: DEFAULT_URGENCY,
            arrivals: Arrivals::new(SEED + 1, rate, burst(0.9)),
        },
        RequestStream {
            queue: example.second_queue,
            urgency: DEFAULT_URGENCY,
            arrivals: Arrivals::new(SEED + 2, rate, burst(0.4)),
        },
    ]
}

/// Measures urgent requests alone and then together with the bursting queues.
fn measure_example(example: &Example) {
    let deployment = Deployment::open(example);
    let rate = MEAN_LOAD * deployment.capacity() / 2.0;
    println!(
        "bench=burst example={} data_centres=1 slots={} run_ms={RUN_MS} queue_mean={rate:.0} burst_s={} urgent_rate={URGENT_RATE} seed={SEED}",
        example.name,
        deployment.slots,
        BURST_DURATION.as_secs(),
    );
    let [urgent, ..] = streams(example, rate);
    let unloaded = run_load(example, &deployment, urgent, UNLOADED_DURATION);
    let unloaded_ms = print_report(example, "unloaded", &unloaded);
    let loads = streams(example, rate).map(|stream| spawn_load(example, &deployment, stream));
    let [urgent, first, second] = loads.map(|load| load.join().expect("load"));
    let urgent_ms = print_report(example, "urgent", &urgent);
    print_report(example, "queue_1", &first);
    print_report(example, "queue_2", &second);
    println!(
        "bench=burst example={} way=product urgent_p99_start_ms={urgent_ms:.1} unloaded_p99_start_ms={unloaded_ms:.1} ratio={:.2}",
        example.name,
        urgent_ms / unloaded_ms,
    );
    print_models(example, &deployment, rate);
}

fn spawn_load(
    example: &Example,
    deployment: &Deployment,
    stream: RequestStream,
) -> thread::JoinHandle<LoadReport> {
    let spec = deployment.load_spec();
    let request = request(stream.queue, example.owner, stream.urgency, WAIT_S);
    thread::spawn(move || {
        run_open(&spec, stream.arrivals, LOAD_DURATION, move |_| {
            request.clone()
        })
        .expect("load")
    })
}

fn run_load(
    example: &Example,
    deployment: &Deployment,
    stream: RequestStream,
    duration: Duration,
) -> LoadReport {
    let request = request(stream.queue, example.owner, stream.urgency, WAIT_S);
    run_open(
        &deployment.load_spec(),
        stream.arrivals,
        duration,
        move |_| request.clone(),
    )
    .expect("load")
}

/// Prints the report and returns the p99 of the time from arrival to start, in ms: the p99
/// latency less the run time.
fn print_report(example: &Example, load: &str, report: &LoadReport) -> f64 {
    let p99_start_ms = (to_f64(report.quantile_us(0.99)) / 1_000.0 - to_f64(RUN_MS)).max(0.0);
    println!(
        "bench=burst example={} way=product load={load} {report} p99_start_ms={p99_start_ms:.1}",
        example.name,
    );
    p99_start_ms
}

/// Prints the urgent requests' wait under the simulated queue disciplines.
fn print_models(example: &Example, deployment: &Deployment, rate: f64) {
    let mut arrivals = Vec::new();
    for stream in streams(example, rate) {
        let due = stream.arrivals.take_while(|at| *at < LOAD_DURATION);
        arrivals.extend(due.map(|at| Arrival {
            at_us: u64::try_from(at.as_micros()).unwrap_or(u64::MAX),
            team: 0,
            urgent: stream.urgency == HIGHEST_URGENCY,
            wait_us: WAIT_S * 1_000_000,
        }));
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    let sent = arrivals.iter().filter(|arrival| arrival.urgent).count();
    let pool = Pool {
        shares: vec![1],
        slots: deployment.slots,
        max_queued: deployment.max_queued(example),
    };
    for discipline in &model::DISCIPLINES {
        let starts = model::simulate(discipline, &pool, &arrivals);
        let mut waits: Vec<u64> = starts
            .iter()
            .filter(|start| start.arrival.urgent)
            .map(|start| start.at_us - start.arrival.at_us)
            .collect();
        waits.sort_unstable();
        let p99_us = waits.get(waits.len() * 99 / 100).copied().unwrap_or(0);
        println!(
            "bench=burst example={} way={} urgent_sent={sent} urgent_started={} urgent_p99_start_ms={:.1}",
            example.name,
            discipline.name,
            waits.len(),
            to_f64(p99_us) / 1_000.0,
        );
    }
}
