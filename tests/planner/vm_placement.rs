use amaranthwick::id::{PoolId, Rack, VmId};
use amaranthwick::planner::{VmMove, VmPlacementInput, plan_moves};
use amaranthwick::services::{Vm, VmPhase};
use indexmap::{IndexMap, IndexSet};

use crate::fixtures::{assignment, document, vm, vm_locations};

/// Moves for VMs that are all on the list and of which `lost` are down and to be replaced.
fn moves(vms: &[Vm], assignment: &IndexMap<VmId, PoolId>, lost: &[&str]) -> Vec<VmMove> {
    moves_with_list(vms, vms, assignment, lost)
}

/// The same for a list that differs from the VMs that there are.
fn moves_with_list(
    all: &[Vm],
    listed: &[Vm],
    assignment: &IndexMap<VmId, PoolId>,
    lost: &[&str],
) -> Vec<VmMove> {
    let lost: IndexSet<VmId> = lost.iter().map(|vm| VmId::new(vm)).collect();
    plan_moves(&VmPlacementInput {
        document: &document(),
        vms: listed,
        locations: &vm_locations(all),
        assignment,
        stops: &IndexMap::new(),
        down: &lost,
        to_replace: &lost,
        held_back: &IndexSet::new(),
    })
}

fn vm_move(vm: &str, from: Option<&str>, to: Option<&str>) -> VmMove {
    VmMove {
        vm: VmId::new(vm),
        from: from.map(PoolId::new),
        to: to.map(PoolId::new),
    }
}

fn executors() -> Vec<Vm> {
    let vms = [("v1", "a"), ("v2", "a"), ("v3", "a"), ("v4", "b")];
    vms.map(|(id, data_centre)| vm(id, "executor", data_centre))
        .to_vec()
}

#[test]
fn an_empty_fleet_is_filled_with_the_spare_last() {
    let planned = moves(&executors(), &IndexMap::new(), &[]);

    let expected = [
        vm_move("v1", None, Some("red-pool")),
        vm_move("v2", None, Some("red-pool")),
        vm_move("v4", None, Some("red-pool")),
        vm_move("v3", None, Some("spare")),
    ];
    assert_eq!(planned, expected);
}

#[test]
fn a_fleet_that_matches_the_document_is_left_alone() {
    let placed = assignment(&[
        ("v1", "red-pool"),
        ("v2", "red-pool"),
        ("v3", "spare"),
        ("v4", "red-pool"),
    ]);

    assert_eq!(moves(&executors(), &placed, &[]), []);
}

#[test]
fn a_lost_vm_is_replaced_from_the_spare() {
    let placed = assignment(&[
        ("v1", "red-pool"),
        ("v2", "red-pool"),
        ("v3", "spare"),
        ("v4", "red-pool"),
    ]);

    let planned = moves(&executors(), &placed, &["v2"]);

    let expected = [
        vm_move("v3", Some("spare"), Some("red-pool")),
        vm_move("v2", Some("red-pool"), None),
    ];
    assert_eq!(planned, expected);
}

#[test]
fn a_lost_vm_without_a_replacement_stays_counted_in_its_pool() {
    let placed = assignment(&[("v1", "red-pool"), ("v2", "red-pool"), ("v4", "red-pool")]);

    let planned = moves(&executors()[..2], &placed, &["v2"]);

    assert_eq!(planned, []);
}

#[test]
fn a_vm_of_a_pool_that_is_gone_or_full_leaves_it() {
    let placed = assignment(&[
        ("v1", "old-pool"),
        ("v2", "red-pool"),
        ("v3", "red-pool"),
        ("v4", "red-pool"),
        ("v5", "red-pool"),
    ]);
    let mut vms = executors();
    vms.push(vm("v5", "executor", "b"));

    let planned = moves(&vms, &placed, &[]);

    let expected = [
        vm_move("v1", Some("old-pool"), Some("spare")),
        vm_move("v5", Some("red-pool"), None),
    ];
    assert_eq!(planned, expected);
}

#[test]
fn a_surplus_vm_is_taken_before_a_spare_one() {
    let placed = assignment(&[("v1", "red-pool"), ("v2", "old-pool"), ("v3", "spare")]);

    let planned = moves(&executors()[..3], &placed, &[]);

    assert_eq!(planned, [vm_move("v2", Some("old-pool"), Some("red-pool"))]);
}

#[test]
fn a_draining_vm_is_not_placed() {
    let mut vms = executors();
    vms[0].phase = VmPhase::Leaving;

    let planned = moves(&vms, &IndexMap::new(), &[]);

    assert!(planned.iter().all(|vm_move| vm_move.vm.as_str() != "v1"));
}

#[test]
fn a_list_that_is_empty_or_short_moves_nothing() {
    let placed = assignment(&[
        ("v1", "red-pool"),
        ("v2", "red-pool"),
        ("v3", "spare"),
        ("v4", "red-pool"),
    ]);
    let all = executors();

    let empty = moves_with_list(&all, &[], &placed, &[]);
    let short = moves_with_list(&all, &all[2..], &placed, &[]);

    assert_eq!((empty, short), (vec![], vec![]));
}

#[test]
fn a_list_that_shows_a_vm_twice_places_it_once() {
    let first = &executors()[..1];
    let listed = [first, first].concat();

    let planned = moves_with_list(first, &listed, &IndexMap::new(), &[]);

    assert_eq!(planned, [vm_move("v1", None, Some("red-pool"))]);
}

#[test]
fn a_pool_is_spread_over_racks() {
    let mut vms = executors();
    for (vm, rack) in vms.iter_mut().zip(["r1", "r1", "r2"]) {
        vm.rack = Rack::new(rack);
    }

    let planned = moves(&vms[..3], &IndexMap::new(), &[]);

    let expected = [
        vm_move("v1", None, Some("red-pool")),
        vm_move("v3", None, Some("red-pool")),
        vm_move("v2", None, Some("spare")),
    ];
    assert_eq!(planned, expected);
}

#[test]
fn an_excess_vm_is_taken_from_the_most_crowded_rack() {
    let mut vms = executors();
    for (vm, rack) in vms.iter_mut().zip(["r2", "r1", "r1"]) {
        vm.rack = Rack::new(rack);
    }
    let placed = assignment(&[("v1", "red-pool"), ("v2", "red-pool"), ("v3", "red-pool")]);

    let planned = moves(&vms[..3], &placed, &[]);

    assert_eq!(planned, [vm_move("v3", Some("red-pool"), Some("spare"))]);
}
