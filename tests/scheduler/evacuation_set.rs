//! The set of evacuated data centres, as processes read it from the operators' changes.

use std::sync::Arc;

use amaranthwick::scheduler::{EvacuationChange, Evacuations};

fn change(data_centre: &str, evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        data_centre: Arc::from(data_centre),
        evacuated,
    }
}

fn evacuated(names: &[&str]) -> Evacuations {
    let changes: Vec<EvacuationChange> = names.iter().map(|name| change(name, true)).collect();
    let mut set = Evacuations::default();
    set.apply(&changes, false);
    set
}

/// Guards against an evacuation that goes on for ever: its withdrawal was compacted away while the
/// process could not read the store.
#[test]
fn a_complete_read_withdraws_what_it_lacks() {
    let mut set = evacuated(&["z1", "z2"]);

    let changed = set.apply(&[change("z3", true), change("z2", true)], true);

    assert!(changed);
    assert_eq!(set, evacuated(&["z2", "z3"]));
}

/// Guards against a lost evacuation: a read that found nothing new was taken for a complete one.
#[test]
fn a_read_of_further_changes_leaves_others_in_force() {
    let mut set = evacuated(&["z1", "z2"]);

    let first = set.apply(&[], false);
    let second = set.apply(&[change("z1", false)], false);

    assert_eq!((first, second), (false, true));
    assert_eq!(set, evacuated(&["z2"]));
}

/// Guards against needless work of the leader: a complete read that repeats what is known counted
/// as a change.
#[test]
fn a_complete_read_in_another_order_changes_nothing() {
    let mut set = evacuated(&["z1", "z2"]);

    let changed = set.apply(&[change("z2", true), change("z1", true)], true);

    assert!(!changed);
}

/// Guards against a set that a mistake of the operators changes.
#[test]
fn input_without_effect_changes_nothing() {
    let mut set = evacuated(&["z1"]);
    let input = [change("z1", true), change("z9", false), change("", true)];

    let changed = set.apply(&input, false);
    let changed_by_complete = set.apply(&[change("", true), change("z1", true)], true);

    assert_eq!((changed, changed_by_complete), (false, false));
    assert_eq!((set.len(), set.contains("")), (1, false));
}

/// Guards against an order of the changes that is not kept: a data centre that was evacuated,
/// withdrawn and evacuated again was in use.
#[test]
fn the_last_of_several_changes_counts() {
    let mut set = Evacuations::default();

    set.apply(
        &[change("z1", true), change("z1", false), change("z1", true)],
        false,
    );

    assert!(set.contains("z1"));
}
