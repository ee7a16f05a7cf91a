//! Entries between callers and fake targets: keys, refusals, limits, misbehaving targets,
//! changes of owner and stops.

#[path = "common/entry.rs"]
mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use amaranthwick::control::{Command, Control};
use amaranthwick::entry::Entry;
use amaranthwick::id::{QueueId, TeamId};
use amaranthwick::membership::{TeamDemand, rank_owners};
use amaranthwick::view::{Target, TeamLimits, View};
use common::{
    Behaviour, FakeTarget, Fixture, authorization_line, open_entries, open_entry, request,
    send_raw, status, target, uniform_limits, unused_address, view, wait_until,
};
use futures_lite::future::block_on;
use rstest::rstest;

#[test]
fn request_reaches_a_target_and_comes_back() {
    // Arrange
    let fake = FakeTarget::open(Behaviour::Echo);
    let fixture = open_entry(&[target(0, fake.address, 8)]);
    let lines = format!(
        "{}X-Mine: yes\r\nX-Request-Id: forged\r\nX-Team: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n",
        authorization_line("neretva")
    );

    // Act
    let answer = send_raw(
        fixture.entry.caller_address(),
        &request("POST", "/q/own/count/sheep?at=noon", &lines, "42"),
    );

    // Assert
    assert_eq!(status(&answer), "200", "{answer}");
    assert!(answer.ends_with("/count/sheep?at=noon42"), "{answer}");
    assert!(answer.contains("x-request-id: "), "{answer}");
    let head = fake.head(0);
    assert!(head.contains("x-mine: yes"), "{head}");
    assert!(head.contains("x-team: neretva"), "{head}");
    assert!(!head.contains("forged"), "{head}");
    assert!(!head.contains("x-hop"), "{head}");
    assert!(!head.to_lowercase().contains("authorization"), "{head}");
}

#[rstest]
#[case::unknown_path("/other", "", "404")]
#[case::unknown_queue("/q/none/x", "", "404")]
#[case::no_queue("/q", "", "404")]
#[case::no_key("/q/own/x", "", "401")]
#[case::not_a_key("/q/own/x", "Authorization: Bearer zzz\r\n", "401")]
#[case::other_scheme("/q/own/x", "Authorization: Basic YTpi\r\n", "401")]
#[case::jobs_without_key("/jobs/1", "", "401")]
#[case::empty_idempotency_key("/q/open/x", "Idempotency-Key: \r\n", "400")]
fn bad_request_is_refused_and_nothing_runs(
    #[case] path: &str,
    #[case] lines: &str,
    #[case] expected: &str,
) {
    let fake = FakeTarget::open(Behaviour::Echo);
    let fixture = open_entry(&[target(0, fake.address, 8)]);

    let refused = send_raw(
        fixture.entry.caller_address(),
        &request("GET", path, lines, ""),
    );
    let runs = fake.runs();
    let next = send_raw(
        fixture.entry.caller_address(),
        &request("GET", "/q/open/x", "", ""),
    );

    assert_eq!(status(&refused), expected, "{refused}");
    assert!(refused.contains(r#""outcome":"not_run""#), "{refused}");
    assert!(refused.contains("x-request-id: "), "{refused}");
    assert_eq!(runs, 0);
    assert_eq!(status(&next), "200");
}

#[rstest]
#[case::own_team("own", "neretva", "200")]
#[case::other_team("own", "analytics", "403")]
#[case::any_team("teams", "analytics", "200")]
#[case::unknown_team("teams", "strangers", "401")]
#[case::open_ignores_keys("open", "strangers", "200")]
fn key_opens_only_its_teams_queues(
    #[case] queue: &str,
    #[case] team: &str,
    #[case] expected: &str,
) {
    let fake = FakeTarget::open(Behaviour::Echo);
    let fixture = open_entry(&[target(0, fake.address, 8)]);

    let answer = send_raw(
        fixture.entry.caller_address(),
        &request(
            "GET",
            &format!("/q/{queue}/x"),
            &authorization_line(team),
            "",
        ),
    );

    assert_eq!(status(&answer), expected, "{answer}");
}

#[test]
fn withdrawn_key_stops_working_with_the_next_view() {
    let fake = FakeTarget::open(Behaviour::Echo);
    let fixture = open_entry(&[target(0, fake.address, 8)]);
    let keyed = request("GET", "/q/own/x", &authorization_line("neretva"), "");
    let before = send_raw(fixture.entry.caller_address(), &keyed);

    let mut view = (*fixture.control.view()).clone();
    let mut document = common::document();
    let team = document
        .teams
        .get_mut(&TeamId::new("neretva"))
        .expect("team");
    team.keys.clear();
    view.document = Some(document.into());
    fixture.control.publish(view);
    let after = send_raw(fixture.entry.caller_address(), &keyed);

    assert_eq!((status(&before), status(&after)), ("200", "401"));
}

#[rstest]
#[case::keyed("teams", "analytics", "503")]
#[case::team_that_serves("teams", "stubborn", "200")]
#[case::open("open", "analytics", "200")]
fn stale_document_blocks_keys_unless_the_team_allows_it(
    #[case] queue: &str,
    #[case] team: &str,
    #[case] expected: &str,
) {
    let fake = FakeTarget::open(Behaviour::Echo);
    let fixture = open_entry(&[target(0, fake.address, 8)]);
    let mut view = (*fixture.control.view()).clone();
    view.verified = Instant::now().checked_sub(Duration::from_secs(5));
    fixture.control.publish(view);

    let answer = send_raw(
        fixture.entry.caller_address(),
        &request(
            "GET",
            &format!("/q/{queue}/x"),
            &authorization_line(team),
            "",
        ),
    );

    assert_eq!(status(&answer), expected, "{answer}");
}

#[rstest]
#[case::cut_body(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nabcde", "502")]
#[case::no_length(b"HTTP/1.1 200 OK\r\n\r\nabcde", "502")]
#[case::two_lengths(
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "502"
)]
#[case::interim(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "502"
)]
#[case::unregistered_status(b"HTTP/1.1 799 Odd\r\nContent-Length: 0\r\n\r\n", "502")]
#[case::cut_chunks(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab", "502")]
#[case::not_http(b"no HTTP at all\r\n\r\n", "502")]
fn broken_answer_to_post_is_unknown_and_not_sent_again(
    #[case] answer: &'static [u8],
    #[case] expected: &str,
) {
    let fakes = [
        FakeTarget::open(Behaviour::WriteRaw(answer)),
        FakeTarget::open(Behaviour::WriteRaw(answer)),
    ];
    let targets = [
        target(0, fakes[0].address, 8),
        target(1, fakes[1].address, 8),
    ];
    let fixture = open_entry(&targets);

    let answer = send_raw(
        fixture.entry.caller_address(),
        &request("POST", "/q/open/x", "", "claim"),
    );

    assert_eq!(status(&answer), expected, "{answer}");
    assert!(answer.contains(r#""outcome":"unknown""#), "{answer}");
    assert!(
        answer.contains("proxy-status: amaranthwick; error="),
        "{answer}"
    );
    assert_eq!(fakes[0].runs() + fakes[1].runs(), 1);
}

#[test]
fn broken_answer_to_get_is_tried_on_another_target() {
    let bad = FakeTarget::open(Behaviour::Close);
    let good = FakeTarget::open(Behaviour::Echo);
    let fixture = open_entry(&[target(0, bad.address, 8), target(1, good.address, 8)]);

    let answers: Vec<String> = (0..4)
        .map(|_| {
            send_raw(
                fixture.entry.caller_address(),
                &request("GET", "/q/open/x", "", ""),
            )
        })
        .collect();

    assert!(
        answers.iter().all(|answer| status(answer) == "200"),
        "{answers:?}"
    );
    assert!(bad.runs() > 0);
}

#[test]
fn post_is_tried_elsewhere_when_the_target_is_not_reached() {
    let good = FakeTarget::open(Behaviour::Echo);
    let fixture = open_entry(&[target(0, unused_address(), 8), target(1, good.address, 8)]);

    let answers: Vec<String> = (0..4)
        .map(|_| {
            send_raw(
                fixture.entry.caller_address(),
                &request("POST", "/q/open/x", "", "a"),
            )
        })
        .collect();

    assert!(
        answers.iter().all(|answer| status(answer) == "200"),
        "{answers:?}"
    );
    assert_eq!(good.runs(), 4);
}

#[test]
fn busy_target_has_not_run_the_request() {
    let busy = FakeTarget::open(Behaviour::WriteRaw(
        b"HTTP/1.1 503 Busy\r\nBusy: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    ));
    let good = FakeTarget::open(Behaviour::Echo);
    let both = open_entry(&[target(0, busy.address, 8), target(1, good.address, 8)]);
    let alone = open_entry(&[target(0, busy.address, 8)]);
    let post = request("POST", "/q/open/x", "", "a");

    let answers: Vec<String> = (0..3)
        .map(|_| send_raw(both.entry.caller_address(), &post))
        .collect();
    let refused = send_raw(alone.entry.caller_address(), &post);

    assert!(
        answers.iter().all(|answer| status(answer) == "200"),
        "{answers:?}"
    );
    assert_eq!(status(&refused), "503", "{refused}");
    assert!(refused.contains(r#""outcome":"not_run""#), "{refused}");
    assert!(refused.contains("retry-after: "), "{refused}");
}

#[test]
fn silent_target_ends_in_unknown_at_the_run_limit() {
    let silent = FakeTarget::open(Behaviour::Silent);
    let fixture = open_entry(&[target(0, silent.address, 8)]);
    let start = Instant::now();

    let answer = send_raw(
        fixture.entry.caller_address(),
        &request("POST", "/q/open/x", "", "a"),
    );

    assert_eq!(status(&answer), "504", "{answer}");
    assert!(answer.contains(r#""outcome":"unknown""#), "{answer}");
    assert!(start.elapsed() >= Duration::from_millis(700));
    assert_eq!(silent.runs(), 1);
}

#[test]
fn retry_after_a_silent_connection_goes_over_a_new_one() {
    let fakes = [(); 3].map(|()| FakeTarget::open(Behaviour::EchoOnce(100)));
    let targets: Vec<Target> = (0..)
        .zip(&fakes)
        .map(|(i, fake)| target(i, fake.address, 1))
        .collect();
    let fixture = open_entry(&targets);
    let address = fixture.entry.caller_address();
    let get = request("GET", "/q/open/x", "", "");
    let first: Vec<_> = (0..3)
        .map(|_| {
            let bytes = get.clone();
            thread::spawn(move || send_raw(address, &bytes))
        })
        .collect();
    for thread in first {
        thread.join().expect("join");
    }
    assert!(fakes.iter().all(|fake| fake.runs() == 1));

    let answer = send_raw(address, &get);

    assert_eq!(status(&answer), "200", "{answer}");
}

#[test]
fn request_that_gets_no_slot_in_time_has_not_run() {
    let slow = FakeTarget::open(Behaviour::DelayedEcho(600));
    let fixture = open_entry(&[target(0, slow.address, 1)]);
    let address = fixture.entry.caller_address();
    let first = thread::spawn(move || send_raw(address, &request("POST", "/q/open/1", "", "a")));
    wait_until(|| slow.runs() == 1);

    let late = send_raw(
        address,
        &request("POST", "/q/open/2", "Prefer: wait=0\r\n", "b"),
    );

    assert_eq!(status(&late), "503", "{late}");
    assert!(late.contains(r#""outcome":"not_run""#), "{late}");
    assert_eq!(status(&first.join().expect("join")), "200");
    assert_eq!(slow.runs(), 1);
}

#[test]
fn full_queue_refuses() {
    let slow = FakeTarget::open(Behaviour::DelayedEcho(300));
    let fixture = open_entry(&[target(0, slow.address, 1)]);
    let address = fixture.entry.caller_address();
    let callers: Vec<_> = (0..4)
        .map(|_| thread::spawn(move || send_raw(address, &request("GET", "/q/tiny/x", "", ""))))
        .collect();

    let answers: Vec<String> = callers
        .into_iter()
        .map(|c| c.join().expect("join"))
        .collect();

    let count = |code| answers.iter().filter(|a| status(a) == code).count();
    assert_eq!((count("200"), count("503")), (2, 2), "{answers:?}");
}

#[test]
fn target_never_runs_more_than_its_slots() {
    let fake = FakeTarget::open(Behaviour::DelayedEcho(20));
    let fixture = open_entry(&[target(0, fake.address, 3)]);
    let address = fixture.entry.caller_address();
    let callers: Vec<_> = (0..30)
        .map(|_| thread::spawn(move || send_raw(address, &request("GET", "/q/open/x", "", ""))))
        .collect();

    let answers: Vec<String> = callers
        .into_iter()
        .map(|c| c.join().expect("join"))
        .collect();

    assert!(
        answers.iter().all(|answer| status(answer) == "200"),
        "{answers:?}"
    );
    assert_eq!(fake.max_running.load(Ordering::SeqCst), 3);
}

#[test]
fn slot_of_a_caller_who_left_is_free_only_when_the_run_has_ended() {
    let fake = FakeTarget::open(Behaviour::DelayedEcho(300));
    let fixture = open_entry(&[target(0, fake.address, 1)]);
    let address = fixture.entry.caller_address();
    let mut gone = TcpStream::connect(address).expect("connect");
    gone.write_all(&request("GET", "/q/open/1", "", ""))
        .expect("write");
    wait_until(|| fake.runs() == 1);

    drop(gone);
    let next = send_raw(address, &request("GET", "/q/open/2", "", ""));

    assert_eq!(status(&next), "200", "{next}");
    assert_eq!(fake.max_running.load(Ordering::SeqCst), 1);
}

#[test]
fn queued_request_of_a_caller_who_left_is_never_run() {
    let fake = FakeTarget::open(Behaviour::DelayedEcho(300));
    let fixture = open_entry(&[target(0, fake.address, 1)]);
    let address = fixture.entry.caller_address();
    let first = thread::spawn(move || send_raw(address, &request("GET", "/q/open/1", "", "")));
    wait_until(|| fake.runs() == 1);
    let mut gone = TcpStream::connect(address).expect("connect");
    gone.write_all(&request("GET", "/q/open/2", "", ""))
        .expect("write");
    wait_until(|| fixture.entry.dump()["owner"]["pools"][0]["waiting"] == 1);

    drop(gone);
    wait_until(|| fixture.entry.dump()["owner"]["pools"][0]["waiting"] == 0);
    let running = fake.running.load(Ordering::SeqCst);
    first.join().expect("join");
    let third = send_raw(address, &request("GET", "/q/open/3", "", ""));

    assert_eq!(running, 1, "left before the first run had ended");
    assert_eq!(status(&third), "200", "{third}");
    assert_eq!(fake.runs(), 2);
}

#[test]
fn leaving_target_gets_no_new_requests() {
    let (leaving, staying) = (
        FakeTarget::open(Behaviour::Echo),
        FakeTarget::open(Behaviour::Echo),
    );
    let fixture = open_entry(&[]);
    let mut targets = vec![target(0, leaving.address, 8), target(1, staying.address, 8)];
    targets[0].leaving = true;
    fixture
        .control
        .publish(view(targets, fixture.control.view().members.clone()));

    for _ in 0..4 {
        let answer = send_raw(
            fixture.entry.caller_address(),
            &request("GET", "/q/open/x", "", ""),
        );
        assert_eq!(status(&answer), "200", "{answer}");
    }

    assert_eq!((leaving.runs(), staying.runs()), (0, 4));
}

#[test]
fn team_runs_no_more_than_its_limit() {
    let fake = FakeTarget::open(Behaviour::DelayedEcho(50));
    let fixture = open_entry(&[target(0, fake.address, 8)]);
    let mut view = (*fixture.control.view()).clone();
    view.limits = uniform_limits(2);
    fixture.control.publish(view);
    let address = fixture.entry.caller_address();

    let callers: Vec<_> = (0..10)
        .map(|_| thread::spawn(move || send_raw(address, &request("GET", "/q/open/x", "", ""))))
        .collect();
    let answers: Vec<String> = callers
        .into_iter()
        .map(|c| c.join().expect("join"))
        .collect();

    assert!(
        answers.iter().all(|answer| status(answer) == "200"),
        "{answers:?}"
    );
    assert_eq!(fake.max_running.load(Ordering::SeqCst), 2);
}

/// Indices of the entries that have queued requests themselves instead of forwarding them.
fn owners(fixtures: &[Fixture]) -> Vec<usize> {
    (0..fixtures.len())
        .filter(|i| fixtures[*i].entry.dump()["owner"]["pools"] != serde_json::json!([]))
        .collect()
}

#[rstest]
#[case::no_limit(TeamLimits::default())]
#[case::expired(TeamLimits { valid_until: Some(Instant::now()), ..uniform_limits(9) })]
fn nothing_starts_without_a_limit_in_force(#[case] limits: TeamLimits) {
    let fake = FakeTarget::open(Behaviour::Echo);
    let fixture = open_entry(&[target(0, fake.address, 8)]);
    let with_limit = (*fixture.control.view()).clone();
    let mut without = with_limit.clone();
    without.limits = limits;
    fixture.control.publish(without);
    let address = fixture.entry.caller_address();

    let refused = send_raw(
        address,
        &request("POST", "/q/open/x", "Prefer: wait=0\r\n", "a"),
    );
    let waiting = thread::spawn(move || send_raw(address, &request("POST", "/q/open/x", "", "a")));
    wait_until(|| fixture.entry.dump()["owner"]["pools"][0]["waiting"] == 1);
    let runs = fake.runs();
    fixture.control.publish(with_limit);
    let answer = waiting.join().expect("join");

    assert_eq!(status(&refused), "503", "{refused}");
    assert_eq!(runs, 0);
    assert_eq!(status(&answer), "200", "{answer}");
}

#[test]
fn requests_are_counted_by_outcome_and_unknown_queues_make_no_series() {
    let fake = FakeTarget::open(Behaviour::DelayedEcho(20));
    let fixture = open_entry(&[target(0, fake.address, 8)]);
    let metrics = fixture.entry.metrics();
    let address = fixture.entry.caller_address();

    send_raw(address, &request("GET", "/q/open/x", "", ""));
    send_raw(address, &request("GET", "/q/own/x", "", ""));
    send_raw(address, &request("GET", "/q/made-up/x", "", ""));

    let text = metrics.snapshot();
    let counted = |parts: &[&str]| {
        text.lines()
            .any(|line| line.contains("requests_total") && parts.iter().all(|p| line.contains(p)))
    };
    assert!(counted(&["open", "answered"]), "{text}");
    assert!(counted(&["none", "not_run", "NoKey"]), "{text}");
    assert!(counted(&["none", "not_run", "NoQueue"]), "{text}");
    let time = text.lines().find(|l| l.contains("request_us queue=open"));
    let least = time.and_then(|line| line.split("min=").nth(1)?.split(' ').next()?.parse().ok());
    assert!(least.is_some_and(|us: u64| us >= 20_000), "{text}");
    assert!(!text.contains("made-up"), "{text}");
}

#[test]
fn request_held_back_by_a_limit_is_reported_at_once() {
    let fake = FakeTarget::open(Behaviour::Echo);
    let (control, commands) = Control::channel();
    let entry = Entry::open(&common::config("a"), control.clone()).expect("open entry");
    let mut view = view(
        vec![target(0, fake.address, 8)],
        vec![common::member("a", entry.peer_address())],
    );
    view.limits = TeamLimits {
        version: 7,
        ..TeamLimits::default()
    };
    control.publish(view);
    let address = entry.caller_address();

    let caller = thread::spawn(move || send_raw(address, &request("GET", "/q/open/x", "", "")));
    // The entry reports every 100 ms; the request waits for 2 s.
    let report = (0..15)
        .find_map(
            |_| match block_on(commands.recv()).expect("the entry lives") {
                Command::Report(report) if !report.demands.is_empty() => Some(report),
                _ => None,
            },
        )
        .expect("a report with a demand");
    caller.join().expect("join");

    let expected = TeamDemand {
        team: TeamId::new("neretva"),
        running: 0,
        waiting: 1,
    };
    assert_eq!((report.version, report.demands), (7, vec![expected]));
}

#[test]
fn any_entry_serves_and_one_owner_runs_all_requests() {
    let fake = FakeTarget::open(Behaviour::DelayedEcho(20));
    let fixtures = open_entries(&["a", "b", "c"], &[target(0, fake.address, 2)]);
    let addresses: Vec<_> = fixtures.iter().map(|f| f.entry.caller_address()).collect();

    let callers: Vec<_> = (0..18)
        .map(|i| {
            let address = addresses[i % 3];
            thread::spawn(move || send_raw(address, &request("POST", "/q/open/x", "", "body")))
        })
        .collect();
    let answers: Vec<String> = callers
        .into_iter()
        .map(|c| c.join().expect("join"))
        .collect();

    assert!(
        answers.iter().all(|answer| status(answer) == "200"),
        "{answers:?}"
    );
    assert_eq!(fake.runs(), 18);
    assert_eq!(fake.max_running.load(Ordering::SeqCst), 2);
    assert_eq!(owners(&fixtures).len(), 1);
}

#[test]
fn loss_of_the_owner_loses_no_request() {
    let fake = FakeTarget::open(Behaviour::Echo);
    let mut fixtures = open_entries(&["a", "b", "c"], &[target(0, fake.address, 8)]);
    let post = request("POST", "/q/open/x", "", "body");
    send_raw(fixtures[0].entry.caller_address(), &post);
    let owner = owners(&fixtures)[0];

    // The other entries still count the owner as alive.
    block_on(fixtures.remove(owner).entry.stop());
    let answers: Vec<String> = fixtures
        .iter()
        .map(|f| send_raw(f.entry.caller_address(), &post))
        .collect();

    assert!(
        answers.iter().all(|answer| status(answer) == "200"),
        "{answers:?}"
    );
    assert_eq!(fake.runs(), 3);
    assert_eq!(
        owners(&fixtures).len(),
        1,
        "both walk to the same next owner"
    );
}

#[test]
fn stop_finishes_running_and_waiting_requests() {
    let fake = FakeTarget::open(Behaviour::DelayedEcho(200));
    let fixture = open_entry(&[target(0, fake.address, 1)]);
    let address = fixture.entry.caller_address();
    let callers: Vec<_> = (0..3)
        .map(|_| thread::spawn(move || send_raw(address, &request("POST", "/q/open/x", "", "a"))))
        .collect();
    wait_until(|| fixture.entry.dump()["busy"] == 3);
    let state = fixture.entry.state();

    let stopping = thread::spawn(move || block_on(fixture.entry.stop()));
    wait_until(|| !state.healthy());
    let health = send_raw(address, &request("GET", "/healthz", "", ""));
    stopping.join().expect("join");
    let busy = state.dump()["busy"].clone();

    assert_eq!(status(&health), "503", "{health}");
    assert_eq!(busy, 0);
    for caller in callers {
        let answer = caller.join().expect("join");
        assert_eq!(status(&answer), "200", "{answer}");
    }
    assert!(TcpStream::connect(address).is_err());
}

const KEYED: &str = "Idempotency-Key: claim-7\r\n";

#[test]
fn repeat_under_a_key_gets_the_first_answer_through_any_entry() {
    let fake = FakeTarget::open(Behaviour::Echo);
    let fixtures = open_entries(&["a", "b", "c"], &[target(0, fake.address, 8)]);

    let answers: Vec<String> = fixtures
        .iter()
        .map(|f| {
            send_raw(
                f.entry.caller_address(),
                &request("POST", "/q/open/x", KEYED, "a"),
            )
        })
        .collect();

    assert!(
        answers.iter().all(|answer| answer.ends_with("/xa")),
        "{answers:?}"
    );
    assert_eq!(fake.runs(), 1);
}

#[test]
fn repeat_after_the_loss_of_the_owner_is_not_run_again() {
    let fake = FakeTarget::open(Behaviour::Echo);
    let mut fixtures = open_entries(&["a", "b", "c"], &[target(0, fake.address, 8)]);
    let post = request("POST", "/q/open/x", KEYED, "a");
    send_raw(fixtures[0].entry.caller_address(), &post);
    let owner = owners(&fixtures)[0];
    wait_until(|| {
        let noted = |f: &Fixture| f.entry.dump()["idempotency_keys"] == 1;
        fixtures.iter().filter(|f| noted(f)).count() == 2
    });
    thread::sleep(Duration::from_millis(100));

    block_on(fixtures.remove(owner).entry.stop());
    let answers: Vec<String> = fixtures
        .iter()
        .map(|f| send_raw(f.entry.caller_address(), &post))
        .collect();

    assert!(
        answers.iter().all(|answer| answer.ends_with("/xa")),
        "{answers:?}"
    );
    assert_eq!(fake.runs(), 1);
}

#[test]
fn repeat_while_the_first_runs_is_refused_as_unknown() {
    let fake = FakeTarget::open(Behaviour::DelayedEcho(400));
    let fixture = open_entry(&[target(0, fake.address, 8)]);
    let address = fixture.entry.caller_address();
    let post = request("POST", "/q/open/x", KEYED, "a");
    let mut first = TcpStream::connect(address).expect("connect");
    first.write_all(&post).expect("write");
    wait_until(|| fake.runs() == 1);

    let repeat = send_raw(address, &post);
    // The first caller disconnects; the answer must be kept nevertheless.
    drop(first);
    wait_until(|| status(&send_raw(address, &post)) == "200");

    assert_eq!(status(&repeat), "409", "{repeat}");
    assert!(repeat.contains(r#""outcome":"unknown""#), "{repeat}");
    assert_eq!(fake.runs(), 1);
}

#[test]
fn key_is_bound_to_its_request_team_and_queue() {
    let fake = FakeTarget::open(Behaviour::Echo);
    let fixture = open_entry(&[target(0, fake.address, 8)]);
    let address = fixture.entry.caller_address();
    let lines = |team| format!("{KEYED}{}", authorization_line(team));

    let first = send_raw(
        address,
        &request("POST", "/q/teams/x", &lines("neretva"), "a"),
    );
    let changed = send_raw(
        address,
        &request("POST", "/q/teams/x", &lines("neretva"), "b"),
    );
    let other = send_raw(
        address,
        &request("POST", "/q/teams/x", &lines("analytics"), "b"),
    );

    assert_eq!(status(&first), "200");
    assert_eq!(status(&changed), "422", "{changed}");
    assert!(changed.contains(r#""outcome":"not_run""#), "{changed}");
    assert_eq!(status(&other), "200", "{other}");
    assert_eq!(fake.runs(), 2);
}

#[test]
fn unknown_outcome_under_a_key_stays_unknown_and_not_run_may_run() {
    let cut = FakeTarget::open(Behaviour::Close);
    let fixture = open_entry(&[target(0, cut.address, 8)]);
    let address = fixture.entry.caller_address();
    let post = request("POST", "/q/open/x", KEYED, "a");
    let refused = request("POST", "/q/open/x", "Idempotency-Key: b\r\n", "b");

    let unknown = [send_raw(address, &post), send_raw(address, &post)];
    let mut without_targets = (*fixture.control.view()).clone();
    let with_targets = without_targets.clone();
    without_targets.targets.clear();
    fixture.control.publish(without_targets);
    let not_run = send_raw(address, &refused);
    fixture.control.publish(with_targets);
    send_raw(address, &refused);

    assert!(unknown.iter().all(|a| a.contains(r#""outcome":"unknown""#)));
    assert!(not_run.contains(r#""outcome":"not_run""#), "{not_run}");
    assert_eq!(cut.runs(), 2);
}

#[test]
fn new_owner_asks_the_old_one_for_a_key() {
    let fake = FakeTarget::open(Behaviour::Echo);
    let fixtures = open_entries(&["a", "b", "c"], &[target(0, fake.address, 8)]);
    let all = (*fixtures[0].control.view()).clone();
    let newcomer = rank_owners(&QueueId::new("herd"), &all.members)[0]
        .id
        .clone();
    let mut before = all.clone();
    before.members.retain(|member| member.id != newcomer);
    let publish = |view: &View| {
        for fixture in &fixtures {
            fixture.control.publish(view.clone());
        }
    };
    let post = request("POST", "/q/open/x", KEYED, "a");

    publish(&before);
    let first = send_raw(fixtures[0].entry.caller_address(), &post);
    publish(&all);
    let repeat = send_raw(fixtures[0].entry.caller_address(), &post);

    assert!(first.ends_with("/xa"), "{first}");
    assert!(repeat.ends_with("/xa"), "{repeat}");
    assert_eq!(fake.runs(), 1);
}
