//! The control thread with its tasks, against an in-memory log.

use std::thread::sleep;
use std::time::{Duration, Instant};

use amaranthwick::control::{self, Control, Settings};
use amaranthwick::id::{JobId, MemberId, Offset, SectionId, TeamId};
use amaranthwick::ledger::Verdict;
use amaranthwick::services::LogError;
use futures_lite::future::block_on;
use serde_json::json;

use crate::fake::{EmptyVmList, FakeLog, StatePeer};
use crate::fixtures::{base, common, edit, fleet_text, submit, team_text};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "{what}");
        sleep(Duration::from_millis(5));
    }
}

fn open(id: &str, log: &FakeLog, peer: Option<Vec<u8>>) -> Control {
    let settings = Settings {
        snapshot_every: 16,
        heartbeats: false,
    };
    let mut common = common(id);
    let seed = ([127, 0, 0, 1], 1).into();
    common.peers.insert(MemberId::new("seed"), seed);
    control::spawn_with(
        &common,
        &settings,
        log.clone(),
        EmptyVmList,
        StatePeer(peer),
    )
    .expect("thread")
}

fn with_document() -> FakeLog {
    let log = FakeLog::default();
    log.push("control", &base());
    log
}

fn has_document(control: &Control) -> bool {
    control.view().document.is_some()
}

#[test]
fn a_proposal_gets_its_verdict_and_a_section_its_text() {
    let control = open("m1", &with_document(), None);
    wait_until("the document is accepted", || has_document(&control));

    let verdict = block_on(control.propose(submit("j1")));

    assert_eq!(verdict, Ok(Verdict::Accepted(Offset(2))));
    let section = block_on(control.section(&SectionId::new("fleet"))).expect("accepted");
    assert_eq!(&*section.text, fleet_text());
}

#[test]
fn the_dump_shows_each_holders_part_of_a_ceiling() {
    let control = open("m1", &with_document(), None);
    wait_until("the document is accepted", || has_document(&control));
    block_on(control.register(([127, 0, 0, 1], 7_000).into()));
    let limit = || {
        control
            .view()
            .limits
            .teams
            .get(&TeamId::new("red"))
            .copied()
    };
    wait_until("a part is held", || limit() == Some(4));

    let dump = block_on(control.dump());

    let shares = &dump["allotments"]["red"];
    assert_eq!(shares[0], json!({ "holder": "Reserve", "share": 4 }));
    assert_eq!(
        shares[1],
        json!({ "holder": { "Member": "m1" }, "share": 4 })
    );
}

#[test]
fn an_accepted_edit_takes_effect_in_every_process() {
    let log = with_document();
    let controls = ["m1", "m2", "m3"].map(|id| open(id, &log, None));
    wait_until("the document is accepted", || {
        controls.iter().all(has_document)
    });
    let proposal = edit("red", 1, &team_text(77), "red-ops");

    let verdict = block_on(controls[0].propose(proposal));

    assert!(matches!(verdict, Ok(Verdict::Accepted(_))));
    let share = |control: &Control| control.view().document.as_ref().map(|d| d.teams[0].share);
    wait_until("the edit is in force", || {
        controls.iter().all(|c| share(c) == Some(77))
    });
}

#[test]
fn a_proposal_gets_its_verdict_despite_lost_replies_of_the_log() {
    let log = with_document();
    let control = open("m1", &log, None);
    wait_until("the document is accepted", || has_document(&control));
    log.lose_replies(2);

    let verdict = block_on(control.propose(submit("j1")));

    assert!(matches!(verdict, Ok(Verdict::Accepted(_))));
    assert!(block_on(control.job(&JobId::new("j1"))).is_some());
}

#[test]
fn a_process_starts_from_a_snapshot_when_records_have_expired() {
    let log = with_document();
    let first = open("m1", &log, None);
    wait_until("the document is accepted", || has_document(&first));
    for n in 0..70 {
        block_on(first.propose(submit(&format!("j{n}")))).expect("a verdict");
    }
    let announced = || block_on(first.dump())["snapshot"].as_u64();
    wait_until("a snapshot is stored", || announced().is_some());
    let kept = log.len("control") as u64 - announced().expect("stored");
    log.expire("control", usize::try_from(kept).expect("small"));

    let second = open("m2", &log, None);

    wait_until("the document is known", || has_document(&second));
    let head = || Offset(log.len("control") as u64);
    wait_until("the head is folded", || second.view().offset == head());
    assert!(block_on(second.job(&JobId::new("j0"))).is_some());
}

#[test]
fn a_corrupt_snapshot_is_skipped_for_the_one_before() {
    let log = with_document();
    let first = open("m1", &log, None);
    wait_until("the document is accepted", || has_document(&first));
    let state = block_on(first.state()).expect("a state");
    log.push("snapshots", &[state.clone(), state]);
    log.corrupt_last("snapshots");
    log.expire("control", 0);

    let second = open("m2", &log, None);

    wait_until("the document is known", || has_document(&second));
}

#[test]
fn a_process_starts_from_the_state_of_a_peer_while_the_log_is_unreachable() {
    let log = with_document();
    let first = open("m1", &log, None);
    wait_until("the document is accepted", || has_document(&first));
    let state = block_on(first.state()).expect("a state");
    log.set_failure(Some(LogError::NotSent("away".to_owned())));

    let second = open("m2", &log, Some(state));

    wait_until("the document is known", || has_document(&second));
    assert_eq!(second.view().verified, None);
}

#[test]
fn a_process_without_any_source_of_state_stays_empty() {
    let log = with_document();
    log.expire("control", 1);

    let control = open("m1", &log, None);
    sleep(Duration::from_millis(300));

    assert_eq!(control.view().offset, Offset(0));
    assert!(!has_document(&control));
}

#[test]
fn the_head_stays_verified_while_the_log_says_that_it_is_unavailable() {
    let log = with_document();
    let control = open("m1", &log, None);
    wait_until("the document is accepted", || has_document(&control));
    log.set_failure(Some(LogError::Unavailable));
    sleep(Duration::from_millis(100));
    let down = Instant::now();

    wait_until("the head is verified", || {
        control.view().verified > Some(down)
    });
}

#[test]
fn the_verified_time_stays_behind_while_the_log_is_unreachable() {
    let log = with_document();
    let control = open("m1", &log, None);
    wait_until("the head is verified", || control.view().verified.is_some());
    log.set_failure(Some(LogError::NotSent("cut".to_owned())));
    sleep(Duration::from_millis(100));
    let cut = Instant::now();

    sleep(Duration::from_millis(1_500));

    assert!(control.view().verified < Some(cut));
}
