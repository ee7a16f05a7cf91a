//! Executors: slots, connections, run time, echo and counters.

mod common;

use std::time::{Duration, Instant};

use common::{Client, fleet, request, wait_until};

#[test]
fn echoes_the_body_and_the_request_id() {
    let fleet = fleet();
    let executor = &fleet.executors()[0];

    let answer = request(
        executor.address,
        "POST /count?flock=7",
        &["X-Request-Id: r-1", "X-Team: herd"],
        "sheep",
    );

    assert_eq!((answer.status, answer.text().as_str()), (200, "sheep"));
    assert!(answer.has_header("X-Request-Id: r-1"));
    assert!(answer.has_header(&format!("X-Executor: {}", executor.vm)));
}

#[test]
fn runs_as_long_as_the_request_says() {
    let fleet = fleet();
    let started_at = Instant::now();

    request(fleet.executors()[0].address, "GET /", &["X-Run-Ms: 60"], "");

    assert!(started_at.elapsed() >= Duration::from_millis(60));
}

#[test]
fn a_ninth_request_is_refused_as_busy() {
    let fleet = fleet();
    let executor = fleet.executors()[0].clone();
    let running: Vec<_> = (0..8)
        .map(|_| {
            let mut client = Client::connect(executor.address).unwrap();
            client.send("GET /", &["X-Run-Ms: 60000"], "").unwrap();
            client
        })
        .collect();
    wait_until("eight requests run", || {
        fleet.control().counters().executors[&executor.vm].running == 8
    });

    let ninth = request(executor.address, "GET /", &["X-Request-Id: r-9"], "");

    assert_eq!(ninth.status, 503);
    assert!(ninth.has_header("Busy: 1") && ninth.has_header("Retry-After: 1"));
    assert_eq!(fleet.control().run_count("r-9"), 0);
    assert_eq!(running.len(), 8);
    let counts = fleet.control().counters().executors[&executor.vm].clone();
    assert_eq!((counts.max_running, counts.busy, counts.runs), (8, 1, 8));
}

#[test]
fn a_connection_over_64_is_closed_until_another_one_ends() {
    let fleet = fleet();
    let executor = fleet.executors()[0].clone();
    let mut open: Vec<_> = (0..64)
        .map(|_| {
            let mut client = Client::connect(executor.address).unwrap();
            client.request("GET /", &[], "").unwrap();
            client
        })
        .collect();

    let mut over = Client::connect(executor.address).unwrap();
    let closed = over.is_closed();
    open.pop();
    wait_until("a connection ends", || {
        fleet.control().counters().executors[&executor.vm].connections == 63
    });
    let after = request(executor.address, "GET /", &[], "");

    assert!(closed);
    assert_eq!(after.status, 200);
    let counts = fleet.control().counters().executors[&executor.vm].clone();
    assert_eq!(counts.max_connections, 64);
    assert_eq!(counts.refused_connections, 1);
}

#[test]
fn a_connection_is_kept_unless_the_request_closes_it() {
    let fleet = fleet();
    let mut client = Client::connect(fleet.executors()[0].address).unwrap();

    let kept = client.request("POST /", &[], "first").unwrap();
    let last = client.request("POST /", &["Connection: close"], "last");

    assert_eq!(
        (kept.text(), last.unwrap().text()),
        ("first".into(), "last".into())
    );
    assert!(client.is_closed());
}

#[test]
fn an_incomplete_request_does_not_run() {
    let fleet = fleet();
    let executor = &fleet.executors()[0];
    let mut client = Client::connect(executor.address).unwrap();

    std::io::Write::write_all(
        &mut client.0,
        b"POST / HTTP/1.1\r\nHost: t\r\nX-Request-Id: r-1\r\nContent-Length: 50\r\n\r\nshort",
    )
    .unwrap();
    client.0.shutdown(std::net::Shutdown::Write).unwrap();
    let closed = client.is_closed();

    assert!(closed);
    assert_eq!(fleet.control().run_count("r-1"), 0);
}

#[test]
fn counters_show_repeats_and_teams_over_the_whole_fleet() {
    let fleet = fleet();
    let headers = ["X-Request-Id: r-1", "X-Team: herd"];
    request(fleet.executors()[0].address, "GET /", &headers, "");
    request(fleet.executors()[2].address, "GET /", &headers, "");

    let counters = request(fleet.control_address(), "GET /counters", &[], "").json();
    let one = request(
        fleet.control_address(),
        "GET /counters/requests/r-1",
        &[],
        "",
    );

    assert_eq!(counters["repeated"]["r-1"], 2);
    assert_eq!(counters["teams"]["herd"]["runs"], 2);
    assert_eq!(counters["teams"]["herd"]["max_running"], 1);
    assert_eq!(one.json()["runs"], 2);
}

#[test]
fn counters_are_reset_on_request() {
    let fleet = fleet();
    request(
        fleet.executors()[0].address,
        "GET /",
        &["X-Request-Id: r-1"],
        "",
    );

    let answer = request(fleet.control_address(), "DELETE /counters", &[], "");

    assert_eq!(answer.status, 204);
    assert_eq!(fleet.control().counters().runs, 0);
    assert_eq!(fleet.control().run_count("r-1"), 0);
}
