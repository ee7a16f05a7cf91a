use amaranthwick::id::{
    Epoch, Generation, Incarnation, JobId, MemberId, Offset, Revision, TeamId, VmId,
};
use amaranthwick::ledger::{
    AllotmentHolder, DEDUP_WINDOW_OFFSETS, JobPhase, JobUpdate, Proposal, Refusal, StopReason,
    TransferParty, Verdict, encode_record,
};

use crate::fixtures::{
    TestLedger, assign, claim, fleet_text, job, locate, member, record, register, team_text,
    transfer, trust,
};

fn refusal(verdict: Verdict) -> Option<Refusal> {
    match verdict {
        Verdict::Accepted(_) => None,
        Verdict::Refused(_, refusal) => Some(refusal),
    }
}

#[test]
fn of_two_edits_from_one_base_the_second_is_refused() {
    let mut ledger = TestLedger::with_teams();

    let first = ledger.edit("red", 1, &team_text("red", 20, "red-ops"), "red-ops");
    let second = ledger.edit("red", 1, &team_text("red", 30, "red-ops"), "red-ops");

    assert_eq!(refusal(first), None);
    assert_eq!(refusal(second), Some(Refusal::Conflict(Revision(2))));
    let document = ledger.state.document().expect("accepted");
    assert_eq!(document.teams[&TeamId::new("red")].ceiling, 20);
}

#[test]
fn edits_of_different_sections_do_not_block_each_other() {
    let mut ledger = TestLedger::with_teams();

    let red = ledger.edit("red", 1, &team_text("red", 20, "red-ops"), "red-ops");
    let blue = ledger.edit("blue", 1, &team_text("blue", 30, "blue-ops"), "blue-ops");

    assert_eq!((refusal(red), refusal(blue)), (None, None));
}

#[test]
fn only_the_root_key_creates_the_fleet_section() {
    let mut ledger = TestLedger::empty();

    let stranger = ledger.edit("fleet", 0, &fleet_text(50), "stranger");
    let root = ledger.edit("fleet", 0, &fleet_text(50), "root");
    let again = ledger.edit("fleet", 1, &fleet_text(40), "root");
    let operator = ledger.edit("fleet", 1, &fleet_text(40), "fleet-ops");

    assert_eq!(refusal(stranger), Some(Refusal::Unsigned));
    assert_eq!(refusal(root), None);
    assert_eq!(refusal(again), Some(Refusal::Unsigned));
    assert_eq!(refusal(operator), None);
}

#[test]
fn an_operator_of_another_section_is_refused() {
    let mut ledger = TestLedger::with_teams();

    let other = ledger.edit("red", 1, &team_text("red", 20, "red-ops"), "blue-ops");
    let fleet = ledger.edit("red", 1, &team_text("red", 20, "red-ops"), "fleet-ops");

    assert_eq!(refusal(other), Some(Refusal::Unsigned));
    assert_eq!(refusal(fleet), Some(Refusal::Unsigned));
}

#[test]
fn an_operator_withdrawn_by_its_own_section_signs_no_more_but_the_owner_does() {
    let mut ledger = TestLedger::with_teams();

    let withdrawal = ledger.edit("red", 1, &team_text("red", 12, "red-ops-2"), "red-ops");
    let withdrawn = ledger.edit("red", 2, &team_text("red", 13, "red-ops"), "red-ops");
    let recovery = ledger.edit("red", 2, &team_text("red", 13, "red-ops-3"), "red-owner");

    assert_eq!(refusal(withdrawal), None);
    assert_eq!(refusal(withdrawn), Some(Refusal::Unsigned));
    assert_eq!(refusal(recovery), None);
}

#[test]
fn an_edit_that_breaks_the_document_leaves_it_as_it_was() {
    let mut ledger = TestLedger::with_teams();
    let stolen = team_text("red", 12, "blue-ops").replace("red-ops", "blue-ops");
    let stolen = stolen.replace("red-pool", "blue-pool");
    let before = ledger.state.document().cloned();

    let verdict = ledger.edit("red", 1, &stolen, "red-ops");

    assert!(matches!(refusal(verdict), Some(Refusal::Invalid(_))));
    assert_eq!(ledger.state.document().cloned(), before);
}

#[test]
fn a_paused_planner_that_writes_after_its_replacement_is_refused() {
    let mut ledger = TestLedger::with_teams();
    let first = ledger.propose(claim("p1", 1, None));
    let offset = first.offset().0;

    let takeover = ledger.propose(claim("p2", 2, Some(offset)));
    let late = ledger.propose(assign("v1", None, Some("red-pool"), 1));
    let renewal = ledger.propose(claim("p1", 1, Some(offset)));
    let fresh = ledger.propose(assign("v1", None, Some("red-pool"), 2));

    assert_eq!(refusal(takeover), None);
    assert_eq!(refusal(late), Some(Refusal::Fenced(Epoch(2))));
    let held = Refusal::Held(MemberId::new("p2"), Epoch(2));
    assert_eq!(refusal(renewal), Some(held));
    assert_eq!(refusal(fresh), None);
}

#[test]
fn a_takeover_that_missed_a_renewal_is_refused() {
    let mut ledger = TestLedger::with_teams();
    let first = ledger.propose(claim("p1", 1, None)).offset().0;

    let renewal = ledger.propose(claim("p1", 1, Some(first)));
    let takeover = ledger.propose(claim("p2", 2, Some(first)));

    assert_eq!(refusal(renewal), None);
    let held = Refusal::Held(MemberId::new("p1"), Epoch(1));
    assert_eq!(refusal(takeover), Some(held));
}

#[test]
fn of_two_first_claims_one_is_accepted() {
    let mut ledger = TestLedger::empty();

    let one = ledger.propose(claim("p1", 1, None));
    let two = ledger.propose(claim("p2", 1, None));

    assert_eq!(refusal(one), None);
    let held = Refusal::Held(MemberId::new("p1"), Epoch(1));
    assert_eq!(refusal(two), Some(held));
}

#[test]
fn a_vm_moves_only_from_the_pool_that_it_is_in() {
    let mut ledger = TestLedger::with_teams();
    ledger.propose(claim("p1", 1, None));

    let placed = ledger.propose(assign("v1", None, Some("red-pool"), 1));
    let again = ledger.propose(assign("v1", None, Some("blue-pool"), 1));
    let unknown = ledger.propose(assign("v2", None, Some("green-pool"), 1));
    let moved = ledger.propose(assign("v1", Some("red-pool"), Some("blue-pool"), 1));

    assert_eq!(refusal(placed), None);
    assert_eq!(
        refusal(again),
        Some(Refusal::Moved(Some("red-pool".into())))
    );
    assert_eq!(
        refusal(unknown),
        Some(Refusal::Missing("green-pool".to_owned()))
    );
    assert_eq!(refusal(moved), None);
}

#[test]
fn stops_beyond_the_budget_are_refused_until_one_is_resolved() {
    let mut ledger = TestLedger::with_teams();
    ledger.propose(claim("p1", 1, None));
    for vm in ["v1", "v2", "v3", "v4"] {
        ledger.propose(locate(vm, "a", "r1", 1));
        ledger.propose(assign(vm, None, Some("red-pool"), 1));
    }
    let stop = |vm: &str, epoch| Proposal::Stop {
        vm: VmId::new(vm),
        reason: StopReason::Maintenance,
        epoch: Epoch(epoch),
        generation: Generation(0),
    };

    let first = ledger.propose(stop("v1", 1));
    let second = ledger.propose(stop("v2", 1));
    let third = ledger.propose(stop("v3", 1));
    let at = ledger
        .state
        .facts()
        .planner
        .as_ref()
        .map(|held| held.renewed_at.0);
    ledger.propose(claim("p2", 2, at));
    let adopted = ledger.propose(stop("v3", 2));
    let resolved = ledger.propose(Proposal::Stopped {
        vm: VmId::new("v1"),
        healthy: true,
        epoch: Epoch(2),
        rebooted_s: None,
    });
    let freed = ledger.propose(stop("v3", 2));

    assert_eq!((refusal(first), refusal(second)), (None, None));
    assert!(matches!(refusal(third), Some(Refusal::Budget(_))));
    assert!(matches!(refusal(adopted), Some(Refusal::Budget(_))));
    assert_eq!((refusal(resolved), refusal(freed)), (None, None));
}

#[test]
fn an_older_incarnation_of_a_member_is_refused() {
    let mut ledger = TestLedger::empty();

    let newer = ledger.propose(register("e1", 20, 7_001));
    let older = ledger.propose(register("e1", 10, 7_000));

    assert_eq!(refusal(newer), None);
    assert_eq!(refusal(older), Some(Refusal::Outdated(Incarnation(20))));
    assert_eq!(
        ledger.state.facts().members[&MemberId::new("e1")]
            .registration
            .peer_address
            .port(),
        7_001
    );
}

fn share(ledger: &TestLedger, holder: &AllotmentHolder) -> u32 {
    ledger.state.share(&TeamId::new("red"), holder)
}

fn held_by(id: &str) -> AllotmentHolder {
    AllotmentHolder::Member(MemberId::new(id))
}

#[test]
fn a_member_gives_no_more_than_it_has() {
    let mut ledger = TestLedger::with_teams();
    ledger.propose(register("e1", 5, 7_000));

    let taken = ledger.propose(transfer("red", TransferParty::Reserve, member("e1", 5), 10));
    let beyond = ledger.propose(transfer("red", TransferParty::Reserve, member("e1", 5), 3));
    let given = ledger.propose(transfer("red", member("e1", 5), TransferParty::Reserve, 4));
    let too_much = ledger.propose(transfer("red", member("e1", 5), TransferParty::Reserve, 7));

    assert_eq!((refusal(taken), refusal(given)), (None, None));
    assert_eq!(refusal(beyond), Some(Refusal::Allotment(2)));
    assert_eq!(refusal(too_much), Some(Refusal::Allotment(6)));
    assert_eq!(
        [
            share(&ledger, &held_by("e1")),
            share(&ledger, &AllotmentHolder::Reserve)
        ],
        [6, 6]
    );
}

#[test]
fn a_demand_that_was_not_met_is_shown_to_the_others() {
    let mut ledger = TestLedger::with_teams();
    ledger.propose(register("e1", 5, 7_000));

    ledger.propose(transfer("red", TransferParty::Reserve, member("e1", 5), 13));

    let want = ledger.state.facts().allotments[&TeamId::new("red")]
        .unmet_demand
        .clone();
    assert_eq!(
        want.map(|want| (want.holder, want.refusals)),
        Some((held_by("e1"), 1))
    );
}

#[test]
fn an_earlier_run_of_a_member_moves_nothing() {
    let mut ledger = TestLedger::with_teams();
    ledger.propose(register("e1", 5, 7_000));
    ledger.propose(transfer("red", TransferParty::Reserve, member("e1", 5), 10));
    ledger.propose(register("e1", 6, 7_000));

    let late = ledger.propose(transfer("red", member("e1", 5), TransferParty::Reserve, 10));
    let stranger = ledger.propose(transfer("red", TransferParty::Reserve, member("e2", 1), 1));

    assert_eq!(refusal(late), Some(Refusal::Outdated(Incarnation(6))));
    assert_eq!(refusal(stranger), Some(Refusal::Missing("e2".to_owned())));
    assert_eq!(share(&ledger, &held_by("e1")), 10);
}

#[test]
fn a_retired_member_loses_its_parts_unless_it_has_renewed() {
    let mut ledger = TestLedger::with_teams();
    let first = ledger.propose(register("e1", 5, 7_000)).offset();
    ledger.propose(transfer("red", TransferParty::Reserve, member("e1", 5), 10));
    let retire = |renewed| Proposal::Retire {
        id: MemberId::new("e1"),
        registered_at: renewed,
    };

    let renewal = ledger.propose(register("e1", 5, 7_000)).offset();
    let late = ledger.propose(retire(first));
    let kept = share(&ledger, &held_by("e1"));
    let retired = ledger.propose(retire(renewal));

    assert_eq!(refusal(late), Some(Refusal::Renewed(renewal)));
    assert_eq!(kept, 10);
    assert_eq!(refusal(retired), None);
    assert_eq!(
        [
            share(&ledger, &held_by("e1")),
            share(&ledger, &AllotmentHolder::Reserve)
        ],
        [0, 12]
    );
}

#[test]
fn a_lower_ceiling_is_taken_from_the_reserve_first() {
    let mut ledger = TestLedger::with_teams();
    ledger.propose(register("e1", 5, 7_000));
    ledger.propose(transfer("red", TransferParty::Reserve, member("e1", 5), 8));

    ledger.edit("red", 1, &team_text("red", 9, "red-ops"), "red-ops");
    let first = [
        share(&ledger, &held_by("e1")),
        share(&ledger, &AllotmentHolder::Reserve),
    ];
    ledger.edit("red", 2, &team_text("red", 5, "red-ops"), "red-ops");
    let second = [
        share(&ledger, &held_by("e1")),
        share(&ledger, &AllotmentHolder::Reserve),
    ];

    assert_eq!((first, second), ([8, 1], [5, 0]));
}

#[test]
fn a_submitted_job_is_known_once_and_steps_in_order() {
    let mut ledger = TestLedger::with_teams();
    ledger.propose(claim("p1", 1, None));
    let place = |step, vm: &str| {
        Proposal::Update(JobUpdate {
            id: JobId::new("j1"),
            expected_step: step,
            phase: JobPhase::Placed(VmId::new(vm)),
            epoch: Some(Epoch(1)),
        })
    };

    ledger.propose(transfer(
        "red",
        TransferParty::Reserve,
        TransferParty::Jobs(Epoch(1)),
        2,
    ));

    let submitted = ledger.propose(Proposal::Submit(job("j1", "red", 4)));
    let repeated = ledger.propose(Proposal::Submit(job("j1", "red", 4)));
    let large = ledger.propose(Proposal::Submit(job("j2", "red", 17)));
    let placed = ledger.propose(place(0, "w1"));
    let raced = ledger.propose(place(0, "w2"));

    assert_eq!(refusal(submitted), None);
    assert_eq!(refusal(repeated), Some(Refusal::Repeated));
    assert!(matches!(refusal(large), Some(Refusal::Impossible(_))));
    assert_eq!(refusal(placed), None);
    assert_eq!(refusal(raced), Some(Refusal::Stepped(1)));
}

#[test]
fn a_team_cancels_its_job_but_can_not_end_it_otherwise() {
    let mut ledger = TestLedger::with_teams();
    ledger.propose(Proposal::Submit(job("j1", "red", 4)));
    let update = |phase| {
        Proposal::Update(JobUpdate {
            id: JobId::new("j1"),
            expected_step: 0,
            phase,
            epoch: None,
        })
    };

    let done = ledger.propose(update(JobPhase::Done(String::new())));
    let cancelled = ledger.propose(update(JobPhase::Cancelled));
    let revived = ledger.propose(update(JobPhase::Cancelled));

    assert_eq!(refusal(done), Some(Refusal::Unsigned));
    assert_eq!(refusal(cancelled), None);
    assert_eq!(refusal(revived), Some(Refusal::Stepped(1)));
}

#[test]
fn placed_jobs_never_pass_their_part_of_the_ceiling() {
    let mut ledger = TestLedger::with_teams();
    ledger.propose(claim("p1", 1, None));
    let place = |id: &str| {
        Proposal::Update(JobUpdate {
            id: JobId::new(id),
            expected_step: 0,
            phase: JobPhase::Placed(VmId::new("w1")),
            epoch: Some(Epoch(1)),
        })
    };
    for id in ["1", "2", "3", "4"] {
        ledger.propose(Proposal::Submit(job(id, "blue", 1)));
    }

    let jobs = TransferParty::Jobs(Epoch(1));
    ledger.propose(transfer("blue", TransferParty::Reserve, jobs.clone(), 3));

    let placed = ["1", "2", "3"].map(|id| refusal(ledger.propose(place(id))));
    let beyond = refusal(ledger.propose(place("4")));
    let taken = refusal(ledger.propose(transfer("blue", jobs, TransferParty::Reserve, 1)));

    assert_eq!(placed, [None, None, None]);
    assert_eq!(beyond, Some(Refusal::Allotment(3)));
    assert_eq!(taken, Some(Refusal::Allotment(0)));
}

#[test]
fn a_job_that_has_ended_leaves_room_for_another() {
    let mut ledger = TestLedger::with_teams();
    ledger.propose(claim("p1", 1, None));
    ledger.propose(transfer(
        "blue",
        TransferParty::Reserve,
        TransferParty::Jobs(Epoch(1)),
        1,
    ));
    let update = |id: &str, step, phase| {
        Proposal::Update(JobUpdate {
            id: JobId::new(id),
            expected_step: step,
            phase,
            epoch: Some(Epoch(1)),
        })
    };
    let placed = || JobPhase::Placed(VmId::new("w1"));
    ledger.propose(Proposal::Submit(job("1", "blue", 1)));
    ledger.propose(Proposal::Submit(job("2", "blue", 1)));
    ledger.propose(update("1", 0, placed()));

    let moved = refusal(ledger.propose(update("1", 1, JobPhase::Placed(VmId::new("w2")))));
    let beyond = refusal(ledger.propose(update("2", 0, placed())));
    ledger.propose(update("1", 2, JobPhase::Done(String::new())));
    let freed = refusal(ledger.propose(update("2", 0, placed())));

    assert_eq!(moved, None);
    assert_eq!(beyond, Some(Refusal::Allotment(1)));
    assert_eq!(freed, None);
}

#[test]
fn a_record_that_arrives_after_the_window_is_refused() {
    let mut ledger = TestLedger::empty();
    let late = ledger.encode_next(register("e1", 1, 7_000));
    for _ in 0..DEDUP_WINDOW_OFFSETS {
        assert_eq!(ledger.apply_bytes(b""), None);
    }

    let verdict = ledger.apply_bytes(&late).expect("judged");

    assert_eq!(refusal(verdict), Some(Refusal::Expired));
}

#[test]
fn a_record_from_the_future_is_refused() {
    let mut ledger = TestLedger::empty();
    let bytes = encode_record(&record(1, 5, register("e1", 1, 7_000)), &trust().secret);

    let verdict = ledger.apply_bytes(&bytes).expect("judged");

    assert_eq!(refusal(verdict), Some(Refusal::Expired));
}

#[test]
fn unknown_rules_stop_the_fold_and_are_reported() {
    let mut ledger = TestLedger::with_teams();
    let before = ledger.state.document().cloned();

    let upgrade = ledger.propose(Proposal::Upgrade { version: 2 });
    let offset = ledger.state.offset();
    let next = ledger.encode_next(claim("p1", 1, None));
    let folded = ledger.apply_bytes(&next);

    assert_eq!(refusal(upgrade), None);
    assert_eq!(folded, None);
    assert_eq!(ledger.state.facts().unknown_rules, Some(2));
    assert_eq!(ledger.state.offset(), offset);
    assert_eq!(ledger.state.document().cloned(), before);
}

#[test]
fn only_the_next_offset_is_folded() {
    let mut ledger = TestLedger::empty();
    let bytes = ledger.encode_next(claim("p1", 1, None));

    let ahead = ledger.state.apply(Offset(1), &bytes);

    assert_eq!(ahead, None);
    assert_eq!(ledger.state.offset(), Offset(0));
}
