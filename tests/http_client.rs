//! The HTTP client against fake servers on loopback that send raw bytes, mostly in violation of the
//! protocol.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use amaranthwick::http::{ClientLimits, ConnectionPool, FailureKind, Request, Reuse};
use futures_lite::future::block_on;
use rstest::rstest;

/// Serves each connection with the next script: writes one response per request and closes the
/// connection after the last.
fn serve(scripts: Vec<Vec<&'static [u8]>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for script in scripts {
            let (stream, _) = listener.accept().expect("accept");
            thread::spawn(move || run_script(stream, &script));
        }
    });
    address
}

fn run_script(mut stream: TcpStream, script: &[&[u8]]) {
    for response in script {
        if !read_head(&mut stream) {
            return;
        }
        stream.write_all(response).expect("write");
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

const COMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

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
fn invalid_response_is_never_returned(#[case] response: &'static [u8], #[case] kind: FailureKind) {
    // Arrange
    let address = serve(vec![vec![response], vec![COMPLETE]]);
    let pool = ConnectionPool::new();

    // Act
    let invalid = block_on(pool.send(address, &get(), Reuse::Any, &limits()));
    let next = block_on(pool.send(address, &get(), Reuse::Any, &limits()));

    // Assert
    let failure = invalid.expect_err("no complete response");
    assert_eq!(failure.kind, kind, "{failure:?}");
    assert!(failure.written > 0);
    assert_eq!(next.expect("complete response").body, b"whole");
}

#[test]
fn connection_with_unread_bytes_is_not_reused() {
    let extra: &[u8] =
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ncrossed";
    let address = serve(vec![vec![extra, COMPLETE], vec![COMPLETE]]);
    let pool = ConnectionPool::new();

    let first = block_on(pool.send(address, &get(), Reuse::Any, &limits())).expect("first");
    let second = block_on(pool.send(address, &get(), Reuse::Any, &limits())).expect("second");

    assert_eq!(first.body, b"a");
    assert_eq!(second.body, b"whole");
}

#[test]
fn connection_closed_while_idle_is_not_reused() {
    let address = serve(vec![
        vec![b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"],
        vec![COMPLETE],
    ]);
    let pool = ConnectionPool::new();

    block_on(pool.send(address, &get(), Reuse::Any, &limits())).expect("first");
    // The fake server closes the connection after its only response.
    thread::sleep(Duration::from_millis(50));
    let second = block_on(pool.send(address, &get(), Reuse::Recent, &limits())).expect("second");

    assert_eq!(second.body, b"whole");
}

#[test]
fn idle_connection_without_unread_bytes_is_reused() {
    let address = serve(vec![vec![
        COMPLETE,
        b"HTTP/1.1 204 No Content\r\n\r\n",
        COMPLETE,
    ]]);
    let pool = ConnectionPool::new();

    let replies: Vec<u16> = (0..3)
        .map(|_| block_on(pool.send(address, &get(), Reuse::Any, &limits())).expect("response"))
        .map(|reply| reply.status)
        .collect();

    assert_eq!(replies, [200, 204, 200]);
    assert_eq!(pool.idle_count(), 1);
}

#[test]
fn connection_idle_for_over_500_ms_is_not_reused_for_a_request_that_must_run_once() {
    let fresh: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfresh";
    let address = serve(vec![vec![COMPLETE, COMPLETE], vec![fresh]]);
    let pool = ConnectionPool::new();
    let post = Request::new("POST", "/x", Vec::new());

    block_on(pool.send(address, &get(), Reuse::Any, &limits())).expect("first");
    thread::sleep(Duration::from_millis(600));
    let second = block_on(pool.send(address, &post, Reuse::Recent, &limits())).expect("second");

    assert_eq!(second.body, b"fresh");
    assert_eq!(pool.idle_count(), 1, "the old connection is closed");
}

#[test]
fn chunked_response_is_decoded_without_headers_that_were_not_sent() {
    let address = serve(vec![vec![
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    ]]);
    let pool = ConnectionPool::new();

    let reply = block_on(pool.send(address, &get(), Reuse::Any, &limits())).expect("response");

    assert_eq!(reply.body, b"abc");
    assert_eq!(reply.headers, []);
}

#[test]
fn timeout_and_refused_connection_are_distinguished() {
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

/// Without `body_ms`, a large body over a slow link exceeded the response timeout, and the request
/// was repeated without end.
#[test]
fn body_may_take_body_ms_longer_once_the_head_has_arrived() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().expect("accept");
            read_head(&mut stream);
            let (head, body) = COMPLETE.split_at(COMPLETE.len() - 2);
            stream.write_all(head).expect("write");
            thread::sleep(Duration::from_millis(600));
            let _ = stream.write_all(body);
        }
    });
    let slow = ClientLimits {
        body_ms: 2_000,
        ..limits()
    };
    // One pool each, since the server closes a connection after its response.
    let (first, second) = (ConnectionPool::new(), ConnectionPool::new());

    let complete = block_on(first.send(address, &get(), Reuse::Any, &slow)).expect("a response");
    let timeout =
        block_on(second.send(address, &get(), Reuse::Any, &limits())).expect_err("timeout");

    assert_eq!(complete.body, b"whole");
    assert_eq!(timeout.kind, FailureKind::Silent);
}

/// Guards against a call that is carried out long after it was given up: the bytes of a request
/// that a network cut held up were delivered when the cut ended, because the client closed the
/// connection in order. A reset discards them.
#[test]
fn a_request_given_up_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        assert!(read_head(&mut stream));
        stream.read(&mut [0]).map_err(|error| error.kind())
    });
    let limits = ClientLimits {
        response_ms: 50,
        ..limits()
    };

    let sent = block_on(ConnectionPool::new().send(address, &get(), Reuse::Any, &limits));
    let seen = server.join().expect("server");

    assert_eq!(sent.unwrap_err().kind, FailureKind::Silent);
    assert_eq!(seen, Err(std::io::ErrorKind::ConnectionReset));
}

/// Guards against the same when the caller gives up: it drops the future that sends the request.
#[test]
fn a_request_whose_future_is_dropped_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        assert!(read_head(&mut stream));
        stream.read(&mut [0]).map_err(|error| error.kind())
    });
    let pool = ConnectionPool::new();

    let (request, limits) = (get(), ClientLimits::default());
    let sent = pool.send(address, &request, Reuse::Any, &limits);
    let given_up = async {
        async_io::Timer::after(Duration::from_millis(50)).await;
        None
    };
    let answer = block_on(futures_lite::future::or(
        async { Some(sent.await) },
        given_up,
    ));
    let seen = server.join().expect("server");

    assert!(answer.is_none());
    assert_eq!(seen, Err(std::io::ErrorKind::ConnectionReset));
}

/// Guards against an order that is sent although its sender may no longer give orders: the process
/// was suspended after the decision, or while it connected.
#[test]
fn a_request_that_is_withdrawn_is_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        stream.read(&mut [0]).map_err(|error| error.kind())
    });
    let pool = ConnectionPool::new();

    let sent = block_on(pool.send_if(address, &get(), Reuse::Any, &limits(), || false));
    let seen = server.join().expect("server");

    let failure = sent.unwrap_err();
    assert_eq!((failure.kind, failure.written), (FailureKind::Withdrawn, 0));
    assert_eq!(seen, Err(std::io::ErrorKind::ConnectionReset));
}
