//! Properties that hold for every order of records, with repeats, forgeries and restarts.

use amaranthwick::id::{Epoch, JobId, MemberId, Offset, RecordId, TeamId, VmId};
use amaranthwick::ledger::{
    JobPhase, JobUpdate, Proposal, State, TransferParty, decode_record, decode_snapshot,
    encode_edit, encode_record, encode_snapshot,
};
use proptest::prelude::*;

use crate::fixtures::{
    assign, cases, claim, edit, fleet_text, job, member, record, register, team_text, transfer,
    trust,
};

/// What happens to one process's copy of the log.
#[derive(Clone, Debug)]
enum Event {
    /// The `n`th proposal is appended, perhaps not for the first time.
    Append(usize),
    /// Bytes that are not a record of this fleet are appended.
    Forge(u8),
    /// The process restarts from a snapshot of its own state.
    Restart,
}

fn proposal() -> impl Strategy<Value = Proposal> {
    let vm = prop::sample::select(vec!["v1", "v2", "v3"]);
    let pool = prop::sample::select(vec![None, Some("red-pool"), Some("blue-pool")]);
    let holder = prop::sample::select(vec!["p1", "p2"]);
    let party = prop::sample::select(vec![
        TransferParty::Reserve,
        TransferParty::Jobs(Epoch(1)),
        member("e1", 0),
        member("e1", 1),
        member("e2", 1),
    ]);
    let team = prop::sample::select(vec!["red", "blue"]);
    let renewal = prop::option::of(0_u64..30);
    let ceiling = 0_u32..20;
    prop_oneof![
        (vm.clone(), pool.clone(), pool, 0_u64..4)
            .prop_map(|(vm, from, to, epoch)| assign(vm, from, to, epoch)),
        (holder, 0_u64..4, renewal).prop_map(|(h, epoch, renewal)| claim(h, epoch, renewal)),
        (team.clone(), party.clone(), party, 0_u32..9)
            .prop_map(|(team, from, to, amount)| transfer(team, from, to, amount)),
        (0_u64..3, 1_u16..4).prop_map(|(incarnation, port)| register("e1", incarnation, port)),
        (0_u64..40).prop_map(|renewed| Proposal::Retire {
            id: MemberId::new("e1"),
            registered_at: Offset(renewed),
        }),
        (team.clone(), 0_u64..4, ceiling).prop_map(|(team, base, ceiling)| {
            let operator = format!("{team}-ops");
            let text = team_text(team, ceiling, &operator);
            Proposal::Edit(edit(team, base, &text, &operator))
        }),
        (team, 0_u32..5).prop_map(|(team, n)| Proposal::Submit(job(&n.to_string(), team, n))),
        (0_u32..5, 0_u32..3, 0_u64..4, vm).prop_map(|(n, step, epoch, vm)| {
            Proposal::Update(JobUpdate {
                id: JobId::new(&n.to_string()),
                expected_step: step,
                phase: JobPhase::Placed(VmId::new(vm)),
                epoch: Some(Epoch(epoch)),
            })
        }),
    ]
}

fn event(proposals: usize) -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..proposals).prop_map(Event::Append),
        1 => any::<u8>().prop_map(Event::Forge),
        1 => Just(Event::Restart),
    ]
}

fn document_edits() -> Vec<Vec<u8>> {
    let edits = [
        edit("fleet", 0, &fleet_text(50), "root"),
        edit("red", 0, &team_text("red", 12, "red-ops"), "red-owner"),
        edit("blue", 0, &team_text("blue", 9, "blue-ops"), "blue-owner"),
    ];
    let records = (1_000_u128..).zip(edits);
    records
        .map(|(id, edit)| encode_edit(&record(id, 0, Proposal::Edit(edit))))
        .collect()
}

fn encode_log(proposals: &[Proposal], events: &[Event]) -> Vec<Option<Vec<u8>>> {
    let records: Vec<Vec<u8>> = (1_u128..)
        .zip(proposals)
        .map(|(id, proposal)| encode_record(&record(id, 0, proposal.clone()), &trust().secret))
        .collect();
    let mut log: Vec<Option<Vec<u8>>> = document_edits().into_iter().map(Some).collect();
    log.extend(events.iter().map(|event| match event {
        Event::Append(n) => Some(records[*n].clone()),
        Event::Forge(byte) => Some(vec![*byte; 40]),
        Event::Restart => None,
    }));
    log
}

/// Applies a log, in which `None` is a restart; with `restarts` each one encodes and decodes
/// a snapshot, otherwise it is left out.
fn apply_all(log: &[Option<Vec<u8>>], restarts: bool, mut check: impl FnMut(&State)) -> State {
    let mut state = State::empty(trust());
    for entry in log {
        match entry {
            Some(bytes) => {
                state.apply(state.offset(), bytes);
            }
            None if restarts => {
                state = decode_snapshot(&encode_snapshot(&state), &trust()).expect("valid");
            }
            None => {}
        }
        check(&state);
    }
    state
}

fn history() -> impl Strategy<Value = (Vec<Proposal>, Vec<Event>)> {
    prop::collection::vec(proposal(), 1..25).prop_flat_map(|proposals| {
        let events = prop::collection::vec(event(proposals.len()), 0..50);
        (Just(proposals), events)
    })
}

proptest! {
    #![proptest_config(cases(100))]

    #[test]
    fn processes_that_restart_agree_with_one_that_does_not((proposals, events) in history()) {
        let log = encode_log(&proposals, &events);

        let uninterrupted = apply_all(&log, false, |_| ());
        let restarted = apply_all(&log, true, |_| ());

        prop_assert_eq!(uninterrupted.facts(), restarted.facts());
        prop_assert_eq!(uninterrupted.document(), restarted.document());
    }

    #[test]
    fn a_repeat_changes_nothing_but_the_count_of_skipped((proposals, events) in history()) {
        let log = encode_log(&proposals, &events);
        let state = apply_all(&log, false, |_| ());
        let mut again = state.clone();

        for bytes in encode_log(&proposals, &[]).iter().flatten().chain(log.iter().flatten()) {
            let known = has_verdict(&state, bytes);
            let verdict = again.apply(again.offset(), bytes);
            prop_assert!(verdict.is_none() || !known);
        }

        prop_assert_eq!(again.facts().assignment.clone(), state.facts().assignment.clone());
        prop_assert_eq!(again.facts().sections.clone(), state.facts().sections.clone());
        prop_assert_eq!(again.facts().jobs.clone(), state.facts().jobs.clone());
    }

    #[test]
    fn the_sum_of_allotments_is_the_ceiling_after_every_record((proposals, events) in history()) {
        let log = encode_log(&proposals, &events);

        apply_all(&log, true, |state| {
            let Some(document) = state.document() else { return };
            for (team, spec) in &document.teams {
                let shares = &state.facts().allotments[team].shares;
                assert_eq!(shares.values().sum::<u32>(), spec.ceiling);
            }
        });
    }

    #[test]
    fn an_epoch_has_one_holder_and_offsets_only_grow((proposals, events) in history()) {
        let log = encode_log(&proposals, &events);
        let mut holders = Vec::new();
        let mut offset = Offset(0);

        apply_all(&log, true, |state| {
            assert!(state.offset() >= offset);
            offset = state.offset();
            if let Some(held) = &state.facts().planner {
                holders.push((held.epoch, held.member.clone()));
            }
        });

        holders.dedup();
        prop_assert!(holders.windows(2).all(|pair| pair[0].0 < pair[1].0));
    }
}

fn has_verdict(state: &State, bytes: &[u8]) -> bool {
    decode_record(bytes, &trust().secret)
        .is_ok_and(|record| state.verdict(RecordId(record.id.0)).is_some())
}

#[test]
fn a_team_whose_section_is_gone_has_no_allotment() {
    let state = apply_all(&encode_log(&[], &[]), false, |_| ());

    assert!(!state.facts().allotments.contains_key(&TeamId::new("green")));
}
