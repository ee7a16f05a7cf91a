use amaranthwick::id::{Offset, RecordId};
use amaranthwick::ledger::{
    DecodeError, Proposal, Verdict, decode_record, encode_edit, encode_record,
};
use amaranthwick::secret::FleetSecret;
use proptest::prelude::*;
use rstest::rstest;

use crate::fixtures::{TestLedger, cases, claim, edit, record, register, trust};

fn secret() -> FleetSecret {
    trust().secret
}

#[rstest]
#[case::claim(claim("p1", 1, None))]
#[case::member(register("e1", 5, 7_000))]
fn a_record_with_a_mac_is_read_back(#[case] proposal: Proposal) {
    let record = record(u128::MAX - 3, 9, proposal);

    let read = decode_record(&encode_record(&record, &secret()), &secret());

    assert_eq!(read, Ok(record));
}

#[test]
fn an_edit_needs_no_fleet_secret() {
    let record = record(1, 0, Proposal::Edit(edit("red", 0, "{}", "red-ops")));

    let read = decode_record(&encode_edit(&record), &secret());

    assert_eq!(read, Ok(record));
}

#[test]
fn another_proposal_without_the_fleet_secret_is_refused() {
    let record = record(1, 0, claim("p1", 1, None));

    let read = decode_record(&encode_edit(&record), &secret());

    assert_eq!(read, Err(DecodeError::InvalidMac));
}

#[test]
fn a_record_of_another_fleet_is_refused() {
    let record = record(1, 0, claim("p1", 1, None));

    let read = decode_record(
        &encode_record(&record, &FleetSecret::new([8; 32])),
        &secret(),
    );

    assert_eq!(read, Err(DecodeError::InvalidMac));
}

#[test]
fn forged_records_are_skipped_counted_and_stall_nothing() {
    let mut ledger = TestLedger::empty();
    let forged = encode_record(
        &record(1, 0, claim("x", 1, None)),
        &FleetSecret::new([8; 32]),
    );

    let skipped = [
        ledger.apply_bytes(&forged),
        ledger.apply_bytes(b"\xff\x00"),
        ledger.apply_bytes(b""),
    ];
    let next = ledger.propose(claim("p1", 1, None));

    assert_eq!(skipped, [None, None, None]);
    assert_eq!(ledger.state.facts().skipped, 3);
    assert_eq!(next, Verdict::Accepted(Offset(3)));
}

#[test]
fn a_repeat_has_no_effect_and_keeps_the_first_verdict() {
    let mut ledger = TestLedger::empty();
    let bytes = ledger.encode_next(claim("p1", 1, None));

    let first = ledger.apply_bytes(&bytes);
    let second = ledger.apply_bytes(&bytes);

    assert_eq!(first, Some(Verdict::Accepted(Offset(0))));
    assert_eq!(second, None);
    assert_eq!(ledger.state.verdict(RecordId(1)), first.as_ref());
}

proptest! {
    #![proptest_config(cases(2_000))]

    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_record(&bytes, &secret());
    }

    #[test]
    fn a_changed_record_is_never_read_as_another(at in any::<prop::sample::Index>(), flip in 1..=255_u8) {
        let record = record(77, 3, register("e1", 5, 7_000));
        let mut bytes = encode_record(&record, &secret());
        let at = at.index(bytes.len());
        bytes[at] ^= flip;

        let read = decode_record(&bytes, &secret());

        prop_assert!(read.is_err() || read == Ok(record));
    }

    #[test]
    fn a_cut_record_is_never_accepted(at in any::<prop::sample::Index>()) {
        let bytes = encode_record(&record(77, 3, register("e1", 5, 7_000)), &secret());
        let cut = at.index(bytes.len());

        prop_assert!(decode_record(&bytes[..cut], &secret()).is_err());
    }
}
