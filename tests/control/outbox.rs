//! Batches, retries and timeouts of queued records.

use std::time::{Duration, Instant};

use amaranthwick::control::{
    MAX_BATCH_RECORDS, MIN_APPEND_INTERVAL_MS, Outbox, Overdue, PROPOSAL_TIMEOUT_MS, ProposeError,
};
use amaranthwick::id::RecordId;
use amaranthwick::services::LogError;

const APPEND_INTERVAL: Duration = Duration::from_millis(MIN_APPEND_INTERVAL_MS);
const TIMEOUT: Duration = Duration::from_millis(PROPOSAL_TIMEOUT_MS);

fn outbox_with(records: u8, now: Instant) -> Outbox {
    let mut outbox = Outbox::new(now);
    for n in 0..records {
        outbox.push(RecordId(n.into()), vec![n], now);
    }
    outbox
}

fn overdue(outbox: &mut Outbox, now: Instant) -> Vec<Overdue> {
    outbox.expire(now + TIMEOUT)
}

#[test]
fn queued_records_are_appended_together_at_the_least_interval() {
    let now = Instant::now();
    let mut outbox = outbox_with(3, now);

    let first = outbox.take_batch(now);
    outbox.mark_appended();
    outbox.push(RecordId(9), vec![9], now);
    let early = outbox.take_batch(now + APPEND_INTERVAL / 2);
    let second = outbox.take_batch(now + APPEND_INTERVAL);

    assert_eq!(first, [[0], [1], [2]]);
    assert!(early.is_empty());
    assert_eq!(second, [[9]]);
}

#[test]
fn a_batch_is_bounded() {
    let now = Instant::now();
    let mut outbox = Outbox::new(now);
    for n in 0..=MAX_BATCH_RECORDS {
        outbox.push(RecordId(n as u128), Vec::new(), now);
    }

    assert_eq!(outbox.take_batch(now).len(), MAX_BATCH_RECORDS);
}

#[test]
fn the_same_bytes_are_appended_again_after_a_lost_answer() {
    let now = Instant::now();
    let mut outbox = outbox_with(1, now);

    let first = outbox.take_batch(now);
    outbox.mark_failed(&LogError::Unknown("cut".to_owned()), now);
    let second = outbox.take_batch(now + Duration::from_secs(3));

    assert_eq!(first, second);
}

#[test]
fn an_appended_record_is_not_appended_again() {
    let now = Instant::now();
    let mut outbox = outbox_with(1, now);
    outbox.take_batch(now);
    outbox.mark_appended();

    assert!(outbox.take_batch(now + APPEND_INTERVAL).is_empty());
}

#[test]
fn a_record_that_was_never_sent_is_reported_as_not_appended() {
    let now = Instant::now();
    let mut outbox = outbox_with(1, now);
    outbox.take_batch(now);
    outbox.mark_failed(&LogError::Unavailable, now);

    let late = overdue(&mut outbox, now);

    assert!(matches!(late[0].error, ProposeError::NotAppended(_)));
    assert!(outbox.is_empty());
}

#[test]
fn a_record_whose_answer_was_lost_once_may_still_take_effect() {
    let now = Instant::now();
    let mut outbox = outbox_with(1, now);
    outbox.take_batch(now);
    outbox.mark_failed(&LogError::Unknown("cut".to_owned()), now);
    outbox.take_batch(now + Duration::from_secs(3));
    outbox.mark_failed(&LogError::NotSent("refused".to_owned()), now);

    let late = overdue(&mut outbox, now);

    assert!(matches!(late[0].error, ProposeError::Unknown(_)));
}

#[test]
fn a_record_being_appended_at_its_timeout_may_still_take_effect() {
    let now = Instant::now();
    let mut outbox = outbox_with(1, now);
    outbox.take_batch(now);

    let late = overdue(&mut outbox, now);

    assert!(matches!(late[0].error, ProposeError::Unknown(_)));
}
