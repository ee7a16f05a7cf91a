//! The lagging VM list, and drains, reboots and failures of VMs.

mod common;

use amaranthwick_standins::{Fleet, FleetSpec, Phase, VmState};
use common::{Answer, Client, fleet, request, spec, wait_until};
use rstest::rstest;
use serde_json::json;

const EXECUTOR: &str = "split-small-0";
const LONG_MS: u64 = 600_000;

fn change(fleet: &Fleet, vm: &str, change: &str, generation: u64) -> Answer {
    let line = format!("POST /vms/{vm}/{change}");
    let condition = format!("If-Match: \"{generation}\"");
    request(fleet.pools_address(), &line, &[&condition], "")
}

fn listed(fleet: &Fleet, vm: &str) -> VmState {
    let answer = request(fleet.vms_address(), "GET /vms", &[], "").json();
    let vms: Vec<VmState> = serde_json::from_value(answer["vms"].clone()).unwrap();
    vms.into_iter().find(|v| v.id == vm).unwrap()
}

fn current(fleet: &Fleet, vm: &str) -> VmState {
    let vms = fleet.control().vms();
    vms.into_iter().find(|v| v.id == vm).unwrap()
}

#[test]
fn lists_every_vm_with_its_location() {
    let fleet = fleet();

    let answer = request(fleet.vms_address(), "GET /vms", &[], "").json();
    let executor = listed(&fleet, EXECUTOR);
    let worker = listed(&fleet, "zadar-guarded-2");

    assert_eq!(answer["vms"].as_array().unwrap().len(), 10);
    assert_eq!(executor.address, Some(fleet.executors()[0].address));
    assert_eq!(executor.rack, "split-rack-0");
    assert_eq!(worker.address, None);
    assert_eq!(
        (worker.rack.as_str(), worker.generation),
        ("zadar-rack-2", 0)
    );
}

#[test]
fn the_list_lags_behind_the_current_state() {
    let fleet = Fleet::open(&FleetSpec {
        list_lag_ms: LONG_MS,
        ..spec()
    })
    .unwrap();

    change(&fleet, EXECUTOR, "drain", 0);
    let listed_vm = listed(&fleet, EXECUTOR);
    let actual = current(&fleet, EXECUTOR);

    assert_eq!((listed_vm.phase, listed_vm.generation), (Phase::Live, 0));
    assert_eq!((actual.phase, actual.generation), (Phase::Leaving, 1));
}

#[test]
fn a_drained_vm_serves_until_its_reboot_and_comes_back() {
    let fleet = fleet();
    let address = fleet.executors()[0].address;

    let drained = change(&fleet, EXECUTOR, "drain", 0);
    let serving = request(address, "GET /", &[], "");
    let rebooted = change(&fleet, EXECUTOR, "reboot", 1);
    wait_until("it is back", || {
        current(&fleet, EXECUTOR).phase == Phase::Live && Client::connect(address).is_ok()
    });
    let back = request(address, "GET /", &[], "");

    assert_eq!(drained.json(), json!({"generation": 1}));
    assert!(drained.has_header("ETag: \"1\""));
    assert_eq!(rebooted.json(), json!({"generation": 2}));
    assert_eq!((serving.status, back.status), (200, 200));
    assert_eq!(current(&fleet, EXECUTOR).generation, 2);
}

#[rstest]
#[case::drain("drain")]
#[case::reboot("reboot")]
fn an_outdated_change_is_refused_with_the_current_generation(#[case] change_kind: &str) {
    let fleet = fleet();
    change(&fleet, EXECUTOR, "drain", 0);

    let refused = change(&fleet, EXECUTOR, change_kind, 0);

    assert_eq!(refused.status, 412);
    assert_eq!(refused.json(), json!({"generation": 1}));
    assert_eq!(current(&fleet, EXECUTOR).phase, Phase::Leaving);
}

#[test]
fn a_drain_can_be_reverted() {
    let fleet = fleet();
    change(&fleet, EXECUTOR, "drain", 0);

    let restored = change(&fleet, EXECUTOR, "restore", 1);

    assert_eq!(restored.json(), json!({"generation": 2}));
    assert_eq!(current(&fleet, EXECUTOR).phase, Phase::Live);
}

#[rstest]
#[case::restore_of_a_live_vm("restore", "If-Match: \"0\"", EXECUTOR, 409)]
#[case::unknown_vm("drain", "If-Match: \"0\"", "none", 404)]
#[case::no_condition("drain", "X-None: 0", EXECUTOR, 428)]
#[case::odd_condition("drain", "If-Match: odd", EXECUTOR, 400)]
fn invalid_changes_are_refused(
    #[case] change: &str,
    #[case] header: &str,
    #[case] vm: &str,
    #[case] status: u16,
) {
    let fleet = fleet();

    let line = format!("POST /vms/{vm}/{change}");
    let answer = request(fleet.pools_address(), &line, &[header], "");

    assert_eq!(answer.status, status);
}

#[test]
fn a_failed_vm_stays_down_until_it_is_repaired() {
    let fleet = fleet();
    let control = fleet.control_address();
    let address = fleet.executors()[0].address;

    request(control, &format!("POST /vms/{EXECUTOR}/fail"), &[], "");
    let down = (current(&fleet, EXECUTOR), Client::connect(address));
    request(control, &format!("POST /vms/{EXECUTOR}/repair"), &[], "");
    let back = request(address, "GET /", &[], "");

    assert_eq!((down.0.phase, down.0.generation), (Phase::Down, 0));
    assert!(down.1.is_err());
    assert_eq!(back.status, 200);
}

#[test]
fn a_failed_vm_comes_back_by_a_reboot() {
    let fleet = fleet();
    fleet.control().fail_vm(EXECUTOR).unwrap();

    change(&fleet, EXECUTOR, "reboot", 0);

    wait_until("it is back", || {
        Client::connect(fleet.executors()[0].address).is_ok()
    });
}

#[test]
fn a_vm_that_fails_during_a_reboot_stays_down() {
    let fleet = fleet();
    change(&fleet, EXECUTOR, "reboot", 0);

    fleet.control().fail_vm(EXECUTOR).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(2 * spec().reboot_ms));

    assert_eq!(current(&fleet, EXECUTOR).phase, Phase::Down);
    assert!(Client::connect(fleet.executors()[0].address).is_err());
}

#[rstest]
#[case::rack("racks/split-rack-0", 2)]
#[case::data_centre("data-centres/split", 5)]
fn a_failure_domain_fails_and_comes_back_as_a_whole(#[case] domain: &str, #[case] size: usize) {
    let fleet = fleet();
    let change = |change| {
        let line = format!("POST /{domain}/{change}");
        request(fleet.control_address(), &line, &[], "").status
    };
    let down = || {
        let vms = fleet.control().vms();
        let down = vms.into_iter().filter(|vm| vm.phase == Phase::Down);
        down.map(|vm| (vm.data_centre, vm.rack)).collect::<Vec<_>>()
    };

    let failed = change("fail");
    let during = down();
    let repaired = change("repair");

    assert_eq!((failed, repaired), (204, 204));
    assert_eq!(during.len(), size);
    let domain = domain.rsplit_once('/').unwrap().1;
    assert!(during.iter().all(|vm| vm.0 == domain || vm.1 == domain));
    assert!(down().is_empty());
}

#[test]
fn an_unknown_failure_domain_is_refused() {
    let fleet = fleet();

    let answer = request(fleet.control_address(), "POST /racks/none/fail", &[], "");

    assert_eq!(answer.status, 404);
}

#[test]
fn a_vm_stays_down_during_its_reboot() {
    let fleet = Fleet::open(&FleetSpec {
        reboot_ms: LONG_MS,
        ..spec()
    })
    .unwrap();

    change(&fleet, EXECUTOR, "reboot", 0);
    std::thread::sleep(std::time::Duration::from_millis(50));

    assert_eq!(current(&fleet, EXECUTOR).phase, Phase::Down);
    assert!(Client::connect(fleet.executors()[0].address).is_err());
}

#[test]
fn an_unchanged_list_is_not_sent_again() {
    let fleet = fleet();
    let tag = "If-None-Match: \"1\"";

    let whole = request(fleet.vms_address(), "GET /vms", &[], "");
    let unchanged = request(fleet.vms_address(), "GET /vms?since=1", &[tag], "");
    change(&fleet, EXECUTOR, "drain", 0);
    wait_until("the list shows the drain", || {
        listed(&fleet, EXECUTOR).phase == Phase::Leaving
    });
    let changed = request(fleet.vms_address(), "GET /vms?since=1", &[tag], "");

    assert!(whole.has_header("ETag: \"1\""));
    assert_eq!(
        (unchanged.status, unchanged.has_header("ETag: \"1\"")),
        (304, true)
    );
    assert!(changed.has_header("ETag: \"2\""));
    let body = changed.json();
    assert_eq!((&body["version"], &body["since"]), (&json!(2), &json!(1)));
    assert_eq!(body["vms"].as_array().unwrap().len(), 1);
    assert_eq!(body["vms"][0]["id"], json!(EXECUTOR));
}
