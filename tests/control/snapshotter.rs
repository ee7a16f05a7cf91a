//! When a state is captured, and which announced snapshots are accepted.

use std::time::{Duration, Instant};

use amaranthwick::control::Snapshotter;
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
        root: example::operator_key("root").public(),
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

fn snapshotter(now: Instant) -> Snapshotter {
    Snapshotter::new(&MemberId::new("m1"), 64, now)
}

#[test]
fn the_planner_captures_a_state_that_can_be_restored() {
    let now = Instant::now();
    let mut snapshotter = snapshotter(now);

    snapshotter.observe(&folded(48), true, now);
    let early = snapshotter.capture().is_some();
    snapshotter.observe(&folded(64), true, now);

    assert!(!early);
    let capture = snapshotter.capture().expect("due");
    let state = decode_snapshot(&capture.bytes, &trust()).expect("valid");
    assert_eq!(
        (state.offset(), *state.digest()),
        (Offset(64), capture.digest)
    );
}

#[test]
fn a_state_between_two_checkpoints_is_not_captured() {
    let now = Instant::now();
    let mut snapshotter = snapshotter(now);

    snapshotter.observe(&folded(64 + CHECKPOINT_OFFSETS / 2), true, now);

    assert_eq!(snapshotter.capture(), None);
}

#[test]
fn other_processes_capture_a_state_after_a_longer_interval() {
    let now = Instant::now();
    let mut snapshotter = snapshotter(now);

    snapshotter.observe(&folded(112), false, now);
    let early = snapshotter.capture().is_some();
    snapshotter.observe(&folded(64 * 3), false, now);

    assert!(!early);
    assert!(snapshotter.capture().is_some());
}

#[test]
fn a_state_with_few_new_records_is_captured_after_the_longest_interval() {
    let now = Instant::now();
    let mut snapshotter = snapshotter(now);

    snapshotter.observe(
        &folded(CHECKPOINT_OFFSETS),
        true,
        now + Duration::from_hours(1),
    );

    assert!(snapshotter.capture().is_some());
}

#[test]
fn an_announced_snapshot_starts_a_new_interval() {
    let now = Instant::now();
    let mut snapshotter = snapshotter(now);
    let mut state = folded(64);
    snapshotter.observe(&state, true, now);
    let digest = *state.digest();

    let verdict = announce(&mut state, 64, digest);
    snapshotter.observe(&state, true, now);

    assert!(matches!(verdict, Verdict::Accepted(_)));
    assert_eq!(snapshotter.capture(), None);
    assert_eq!(state.facts().latest_snapshot, Some(Offset(64)));
}

#[test]
fn a_snapshot_announced_with_a_wrong_digest_is_refused() {
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
