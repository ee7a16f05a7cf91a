//! The daemons as separate processes while the log is down or unavailable.

mod support;

use amaranthwick::dev::fleet_spec;
use amaranthwick::document;
use amaranthwick_standins::{Fault, Fleet, FleetSpec, SiteName};
use support::NERETVA;
use support::caller::fetch_state;
use support::daemons::{Daemon, DaemonStarter};
use support::operator::Operator;
use support::wait::wait_until;

const DATA_CENTRE: &str = "ploce";

fn standins() -> Fleet {
    let document = document::parse("neretva.jsonc", NERETVA).expect("valid");
    let spec = FleetSpec {
        list_lag_ms: 50,
        ..fleet_spec(&document)
    };
    Fleet::open(&spec).expect("stand-ins")
}

fn revision(entry: &Daemon, section: &str) -> Option<u64> {
    fetch_state(entry.admin_address)["control"]["sections"][section].as_u64()
}

fn has_document(entry: &Daemon) -> bool {
    revision(entry, "herds").is_some()
}

#[test]
fn entries_that_are_all_replaced_while_the_log_is_down_keep_the_document() {
    let fleet = standins();
    let starter = DaemonStarter::new(&fleet);
    let first = starter.start_entry("entry-1", DATA_CENTRE);
    let operator = Operator::new(fleet.log_address(), &[first.admin_address]);
    operator.publish_all(NERETVA);
    wait_until("the document is accepted", || has_document(&first));
    let log = SiteName::Log;
    fleet.control().set(&log, &Fault::Down).expect("a fault");

    let second = starter.start_entry_with_peers("entry-2", DATA_CENTRE, &[&first]);
    wait_until("the second has the document", || has_document(&second));
    drop(first);
    let third = starter.start_entry_with_peers("entry-3", DATA_CENTRE, &[&second]);
    wait_until("the third has the document", || has_document(&third));
    drop(second);
    fleet.control().clear(&log).expect("no fault");

    let operator = Operator::new(fleet.log_address(), &[third.admin_address]);
    let edited = NERETVA.replacen("\"share\": 30", "\"share\": 31", 1);
    let ended = operator.publish("herds-ops", "herds", &edited, &[]);
    assert_eq!(ended.exit_code, Some(0), "{ended:?}");
    wait_until("the edit is in force", || {
        revision(&third, "herds") == Some(2)
    });
}

#[test]
fn an_entry_that_starts_alone_while_the_log_is_unavailable_has_no_document_until_it_is_back() {
    let fleet = standins();
    let starter = DaemonStarter::new(&fleet);
    let first = starter.start_entry("entry-1", DATA_CENTRE);
    let operator = Operator::new(fleet.log_address(), &[first.admin_address]);
    operator.publish_all(NERETVA);
    drop(first);
    let log = SiteName::Log;
    fleet
        .control()
        .set(&log, &Fault::Unavailable)
        .expect("a fault");

    let second = starter.start_entry("entry-2", DATA_CENTRE);
    let before = has_document(&second);
    fleet.control().clear(&log).expect("no fault");

    assert!(!before);
    wait_until("the document is accepted", || has_document(&second));
}
