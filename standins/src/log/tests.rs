use std::time::{Duration, Instant};

use super::rate_limiter::RateLimiter;

#[test]
fn a_bucket_holds_one_second_of_appends_and_refills() {
    let start = Instant::now();
    let mut limiter = RateLimiter::new(4, start);

    let burst = (0..5).filter(|_| limiter.try_acquire(start)).count();
    let early = limiter.try_acquire(start + Duration::from_millis(249));
    let later = limiter.try_acquire(start + Duration::from_millis(250));

    assert_eq!((burst, early, later), (4, false, true));
}

#[test]
fn a_rate_of_zero_refuses_everything() {
    let start = Instant::now();

    assert!(!RateLimiter::new(0, start).try_acquire(start));
}
