//! Choice of targets by load and rack; failing, ejected and leaving targets.

use std::net::{Ipv4Addr, SocketAddr};

use crate::entry::balancer::{AttemptResult, Balancer, ChosenTarget, FailedTargets};
use crate::id::{DataCentre, Rack, VmId};
use crate::view::Target;

const SECOND_US: u64 = 1_000_000;

fn target(i: u16, rack: u16) -> Target {
    Target {
        vm: VmId::new(&format!("vm-{i}")),
        data_centre: DataCentre::new("split"),
        rack: Rack::new(&format!("rack-{rack}")),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, i)),
        slots: 8,
        connections: 64,
        leaving: false,
    }
}

/// A balancer for `count` targets, two in each rack.
fn balancer(count: u16) -> (Balancer, Vec<Target>) {
    let targets: Vec<Target> = (0..count).map(|i| target(i, i / 2)).collect();
    let mut balancer = Balancer::default();
    balancer.update(&targets);
    (balancer, targets)
}

fn acquire(balancer: &mut Balancer, now_us: u64) -> Option<ChosenTarget> {
    balancer.acquire(&FailedTargets::default(), now_us)
}

fn fail(balancer: &mut Balancer, times: usize, now_us: u64) {
    for _ in 0..times {
        let choice = acquire(balancer, now_us).expect("a target");
        balancer.release(&choice.vm, AttemptResult::Bad, now_us);
    }
}

fn is_excluded(balancer: &Balancer, vm: &VmId, now_us: u64) -> bool {
    balancer
        .loads(now_us)
        .any(|(id, _, _, excluded)| id == vm && excluded)
}

#[test]
fn requests_are_spread_over_racks_before_a_rack_gets_two() {
    let (mut balancer, _) = balancer(6);

    let racks: Vec<Rack> = (0..3)
        .filter_map(|_| acquire(&mut balancer, 0))
        .map(|choice| choice.rack)
        .collect();

    let mut distinct = racks.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), 3, "{racks:?}");
}

#[test]
fn all_slots_are_used_and_no_more() {
    let (mut balancer, _) = balancer(3);

    let taken = (0..100).filter_map(|_| acquire(&mut balancer, 0)).count();

    assert_eq!(taken, 24);
    assert!(!balancer.has_free_slot(0));
}

#[test]
fn retry_goes_to_another_rack_first() {
    let (mut balancer, _) = balancer(4);
    let first = acquire(&mut balancer, 0).expect("first");
    balancer.release(&first.vm, AttemptResult::Bad, 0);
    let mut avoid = FailedTargets::default();
    avoid.add(&first);

    let second = balancer.acquire(&avoid, 0).expect("second");

    assert_ne!(second.rack, first.rack);
}

#[test]
fn target_that_fails_fast_attracts_no_requests() {
    let (mut balancer, targets) = balancer(4);
    let bad = &targets[0].vm;
    let mut runs_bad = 0;
    for i in 0..1_000 {
        let now_us = i * 1_000;
        let choice = acquire(&mut balancer, now_us).expect("a target");
        let result = if choice.vm == *bad {
            runs_bad += 1;
            AttemptResult::Bad
        } else {
            AttemptResult::Good
        };
        balancer.release(&choice.vm, result, now_us);
    }

    assert!(runs_bad <= 8, "{runs_bad} of 1000");
    assert!(is_excluded(&balancer, bad, SECOND_US));
}

#[test]
fn recovered_target_gets_requests_again() {
    let (mut balancer, targets) = balancer(2);
    fail(&mut balancer, 20, 0);
    let excluded = targets
        .iter()
        .find(|t| is_excluded(&balancer, &t.vm, 0))
        .expect("one is out");

    let mut runs = 0;
    for _ in 0..20 {
        let choice = acquire(&mut balancer, SECOND_US).expect("a target");
        runs += usize::from(choice.vm == excluded.vm);
        balancer.release(&choice.vm, AttemptResult::Good, SECOND_US);
    }

    assert!(runs >= 5, "{runs} of 20");
}

#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let (mut balancer, targets) = balancer(8);

    fail(&mut balancer, 200, 0);

    let excluded = targets
        .iter()
        .filter(|t| is_excluded(&balancer, &t.vm, 0))
        .count();
    assert_eq!(excluded, 4);
}

#[test]
fn leaving_target_gets_no_new_requests() {
    let (mut balancer, mut targets) = balancer(2);
    let first = acquire(&mut balancer, 0).expect("first");
    for target in &mut targets {
        target.leaving = target.vm == first.vm;
    }

    balancer.update(&targets);
    let later: Vec<VmId> = (0..100)
        .filter_map(|_| acquire(&mut balancer, 0))
        .map(|choice| choice.vm)
        .collect();

    assert_eq!(later.len(), 8);
    assert!(!later.contains(&first.vm));
}

#[test]
fn target_that_leaves_the_view_and_returns_keeps_its_running_count() {
    let (mut balancer, targets) = balancer(1);
    for _ in 0..8 {
        acquire(&mut balancer, 0);
    }

    balancer.update(&[]);
    balancer.update(&targets);

    assert!(acquire(&mut balancer, 0).is_none());
}
