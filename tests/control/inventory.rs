//! Which answers of the VM list are accepted.

use std::time::{Duration, Instant};

use amaranthwick::control::{Inventory, ListFault};
use amaranthwick::id::{ClassId, DataCentre, Generation, Rack, VmId};
use amaranthwick::services::{ListVersion, Listing, Vm, VmPhase};
use rstest::rstest;

const SIZE: usize = 40;
const SECOND: Duration = Duration::from_secs(1);

fn vm(n: usize, phase: VmPhase) -> Vm {
    Vm {
        id: VmId::new(&format!("vm-{n:02}")),
        class: ClassId::new("worker"),
        data_centre: DataCentre::new("a"),
        rack: Rack::new("r"),
        address: None,
        phase,
        generation: Generation(0),
    }
}

fn live(range: std::ops::Range<usize>) -> Vec<Vm> {
    range.map(|n| vm(n, VmPhase::Live)).collect()
}

fn whole(version: u64, vms: Vec<Vm>) -> Listing {
    let version = ListVersion(version);
    Listing::Whole { version, vms }
}

fn changes(since: u64, version: u64, count: usize, vms: Vec<Vm>) -> Listing {
    Listing::Changes {
        since: ListVersion(since),
        version: ListVersion(version),
        count,
        vms,
        removed: Vec::new(),
    }
}

/// An inventory with 40 live VMs at version 5.
fn known_inventory(now: Instant) -> Inventory {
    let mut inventory = Inventory::default();
    inventory
        .apply(whole(5, live(0..SIZE)), now)
        .expect("first");
    inventory
}

fn phases(inventory: &Inventory, wanted: VmPhase) -> usize {
    inventory.vms().filter(|vm| vm.phase == wanted).count()
}

#[test]
fn changes_are_merged_into_the_known_list() {
    let now = Instant::now();
    let mut inventory = known_inventory(now);
    let new = vec![vm(3, VmPhase::Leaving), vm(SIZE, VmPhase::Live)];

    let applied = inventory.apply(changes(5, 7, SIZE + 1, new), now);

    assert_eq!(applied, Ok(()));
    assert_eq!(inventory.version(), Some(ListVersion(7)));
    assert_eq!(inventory.poll_since(), Some(ListVersion(7)));
    assert_eq!(phases(&inventory, VmPhase::Leaving), 1);
    assert_eq!(inventory.vms().len(), SIZE + 1);
}

#[test]
fn a_removed_vm_is_gone() {
    let now = Instant::now();
    let mut inventory = known_inventory(now);
    let removal = Listing::Changes {
        since: ListVersion(5),
        version: ListVersion(6),
        count: SIZE - 1,
        vms: Vec::new(),
        removed: vec![VmId::new("vm-07")],
    };

    let applied = inventory.apply(removal, now);

    assert_eq!(applied, Ok(()));
    assert!(inventory.vms().all(|vm| vm.id.as_str() != "vm-07"));
}

#[test]
fn an_unchanged_list_changes_nothing() {
    let now = Instant::now();
    let mut inventory = known_inventory(now);

    let applied = inventory.apply(Listing::Unchanged, now);

    assert_eq!(applied, Ok(()));
    assert_eq!(inventory.version(), Some(ListVersion(5)));
    assert_eq!(inventory.vms().len(), SIZE);
}

#[rstest]
#[case::whole_of_an_older_version(
    whole(4, live(0..SIZE + 1)),
    ListFault::Outdated(ListVersion(4))
)]
#[case::other_vms_under_the_same_version(
    whole(5, live(0..SIZE - 1)),
    ListFault::Differs(ListVersion(5))
)]
#[case::changes_back_to_an_older_version(
    changes(5, 4, SIZE, vec![vm(1, VmPhase::Down)]),
    ListFault::Outdated(ListVersion(4))
)]
#[case::changes_without_a_new_version(
    changes(5, 5, SIZE, vec![vm(1, VmPhase::Down)]),
    ListFault::Differs(ListVersion(5))
)]
#[case::changes_since_another_version(
    changes(4, 6, SIZE, vec![vm(1, VmPhase::Down)]),
    ListFault::UnexpectedBase(ListVersion(4))
)]
#[case::changes_that_do_not_add_up(
    changes(5, 6, SIZE - 1, vec![vm(1, VmPhase::Down)]),
    ListFault::Count { found: SIZE, stated: SIZE - 1 }
)]
#[case::too_many_missing(whole(6, live(0..SIZE - 5)), ListFault::TooManyMissing(5))]
#[case::empty(whole(6, Vec::new()), ListFault::TooManyMissing(SIZE))]
fn a_rejected_answer_leaves_the_known_list_unchanged(
    #[case] answer: Listing,
    #[case] fault: ListFault,
) {
    let now = Instant::now();
    let mut inventory = known_inventory(now);

    let applied = inventory.apply(answer, now);

    assert_eq!(applied, Err(fault));
    assert_eq!(inventory.version(), Some(ListVersion(5)));
    assert_eq!(phases(&inventory, VmPhase::Live), SIZE);
}

#[test]
fn after_a_rejected_answer_the_whole_list_is_requested() {
    let now = Instant::now();
    let mut inventory = known_inventory(now);

    let _ = inventory.apply(changes(5, 6, 1, Vec::new()), now);
    let asked = inventory.poll_since();
    let recovered = inventory.apply(whole(6, live(0..SIZE - 1)), now);

    assert_eq!(asked, None);
    assert_eq!(recovered, Ok(()));
    assert_eq!(inventory.poll_since(), Some(ListVersion(6)));
}

#[test]
fn a_lasting_loss_of_many_vms_is_accepted_after_a_minute() {
    let now = Instant::now();
    let mut inventory = known_inventory(now);
    let half = || whole(6, live(0..SIZE / 2));

    let early = [0, 30, 59].map(|s| inventory.apply(half(), now + s * SECOND).is_err());
    let late = inventory.apply(half(), now + 60 * SECOND);

    assert_eq!(early, [true; 3]);
    assert_eq!(late, Ok(()));
    assert_eq!(inventory.vms().len(), SIZE / 2);
}

#[test]
fn a_loss_that_ends_in_between_restarts_the_minute() {
    let now = Instant::now();
    let mut inventory = known_inventory(now);
    let half = || whole(9, live(0..SIZE / 2));

    let _ = inventory.apply(half(), now);
    let whole_again = inventory.apply(whole(7, live(0..SIZE)), now + 30 * SECOND);
    let later = inventory.apply(half(), now + 70 * SECOND);

    assert_eq!(whole_again, Ok(()));
    assert_eq!(later, Err(ListFault::TooManyMissing(SIZE / 2)));
}

#[test]
fn an_empty_list_is_never_accepted_once_vms_are_known() {
    let now = Instant::now();
    let mut inventory = known_inventory(now);

    for minute in 0..10 {
        let at = now + 60 * minute * SECOND;
        assert!(inventory.apply(whole(6, Vec::new()), at).is_err());
    }

    assert_eq!(inventory.vms().len(), SIZE);
}

#[test]
fn vms_that_were_down_or_leaving_may_vanish_together() {
    let now = Instant::now();
    let mut inventory = known_inventory(now);
    let down = (0..SIZE / 2).map(|n| vm(n, VmPhase::Down)).collect();
    inventory
        .apply(changes(5, 6, SIZE, down), now)
        .expect("down");

    let applied = inventory.apply(whole(7, live(SIZE / 2..SIZE)), now);

    assert_eq!(applied, Ok(()));
    assert_eq!(inventory.vms().len(), SIZE / 2);
}
