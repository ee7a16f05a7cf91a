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
fn a_folded_head_is_verified_as_of_the_question() {
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
fn a_peer_that_has_folded_no_more_passes_its_knowledge_on() {
    let now = Instant::now();
    let mut freshness = Freshness::default();

    freshness.note_peer(Offset(5), Some(SECOND), Offset(5), now + 3 * SECOND);

    assert_eq!(freshness.verified(), Some(now + 2 * SECOND));
}

#[test]
fn a_peer_that_has_folded_more_verifies_nothing() {
    let now = Instant::now();
    let mut freshness = at_head(5, now);

    freshness.note_peer(Offset(6), Some(Duration::ZERO), Offset(5), now + SECOND);

    assert_eq!(freshness.verified(), Some(now));
}

#[test]
fn a_closed_log_keeps_the_head_verified() {
    let now = Instant::now();
    let mut freshness = at_head(5, now);

    freshness.note_no_appends(Offset(5), now + SECOND);

    assert_eq!(freshness.verified(), Some(now + SECOND));
}

#[test]
fn a_closed_log_with_a_later_head_verifies_nothing() {
    let now = Instant::now();
    let mut freshness = at_head(5, now);
    freshness.note_peer(Offset(6), None, Offset(5), now);

    freshness.note_no_appends(Offset(5), now + SECOND);

    assert_eq!(freshness.verified(), Some(now));
}

#[test]
fn a_closed_log_tells_nothing_to_a_process_that_never_saw_its_head() {
    let mut freshness = Freshness::default();

    freshness.note_no_appends(Offset(0), Instant::now());

    assert_eq!(freshness.verified(), None);
}

#[test]
fn knowledge_never_gets_older() {
    let now = Instant::now();
    let mut freshness = at_head(5, now + SECOND);

    freshness.note_peer(Offset(5), Some(2 * SECOND), Offset(5), now + SECOND);

    assert_eq!(freshness.verified(), Some(now + SECOND));
}

#[test]
fn a_process_that_knows_less_does_not_verify_a_head_that_is_not_folded() {
    let now = Instant::now();
    let mut freshness = Freshness::default();
    freshness.note_peer(Offset(6), None, Offset(5), now);

    freshness.note_peer(Offset(5), Some(Duration::ZERO), Offset(5), now + SECOND);

    assert_eq!(freshness.verified(), None);
}
