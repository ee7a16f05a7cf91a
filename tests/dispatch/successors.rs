//! Leaders that are told that another process has replaced them, and that tell earlier ones.

use std::thread;
use std::time::Duration;

use crate::process::{LEADER, Process, wait_until};

/// Guards against an earlier leader that goes on although it has answered that it was replaced.
#[test]
fn a_leader_that_is_told_of_a_later_one_stops_leading() {
    let process = Process::start(true);
    let own = process.figure("epoch").unwrap();

    let by_own = process.dispatch.superseded_by(own);
    assert!(process.leads());
    let by_later = process.dispatch.superseded_by(own + 1);

    assert_eq!(by_own, None);
    assert!(!process.leads());
    assert!(by_later.unwrap() < 1_000, "{by_later:?}");
}

/// Guards against tasks that wait for a leader that has ended long ago.
#[test]
fn a_process_that_never_led_tells_for_how_long() {
    let process = Process::start(false);
    thread::sleep(Duration::from_millis(200));

    let idle_ms = process.dispatch.superseded_by(2);

    assert!(idle_ms.unwrap() >= 200, "{idle_ms:?}");
}

/// Guards against a predecessor that is never told: records that were loaded do not say who led before.
#[test]
fn a_leader_that_has_just_loaded_the_records_tells_all_other_processes() {
    let process = Process::start(true);

    wait_until(|| process.services.script().notices.len() >= 2);

    let epoch = process.figure("epoch").unwrap();
    let notices = process.services.script().notices.clone();
    for (address, member, told) in notices {
        assert_eq!((address.port(), member.as_str()), (3, LEADER));
        assert_eq!(told, epoch);
    }
}
