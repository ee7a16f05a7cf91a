use std::time::{Duration, Instant};

use spdlog::sink::WriteSink;

use super::{MAX_KINDS, MAX_LINES_PER_WINDOW, Throttle};

fn throttle() -> Throttle {
    let sink = WriteSink::builder().target(Vec::new()).build_arc().unwrap();
    Throttle::new(sink)
}

#[test]
fn each_kind_has_its_own_budget_per_window() {
    let throttle = throttle();
    let start = Instant::now();

    let first: Vec<bool> = (0..MAX_LINES_PER_WINDOW + 50)
        .map(|_| throttle.admit("start", start).0)
        .collect();
    let other = throttle.admit("run_ended", start);
    let later = throttle.admit("start", start + Duration::from_secs(1));

    let admitted = first.iter().filter(|admitted| **admitted).count();
    assert_eq!(admitted, MAX_LINES_PER_WINDOW as usize);
    assert_eq!(other, (true, 0));
    assert_eq!(later, (true, 50));
}

#[test]
fn kinds_beyond_the_limit_share_one_budget() {
    let throttle = throttle();
    let start = Instant::now();
    for kind in 0..MAX_KINDS {
        throttle.admit(&format!("kind-{kind}"), start);
    }

    let further =
        (0..MAX_LINES_PER_WINDOW * 2).filter(|i| throttle.admit(&format!("further-{i}"), start).0);

    assert_eq!(further.count(), MAX_LINES_PER_WINDOW as usize);
}
