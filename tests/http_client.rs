//! A client meets servers that break the protocol; raw fake servers on loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use amaranthwick::http::{ClientLimits, ConnectionPool, FailureKind, Request, Reuse};
use futures_lite::future::block_on;
use rstest::rstest;

/// Serves each connection with the next script: one answer a request, then closes.
fn serve(scripts: Vec<Vec<&'static [u8]>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for script in scripts {
            let (stream, _) = listener.accept().expect("accept");
            thread::spawn(move || play(stream, &script));
        }
    });
    address
}

fn play(mut stream: TcpStream, script: &[&[u8]]) {
    for answer in script {
        if !read_head(&mut stream) {
            return;
        }
        stream.write_all(answer).expect("write");
    }
}

fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return false;
        }
        head.push(byte[0]);
    }
    true
}

fn limits() -> ClientLimits {
    ClientLimits {
        response_ms: 400,
        max_body: 64,
        ..ClientLimits::default()
    }
}

fn get() -> Request {
    Request::new("GET", "/x", Vec::new())
}

const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

#[rstest]
#[case::cut_body(
    b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nabcde",
    FailureKind::Cut
)]
#[case::cut_head(b"HTTP/1.1 200 OK\r\nConte", FailureKind::Cut)]
#[case::cut_chunks(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    FailureKind::Cut
)]
#[case::no_length(b"HTTP/1.1 200 OK\r\n\r\nabcde", FailureKind::BadAnswer)]
#[case::two_lengths(
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    FailureKind::BadAnswer
)]
#[case::length_and_chunks(
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    FailureKind::BadAnswer
)]
#[case::interim(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    FailureKind::BadAnswer
)]
#[case::interim_with_length(
    b"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n",
    FailureKind::BadAnswer
)]
#[case::unregistered_status(
    b"HTTP/1.1 799 Odd\r\nContent-Length: 0\r\n\r\n",
    FailureKind::BadAnswer
)]
#[case::noise(b"\x00\x01\x02\x03\r\n\r\n", FailureKind::BadAnswer)]
#[case::old_version(
    b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    FailureKind::BadAnswer
)]
#[case::header_outside_ascii(
    b"HTTP/1.1 200 OK\r\nX-A: \xc3\xa9\r\nContent-Length: 0\r\n\r\n",
    FailureKind::BadAnswer
)]
#[case::large_body(
    b"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n",
    FailureKind::BadAnswer
)]
fn broken_answer_is_never_passed_on(#[case] answer: &'static [u8], #[case] kind: FailureKind) {
    // Arrange
    let address = serve(vec![vec![answer], vec![WHOLE]]);
    let pool = ConnectionPool::new();

    // Act
    let broken = block_on(pool.send(address, &get(), Reuse::Any, &limits()));
    let next = block_on(pool.send(address, &get(), Reuse::Any, &limits()));

    // Assert
    let failure = broken.expect_err("no whole answer");
    assert_eq!(failure.kind, kind, "{failure:?}");
    assert!(failure.written > 0);
    assert_eq!(next.expect("whole answer").body, b"whole");
}

#[test]
fn connection_with_unread_bytes_is_not_reused() {
    let extra: &[u8] =
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ncrossed";
    let address = serve(vec![vec![extra, WHOLE], vec![WHOLE]]);
    let pool = ConnectionPool::new();

    let first = block_on(pool.send(address, &get(), Reuse::Any, &limits())).expect("first");
    let second = block_on(pool.send(address, &get(), Reuse::Any, &limits())).expect("second");

    assert_eq!(first.body, b"a");
    assert_eq!(second.body, b"whole");
}

#[test]
fn bytes_that_come_late_end_the_connection() {
    let address = serve(vec![
        vec![b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"],
        vec![WHOLE],
    ]);
    let pool = ConnectionPool::new();

    block_on(pool.send(address, &get(), Reuse::Any, &limits())).expect("first");
    // The fake server closes after its only answer.
    thread::sleep(Duration::from_millis(50));
    let second = block_on(pool.send(address, &get(), Reuse::Recent, &limits())).expect("second");

    assert_eq!(second.body, b"whole");
}

#[test]
fn clean_connection_is_reused() {
    let address = serve(vec![vec![WHOLE, b"HTTP/1.1 204 No Content\r\n\r\n", WHOLE]]);
    let pool = ConnectionPool::new();

    let replies: Vec<u16> = (0..3)
        .map(|_| block_on(pool.send(address, &get(), Reuse::Any, &limits())).expect("answer"))
        .map(|reply| reply.status)
        .collect();

    assert_eq!(replies, [200, 204, 200]);
    assert_eq!(pool.idle_count(), 1);
}

#[test]
fn old_connection_carries_no_request_that_must_run_once() {
    let fresh: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfresh";
    let address = serve(vec![vec![WHOLE, WHOLE], vec![fresh]]);
    let pool = ConnectionPool::new();
    let post = Request::new("POST", "/x", Vec::new());

    block_on(pool.send(address, &get(), Reuse::Any, &limits())).expect("first");
    thread::sleep(Duration::from_millis(600));
    let second = block_on(pool.send(address, &post, Reuse::Recent, &limits())).expect("second");

    assert_eq!(second.body, b"fresh");
    assert_eq!(pool.idle_count(), 1, "the old connection is closed");
}

#[test]
fn chunked_answer_is_decoded_and_no_header_is_invented() {
    let address = serve(vec![vec![
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    ]]);
    let pool = ConnectionPool::new();

    let reply = block_on(pool.send(address, &get(), Reuse::Any, &limits())).expect("answer");

    assert_eq!(reply.body, b"abc");
    assert_eq!(reply.headers, []);
}

#[test]
fn silent_server_is_told_from_a_closed_one() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let silent = listener.local_addr().expect("address");
    let closed = {
        let gone = TcpListener::bind("127.0.0.1:0").expect("bind");
        gone.local_addr().expect("address")
    };
    let pool = ConnectionPool::new();

    let timeout = block_on(pool.send(silent, &get(), Reuse::Any, &limits())).expect_err("timeout");
    let refused = block_on(pool.send(closed, &get(), Reuse::Any, &limits())).expect_err("refused");

    assert_eq!(timeout.kind, FailureKind::Silent);
    assert!(timeout.written > 0);
    assert_eq!(refused.kind, FailureKind::Connect);
    assert_eq!(refused.written, 0);
}

/// A long body over a slow link was cut off, and asked for again without end.
#[test]
fn a_body_has_time_of_its_own_once_the_head_has_come() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().expect("accept");
            read_head(&mut stream);
            let (head, body) = WHOLE.split_at(WHOLE.len() - 2);
            stream.write_all(head).expect("write");
            thread::sleep(Duration::from_millis(600));
            let _ = stream.write_all(body);
        }
    });
    let slow = ClientLimits {
        body_ms: 2_000,
        ..limits()
    };
    // A pool each: the server closes a connection after its answer.
    let (first, second) = (ConnectionPool::new(), ConnectionPool::new());

    let whole = block_on(first.send(address, &get(), Reuse::Any, &slow)).expect("an answer");
    let cut = block_on(second.send(address, &get(), Reuse::Any, &limits())).expect_err("timeout");

    assert_eq!(whole.body, b"whole");
    assert_eq!(cut.kind, FailureKind::Silent);
}
