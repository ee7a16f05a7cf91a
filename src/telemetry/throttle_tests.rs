use std::time::{Duration, Instant};

use spdlog::sink::WriteSink;

use super::{MAX_KINDS, MAX_LINES_PER_WINDOW, Throttle};

fn throttle() -> Throttle {
    let sink = WriteSink::builder().target(Vec::new()).build_arc().unwrap();
    Throttle::new(sink)
}

#[test]
fn a_kind_has_its_budget_in_each_window() {
    let throttle = throttle();
    let begun = Instant::now();

    let first: Vec<bool> = (0..MAX_LINES_PER_WINDOW + 50)
        .map(|_| throttle.admit("start", begun).0)
        .collect();
    let other = throttle.admit("run_ended", begun);
    let later = throttle.admit("start", begun + Duration::from_secs(1));

    let admitted = first.iter().filter(|admitted| **admitted).count();
    assert_eq!(admitted, MAX_LINES_PER_WINDOW as usize);
    assert_eq!(other, (true, 0));
    assert_eq!(later, (true, 50));
}

#[test]
fn kinds_without_end_share_a_budget() {
    let throttle = throttle();
    let begun = Instant::now();
    for kind in 0..MAX_KINDS {
        throttle.admit(&format!("kind-{kind}"), begun);
    }

    let further =
        (0..MAX_LINES_PER_WINDOW * 2).filter(|i| throttle.admit(&format!("further-{i}"), begun).0);

    assert_eq!(further.count(), MAX_LINES_PER_WINDOW as usize);
}
