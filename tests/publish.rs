//! Tests of `amaranthwick publish` against a process that follows the log.

mod support;

use std::thread;

use amaranthwick::control::CONTROL_STREAM;
use amaranthwick::dev::fleet_spec;
use amaranthwick::document;
use amaranthwick::id::{Revision, SectionId, TeamId};
use amaranthwick_standins::{Fault, Fleet, SiteName};
use futures_lite::future::block_on;
use support::NERETVA;
use support::log_follower::LogFollower;
use support::operator::{Operator, run_command};
use support::wait::wait_until;

struct Fixture {
    fleet: Fleet,
    node: LogFollower,
    operator: Operator,
}

impl Fixture {
    fn open() -> Self {
        let document = document::parse("neretva.jsonc", NERETVA).expect("valid");
        let fleet = Fleet::open(&fleet_spec(&document)).expect("stand-ins");
        let node = LogFollower::open("n1", &fleet);
        let operator = Operator::new(fleet.log_address(), &[node.admin()]);
        Self {
            fleet,
            node,
            operator,
        }
    }

    fn with_document() -> Self {
        let fixture = Self::open();
        fixture.operator.publish_all(NERETVA);
        fixture
    }
}

/// The example document with another share for the team `herds`.
fn with_share(share: u32) -> String {
    NERETVA.replace("\"share\": 30", &format!("\"share\": {share}"))
}

#[test]
fn a_document_is_published_section_by_section() {
    let fixture = Fixture::open();

    fixture.operator.publish_all(NERETVA);

    let view = fixture.node.control.view();
    let whole = document::parse("neretva.jsonc", NERETVA).expect("valid");
    assert_eq!(view.document.as_deref(), Some(&whole));
}

#[test]
fn an_accepted_edit_names_its_revision() {
    let fixture = Fixture::with_document();

    let ended = fixture
        .operator
        .publish("herds-ops", "herds", &with_share(31), &[]);

    assert_eq!(ended.exit_code, Some(0), "{ended:?}");
    assert!(
        ended
            .stdout
            .starts_with("accepted section=herds revision=2 offset=")
    );
    let view = fixture.node.control.view();
    let document = view.document.as_ref().expect("accepted");
    assert_eq!(document.teams[&TeamId::new("herds")].share, 31);
}

#[test]
fn an_edit_of_an_older_revision_is_refused() {
    let fixture = Fixture::with_document();
    let first = ["--base", "1"];
    fixture
        .operator
        .publish("herds-ops", "herds", &with_share(31), &first);

    let ended = fixture
        .operator
        .publish("herds-ops", "herds", &with_share(32), &first);

    assert_eq!(ended.exit_code, Some(1), "{ended:?}");
    assert!(
        ended.stdout.contains(" reason=conflict current=2"),
        "{ended:?}"
    );
}

#[test]
fn an_operator_of_another_section_is_refused() {
    let fixture = Fixture::with_document();

    let ended = fixture
        .operator
        .publish("claims-ops", "herds", &with_share(31), &[]);

    assert_eq!(ended.exit_code, Some(1), "{ended:?}");
    assert!(ended.stdout.contains(" reason=unsigned"), "{ended:?}");
}

#[test]
fn findings_name_their_place_in_the_file() {
    let fixture = Fixture::with_document();
    let broken = NERETVA.replace("\"share\": 30", "\"share\": \"thirty\"");
    let line = broken
        .lines()
        .position(|l| l.contains("thirty"))
        .expect("there")
        + 1;

    let ended = fixture.operator.publish("herds-ops", "herds", &broken, &[]);

    assert_eq!(ended.exit_code, Some(1), "{ended:?}");
    assert!(
        ended.stdout.contains(" reason=invalid findings=1"),
        "{ended:?}"
    );
    let place = format!("document.jsonc:{line}:16: ");
    assert!(ended.stdout.contains(&place), "{place} in {ended:?}");
}

#[test]
fn an_answer_lost_after_the_append_does_not_repeat_the_edit() {
    let fixture = Fixture::with_document();
    let control = fixture.fleet.control();
    let before = control.head(CONTROL_STREAM);
    let lost = Fault::Lost { count: None };
    control.set(&SiteName::Log, &lost).expect("fault");

    let ended = thread::scope(|scope| {
        let publish = || {
            let document = with_share(31);
            fixture
                .operator
                .publish("herds-ops", "herds", &document, &[])
        };
        let ended = scope.spawn(publish);
        // A second append shows that the response to the first was lost.
        wait_until("a repeated append", || {
            control.head(CONTROL_STREAM) >= before + 2
        });
        control.clear(&SiteName::Log).expect("no fault");
        ended.join().expect("ended")
    });

    assert_eq!(ended.exit_code, Some(0), "{ended:?}");
    assert!(
        ended
            .stdout
            .starts_with("accepted section=herds revision=2 offset="),
        "{ended:?}"
    );
    let section = block_on(fixture.node.control.section(&SectionId::new("herds")));
    assert_eq!(section.expect("accepted").revision, Revision(2));
}

#[test]
fn a_log_that_is_down_means_nothing_was_appended() {
    let fixture = Fixture::with_document();
    fixture
        .fleet
        .control()
        .set(&SiteName::Log, &Fault::Down)
        .expect("fault");

    let ended = fixture
        .operator
        .publish("herds-ops", "herds", &with_share(31), &[]);

    assert_eq!(ended.exit_code, Some(3), "{ended:?}");
    assert!(ended.stderr.contains("nothing was appended"), "{ended:?}");
}

#[test]
fn a_missing_settings_file_is_a_usage_error() {
    let ended = run_command(&[
        "publish",
        "a.jsonc",
        "--section",
        "fleet",
        "--config",
        "/nowhere.jsonc",
    ]);

    assert_eq!(ended.exit_code, Some(2), "{ended:?}");
    assert!(ended.stderr.contains("/nowhere.jsonc"), "{ended:?}");
}
