//! The load generator: arrival rates, open and closed loads, and reports.

mod common;

use std::time::Duration;

use amaranthwick_standins::load::{
    Arrivals, Header, LoadRequest, LoadSpec, Shape, run_closed, run_open,
};
use amaranthwick_standins::{Fault, Fleet, SiteName, WrongAnswer};
use common::fleet;

const SEED: u64 = 7;
const MEAN_RATE: f64 = 100.0;
const BURST: Duration = Duration::from_secs(3);
const HORIZON: Duration = Duration::from_secs(2_000);

fn bursts(offset: f64) -> Shape {
    Shape::Bursts {
        length: BURST,
        offset,
    }
}

fn count(shape: Shape, from: Duration, to: Duration) -> usize {
    let arrivals = Arrivals::new(SEED, MEAN_RATE, shape);
    let before = arrivals.take_while(|at| *at < to);
    before.filter(|at| *at >= from).count()
}

fn load(fleet: &Fleet, connections: usize) -> LoadSpec {
    LoadSpec {
        address: fleet.executors()[0].address,
        connections,
        timeout: Duration::from_secs(5),
        threads: 1,
    }
}

fn request(number: u64) -> LoadRequest {
    LoadRequest {
        method: "POST".to_owned(),
        path: "/count".to_owned(),
        headers: vec![Header {
            name: "X-Request-Id".to_owned(),
            value: format!("r-{number}"),
        }],
        body: format!("flock {number}").into_bytes(),
        echo: true,
    }
}

#[test]
fn the_same_seed_gives_the_same_arrivals() {
    let first: Vec<_> = Arrivals::new(SEED, MEAN_RATE, bursts(0.0))
        .take(1_000)
        .collect();
    let same: Vec<_> = Arrivals::new(SEED, MEAN_RATE, bursts(0.0))
        .take(1_000)
        .collect();
    let other: Vec<_> = Arrivals::new(8, MEAN_RATE, bursts(0.0))
        .take(1_000)
        .collect();

    assert_eq!(first, same);
    assert_ne!(first, other);
    assert!(first.is_sorted());
}

#[test]
fn every_shape_keeps_its_mean() {
    for shape in [Shape::Steady, bursts(0.0), bursts(0.5)] {
        let seen = count(shape, Duration::ZERO, HORIZON);

        assert!((196_000..204_000).contains(&seen), "{shape:?}: {seen}");
    }
}

#[test]
fn bursts_are_five_times_the_mean_and_lulls_a_twentieth() {
    let burst = count(bursts(0.0), Duration::ZERO, BURST);
    let lull = count(bursts(0.0), BURST, BURST + 4 * BURST);
    let later = count(bursts(0.5), Duration::ZERO, 2 * BURST);

    assert!((1_400..1_600).contains(&burst), "{burst}");
    assert!((35..90).contains(&lull), "{lull}");
    assert!((15..50).contains(&later), "{later}");
}

#[test]
fn an_open_load_sends_what_is_due_and_counts_the_answers() {
    let fleet = fleet();
    let arrivals = Arrivals::new(SEED, 400.0, Shape::Steady);
    let length = Duration::from_millis(250);
    let due = arrivals.clone().take_while(|at| *at < length).count() as u64;

    let report = run_open(&load(&fleet, 8), arrivals, length, request).unwrap();

    assert_eq!((report.sent, report.count(200)), (due, due));
    assert_eq!((report.failed, report.crossed), (0, 0));
    assert!(report.quantile_us(0.5) <= report.quantile_us(0.99));
    assert_eq!(fleet.control().counters().runs, due);
}

#[test]
fn latency_counts_from_the_scheduled_time() {
    let fleet = fleet();
    let arrivals = Arrivals::new(SEED, 1_000.0, Shape::Steady);
    let length = Duration::from_millis(20);

    // The only thread sleeps during the first request, so all others start late.
    let report = run_open(&load(&fleet, 8), arrivals, length, |number| {
        if number == 0 {
            std::thread::sleep(Duration::from_millis(200));
        }
        request(number)
    })
    .unwrap();

    assert!(report.sent > 5);
    assert!(report.quantile_us(0.0) >= 170_000, "{report}");
}

#[test]
fn a_closed_load_sends_a_count_per_connection() {
    let fleet = fleet();

    let report = run_closed(&load(&fleet, 4), 50, request).unwrap();

    assert_eq!((report.sent, report.count(200)), (200, 200));
    assert_eq!(fleet.control().counters().repeated.len(), 0);
    let counts = fleet.control().counters().executors["split-small-0"].clone();
    assert_eq!(counts.max_connections, 4);
}

#[test]
fn incomplete_and_crossed_responses_are_counted() {
    let fleet = fleet();
    let site = SiteName::Executor("split-small-0".to_owned());
    let wrong = |answer, count| Fault::Wrong {
        answer,
        delay_ms: 0,
        count: Some(count),
    };

    let set = |fault| fleet.control().set(&site, &fault).unwrap();
    set(wrong(WrongAnswer::Short, 3));
    let cut = run_closed(&load(&fleet, 1), 5, request).unwrap();
    set(wrong(WrongAnswer::Overlong, 2));
    let crossed = run_closed(&load(&fleet, 1), 1, request).unwrap();

    assert_eq!((cut.failed, cut.count(200)), (3, 2));
    assert_eq!(crossed.crossed, 1);
    assert!(
        cut.to_string()
            .starts_with("sent=5 failed=3 crossed=0 status_200=2 rate=")
    );
}
