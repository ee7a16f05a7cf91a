use std::time::{Duration, Instant};

use amaranthwick::control::Keeper;
use amaranthwick::document::example;
use amaranthwick::id::{MemberId, Offset, RecordId};
use amaranthwick::ledger::{
    CHECKPOINT_OFFSETS, Proposal, Record, Refusal, State, TrustedKeys, Verdict, decode_snapshot,
    encode_record,
};
use amaranthwick::secret::FleetSecret;

fn trust() -> TrustedKeys {
    TrustedKeys {
        secret: FleetSecret::new([7; 32]),
        root: example::operator("root").public(),
    }
}

fn folded(records: u64) -> State {
    let mut state = State::empty(trust());
    for offset in 0..records {
        state.apply(Offset(offset), b"");
    }
    state
}

fn announce(state: &mut State, offset: u64, digest: [u8; 32]) -> Verdict {
    let record = Record {
        id: RecordId::random(),
        proposed_at: state.offset(),
        proposal: Proposal::Snapshot {
            offset: Offset(offset),
            digest,
        },
    };
    let bytes = encode_record(&record, &trust().secret);
    state.apply(state.offset(), &bytes).expect("judged").1
}

fn keeper(now: Instant) -> Keeper {
    Keeper::open(&MemberId::new("m1"), 64, now)
}

#[test]
fn the_leader_captures_a_state_that_restores() {
    let now = Instant::now();
    let mut keeper = keeper(now);

    keeper.look(&folded(48), true, now);
    let early = keeper.capture().is_some();
    keeper.look(&folded(64), true, now);

    assert!(!early);
    let capture = keeper.capture().expect("due");
    let state = decode_snapshot(&capture.bytes, &trust()).expect("valid");
    assert_eq!(
        (state.offset(), *state.digest()),
        (Offset(64), capture.digest)
    );
}

#[test]
fn a_state_between_two_checkpoints_is_not_captured() {
    let now = Instant::now();
    let mut keeper = keeper(now);

    keeper.look(&folded(64 + CHECKPOINT_OFFSETS / 2), true, now);

    assert_eq!(keeper.capture(), None);
}

#[test]
fn others_leave_it_to_the_leader_but_not_for_ever() {
    let now = Instant::now();
    let mut keeper = keeper(now);

    keeper.look(&folded(112), false, now);
    let early = keeper.capture().is_some();
    keeper.look(&folded(64 * 3), false, now);

    assert!(!early);
    assert!(keeper.capture().is_some());
}

#[test]
fn a_quiet_log_is_captured_after_a_while() {
    let now = Instant::now();
    let mut keeper = keeper(now);

    keeper.look(
        &folded(CHECKPOINT_OFFSETS),
        true,
        now + Duration::from_hours(1),
    );

    assert!(keeper.capture().is_some());
}

#[test]
fn an_announced_snapshot_starts_the_count_anew() {
    let now = Instant::now();
    let mut keeper = keeper(now);
    let mut state = folded(64);
    keeper.look(&state, true, now);
    let digest = *state.digest();

    let verdict = announce(&mut state, 64, digest);
    keeper.look(&state, true, now);

    assert!(matches!(verdict, Verdict::Accepted(_)));
    assert_eq!(keeper.capture(), None);
    assert_eq!(state.facts().latest_snapshot, Some(Offset(64)));
}

#[test]
fn a_snapshot_with_a_wrong_digest_is_refused_by_every_fold() {
    let mut state = folded(64);

    let verdict = announce(&mut state, 64, [1; 32]);

    assert!(matches!(verdict, Verdict::Refused(_, Refusal::Digest)));
    assert_eq!(state.facts().latest_snapshot, None);
}

#[test]
fn a_snapshot_of_a_forgotten_checkpoint_is_refused() {
    let mut state = folded(64 + 300 * CHECKPOINT_OFFSETS);

    let verdict = announce(&mut state, 64, [1; 32]);

    assert!(matches!(verdict, Verdict::Refused(_, Refusal::Expired)));
}
