//! When the head of the log counts as verified.

use std::time::{Duration, Instant};

use amaranthwick::control::Freshness;
use amaranthwick::id::Offset;

const SECOND: Duration = Duration::from_secs(1);

fn at_head(offset: u64, now: Instant) -> Freshness {
    let mut freshness = Freshness::default();
    freshness.note_read(Offset(offset), Offset(offset), now);
    freshness
}

#[test]
fn a_folded_head_is_verified_as_of_the_request() {
    let now = Instant::now();

    assert_eq!(at_head(5, now).verified(), Some(now));
}

#[test]
fn a_head_that_is_not_folded_verifies_nothing() {
    let now = Instant::now();
    let mut freshness = Freshness::default();

    freshness.note_read(Offset(6), Offset(5), now);

    assert_eq!(freshness.verified(), None);
}

#[test]
fn a_head_before_the_fold_verifies_nothing() {
    let now = Instant::now();
    let mut freshness = Freshness::default();

    freshness.note_read(Offset(4), Offset(5), now);

    assert_eq!(freshness.verified(), None);
}

#[test]
fn a_peer_that_knows_no_later_head_verifies_the_head() {
    let now = Instant::now();
    let mut freshness = Freshness::default();

    freshness.note_peer(Offset(5), Some(SECOND), Offset(5), now + 3 * SECOND);

    assert_eq!(freshness.verified(), Some(now + 2 * SECOND));
}

#[test]
fn a_peer_that_knows_a_later_head_verifies_nothing() {
    let now = Instant::now();
    let mut freshness = at_head(5, now);

    freshness.note_peer(Offset(6), Some(Duration::ZERO), Offset(5), now + SECOND);

    assert_eq!(freshness.verified(), Some(now));
}

#[test]
fn the_head_stays_verified_while_nobody_can_append() {
    let now = Instant::now();
    let mut freshness = at_head(5, now);

    freshness.note_no_appends(Offset(5), now + SECOND);

    assert_eq!(freshness.verified(), Some(now + SECOND));
}

#[test]
fn a_known_later_head_is_not_verified_while_nobody_can_append() {
    let now = Instant::now();
    let mut freshness = at_head(5, now);
    freshness.note_peer(Offset(6), None, Offset(5), now);

    freshness.note_no_appends(Offset(5), now + SECOND);

    assert_eq!(freshness.verified(), Some(now));
}

#[test]
fn a_process_that_never_saw_the_head_verifies_nothing_while_nobody_can_append() {
    let mut freshness = Freshness::default();

    freshness.note_no_appends(Offset(0), Instant::now());

    assert_eq!(freshness.verified(), None);
}

#[test]
fn the_verified_time_never_goes_back() {
    let now = Instant::now();
    let mut freshness = at_head(5, now + SECOND);

    freshness.note_peer(Offset(5), Some(2 * SECOND), Offset(5), now + SECOND);

    assert_eq!(freshness.verified(), Some(now + SECOND));
}

#[test]
fn a_peer_with_an_older_head_does_not_verify_a_later_unfolded_one() {
    let now = Instant::now();
    let mut freshness = Freshness::default();
    freshness.note_peer(Offset(6), None, Offset(5), now);

    freshness.note_peer(Offset(5), Some(Duration::ZERO), Offset(5), now + SECOND);

    assert_eq!(freshness.verified(), None);
}
