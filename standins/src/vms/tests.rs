use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{ChangeError, Phase, VmHistory, VmRegistry, VmState};

const LAG: Duration = Duration::from_secs(2);
const SECOND: Duration = Duration::from_secs(1);

fn registry(start: Instant) -> VmRegistry {
    let state = VmState {
        id: "vm-1".to_owned(),
        class: "small".to_owned(),
        data_centre: "split".to_owned(),
        rack: "rack-1".to_owned(),
        address: None,
        phase: Phase::Live,
        generation: 0,
    };
    let one = IndexMap::from([("vm-1".to_owned(), VmHistory::new(state, start))]);
    VmRegistry::new(LAG, one)
}

fn listed(registry: &VmRegistry, now: Instant) -> (Phase, u64) {
    let list = registry.list(now, None).vms;
    (list[0].phase, list[0].generation)
}

fn drain(registry: &VmRegistry, generation: u64, now: Instant) -> Result<u64, ChangeError> {
    registry.change_phase("vm-1", generation, &[Phase::Live], Phase::Leaving, now)
}

#[test]
fn the_list_shows_a_change_after_its_lag() {
    let start = Instant::now();
    let registry = registry(start);
    let drained = start + 10 * SECOND;

    drain(&registry, 0, drained).unwrap();

    let before = drained + LAG.checked_sub(Duration::from_millis(1)).unwrap();
    assert_eq!(listed(&registry, before), (Phase::Live, 0));
    assert_eq!(listed(&registry, drained + LAG), (Phase::Leaving, 1));
}

#[test]
fn the_list_shows_the_start_until_the_lag_has_passed() {
    let start = Instant::now();
    let registry = registry(start);

    drain(&registry, 0, start + SECOND).unwrap();

    assert_eq!(listed(&registry, start + SECOND), (Phase::Live, 0));
}

#[test]
fn a_scheduled_change_takes_effect_on_time() {
    let start = Instant::now();
    let registry = registry(start);
    let up = start + 30 * SECOND;

    registry
        .change_phase("vm-1", 0, &[Phase::Live], Phase::Down, start + SECOND)
        .unwrap();
    registry.set_phase("vm-1", Phase::Live, up).unwrap();

    let just_before = up.checked_sub(Duration::from_millis(1)).unwrap();
    assert_eq!(
        registry.get("vm-1", just_before).unwrap().phase,
        Phase::Down
    );
    assert_eq!(registry.get("vm-1", up).unwrap().phase, Phase::Live);
}

#[test]
fn a_failure_replaces_a_scheduled_change() {
    let start = Instant::now();
    let registry = registry(start);
    registry
        .change_phase("vm-1", 0, &[Phase::Live], Phase::Down, start + SECOND)
        .unwrap();
    registry
        .set_phase("vm-1", Phase::Live, start + 30 * SECOND)
        .unwrap();

    registry
        .set_phase("vm-1", Phase::Down, start + 2 * SECOND)
        .unwrap();

    let much_later = start + 600 * SECOND;
    assert_eq!(registry.get("vm-1", much_later).unwrap().phase, Phase::Down);
}

#[test]
fn a_change_requires_the_generation_and_an_allowed_phase() {
    let start = Instant::now();
    let registry = registry(start);
    drain(&registry, 0, start + SECOND).unwrap();

    let late = drain(&registry, 0, start + 2 * SECOND);
    let again = drain(&registry, 1, start + 2 * SECOND);

    assert_eq!(late, Err(ChangeError::GenerationMismatch(1)));
    assert_eq!(again, Err(ChangeError::PhaseNotAllowed(Phase::Leaving)));
}

#[test]
fn a_read_since_a_version_returns_the_changes() {
    let start = Instant::now();
    let registry = registry(start);
    let first = registry.list(start, None);

    drain(&registry, 0, start + SECOND).unwrap();
    let lagging = registry.list(start + SECOND, Some(first.version));
    let changed = registry.list(start + SECOND + LAG, Some(first.version));
    let again = registry.list(start + SECOND + LAG, Some(changed.version));

    assert_eq!((lagging.version, lagging.vms.len()), (first.version, 0));
    assert_eq!(changed.version, first.version + 1);
    assert_eq!((changed.count, changed.vms.len()), (1, 1));
    assert_eq!(changed.vms[0].phase, Phase::Leaving);
    assert_eq!((again.version, again.vms.len()), (changed.version, 0));
}

#[test]
fn a_read_since_an_unknown_version_returns_the_whole_list() {
    let start = Instant::now();
    let registry = registry(start);

    let ahead = registry.list(start, Some(99));
    let before = registry.list(start, Some(0));

    assert_eq!((ahead.since, ahead.vms.len()), (None, 1));
    assert_eq!((before.since, before.vms.len()), (None, 1));
}
