//! Tests of planned stops against the budgets of pools and data centres.

use amaranthwick::id::{Epoch, Generation, JobId, PoolId, VmId};
use amaranthwick::ledger::{
    JobPhase, JobUpdate, Proposal, Refusal, State, StopReason, TransferParty, Verdict,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixtures::{
    TestLedger, assign, cases, claim, fleet_text, job, locate, team_text, transfer,
};

/// VMs of a data centre that may be stopped at a time; `vms` in the fixtures' fleet section.
const VMS_BUDGET: usize = 4;

fn stop(vm: &str) -> Proposal {
    Proposal::Stop {
        vm: VmId::new(vm),
        reason: StopReason::Maintenance,
        epoch: Epoch(1),
        generation: Generation(3),
    }
}

fn stopped(vm: &str, healthy: bool) -> Proposal {
    Proposal::Stopped {
        vm: VmId::new(vm),
        healthy,
        epoch: Epoch(1),
        rebooted_s: healthy.then_some(5_000),
    }
}

fn down(vm: &str) -> Proposal {
    let vm = VmId::new(vm);
    Proposal::Down {
        vm,
        epoch: Epoch(1),
    }
}

fn up(vm: &str) -> Proposal {
    let vm = VmId::new(vm);
    Proposal::Up {
        vm,
        epoch: Epoch(1),
    }
}

/// Adds `vms` to a pool, all in one rack of the data centre that its name starts with.
fn add_vms(ledger: &mut TestLedger, vms: &[&str], pool: &str, rack: &str) {
    for vm in vms {
        accept(ledger, locate(vm, &rack[..1], rack, 1));
        accept(ledger, assign(vm, None, Some(pool), 1));
    }
}

fn with_planner() -> TestLedger {
    let mut ledger = TestLedger::with_teams();
    accept(&mut ledger, claim("p1", 1, None));
    ledger
}

fn accept(ledger: &mut TestLedger, proposal: Proposal) {
    let verdict = ledger.propose(proposal);
    assert!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
}

fn accept_fleet_edit(ledger: &mut TestLedger, fleet: &str) {
    let verdict = ledger.edit("fleet", 1, fleet, "fleet-ops");
    assert!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
}

fn expect_budget_refusal(ledger: &mut TestLedger, proposal: Proposal) -> String {
    match ledger.propose(proposal) {
        Verdict::Refused(_, Refusal::Budget(cause)) => cause,
        verdict => panic!("{verdict:?}"),
    }
}

#[test]
fn a_vm_that_is_down_uses_up_the_budget_of_its_pool() {
    let mut ledger = with_planner();
    add_vms(&mut ledger, &["v1", "v2", "v3", "v4"], "red-pool", "a1");

    accept(&mut ledger, down("v1"));
    accept(&mut ledger, stop("v2"));
    let third = expect_budget_refusal(&mut ledger, stop("v3"));
    accept(&mut ledger, up("v1"));
    accept(&mut ledger, stop("v3"));

    assert!(third.contains("red-pool: 2 of 2"), "{third}");
}

#[rstest]
#[case::alone(&["v1"], 0)]
#[case::two(&["v1", "v2"], 1)]
#[case::three(&["v1", "v2", "v3"], 1)]
#[case::four(&["v1", "v2", "v3", "v4"], 2)]
fn a_pool_of_two_or_more_may_always_have_one_stop(#[case] vms: &[&str], #[case] stops: usize) {
    let mut ledger = with_planner();
    add_vms(&mut ledger, vms, "red-pool", "a1");

    let verdicts = vms.iter().map(|vm| ledger.propose(stop(vm)));
    let accepted = verdicts.filter(|v| matches!(v, Verdict::Accepted(_)));

    assert_eq!(accepted.count(), stops);
}

#[test]
fn a_small_percentage_still_lets_one_vm_of_a_pool_stop() {
    let mut ledger = with_planner();
    accept_fleet_edit(&mut ledger, &fleet_text(10));
    add_vms(&mut ledger, &["v1", "v2", "v3"], "red-pool", "a1");

    accept(&mut ledger, stop("v1"));
    let second = expect_budget_refusal(&mut ledger, stop("v2"));

    assert!(second.contains("red-pool: 1 of 1"), "{second}");
}

#[test]
fn a_spare_pool_of_one_may_be_stopped() {
    let mut ledger = with_planner();
    let spare = r#""blue-pool": { "class": "executor", "spare": true, "vms": { "a": 1 } }"#;
    let text = team_text("blue", 9, "blue-ops");
    let start = text.find(r#""blue-pool": {"#).expect("a pool");
    let end = start + text[start..].find(" },\n").expect("its end") + 2;
    let text = text.replace(&text[start..end], spare);
    let queue = text.find(r#""blue-queue""#).expect("a queue");
    let close = text.find(r#""keys""#).expect("keys");
    let text = format!("{}}},\n  {}", &text[..queue], &text[close..]);
    let verdict = ledger.edit("blue", 1, &text, "blue-ops");
    assert!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
    add_vms(&mut ledger, &["v1"], "blue-pool", "a1");

    accept(&mut ledger, stop("v1"));
}

#[test]
fn a_vm_is_forgotten_only_outside_of_every_pool() {
    let mut ledger = with_planner();
    add_vms(&mut ledger, &["v1"], "red-pool", "a1");
    let forget = || Proposal::Locate {
        vm: VmId::new("v1"),
        location: None,
        seen_s: 0,
        epoch: Epoch(1),
    };

    let early = ledger.propose(forget());
    accept(&mut ledger, assign("v1", Some("red-pool"), None, 1));
    accept(&mut ledger, forget());

    assert!(matches!(early, Verdict::Refused(_, Refusal::Moved(_))));
    assert!(
        ledger.state.facts().locations.is_empty() && ledger.state.facts().cycle_starts_s.is_empty()
    );
}

#[test]
fn stops_of_a_data_centre_keep_to_its_number_of_vms() {
    let mut ledger = with_planner();
    let pools = ["red-pool", "blue-pool", "red-jobs"];
    for (pool, vms) in pools.iter().zip([
        ["r1", "r2", "r3", "r4"],
        ["b1", "b2", "b3", "b4"],
        ["w1", "w2", "w3", "w4"],
    ]) {
        add_vms(&mut ledger, &vms, pool, "a1");
    }

    for vm in ["r1", "r2", "b1", "b2"] {
        accept(&mut ledger, stop(vm));
    }
    let beyond = expect_budget_refusal(&mut ledger, stop("w1"));

    assert!(beyond.contains("data centre a: 4 of 4"), "{beyond}");
}

#[test]
fn stops_of_a_data_centre_keep_to_one_rack() {
    let mut ledger = with_planner();
    add_vms(&mut ledger, &["v1", "v2"], "red-pool", "a1");
    add_vms(&mut ledger, &["v3", "v4"], "blue-pool", "a2");
    add_vms(&mut ledger, &["v5", "v6"], "blue-jobs", "b1");

    accept(&mut ledger, stop("v1"));
    let other_rack = expect_budget_refusal(&mut ledger, stop("v3"));
    accept(&mut ledger, stop("v5"));

    assert!(other_rack.contains("2 racks"), "{other_rack}");
}

#[test]
fn a_vm_whose_place_is_not_known_is_not_stopped() {
    let mut ledger = with_planner();
    accept(&mut ledger, assign("v1", None, Some("red-pool"), 1));
    accept(&mut ledger, assign("v2", None, Some("red-pool"), 1));

    let verdict = ledger.propose(stop("v1"));

    assert!(matches!(verdict, Verdict::Refused(_, Refusal::Missing(_))));
}

#[test]
fn two_vms_that_come_back_unhealthy_end_all_regular_stops() {
    let mut ledger = with_planner();
    add_vms(&mut ledger, &["v1", "v2", "v3", "v4"], "red-pool", "a1");
    add_vms(&mut ledger, &["v5", "v6"], "red-jobs", "b1");
    for vm in ["v1", "v2"] {
        accept(&mut ledger, stop(vm));
    }
    for vm in ["v1", "v2"] {
        accept(&mut ledger, stopped(vm, false));
    }

    let halted = expect_budget_refusal(&mut ledger, stop("v5"));
    accept(&mut ledger, up("v1"));
    accept(&mut ledger, stop("v5"));

    assert!(halted.contains("did not come back"), "{halted}");
}

#[test]
fn a_pool_does_not_give_a_vm_away_that_its_budget_needs() {
    let mut ledger = with_planner();
    add_vms(&mut ledger, &["v1", "v2"], "red-pool", "a1");
    accept(&mut ledger, stop("v1"));

    let needed = expect_budget_refusal(&mut ledger, assign("v2", Some("red-pool"), None, 1));
    let stopping = expect_budget_refusal(&mut ledger, assign("v1", Some("red-pool"), None, 1));
    accept(&mut ledger, stopped("v1", true));
    accept(&mut ledger, assign("v2", Some("red-pool"), None, 1));

    assert!(needed.contains("1 VMs do not serve"), "{needed}");
    assert!(stopping.contains("planned stop"), "{stopping}");
}

#[test]
fn a_vm_that_is_down_leaves_its_pool_and_enters_none() {
    let mut ledger = with_planner();
    add_vms(&mut ledger, &["v1", "v2"], "red-pool", "a1");
    accept(&mut ledger, down("v1"));

    accept(&mut ledger, assign("v1", Some("red-pool"), None, 1));
    let enters = expect_budget_refusal(&mut ledger, assign("v1", None, Some("red-pool"), 1));

    assert!(enters.contains("is down"), "{enters}");
}

#[test]
fn a_reboot_starts_a_new_cycle_and_a_stop_without_one_does_not() {
    let mut ledger = with_planner();
    add_vms(&mut ledger, &["v1", "v2"], "red-pool", "a1");
    let cycle = |ledger: &TestLedger| ledger.state.facts().cycle_starts_s[&VmId::new("v1")];
    let seen = cycle(&ledger);

    accept(&mut ledger, stop("v1"));
    accept(
        &mut ledger,
        Proposal::Stopped {
            vm: VmId::new("v1"),
            healthy: true,
            epoch: Epoch(1),
            rebooted_s: None,
        },
    );
    let given_up = cycle(&ledger);
    accept(&mut ledger, stop("v1"));
    accept(&mut ledger, stopped("v1", true));

    assert_eq!([seen, given_up, cycle(&ledger)], [1_000, 1_000, 5_000]);
}

#[test]
fn a_worker_with_a_planned_stop_gets_no_job() {
    let mut ledger = with_planner();
    add_vms(&mut ledger, &["v1", "v2"], "red-jobs", "a1");
    accept(&mut ledger, Proposal::Submit(job("j1", "red", 1)));
    accept(
        &mut ledger,
        transfer(
            "red",
            TransferParty::Reserve,
            TransferParty::Jobs(Epoch(1)),
            2,
        ),
    );
    accept(&mut ledger, stop("v1"));
    let place = |vm: &str| {
        Proposal::Update(JobUpdate {
            id: JobId::new("j1"),
            expected_step: 0,
            phase: JobPhase::Placed(VmId::new(vm)),
            epoch: Some(Epoch(1)),
        })
    };

    let stopping = expect_budget_refusal(&mut ledger, place("v1"));
    accept(&mut ledger, place("v2"));

    assert!(stopping.contains("planned stop"), "{stopping}");
}

fn vm_name(n: usize) -> String {
    format!("v{n}")
}

/// A ledger with 16 VMs in four pools, two data centres and four racks.
fn fleet_of_16() -> TestLedger {
    let mut ledger = with_planner();
    let pools = ["red-pool", "blue-pool", "red-jobs", "blue-jobs"];
    let racks = ["a1", "a2", "b1", "b2"];
    for n in 0..16 {
        add_vms(&mut ledger, &[&vm_name(n)], pools[n / 4], racks[n % 4]);
    }
    ledger
}

fn change() -> impl Strategy<Value = Proposal> {
    let vm = || (0..16_usize).prop_map(vm_name);
    let pool = || prop::sample::select(vec![None, Some("red-pool"), Some("blue-jobs")]);
    prop_oneof![
        6 => vm().prop_map(|vm| stop(&vm)),
        2 => (vm(), any::<bool>()).prop_map(|(vm, healthy)| stopped(&vm, healthy)),
        1 => vm().prop_map(|vm| down(&vm)),
        2 => vm().prop_map(|vm| up(&vm)),
        2 => (vm(), pool(), pool()).prop_map(|(vm, from, to)| assign(&vm, from, to, 1)),
    ]
}

fn is_unavailable(state: &State, vm: &VmId) -> bool {
    let facts = state.facts();
    facts.stops.contains_key(vm) || facts.down.contains(vm)
}

/// Number of unavailable VMs beyond what the budget of the pool allows.
fn excess(state: &State, pool: &str) -> usize {
    let pool = PoolId::new(pool);
    let all = state.facts().assignment.iter();
    let vms: Vec<&VmId> = all.filter(|(_, p)| **p == pool).map(|(vm, _)| vm).collect();
    let out = vms.iter().filter(|vm| is_unavailable(state, vm)).count();
    let allowed = match vms.len() {
        0 | 1 => 0,
        2 | 3 => 1,
        size => size / 2,
    };
    out.saturating_sub(allowed)
}

fn excess_by_pool(state: &State) -> [usize; 4] {
    ["red-pool", "blue-pool", "red-jobs", "blue-jobs"].map(|pool| excess(state, pool))
}

fn stops_in(state: &State, data_centre: &str) -> (usize, usize) {
    let facts = state.facts();
    let locations = facts.stops.keys().map(|vm| &facts.locations[vm]);
    let mut racks: Vec<&str> = locations
        .filter(|location| location.data_centre.as_str() == data_centre)
        .map(|location| location.rack.as_str())
        .collect();
    let stops = racks.len();
    racks.sort_unstable();
    racks.dedup();
    (stops, racks.len())
}

proptest! {
    #![proptest_config(cases(200))]

    #[test]
    fn no_decision_of_a_planner_breaks_a_budget(changes in prop::collection::vec(change(), 1..80)) {
        let mut ledger = fleet_of_16();
        for change in changes {
            let loss = matches!(change, Proposal::Down { .. });
            let before = excess_by_pool(&ledger.state);

            ledger.propose(change);

            let after = excess_by_pool(&ledger.state);
            let kept = before.iter().zip(after).all(|(before, after)| after <= *before);
            prop_assert!(loss || kept, "{before:?} {after:?}");
            for data_centre in ["a", "b"] {
                let (stops, racks) = stops_in(&ledger.state, data_centre);
                prop_assert!(stops <= VMS_BUDGET && racks <= 1, "{stops} in {racks}");
            }
        }
    }
}
