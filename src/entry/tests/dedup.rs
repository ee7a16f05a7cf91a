//! Noted idempotency keys: their window and their bound in bytes.

use crate::entry::dedup::Dedup;
use crate::id::{QueueId, TeamId};
use crate::outcome::{Answer, Outcome, Reason};
use crate::peer::{IdempotencyKey, KeyStatus};

const MINUTE_US: u64 = 60_000_000;
const PRINT: [u8; 32] = [1; 32];

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
fn key_is_known_for_ten_minutes() {
    let mut dedup = Dedup::default();
    dedup.claim(&keyed("k"), PRINT, 0);
    dedup.settle(&keyed("k"), &answered(1));

    let within = dedup.claim(&keyed("k"), PRINT, 9 * MINUTE_US);
    dedup.expire(9 * MINUTE_US);
    let kept = dedup.len();
    dedup.expire(11 * MINUTE_US);

    assert!(matches!(within, KeyStatus::Answered(_)), "{within:?}");
    assert_eq!((kept, dedup.len()), (1, 0));
    assert_eq!(
        dedup.claim(&keyed("k"), PRINT, 11 * MINUTE_US),
        KeyStatus::First
    );
}

#[test]
fn answers_beyond_the_bound_leave_their_key_noted() {
    let mut dedup = Dedup::default();
    for key in ["1", "2", "3"] {
        dedup.claim(&keyed(key), PRINT, 0);
        dedup.settle(&keyed(key), &answered(15 << 20));
    }

    let claims = ["1", "2", "3"].map(|key| dedup.claim(&keyed(key), PRINT, 1));

    assert!(matches!(claims[1], KeyStatus::Answered(_)));
    assert_eq!(claims[2], KeyStatus::Unknown(Reason::Repeated));
}
