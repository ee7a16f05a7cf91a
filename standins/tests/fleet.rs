//! The life of a fleet.

mod common;

use common::{Client, ask, fleet};

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
    open.ask("GET /", &[], "").unwrap();

    drop(fleet);

    assert!(open.is_closed());
    for address in addresses {
        assert!(Client::connect(address).is_err(), "{address}");
    }
    assert_eq!(control.counters().runs, 1);
}

#[test]
fn fleets_in_one_process_are_apart() {
    let first = fleet();
    let second = fleet();

    ask(first.executors()[0].address, "GET /", &[], "");

    assert_eq!(first.control().counters().runs, 1);
    assert_eq!(second.control().counters().runs, 0);
}
