//! Faults in the middle of maintenance and repair, in virtual time.

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
    hex::encode(&example::operator(name).public())
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

/// Two pools of 16 VMs over two data centres, and a spare of six in each.
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

/// A fleet in place, with its planner.
fn filled_fleet() -> (Simulation, SimulatedPlanner) {
    let mut simulation = Simulation::new(edits());
    let mut planner = simulation.start_planner();
    simulation.run_until(&mut planner, MINUTE, Simulation::is_filled);
    simulation.accepted_moves = 0;
    (simulation, planner)
}

/// A fleet in place whose VMs are all due.
fn fleet_due() -> (Simulation, SimulatedPlanner) {
    let (mut simulation, planner) = filled_fleet();
    simulation.skip_cycle();
    (simulation, planner)
}

/// A wave with stops in progress.
fn mid_wave() -> (Simulation, SimulatedPlanner) {
    let (mut simulation, mut planner) = fleet_due();
    simulation.run_until(&mut planner, HOUR, |simulation| {
        reboots(simulation) >= 6 && open_stops(simulation) > 0
    });
    (simulation, planner)
}

fn reboots(simulation: &Simulation) -> u32 {
    simulation
        .vms
        .values()
        .map(|simulated| simulated.reboots)
        .sum()
}

fn interrupting_reboots(simulation: &Simulation) -> u32 {
    simulation
        .vms
        .values()
        .map(|simulated| simulated.interrupting_reboots)
        .sum()
}

fn open_stops(simulation: &Simulation) -> usize {
    simulation.state.facts().stops.len()
}

fn most_reboots(simulation: &Simulation) -> u32 {
    let vms = simulation.vms.values();
    vms.map(|simulated| simulated.reboots).max().unwrap_or(0)
}

fn first_stop(simulation: &Simulation) -> VmId {
    let open_stops = &simulation.state.facts().stops;
    open_stops.keys().next().expect("a stop").clone()
}

fn leaving(simulation: &Simulation) -> Vec<VmId> {
    let vms = simulation.vms.iter();
    let leaving = vms.filter(|(_, simulated)| simulated.listed.phase == VmPhase::Leaving);
    leaving.map(|(vm, _)| vm.clone()).collect()
}

#[test]
fn every_vm_is_rebooted_once_a_cycle_and_none_before() {
    let (mut simulation, mut planner) = filled_fleet();
    simulation.run_for(&mut planner, HOUR);
    let early = reboots(&simulation);
    simulation.skip_cycle();

    simulation.run_until(&mut planner, 4 * HOUR, Simulation::all_rebooted);
    simulation.run_for(&mut planner, HOUR);

    assert_eq!(
        (
            early,
            most_reboots(&simulation),
            interrupting_reboots(&simulation)
        ),
        (0, 1, 0)
    );
    assert_eq!(simulation.accepted_moves, 0);
    assert!(simulation.most_out > 1, "one VM at a time");
}

#[test]
fn the_rack_of_the_vm_whose_cycle_began_first_goes_first() {
    let (simulation, planner) = filled_fleet();
    for late in ["a-executor-0", "a-executor-9", "a-executor-21"].map(VmId::new) {
        let mut fleet = simulation.fleet();
        fleet
            .cycles
            .values_mut()
            .for_each(|start| *start = 10 * DAY_S);
        fleet.cycles[&late] = DAY_S;

        let starts = planner
            .vm_planner
            .vms_to_stop(&fleet, simulation.now, 100 * DAY_S);

        assert_eq!(starts.first(), Some(&late), "{starts:?}");
    }
}

#[test]
fn a_rack_lost_in_mid_wave_stops_the_wave_and_is_replaced_from_the_spare() {
    let (mut simulation, mut planner) = mid_wave();
    let data_centre = simulation.vms[&first_stop(&simulation)]
        .listed
        .data_centre
        .clone();
    let is_local =
        |vm: &VmId, simulation: &Simulation| simulation.vms[vm].listed.data_centre == data_centre;
    let rack = simulation
        .vms
        .values()
        .find(|simulated| {
            simulated.listed.data_centre == data_centre
                && simulated.reboots == 0
                && simulated.listed.phase == VmPhase::Live
        })
        .map(|simulated| simulated.listed.rack.clone())
        .expect("a rack");
    simulation.fail_vms(|vm| vm.rack == rack);

    simulation.run_until(&mut planner, HOUR, |simulation| {
        simulation.state.facts().down.len() == 4
    });
    let before = simulation.state.facts().stops.clone();
    simulation.run_for(&mut planner, MINUTE / 2);
    let open_stops = simulation.state.facts().stops.keys();
    let begun = open_stops
        .filter(|vm| is_local(vm, &simulation) && !before.contains_key(*vm))
        .count();
    simulation.run_for(&mut planner, 5 * MINUTE);

    assert_eq!(begun, 0, "stops in the data centre of the lost rack");
    let facts = simulation.state.facts();
    let serving = facts.assignment.iter().filter(|(vm, pool)| {
        pool.as_str() != "spare" && simulation.vms[*vm].listed.phase != VmPhase::Down
    });
    assert_eq!(serving.count() + stops_down(&simulation), 32);
    assert!(
        simulation.accepted_moves <= 8,
        "{} moves for 4 lost VMs",
        simulation.accepted_moves
    );
    assert_eq!(interrupting_reboots(&simulation), 0);
}

fn stops_down(simulation: &Simulation) -> usize {
    let facts = simulation.state.facts();
    let open_stops = facts.stops.keys().filter(|vm| {
        let pool = facts.assignment.get(*vm);
        pool.is_some_and(|pool| pool.as_str() != "spare")
            && simulation.vms[*vm].listed.phase == VmPhase::Down
    });
    open_stops.count()
}

#[test]
fn a_vm_that_returns_goes_to_the_spare() {
    let (mut simulation, mut planner) = filled_fleet();
    let lost = simulation.vms_in_pool("red-pool")[0].clone();
    simulation.fail_vms(|vm| vm.id == lost);
    simulation.run_until(&mut planner, HOUR, |simulation| {
        !simulation.vms_in_pool("red-pool").contains(&&lost)
    });
    simulation.run_until(&mut planner, MINUTE, |simulation| {
        simulation.vms_in_pool("red-pool").len() == 16
    });

    simulation.return_all();
    simulation.run_until(&mut planner, HOUR, Simulation::is_filled);

    assert!(simulation.vms_in_pool("spare").contains(&&lost));
    assert_eq!(simulation.accepted_moves, 3);
}

#[test]
fn of_two_active_planners_the_first_is_fenced_off() {
    let (mut simulation, mut first) = fleet_due();
    simulation.run_for(&mut first, MINUTE);
    let mut second = simulation.start_planner();

    for _ in 0..7_200 {
        for call in simulation.decide(&mut first) {
            simulation.perform(&call);
        }
        simulation.run_round(&mut second);
    }

    assert!(simulation.all_rebooted());
    assert_eq!(
        (most_reboots(&simulation), interrupting_reboots(&simulation)),
        (1, 0)
    );
}

#[test]
fn lost_vms_without_replacement_halt_the_wave() {
    let (mut simulation, mut planner) = mid_wave();
    let data_centre = DataCentre::new("a");
    let spare: Vec<VmId> = simulation
        .vms_in_pool("spare")
        .into_iter()
        .cloned()
        .collect();
    let lost = simulation.vms_in_pool("red-pool")[0].clone();
    let rack = simulation.vms[&lost].listed.rack.clone();
    simulation.fail_vms(|vm| spare.contains(&vm.id) || vm.rack == rack);
    simulation.run_for(&mut planner, 3 * MINUTE);
    let before = reboots(&simulation);
    let vms = simulation.vms.values();
    let fleet_due =
        vms.filter(|simulated| simulated.listed.phase == VmPhase::Live && simulated.reboots == 0);
    assert!(fleet_due.count() > 0, "VMs that are still due");

    simulation.run_for(&mut planner, HOUR);

    let facts = simulation.state.facts();
    let kept = facts
        .down
        .iter()
        .filter(|vm| facts.assignment.contains_key(*vm));
    let is_local = |vm: &VmId| simulation.vms[vm].listed.data_centre == data_centre;
    let open_stops = facts.stops.keys().filter(|vm| is_local(vm)).count();
    assert!(kept.filter(|vm| is_local(vm)).count() > 0);
    assert_eq!((open_stops, reboots(&simulation)), (0, before));
}

#[test]
fn a_stop_accepted_just_before_the_log_went_away_waits_for_it() {
    let (mut simulation, mut planner) = fleet_due();
    simulation.run_until(&mut planner, MINUTE, |simulation| {
        open_stops(simulation) > 0
    });
    assert!(leaving(&simulation).is_empty());
    simulation.log_up = false;

    simulation.run_for(&mut planner, HOUR);

    assert!(leaving(&simulation).is_empty());
    assert_eq!(reboots(&simulation), 0);
    simulation.log_up = true;
    simulation.run_until(&mut planner, 4 * HOUR, Simulation::all_rebooted);
}

/// A call that a planner decided on before it was frozen, and the planner that replaced it.
fn run_past_frozen_planner(
    pick: impl Fn(&StopAction) -> bool,
) -> (Simulation, crate::simulation::PlannedCall) {
    let (mut simulation, mut first) = fleet_due();
    let call = loop {
        let calls = simulation.decide(&mut first);
        if let Some(call) = calls.iter().find(|call| pick(&call.action)) {
            break call.clone();
        }
        for call in &calls {
            simulation.perform(call);
        }
        simulation.advance();
    };
    let mut second = simulation.start_planner();
    simulation.run_until(&mut second, 4 * HOUR, Simulation::all_rebooted);
    (simulation, call)
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
        let (mut simulation, call) = run_past_frozen_planner(pick);
        simulation.fences = Fences {
            check_fold,
            check_generation,
        };

        simulation.perform(&call);

        assert!(leaving(&simulation).is_empty(), "{call:?}");
        assert_eq!(most_reboots(&simulation), 1, "{call:?}");
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
    let (mut simulation, _) = mid_wave();
    let begun: Vec<VmId> = simulation.state.facts().stops.keys().cloned().collect();
    let mut second = simulation.start_planner();

    simulation.run_until(&mut second, HOUR, |simulation| {
        begun
            .iter()
            .all(|vm| !simulation.state.facts().stops.contains_key(vm))
    });

    assert!(begun.iter().all(|vm| simulation.vms[vm].reboots == 1));
}

#[test]
fn a_reboot_that_never_returns_ends_as_failed_and_is_replaced() {
    let (mut simulation, mut planner) = fleet_due();
    let dead = simulation.vms_in_pool("red-pool")[0].clone();
    simulation.vms[&dead].returns = false;

    simulation.run_until(&mut planner, 6 * HOUR, |simulation| {
        simulation.state.facts().failed.contains(&dead)
    });
    simulation.run_until(&mut planner, HOUR, |simulation| {
        let pool = simulation.vms_in_pool("red-pool");
        pool.len() == 16 && !pool.contains(&&dead)
    });

    assert_eq!(most_reboots(&simulation), 1);
}

#[test]
fn no_further_stops_after_two_vms_do_not_return() {
    let (mut simulation, mut planner) = fleet_due();
    for simulated in simulation.vms.values_mut() {
        simulated.returns = false;
    }

    simulation.run_for(&mut planner, 2 * HOUR);

    let out = reboots(&simulation);
    assert!(out <= 8, "{out} VMs lost to maintenance");
    assert!(simulation.state.facts().failed.len() >= 2);
}

#[test]
fn a_drain_that_never_ends_is_given_up_without_a_reboot() {
    let (mut simulation, mut planner) = fleet_due();
    let busy = VmId::new("a-executor-0");
    simulation.vms[&busy].running = 1;

    simulation.run_until(&mut planner, HOUR, |simulation| {
        simulation.state.facts().stops.contains_key(&busy)
    });
    simulation.run_until(&mut planner, HOUR, |simulation| {
        !simulation.state.facts().stops.contains_key(&busy)
    });

    let simulated = &simulation.vms[&busy];
    assert_eq!(
        (simulated.listed.phase, simulated.reboots),
        (VmPhase::Live, 0)
    );
    assert_eq!(interrupting_reboots(&simulation), 0);
    simulation.vms[&busy].running = 0;
    simulation.run_until(&mut planner, 8 * HOUR, Simulation::all_rebooted);
}

#[test]
fn an_operator_who_restores_a_vm_in_a_stop_ends_it() {
    let (mut simulation, mut planner) = fleet_due();
    let vm = VmId::new("a-executor-0");
    simulation.run_until(&mut planner, HOUR, |simulation| {
        leaving(simulation).contains(&vm)
    });
    let generation = simulation.vms[&vm].listed.generation;

    simulation.change_vm(&vm, generation, VmPhase::Live);
    simulation.run_until(&mut planner, MINUTE, |simulation| {
        !simulation.state.facts().stops.contains_key(&vm)
    });

    assert_eq!(simulation.vms[&vm].reboots, 0);
    assert_eq!(simulation.vms[&vm].listed.generation, Generation(2));
}

#[test]
fn an_operator_who_shrinks_a_pool_in_mid_wave_breaks_no_budget() {
    let (mut simulation, mut planner) = mid_wave();
    simulation.edit(edit("red", 1, &red_text(4), "red-ops"));

    simulation.run_until(&mut planner, 6 * HOUR, |simulation| {
        simulation.vms_in_pool("red-pool").len() == 12 && simulation.all_rebooted()
    });

    assert_eq!(interrupting_reboots(&simulation), 0);
}

#[rstest]
#[case::empty(ListBehaviour::Empty)]
#[case::short(ListBehaviour::Truncated(3))]
#[case::doubled(ListBehaviour::Doubled)]
fn a_wrong_list_moves_nothing(#[case] list: ListBehaviour) {
    let (mut simulation, mut planner) = filled_fleet();
    simulation.list = list;

    simulation.run_for(&mut planner, HOUR);

    assert_eq!(
        (
            simulation.accepted_moves,
            simulation.state.facts().down.len()
        ),
        (0, 0)
    );
}

#[test]
fn a_stale_list_does_not_hide_what_checks_find_nor_move_what_they_do_not() {
    let (mut simulation, mut planner) = filled_fleet();
    simulation.list = ListBehaviour::Stale(simulation.list());
    let lost = simulation.vms_in_pool("red-pool")[0].clone();
    simulation.fail_vms(|vm| vm.id == lost);

    simulation.run_for(&mut planner, 10 * MINUTE);

    let down: Vec<&VmId> = simulation.state.facts().down.iter().collect();
    assert_eq!(down, [&lost]);
    assert_eq!(simulation.accepted_moves, 2);
}

#[rstest]
#[case::with_list(ListBehaviour::Accurate)]
#[case::with_empty_list(ListBehaviour::Empty)]
fn a_data_centre_that_is_cut_off_is_not_replaced(#[case] list: ListBehaviour) {
    let (mut simulation, mut planner) = filled_fleet();
    simulation.unreachable.insert(DataCentre::new("b"));
    simulation.list = list;

    simulation.run_for(&mut planner, HOUR);

    assert_eq!(simulation.accepted_moves, 0);
}

#[test]
fn a_vm_that_is_listed_as_live_and_answers_nothing_is_down_after_a_time() {
    let (mut simulation, mut planner) = filled_fleet();
    let silent = simulation.vms_in_pool("red-pool")[0].clone();
    simulation.vms[&silent].serves = false;

    simulation.run_for(&mut planner, MINUTE);
    let early = simulation.state.facts().down.len();
    simulation.run_for(&mut planner, 2 * MINUTE);

    assert_eq!(early, 0);
    assert!(simulation.state.facts().down.contains(&silent));
}

#[test]
fn vms_of_a_data_centre_that_is_cut_off_are_not_taken_to_be_down() {
    let (mut simulation, mut planner) = filled_fleet();
    simulation.unreachable.insert(DataCentre::new("b"));

    simulation.run_for(&mut planner, HOUR);

    assert!(simulation.state.facts().down.is_empty());
}

#[test]
fn more_losses_than_the_buffer_is_sized_for_are_replaced_slowly() {
    let (mut simulation, mut planner) = filled_fleet();
    let lost: Vec<VmId> = simulation
        .vms
        .values()
        .filter(|simulated| simulated.listed.data_centre.as_str() == "a")
        .map(|simulated| simulated.listed.id.clone())
        .take(8)
        .collect();
    simulation.fail_vms(|vm| lost.contains(&vm.id));

    simulation.run_for(&mut planner, 5 * MINUTE);

    let out = lost
        .iter()
        .filter(|vm| !simulation.state.facts().assignment.contains_key(*vm));
    assert!(out.count() <= 5, "a buffer of four and one more");
}

#[test]
fn a_vm_that_goes_down_again_and_again_is_held_back() {
    let (mut simulation, mut planner) = filled_fleet();
    let bad = simulation.vms_in_pool("red-pool")[0].clone();
    for _ in 0..3 {
        simulation.fail_vms(|vm| vm.id == bad);
        simulation.run_until(&mut planner, HOUR, |simulation| {
            simulation.state.facts().down.contains(&bad)
        });
        simulation.run_for(&mut planner, 2 * MINUTE);
        simulation.return_all();
        simulation.run_until(&mut planner, HOUR, |simulation| {
            simulation.state.facts().down.is_empty()
        });
        simulation.run_for(&mut planner, MINUTE);
    }

    let held = !simulation.state.facts().assignment.contains_key(&bad);
    simulation.run_for(&mut planner, 2 * HOUR);

    assert!(held, "given a place after three losses");
    assert!(
        simulation.vms_in_pool("spare").contains(&&bad),
        "never given a place again"
    );
}

#[test]
fn while_the_log_is_away_no_stop_begins_and_drained_ones_are_finished() {
    let (mut simulation, mut planner) = fleet_due();
    simulation.run_until(&mut planner, HOUR, |simulation| {
        !leaving(simulation).is_empty()
    });
    let begun = leaving(&simulation);
    let open: Vec<VmId> = simulation.state.facts().stops.keys().cloned().collect();
    simulation.log_up = false;

    simulation.run_for(&mut planner, HOUR);

    let rebooted: Vec<VmId> = simulation
        .vms
        .iter()
        .filter(|(_, simulated)| simulated.reboots > 0)
        .map(|(vm, _)| vm.clone())
        .collect();
    assert!(begun.iter().all(|vm| rebooted.contains(vm)), "{begun:?}");
    assert!(rebooted.iter().all(|vm| open.contains(vm)), "{rebooted:?}");
    assert!(leaving(&simulation).is_empty());
    simulation.log_up = true;
    simulation.run_until(&mut planner, 4 * HOUR, Simulation::all_rebooted);
    assert_eq!(
        (most_reboots(&simulation), interrupting_reboots(&simulation)),
        (1, 0)
    );
}

#[test]
fn calls_that_are_lost_on_the_way_are_made_again() {
    let (mut simulation, mut planner) = fleet_due();
    simulation.calls_to_drop = 20;

    simulation.run_until(&mut planner, 4 * HOUR, Simulation::all_rebooted);

    assert_eq!(
        (most_reboots(&simulation), interrupting_reboots(&simulation)),
        (1, 0)
    );
}

#[test]
fn stops_carry_the_generation_that_the_platform_had() {
    let (mut simulation, mut planner) = fleet_due();
    let late = simulation.list();
    let vm = VmId::new("a-executor-0");
    simulation.change_vm(&vm, Generation(0), VmPhase::Leaving);
    simulation.change_vm(&vm, Generation(1), VmPhase::Live);
    simulation.list = ListBehaviour::Stale(late);

    simulation.run_until(&mut planner, MINUTE, |simulation| {
        simulation.state.facts().stops.contains_key(&vm)
    });

    let stop = simulation.state.facts().stops[&vm];
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
    let sight = VmObservation {
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

    let action = StopProgress::new(now).next_action(&stop, &sight, now);

    assert!(format!("{action:?}").starts_with(expected), "{action:?}");
}
