//! Faults in the middle of maintenance and repair, in virtual time.

use std::time::Duration;

use amaranthwick::document::{example, hex};
use amaranthwick::id::{DataCentre, Generation, VmId};
use amaranthwick::ledger::{Edit, PlannedStop, StopReason};
use amaranthwick::planner::{Action, Progress, Sight};
use amaranthwick::services::{VmPhase, VmReport};
use rstest::rstest;

use crate::world::{Fences, List, Node, World, edit, first_edit};

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
fn placed() -> (World, Node) {
    let mut world = World::open(edits());
    let mut node = world.node();
    world.run(&mut node, MINUTE, World::is_filled);
    world.moves = 0;
    (world, node)
}

/// A fleet in place whose VMs are all due.
fn due() -> (World, Node) {
    let (mut world, node) = placed();
    world.pass_cycle();
    (world, node)
}

/// A wave with stops in progress.
fn mid_wave() -> (World, Node) {
    let (mut world, mut node) = due();
    world.run(&mut node, HOUR, |world| {
        reboots(world) >= 6 && stops(world) > 0
    });
    (world, node)
}

fn reboots(world: &World) -> u32 {
    world.machines.values().map(|machine| machine.reboots).sum()
}

fn cuts(world: &World) -> u32 {
    world.machines.values().map(|machine| machine.cuts).sum()
}

fn stops(world: &World) -> usize {
    world.state.facts().stops.len()
}

fn most_reboots(world: &World) -> u32 {
    let machines = world.machines.values();
    machines.map(|machine| machine.reboots).max().unwrap_or(0)
}

fn first_stop(world: &World) -> VmId {
    let stops = &world.state.facts().stops;
    stops.keys().next().expect("a stop").clone()
}

fn leaving(world: &World) -> Vec<VmId> {
    let machines = world.machines.iter();
    let leaving = machines.filter(|(_, machine)| machine.vm.phase == VmPhase::Leaving);
    leaving.map(|(vm, _)| vm.clone()).collect()
}

#[test]
fn every_vm_is_rebooted_once_a_cycle_and_none_before() {
    let (mut world, mut node) = placed();
    world.pass(&mut node, HOUR);
    let early = reboots(&world);
    world.pass_cycle();

    world.run(&mut node, 4 * HOUR, World::all_rebooted);
    world.pass(&mut node, HOUR);

    assert_eq!((early, most_reboots(&world), cuts(&world)), (0, 1, 0));
    assert_eq!(world.moves, 0);
    assert!(world.most_out > 1, "one VM at a time");
}

#[test]
fn the_rack_of_the_vm_whose_cycle_began_first_goes_first() {
    let (world, node) = placed();
    for late in ["a-executor-0", "a-executor-9", "a-executor-21"].map(VmId::new) {
        let mut fleet = world.fleet();
        fleet
            .cycles
            .values_mut()
            .for_each(|start| *start = 10 * DAY_S);
        fleet.cycles[&late] = DAY_S;

        let starts = node.decisions.starts(&fleet, world.now, 100 * DAY_S);

        assert_eq!(starts.first(), Some(&late), "{starts:?}");
    }
}

#[test]
fn a_rack_lost_in_mid_wave_stops_the_wave_and_is_replaced_from_the_spare() {
    let (mut world, mut node) = mid_wave();
    let lost = world.machines[&first_stop(&world)].vm.data_centre.clone();
    let home = |vm: &VmId, world: &World| world.machines[vm].vm.data_centre == lost;
    let rack = world
        .machines
        .values()
        .find(|m| m.vm.data_centre == lost && m.reboots == 0 && m.vm.phase == VmPhase::Live)
        .map(|m| m.vm.rack.clone())
        .expect("a rack");
    world.fail(|vm| vm.rack == rack);

    world.run(&mut node, HOUR, |world| world.state.facts().down.len() == 4);
    let before = world.state.facts().stops.clone();
    world.pass(&mut node, MINUTE / 2);
    let stops = world.state.facts().stops.keys();
    let begun = stops
        .filter(|vm| home(vm, &world) && !before.contains_key(*vm))
        .count();
    world.pass(&mut node, 5 * MINUTE);

    assert_eq!(begun, 0, "stops in the data centre of the lost rack");
    let facts = world.state.facts();
    let serving = facts.assignment.iter().filter(|(vm, pool)| {
        pool.as_str() != "spare" && world.machines[*vm].vm.phase != VmPhase::Down
    });
    assert_eq!(serving.count() + stops_down(&world), 32);
    assert!(world.moves <= 8, "{} moves for 4 lost VMs", world.moves);
    assert_eq!(cuts(&world), 0);
}

fn stops_down(world: &World) -> usize {
    let facts = world.state.facts();
    let stops = facts.stops.keys().filter(|vm| {
        let pool = facts.assignment.get(*vm);
        pool.is_some_and(|pool| pool.as_str() != "spare")
            && world.machines[*vm].vm.phase == VmPhase::Down
    });
    stops.count()
}

#[test]
fn a_vm_that_returns_goes_to_the_spare() {
    let (mut world, mut node) = placed();
    let lost = world.in_pool("red-pool")[0].clone();
    world.fail(|vm| vm.id == lost);
    world.run(&mut node, HOUR, |world| {
        !world.in_pool("red-pool").contains(&&lost)
    });
    world.run(&mut node, MINUTE, |world| {
        world.in_pool("red-pool").len() == 16
    });

    world.repair();
    world.run(&mut node, HOUR, World::is_filled);

    assert!(world.in_pool("spare").contains(&&lost));
    assert_eq!(world.moves, 3);
}

#[test]
fn of_two_planners_the_first_is_fenced() {
    let (mut world, mut first) = due();
    world.pass(&mut first, MINUTE);
    let mut second = world.node();

    for _ in 0..7_200 {
        for call in world.decide(&mut first) {
            world.perform(&call);
        }
        world.round(&mut second);
    }

    assert!(world.all_rebooted());
    assert_eq!((most_reboots(&world), cuts(&world)), (1, 0));
}

#[test]
fn lost_vms_that_nothing_replaces_hold_the_wave_up() {
    let (mut world, mut node) = mid_wave();
    let home = DataCentre::new("a");
    let spare: Vec<VmId> = world.in_pool("spare").into_iter().cloned().collect();
    let lost = world.in_pool("red-pool")[0].clone();
    let rack = world.machines[&lost].vm.rack.clone();
    world.fail(|vm| spare.contains(&vm.id) || vm.rack == rack);
    world.pass(&mut node, 3 * MINUTE);
    let before = reboots(&world);
    let machines = world.machines.values();
    let due = machines.filter(|m| m.vm.phase == VmPhase::Live && m.reboots == 0);
    assert!(due.count() > 0, "VMs that are still due");

    world.pass(&mut node, HOUR);

    let facts = world.state.facts();
    let kept = facts
        .down
        .iter()
        .filter(|vm| facts.assignment.contains_key(*vm));
    let local = |vm: &VmId| world.machines[vm].vm.data_centre == home;
    let stops = facts.stops.keys().filter(|vm| local(vm)).count();
    assert!(kept.filter(|vm| local(vm)).count() > 0);
    assert_eq!((stops, reboots(&world)), (0, before));
}

#[test]
fn a_stop_accepted_just_before_the_log_went_away_waits_for_it() {
    let (mut world, mut node) = due();
    world.run(&mut node, MINUTE, |world| stops(world) > 0);
    assert!(leaving(&world).is_empty());
    world.log_up = false;

    world.pass(&mut node, HOUR);

    assert!(leaving(&world).is_empty());
    assert_eq!(reboots(&world), 0);
    world.log_up = true;
    world.run(&mut node, 4 * HOUR, World::all_rebooted);
}

/// A call that a planner decided on before it was frozen, and the planner that replaced it.
fn frozen(pick: impl Fn(&Action) -> bool) -> (World, crate::world::Call) {
    let (mut world, mut first) = due();
    let call = loop {
        let calls = world.decide(&mut first);
        if let Some(call) = calls.iter().find(|call| pick(&call.action)) {
            break call.clone();
        }
        for call in &calls {
            world.perform(call);
        }
        world.advance();
    };
    let mut second = world.node();
    world.run(&mut second, 4 * HOUR, World::all_rebooted);
    (world, call)
}

#[rstest]
#[case::fold_alone(true, false)]
#[case::condition_alone(false, true)]
#[case::both(true, true)]
fn a_planner_frozen_before_a_call_acts_in_vain(#[case] fold: bool, #[case] condition: bool) {
    for pick in [is_drain, is_reboot] {
        let (mut world, call) = frozen(pick);
        world.fences = Fences { fold, condition };

        world.perform(&call);

        assert!(leaving(&world).is_empty(), "{call:?}");
        assert_eq!(most_reboots(&world), 1, "{call:?}");
    }
}

const fn is_drain(action: &Action) -> bool {
    matches!(action, Action::Drain(_))
}

const fn is_reboot(action: &Action) -> bool {
    matches!(action, Action::Reboot(_))
}

#[test]
fn a_new_planner_takes_the_stops_of_the_last_one_on() {
    let (mut world, _) = mid_wave();
    let begun: Vec<VmId> = world.state.facts().stops.keys().cloned().collect();
    let mut second = world.node();

    world.run(&mut second, HOUR, |world| {
        begun
            .iter()
            .all(|vm| !world.state.facts().stops.contains_key(vm))
    });

    assert!(begun.iter().all(|vm| world.machines[vm].reboots == 1));
}

#[test]
fn a_reboot_that_never_returns_ends_as_failed_and_is_replaced() {
    let (mut world, mut node) = due();
    let dead = world.in_pool("red-pool")[0].clone();
    world.machines[&dead].returns = false;

    world.run(&mut node, 6 * HOUR, |world| {
        world.state.facts().failed_stops.contains(&dead)
    });
    world.run(&mut node, HOUR, |world| {
        let pool = world.in_pool("red-pool");
        pool.len() == 16 && !pool.contains(&&dead)
    });

    assert_eq!(most_reboots(&world), 1);
}

#[test]
fn a_wave_ends_when_two_vms_do_not_return() {
    let (mut world, mut node) = due();
    for machine in world.machines.values_mut() {
        machine.returns = false;
    }

    world.pass(&mut node, 2 * HOUR);

    let out = reboots(&world);
    assert!(out <= 8, "{out} VMs lost to maintenance");
    assert!(world.state.facts().failed_stops.len() >= 2);
}

#[test]
fn a_drain_that_never_ends_is_given_up_without_a_cut() {
    let (mut world, mut node) = due();
    let busy = VmId::new("a-executor-0");
    world.machines[&busy].running = 1;

    world.run(&mut node, HOUR, |world| {
        world.state.facts().stops.contains_key(&busy)
    });
    world.run(&mut node, HOUR, |world| {
        !world.state.facts().stops.contains_key(&busy)
    });

    let machine = &world.machines[&busy];
    assert_eq!((machine.vm.phase, machine.reboots), (VmPhase::Live, 0));
    assert_eq!(cuts(&world), 0);
    world.machines[&busy].running = 0;
    world.run(&mut node, 8 * HOUR, World::all_rebooted);
}

#[test]
fn an_operator_who_restores_a_vm_in_a_stop_ends_it() {
    let (mut world, mut node) = due();
    let vm = VmId::new("a-executor-0");
    world.run(&mut node, HOUR, |world| leaving(world).contains(&vm));
    let generation = world.machines[&vm].vm.generation;

    world.change(&vm, generation, VmPhase::Live);
    world.run(&mut node, MINUTE, |world| {
        !world.state.facts().stops.contains_key(&vm)
    });

    assert_eq!(world.machines[&vm].reboots, 0);
    assert_eq!(world.machines[&vm].vm.generation, Generation(2));
}

#[test]
fn an_operator_who_shrinks_a_pool_in_mid_wave_breaks_no_budget() {
    let (mut world, mut node) = mid_wave();
    world.edit(edit("red", 1, &red_text(4), "red-ops"));

    world.run(&mut node, 6 * HOUR, |world| {
        world.in_pool("red-pool").len() == 12 && world.all_rebooted()
    });

    assert_eq!(cuts(&world), 0);
}

#[rstest]
#[case::empty(List::Empty)]
#[case::short(List::Short(3))]
#[case::doubled(List::Doubled)]
fn a_wrong_list_moves_nothing(#[case] list: List) {
    let (mut world, mut node) = placed();
    world.list = list;

    world.pass(&mut node, HOUR);

    assert_eq!((world.moves, world.state.facts().down.len()), (0, 0));
}

#[test]
fn a_stale_list_does_not_hide_what_checks_find_nor_move_what_they_do_not() {
    let (mut world, mut node) = placed();
    world.list = List::Stale(world.list());
    let lost = world.in_pool("red-pool")[0].clone();
    world.fail(|vm| vm.id == lost);

    world.pass(&mut node, 10 * MINUTE);

    let down: Vec<&VmId> = world.state.facts().down.iter().collect();
    assert_eq!(down, [&lost]);
    assert_eq!(world.moves, 2);
}

#[rstest]
#[case::with_list(List::True)]
#[case::with_empty_list(List::Empty)]
fn a_data_centre_that_is_cut_off_is_not_replaced(#[case] list: List) {
    let (mut world, mut node) = placed();
    world.cut.insert(DataCentre::new("b"));
    world.list = list;

    world.pass(&mut node, HOUR);

    assert_eq!(world.moves, 0);
}

#[test]
fn a_vm_that_is_listed_as_live_and_answers_nothing_is_down_after_a_time() {
    let (mut world, mut node) = placed();
    let silent = world.in_pool("red-pool")[0].clone();
    world.machines[&silent].serves = false;

    world.pass(&mut node, MINUTE);
    let early = world.state.facts().down.len();
    world.pass(&mut node, 2 * MINUTE);

    assert_eq!(early, 0);
    assert!(world.state.facts().down.contains(&silent));
}

#[test]
fn vms_of_a_data_centre_that_is_cut_off_are_not_taken_to_be_down() {
    let (mut world, mut node) = placed();
    world.cut.insert(DataCentre::new("b"));

    world.pass(&mut node, HOUR);

    assert!(world.state.facts().down.is_empty());
}

#[test]
fn more_losses_than_the_buffer_is_sized_for_are_replaced_slowly() {
    let (mut world, mut node) = placed();
    let lost: Vec<VmId> = world
        .machines
        .values()
        .filter(|m| m.vm.data_centre.as_str() == "a")
        .map(|m| m.vm.id.clone())
        .take(8)
        .collect();
    world.fail(|vm| lost.contains(&vm.id));

    world.pass(&mut node, 5 * MINUTE);

    let out = lost
        .iter()
        .filter(|vm| !world.state.facts().assignment.contains_key(*vm));
    assert!(out.count() <= 5, "a buffer of four and one more");
}

#[test]
fn a_vm_that_goes_down_again_and_again_is_held_back() {
    let (mut world, mut node) = placed();
    let bad = world.in_pool("red-pool")[0].clone();
    for _ in 0..3 {
        world.fail(|vm| vm.id == bad);
        world.run(&mut node, HOUR, |world| {
            world.state.facts().down.contains(&bad)
        });
        world.pass(&mut node, 2 * MINUTE);
        world.repair();
        world.run(&mut node, HOUR, |world| world.state.facts().down.is_empty());
        world.pass(&mut node, MINUTE);
    }

    let held = !world.state.facts().assignment.contains_key(&bad);
    world.pass(&mut node, 2 * HOUR);

    assert!(held, "given a place after three losses");
    assert!(
        world.in_pool("spare").contains(&&bad),
        "never given a place again"
    );
}

#[test]
fn while_the_log_is_away_no_stop_begins_and_drained_ones_are_finished() {
    let (mut world, mut node) = due();
    world.run(&mut node, HOUR, |world| !leaving(world).is_empty());
    let begun = leaving(&world);
    let open: Vec<VmId> = world.state.facts().stops.keys().cloned().collect();
    world.log_up = false;

    world.pass(&mut node, HOUR);

    let rebooted: Vec<VmId> = world
        .machines
        .iter()
        .filter(|(_, m)| m.reboots > 0)
        .map(|(vm, _)| vm.clone())
        .collect();
    assert!(begun.iter().all(|vm| rebooted.contains(vm)), "{begun:?}");
    assert!(rebooted.iter().all(|vm| open.contains(vm)), "{rebooted:?}");
    assert!(leaving(&world).is_empty());
    world.log_up = true;
    world.run(&mut node, 4 * HOUR, World::all_rebooted);
    assert_eq!((most_reboots(&world), cuts(&world)), (1, 0));
}

#[test]
fn calls_that_are_lost_on_the_way_are_made_again() {
    let (mut world, mut node) = due();
    world.dropped = 20;

    world.run(&mut node, 4 * HOUR, World::all_rebooted);

    assert_eq!((most_reboots(&world), cuts(&world)), (1, 0));
}

#[test]
fn stops_carry_the_generation_that_the_platform_had() {
    let (mut world, mut node) = due();
    let late = world.list();
    let vm = VmId::new("a-executor-0");
    world.change(&vm, Generation(0), VmPhase::Leaving);
    world.change(&vm, Generation(1), VmPhase::Live);
    world.list = List::Stale(late);

    world.run(&mut node, MINUTE, |world| {
        world.state.facts().stops.contains_key(&vm)
    });

    let stop = world.state.facts().stops[&vm];
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
fn the_generation_tells_what_was_done(
    #[case] phase: VmPhase,
    #[case] generation: u64,
    #[case] rebooted: u64,
    #[case] wanted: &str,
) {
    let now = std::time::Instant::now();
    let stop = PlannedStop {
        reason: StopReason::Maintenance,
        generation: Generation(3),
    };
    let sight = Sight {
        report: VmReport {
            phase,
            generation: Generation(generation),
            rebooted: Generation(rebooted),
            running: 0,
        },
        serves: true,
        job: None,
        verified: true,
    };

    let action = Progress::open(now).decide(&stop, &sight, now);

    assert!(format!("{action:?}").starts_with(wanted), "{action:?}");
}
