//! Faults during maintenance and replacement of lost VMs, in a simulation.

use std::time::Duration;

use amaranthwick::document::{example, hex};
use amaranthwick::id::{DataCentre, Generation, VmId};
use amaranthwick::ledger::{Edit, PlannedStop, StopReason};
use amaranthwick::planner::{StopAction, StopProgress, VmObservation};
use amaranthwick::services::{VmPhase, VmReport};
use rstest::rstest;

use crate::simulation::{Fences, ListBehaviour, SimulatedPlanner, Simulation, edit, first_edit};

const HOUR: Duration = Duration::from_hours(1);
const DAY_S: u64 = 24 * 60 * 60;
const MINUTE: Duration = Duration::from_mins(1);

fn key(name: &str) -> String {
    hex::encode(&example::operator_key(name).public())
}

fn fleet_text() -> String {
    format!(
        r#"{{
  "data_centres": {{ "a": {{ "region": "r" }}, "b": {{ "region": "r" }} }},
  "classes": {{
    "executor": {{ "kind": "executor", "cores": 4, "memory_mb": 8192, "slots": 8, "connections": 64 }}
  }},
  "services": {{ "s": {{ "class": "executor", "run_limit_ms": 5000, "idempotent": true }} }},
  "budgets": {{ "pool_percent": 25, "racks": 1, "vms": 4, "cycle_days": 42 }},
  "operators": {{ "fleet-ops": "{}" }},
  "owners": {{ "red": "{}", "blue": "{}", "office": "{}" }}
}}"#,
        key("fleet-ops"),
        key("red-owner"),
        key("blue-owner"),
        key("office-owner")
    )
}

fn team_text(pool: &str, operator: &str) -> String {
    format!(
        r#"{{ "share": 10, "ceiling": 12, "pools": {{ {pool} }}, "queues": {{}}, "keys": {{}},
  "operators": {{ "{operator}": "{}" }}, "on_stale": "refuse" }}"#,
        key(operator)
    )
}

fn red_text(count: u32) -> String {
    let pool = format!(
        r#""red-pool": {{ "service": "s", "class": "executor", "vms": {{ "a": {count}, "b": 8 }} }}"#
    );
    team_text(&pool, "red-ops")
}

/// A document with two pools of 16 VMs over two data centres, and a spare of six VMs in each
/// data centre.
fn edits() -> Vec<Edit> {
    let blue = r#""blue-pool": { "service": "s", "class": "executor", "vms": { "a": 8, "b": 8 } }"#;
    let spare = r#""spare": { "class": "executor", "spare": true, "vms": { "a": 6, "b": 6 } }"#;
    vec![
        first_edit("fleet", &fleet_text(), "root"),
        first_edit("red", &red_text(8), "red-owner"),
        first_edit("blue", &team_text(blue, "blue-ops"), "blue-owner"),
        first_edit("office", &team_text(spare, "office-ops"), "office-owner"),
    ]
}

/// A fleet whose pools are filled, and its planner.
fn filled_fleet() -> (Simulation, SimulatedPlanner) {
    let mut sim = Simulation::new(edits());
    let mut planner = sim.start_planner();
    sim.run_until(&mut planner, MINUTE, Simulation::is_filled);
    sim.accepted_moves = 0;
    (sim, planner)
}

/// A fleet whose pools are filled and whose VMs are all due for maintenance.
fn fleet_due() -> (Simulation, SimulatedPlanner) {
    let (mut sim, planner) = filled_fleet();
    sim.skip_cycle();
    (sim, planner)
}

/// A maintenance wave after at least six reboots, with stops open.
fn mid_wave() -> (Simulation, SimulatedPlanner) {
    let (mut sim, mut planner) = fleet_due();
    sim.run_until(&mut planner, HOUR, |sim| {
        reboots(sim) >= 6 && open_stops(sim) > 0
    });
    (sim, planner)
}

fn reboots(sim: &Simulation) -> u32 {
    sim.vms.values().map(|vm| vm.reboots).sum()
}

fn interrupting_reboots(sim: &Simulation) -> u32 {
    sim.vms.values().map(|vm| vm.interrupting_reboots).sum()
}

fn open_stops(sim: &Simulation) -> usize {
    sim.state.facts().stops.len()
}

fn most_reboots(sim: &Simulation) -> u32 {
    let vms = sim.vms.values();
    vms.map(|vm| vm.reboots).max().unwrap_or(0)
}

fn first_stop(sim: &Simulation) -> VmId {
    let open_stops = &sim.state.facts().stops;
    open_stops.keys().next().expect("a stop").clone()
}

fn leaving(sim: &Simulation) -> Vec<VmId> {
    let vms = sim.vms.iter();
    let leaving = vms.filter(|(_, vm)| vm.listed.phase == VmPhase::Leaving);
    leaving.map(|(vm, _)| vm.clone()).collect()
}

#[test]
fn every_vm_is_rebooted_once_a_cycle_and_none_before() {
    let (mut sim, mut planner) = filled_fleet();
    sim.run_for(&mut planner, HOUR);
    let early = reboots(&sim);
    sim.skip_cycle();

    sim.run_until(&mut planner, 4 * HOUR, Simulation::all_rebooted);
    sim.run_for(&mut planner, HOUR);

    assert_eq!(
        (early, most_reboots(&sim), interrupting_reboots(&sim)),
        (0, 1, 0)
    );
    assert_eq!(sim.accepted_moves, 0);
    assert!(sim.most_out > 1, "one VM at a time");
}

#[test]
fn the_rack_of_the_vm_whose_cycle_began_first_goes_first() {
    let (sim, planner) = filled_fleet();
    for oldest in ["a-executor-0", "a-executor-9", "a-executor-21"].map(VmId::new) {
        let mut fleet = sim.fleet();
        fleet
            .cycle_starts_s
            .values_mut()
            .for_each(|start| *start = 10 * DAY_S);
        fleet.cycle_starts_s[&oldest] = DAY_S;

        let to_stop = planner.vm_planner.vms_to_stop(&fleet, sim.now, 100 * DAY_S);

        assert_eq!(to_stop.first(), Some(&oldest), "{to_stop:?}");
    }
}

#[test]
fn a_rack_lost_in_mid_wave_stops_the_wave_and_is_replaced_from_the_spare() {
    let (mut sim, mut planner) = mid_wave();
    let data_centre = sim.vms[&first_stop(&sim)].listed.data_centre.clone();
    let is_local = |vm: &VmId, sim: &Simulation| sim.vms[vm].listed.data_centre == data_centre;
    let rack = sim
        .vms
        .values()
        .find(|vm| {
            vm.listed.data_centre == data_centre
                && vm.reboots == 0
                && vm.listed.phase == VmPhase::Live
        })
        .map(|vm| vm.listed.rack.clone())
        .expect("a rack");
    sim.fail_vms(|vm| vm.rack == rack);

    sim.run_until(&mut planner, HOUR, |sim| sim.state.facts().down.len() == 4);
    let before = sim.state.facts().stops.clone();
    sim.run_for(&mut planner, MINUTE / 2);
    let open_stops = sim.state.facts().stops.keys();
    let begun = open_stops
        .filter(|vm| is_local(vm, &sim) && !before.contains_key(*vm))
        .count();
    sim.run_for(&mut planner, 5 * MINUTE);

    assert_eq!(begun, 0, "stops in the data centre of the lost rack");
    let facts = sim.state.facts();
    let serving = facts.assignment.iter().filter(|(vm, pool)| {
        pool.as_str() != "spare" && sim.vms[*vm].listed.phase != VmPhase::Down
    });
    assert_eq!(serving.count() + down_in_stop(&sim), 32);
    assert!(
        sim.accepted_moves <= 8,
        "{} moves for 4 lost VMs",
        sim.accepted_moves
    );
    assert_eq!(interrupting_reboots(&sim), 0);
}

/// Number of VMs in service that are down in a planned stop.
fn down_in_stop(sim: &Simulation) -> usize {
    let facts = sim.state.facts();
    let open_stops = facts.stops.keys().filter(|vm| {
        let pool = facts.assignment.get(*vm);
        pool.is_some_and(|pool| pool.as_str() != "spare")
            && sim.vms[*vm].listed.phase == VmPhase::Down
    });
    open_stops.count()
}

#[test]
fn a_vm_that_returns_goes_to_the_spare() {
    let (mut sim, mut planner) = filled_fleet();
    let lost = sim.vms_in_pool("red-pool")[0].clone();
    sim.fail_vms(|vm| vm.id == lost);
    sim.run_until(&mut planner, HOUR, |sim| {
        !sim.vms_in_pool("red-pool").contains(&&lost)
    });
    sim.run_until(&mut planner, MINUTE, |sim| {
        sim.vms_in_pool("red-pool").len() == 16
    });

    sim.return_all();
    sim.run_until(&mut planner, HOUR, Simulation::is_filled);

    assert!(sim.vms_in_pool("spare").contains(&&lost));
    assert_eq!(sim.accepted_moves, 3);
}

#[test]
fn of_two_active_planners_the_first_is_fenced_off() {
    let (mut sim, mut first) = fleet_due();
    sim.run_for(&mut first, MINUTE);
    let mut second = sim.start_planner();

    for _ in 0..7_200 {
        for call in sim.decide(&mut first) {
            sim.perform(&call);
        }
        sim.run_round(&mut second);
    }

    assert!(sim.all_rebooted());
    assert_eq!((most_reboots(&sim), interrupting_reboots(&sim)), (1, 0));
}

#[test]
fn lost_vms_without_replacement_halt_the_wave() {
    let (mut sim, mut planner) = mid_wave();
    let data_centre = DataCentre::new("a");
    let spare: Vec<VmId> = sim.vms_in_pool("spare").into_iter().cloned().collect();
    let lost = sim.vms_in_pool("red-pool")[0].clone();
    let rack = sim.vms[&lost].listed.rack.clone();
    sim.fail_vms(|vm| spare.contains(&vm.id) || vm.rack == rack);
    sim.run_for(&mut planner, 3 * MINUTE);
    let before = reboots(&sim);
    let vms = sim.vms.values();
    let due = vms.filter(|vm| vm.listed.phase == VmPhase::Live && vm.reboots == 0);
    assert!(due.count() > 0, "VMs that are still due");

    sim.run_for(&mut planner, HOUR);

    let facts = sim.state.facts();
    let kept = facts
        .down
        .iter()
        .filter(|vm| facts.assignment.contains_key(*vm));
    let is_local = |vm: &VmId| sim.vms[vm].listed.data_centre == data_centre;
    let open_stops = facts.stops.keys().filter(|vm| is_local(vm)).count();
    assert!(kept.filter(|vm| is_local(vm)).count() > 0);
    assert_eq!((open_stops, reboots(&sim)), (0, before));
}

#[test]
fn a_stop_accepted_just_before_the_log_went_away_waits_for_it() {
    let (mut sim, mut planner) = fleet_due();
    sim.run_until(&mut planner, MINUTE, |sim| open_stops(sim) > 0);
    assert!(leaving(&sim).is_empty());
    sim.log_up = false;

    sim.run_for(&mut planner, HOUR);

    assert!(leaving(&sim).is_empty());
    assert_eq!(reboots(&sim), 0);
    sim.log_up = true;
    sim.run_until(&mut planner, 4 * HOUR, Simulation::all_rebooted);
}

/// Freezes a planner when it has decided on an action that `pick` chooses, and lets another
/// planner finish the wave; returns the simulation and the action not yet performed.
fn run_past_frozen_planner(
    pick: impl Fn(&StopAction) -> bool,
) -> (Simulation, crate::simulation::PlannedCall) {
    let (mut sim, mut first) = fleet_due();
    let call = loop {
        let calls = sim.decide(&mut first);
        if let Some(call) = calls.iter().find(|call| pick(&call.action)) {
            break call.clone();
        }
        for call in &calls {
            sim.perform(call);
        }
        sim.advance();
    };
    let mut second = sim.start_planner();
    sim.run_until(&mut second, 4 * HOUR, Simulation::all_rebooted);
    (sim, call)
}

#[rstest]
#[case::fold_check_alone(true, false)]
#[case::generation_check_alone(false, true)]
#[case::both(true, true)]
fn a_late_call_of_a_frozen_planner_changes_nothing(
    #[case] check_fold: bool,
    #[case] check_generation: bool,
) {
    for pick in [is_drain, is_reboot] {
        let (mut sim, call) = run_past_frozen_planner(pick);
        sim.fences = Fences {
            check_fold,
            check_generation,
        };

        sim.perform(&call);

        assert!(leaving(&sim).is_empty(), "{call:?}");
        assert_eq!(most_reboots(&sim), 1, "{call:?}");
    }
}

const fn is_drain(action: &StopAction) -> bool {
    matches!(action, StopAction::Drain(_))
}

const fn is_reboot(action: &StopAction) -> bool {
    matches!(action, StopAction::Reboot(_))
}

#[test]
fn a_new_planner_continues_the_stops_of_the_last_one() {
    let (mut sim, _) = mid_wave();
    let begun: Vec<VmId> = sim.state.facts().stops.keys().cloned().collect();
    let mut second = sim.start_planner();

    sim.run_until(&mut second, HOUR, |sim| {
        begun
            .iter()
            .all(|vm| !sim.state.facts().stops.contains_key(vm))
    });

    assert!(begun.iter().all(|vm| sim.vms[vm].reboots == 1));
}

#[test]
fn a_reboot_that_never_returns_ends_as_failed_and_is_replaced() {
    let (mut sim, mut planner) = fleet_due();
    let dead = sim.vms_in_pool("red-pool")[0].clone();
    sim.vms[&dead].returns = false;

    sim.run_until(&mut planner, 6 * HOUR, |sim| {
        sim.state.facts().failed_stops.contains(&dead)
    });
    sim.run_until(&mut planner, HOUR, |sim| {
        let pool = sim.vms_in_pool("red-pool");
        pool.len() == 16 && !pool.contains(&&dead)
    });

    assert_eq!(most_reboots(&sim), 1);
}

#[test]
fn no_further_stops_after_two_vms_do_not_return() {
    let (mut sim, mut planner) = fleet_due();
    for vm in sim.vms.values_mut() {
        vm.returns = false;
    }

    sim.run_for(&mut planner, 2 * HOUR);

    let out = reboots(&sim);
    assert!(out <= 8, "{out} VMs lost to maintenance");
    assert!(sim.state.facts().failed_stops.len() >= 2);
}

#[test]
fn a_drain_that_never_ends_is_given_up_without_a_reboot() {
    let (mut sim, mut planner) = fleet_due();
    let busy = VmId::new("a-executor-0");
    sim.vms[&busy].running = 1;

    sim.run_until(&mut planner, HOUR, |sim| {
        sim.state.facts().stops.contains_key(&busy)
    });
    sim.run_until(&mut planner, HOUR, |sim| {
        !sim.state.facts().stops.contains_key(&busy)
    });

    let vm = &sim.vms[&busy];
    assert_eq!((vm.listed.phase, vm.reboots), (VmPhase::Live, 0));
    assert_eq!(interrupting_reboots(&sim), 0);
    sim.vms[&busy].running = 0;
    sim.run_until(&mut planner, 8 * HOUR, Simulation::all_rebooted);
}

#[test]
fn an_operator_who_restores_a_vm_in_a_stop_ends_it() {
    let (mut sim, mut planner) = fleet_due();
    let vm = VmId::new("a-executor-0");
    sim.run_until(&mut planner, HOUR, |sim| leaving(sim).contains(&vm));
    let generation = sim.vms[&vm].listed.generation;

    sim.change_vm(&vm, generation, VmPhase::Live);
    sim.run_until(&mut planner, MINUTE, |sim| {
        !sim.state.facts().stops.contains_key(&vm)
    });

    assert_eq!(sim.vms[&vm].reboots, 0);
    assert_eq!(sim.vms[&vm].listed.generation, Generation(2));
}

#[test]
fn an_operator_who_shrinks_a_pool_in_mid_wave_breaks_no_budget() {
    let (mut sim, mut planner) = mid_wave();
    sim.edit(edit("red", 1, &red_text(4), "red-ops"));

    sim.run_until(&mut planner, 6 * HOUR, |sim| {
        sim.vms_in_pool("red-pool").len() == 12 && sim.all_rebooted()
    });

    assert_eq!(interrupting_reboots(&sim), 0);
}

#[rstest]
#[case::empty(ListBehaviour::Empty)]
#[case::truncated(ListBehaviour::Truncated(3))]
#[case::doubled(ListBehaviour::Doubled)]
fn a_wrong_list_moves_nothing(#[case] list: ListBehaviour) {
    let (mut sim, mut planner) = filled_fleet();
    sim.list = list;

    sim.run_for(&mut planner, HOUR);

    assert_eq!((sim.accepted_moves, sim.state.facts().down.len()), (0, 0));
}

#[test]
fn a_stale_list_does_not_hide_what_checks_find_nor_move_what_they_do_not() {
    let (mut sim, mut planner) = filled_fleet();
    sim.list = ListBehaviour::Stale(sim.list());
    let lost = sim.vms_in_pool("red-pool")[0].clone();
    sim.fail_vms(|vm| vm.id == lost);

    sim.run_for(&mut planner, 10 * MINUTE);

    let down: Vec<&VmId> = sim.state.facts().down.iter().collect();
    assert_eq!(down, [&lost]);
    assert_eq!(sim.accepted_moves, 2);
}

#[rstest]
#[case::with_list(ListBehaviour::Accurate)]
#[case::with_empty_list(ListBehaviour::Empty)]
fn a_data_centre_that_is_cut_off_is_not_replaced(#[case] list: ListBehaviour) {
    let (mut sim, mut planner) = filled_fleet();
    sim.unreachable.insert(DataCentre::new("b"));
    sim.list = list;

    sim.run_for(&mut planner, HOUR);

    assert_eq!(sim.accepted_moves, 0);
}

#[test]
fn a_vm_that_is_listed_as_live_and_answers_nothing_is_down_after_a_time() {
    let (mut sim, mut planner) = filled_fleet();
    let silent = sim.vms_in_pool("red-pool")[0].clone();
    sim.vms[&silent].serves = false;

    sim.run_for(&mut planner, MINUTE);
    let early = sim.state.facts().down.len();
    sim.run_for(&mut planner, 2 * MINUTE);

    assert_eq!(early, 0);
    assert!(sim.state.facts().down.contains(&silent));
}

#[test]
fn vms_of_a_data_centre_that_is_cut_off_are_not_taken_to_be_down() {
    let (mut sim, mut planner) = filled_fleet();
    sim.unreachable.insert(DataCentre::new("b"));

    sim.run_for(&mut planner, HOUR);

    assert!(sim.state.facts().down.is_empty());
}

#[test]
fn more_losses_than_the_buffer_is_sized_for_are_replaced_slowly() {
    let (mut sim, mut planner) = filled_fleet();
    let lost: Vec<VmId> = sim
        .vms
        .values()
        .filter(|vm| vm.listed.data_centre.as_str() == "a")
        .map(|vm| vm.listed.id.clone())
        .take(8)
        .collect();
    sim.fail_vms(|vm| lost.contains(&vm.id));

    sim.run_for(&mut planner, 5 * MINUTE);

    let out = lost
        .iter()
        .filter(|vm| !sim.state.facts().assignment.contains_key(*vm));
    assert!(out.count() <= 5, "a buffer of four and one more");
}

#[test]
fn a_vm_that_goes_down_again_and_again_is_held_back() {
    let (mut sim, mut planner) = filled_fleet();
    let bad = sim.vms_in_pool("red-pool")[0].clone();
    for _ in 0..3 {
        sim.fail_vms(|vm| vm.id == bad);
        sim.run_until(&mut planner, HOUR, |sim| {
            sim.state.facts().down.contains(&bad)
        });
        sim.run_for(&mut planner, 2 * MINUTE);
        sim.return_all();
        sim.run_until(&mut planner, HOUR, |sim| sim.state.facts().down.is_empty());
        sim.run_for(&mut planner, MINUTE);
    }

    let held_back = !sim.state.facts().assignment.contains_key(&bad);
    sim.run_for(&mut planner, 2 * HOUR);

    assert!(held_back, "given a place after three losses");
    assert!(
        sim.vms_in_pool("spare").contains(&&bad),
        "never given a place again"
    );
}

#[test]
fn while_the_log_is_away_no_stop_begins_and_drained_ones_are_finished() {
    let (mut sim, mut planner) = fleet_due();
    sim.run_until(&mut planner, HOUR, |sim| !leaving(sim).is_empty());
    let begun = leaving(&sim);
    let open: Vec<VmId> = sim.state.facts().stops.keys().cloned().collect();
    sim.log_up = false;

    sim.run_for(&mut planner, HOUR);

    let rebooted: Vec<VmId> = sim
        .vms
        .iter()
        .filter(|(_, vm)| vm.reboots > 0)
        .map(|(vm, _)| vm.clone())
        .collect();
    assert!(begun.iter().all(|vm| rebooted.contains(vm)), "{begun:?}");
    assert!(rebooted.iter().all(|vm| open.contains(vm)), "{rebooted:?}");
    assert!(leaving(&sim).is_empty());
    sim.log_up = true;
    sim.run_until(&mut planner, 4 * HOUR, Simulation::all_rebooted);
    assert_eq!((most_reboots(&sim), interrupting_reboots(&sim)), (1, 0));
}

#[test]
fn calls_that_are_lost_on_the_way_are_made_again() {
    let (mut sim, mut planner) = fleet_due();
    sim.calls_to_drop = 20;

    sim.run_until(&mut planner, 4 * HOUR, Simulation::all_rebooted);

    assert_eq!((most_reboots(&sim), interrupting_reboots(&sim)), (1, 0));
}

#[test]
fn stops_carry_the_generation_that_the_platform_had() {
    let (mut sim, mut planner) = fleet_due();
    let late = sim.list();
    let vm = VmId::new("a-executor-0");
    sim.change_vm(&vm, Generation(0), VmPhase::Leaving);
    sim.change_vm(&vm, Generation(1), VmPhase::Live);
    sim.list = ListBehaviour::Stale(late);

    sim.run_until(&mut planner, MINUTE, |sim| {
        sim.state.facts().stops.contains_key(&vm)
    });

    let stop = sim.state.facts().stops[&vm];
    assert_eq!(
        (stop.reason, stop.generation),
        (StopReason::Maintenance, Generation(2))
    );
}

#[rstest]
#[case::drained(VmPhase::Leaving, 4, 0, "Wait")]
#[case::drained_by_another(VmPhase::Leaving, 6, 0, "Resolve")]
#[case::rebooted_before(VmPhase::Live, 3, 3, "Drain")]
#[case::rebooted_since(VmPhase::Live, 5, 5, "Wait")]
#[case::restored(VmPhase::Live, 5, 0, "Resolve")]
#[case::down_when_drained(VmPhase::Down, 4, 0, "Reboot")]
#[case::down_by_another(VmPhase::Down, 6, 0, "Resolve")]
fn the_generation_decides_the_next_action(
    #[case] phase: VmPhase,
    #[case] generation: u64,
    #[case] rebooted: u64,
    #[case] expected: &str,
) {
    let now = std::time::Instant::now();
    let stop = PlannedStop {
        reason: StopReason::Maintenance,
        generation: Generation(3),
    };
    let observation = VmObservation {
        report: VmReport {
            phase,
            generation: Generation(generation),
            rebooted: Generation(rebooted),
            running: 0,
        },
        serves: true,
        job: None,
        log_verified: true,
    };

    let action = StopProgress::new(now).next_action(&stop, &observation, now);

    assert!(format!("{action:?}").starts_with(expected), "{action:?}");
}
