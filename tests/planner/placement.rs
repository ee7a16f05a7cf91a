use amaranthwick::id::{PoolId, VmId};
use amaranthwick::planner::{Step, steps};
use amaranthwick::platform::{Vm, VmPhase};
use indexmap::IndexMap;

use crate::fixtures::{assignment, document, vm};

fn step(vm: &str, from: Option<&str>, to: Option<&str>) -> Step {
    Step {
        vm: VmId::new(vm),
        from: from.map(PoolId::new),
        to: to.map(PoolId::new),
    }
}

fn executors() -> Vec<Vm> {
    let vms = [("v1", "a"), ("v2", "a"), ("v3", "a"), ("v4", "b")];
    vms.map(|(id, place)| vm(id, "executor", place)).to_vec()
}

#[test]
fn an_empty_fleet_is_filled_with_the_spare_last() {
    let found = steps(&document(), &executors(), &IndexMap::new());

    let wanted = [
        step("v1", None, Some("red-pool")),
        step("v2", None, Some("red-pool")),
        step("v4", None, Some("red-pool")),
        step("v3", None, Some("spare")),
    ];
    assert_eq!(found, wanted);
}

#[test]
fn a_fleet_in_place_is_left_alone() {
    let placed = assignment(&[
        ("v1", "red-pool"),
        ("v2", "red-pool"),
        ("v3", "spare"),
        ("v4", "red-pool"),
    ]);

    assert_eq!(steps(&document(), &executors(), &placed), []);
}

#[test]
fn a_lost_vm_is_replaced_from_the_spare() {
    let placed = assignment(&[
        ("v1", "red-pool"),
        ("gone", "red-pool"),
        ("v3", "spare"),
        ("v4", "red-pool"),
    ]);
    let vms: Vec<Vm> = executors()
        .into_iter()
        .filter(|vm| vm.id.as_str() != "v2")
        .collect();

    let found = steps(&document(), &vms, &placed);

    let wanted = [
        step("gone", Some("red-pool"), None),
        step("v3", Some("spare"), Some("red-pool")),
    ];
    assert_eq!(found, wanted);
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

    let found = steps(&document(), &vms, &placed);

    let wanted = [
        step("v1", Some("old-pool"), None),
        step("v5", Some("red-pool"), None),
    ];
    assert_eq!(found, wanted);
}

#[test]
fn a_vm_that_leaves_is_not_placed() {
    let mut vms = executors();
    vms[0].phase = VmPhase::Leaving;

    let found = steps(&document(), &vms, &IndexMap::new());

    assert!(found.iter().all(|step| step.vm.as_str() != "v1"));
}

#[test]
fn an_empty_list_of_vms_moves_nothing() {
    let placed = assignment(&[("v1", "red-pool")]);

    assert_eq!(steps(&document(), &[], &placed), []);
}
