use amaranthwick::ledger::{SnapshotError, decode_snapshot, encode_snapshot};
use amaranthwick::secret::FleetSecret;
use proptest::prelude::*;

use crate::fixtures::{TestLedger, assign, cases, claim, trust};

fn full() -> TestLedger {
    let mut ledger = TestLedger::with_teams();
    ledger.propose(claim("p1", 1, None));
    ledger.propose(assign("v1", None, Some("red-pool"), 1));
    ledger
}

#[test]
fn a_stored_state_is_restored_whole() {
    let ledger = full();

    let state = decode_snapshot(&encode_snapshot(&ledger.state), &trust()).expect("valid");

    assert_eq!(state.facts(), ledger.state.facts());
    assert_eq!(state.document(), ledger.state.document());
}

#[test]
fn a_repeat_is_still_known_after_a_restart() {
    let mut ledger = full();
    let bytes = ledger.encode_next(assign("v2", None, Some("red-pool"), 1));
    ledger.apply_bytes(&bytes);

    ledger.state = decode_snapshot(&encode_snapshot(&ledger.state), &trust()).expect("valid");

    assert_eq!(ledger.apply_bytes(&bytes), None);
}

#[test]
fn a_state_with_the_mac_of_another_fleet_is_refused() {
    let mut trust = trust();
    trust.secret = FleetSecret::new([8; 32]);

    let result = decode_snapshot(&encode_snapshot(&full().state), &trust);

    assert_eq!(result.err(), Some(SnapshotError::InvalidMac));
}

#[test]
fn a_changed_state_is_refused_by_its_digest() {
    let mut bytes = encode_snapshot(&full().state);
    let last = bytes.len() - 1;
    bytes[last] ^= 1;

    let result = decode_snapshot(&bytes, &trust());

    assert_eq!(result.err(), Some(SnapshotError::Digest));
}

proptest! {
    #![proptest_config(cases(1_000))]

    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(decode_snapshot(&bytes, &trust()).is_err());
    }

    #[test]
    fn a_changed_snapshot_never_gives_another_state(at in any::<prop::sample::Index>(), flip in 1..=255_u8) {
        let state = TestLedger::empty().state;
        let mut bytes = encode_snapshot(&state);
        let at = at.index(bytes.len());
        bytes[at] ^= flip;

        let restored = decode_snapshot(&bytes, &trust());

        prop_assert!(restored.is_err() || restored.is_ok_and(|r| r.facts() == state.facts()));
    }
}
