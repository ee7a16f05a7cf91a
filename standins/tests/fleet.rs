//! Start and shutdown of fleets.

mod common;

use amaranthwick_standins::{Fleet, FleetSpec};
use common::{Client, fleet, request};

const PLATFORM_PAGE: &str = include_str!("../../docs/PLATFORM.md");

#[test]
fn a_dropped_fleet_closes_its_ports_and_connections() {
    let fleet = fleet();
    let control = fleet.control().clone();
    let addresses = [
        fleet.log_address(),
        fleet.vms_address(),
        fleet.pools_address(),
        fleet.workers_address(),
        fleet.executors()[0].address,
    ];
    let mut open = Client::connect(fleet.executors()[0].address).unwrap();
    open.request("GET /", &[], "").unwrap();

    drop(fleet);

    assert!(open.is_closed());
    for address in addresses {
        assert!(Client::connect(address).is_err(), "{address}");
    }
    assert_eq!(control.counters().runs, 1);
}

#[test]
fn fleets_in_one_process_are_independent() {
    let first = fleet();
    let second = fleet();

    request(first.executors()[0].address, "GET /", &[], "");

    assert_eq!(first.control().counters().runs, 1);
    assert_eq!(second.control().counters().runs, 0);
}

#[test]
fn a_fleet_starts_from_the_spec_in_the_documentation() {
    let block = PLATFORM_PAGE
        .lines()
        .skip_while(|line| !line.starts_with("    {\"classes\""))
        .take_while(|line| line.starts_with("    "));
    let text: String = block.collect();

    let spec: FleetSpec = serde_json::from_str(&text).unwrap();
    let fleet = Fleet::open(&spec).unwrap();

    assert_eq!(fleet.control().vms().len(), 33);
    assert_eq!(fleet.executors().len(), 17);
    assert_eq!(spec.log, FleetSpec::default().log);
}
