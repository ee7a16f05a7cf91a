use std::time::{Duration, Instant};

use super::rate::Rate;

#[test]
fn a_bucket_gives_one_second_of_appends_and_refills() {
    let start = Instant::now();
    let mut rate = Rate::new(4, start);

    let burst = (0..5).filter(|_| rate.take(start)).count();
    let early = rate.take(start + Duration::from_millis(249));
    let later = rate.take(start + Duration::from_millis(250));

    assert_eq!((burst, early, later), (4, false, true));
}

#[test]
fn a_rate_of_zero_refuses_everything() {
    let start = Instant::now();

    assert!(!Rate::new(0, start).take(start));
}
