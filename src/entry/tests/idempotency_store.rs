//! Idempotency keys: how long they are remembered and how many bytes of answers are kept.

use crate::entry::idempotency_store::IdempotencyStore;
use crate::id::{QueueId, TeamId};
use crate::outcome::{Answer, Outcome, Reason};
use crate::peer::{IdempotencyKey, KeyStatus};

const MINUTE_US: u64 = 60_000_000;
const FINGERPRINT: [u8; 32] = [1; 32];

fn keyed(key: &str) -> IdempotencyKey {
    IdempotencyKey {
        team: TeamId::new("a"),
        queue: QueueId::new("q"),
        key: key.to_owned(),
    }
}

fn answered(bytes: usize) -> Outcome {
    Outcome::Answered(Answer {
        status: 200,
        headers: Vec::new(),
        body: vec![0; bytes],
    })
}

#[test]
fn key_is_remembered_for_ten_minutes() {
    let mut store = IdempotencyStore::default();
    store.claim(&keyed("k"), FINGERPRINT, 0);
    store.record_outcome(&keyed("k"), &answered(1));

    let repeat = store.claim(&keyed("k"), FINGERPRINT, 9 * MINUTE_US);
    store.remove_expired(9 * MINUTE_US);
    let remaining = store.len();
    store.remove_expired(11 * MINUTE_US);

    assert!(matches!(repeat, KeyStatus::Answered(_)), "{repeat:?}");
    assert_eq!((remaining, store.len()), (1, 0));
    assert_eq!(
        store.claim(&keyed("k"), FINGERPRINT, 11 * MINUTE_US),
        KeyStatus::First
    );
}

#[test]
fn key_of_an_answer_too_large_to_keep_stays_claimed() {
    let mut store = IdempotencyStore::default();
    for key in ["1", "2", "3"] {
        store.claim(&keyed(key), FINGERPRINT, 0);
        store.record_outcome(&keyed(key), &answered(15 << 20));
    }

    let claims = ["1", "2", "3"].map(|key| store.claim(&keyed(key), FINGERPRINT, 1));

    assert!(matches!(claims[1], KeyStatus::Answered(_)));
    assert_eq!(claims[2], KeyStatus::Unknown(Reason::Repeated));
}
