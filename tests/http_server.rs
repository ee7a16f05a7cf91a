//! The HTTP server against raw sockets that send invalid input: the input is refused with a proper
//! status, and a valid request after it is served.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use amaranthwick::http::{Handler, Reply, Request, Server, ServerLimits};
use amaranthwick::runtime::Runtime;
use async_io::Timer;
use futures_lite::future::pending;
use rstest::rstest;

/// Responds with the body of the request and counts the calls; delays `/slow` by 20 ms and never
/// responds to `/wait`.
#[derive(Clone, Default)]
struct Echo {
    runs: Arc<AtomicUsize>,
    /// Calls for `/wait` that were dropped.
    dropped: Arc<AtomicUsize>,
}

/// Adds 1 to the counter when dropped.
struct CountOnDrop(Arc<AtomicUsize>);

impl Drop for CountOnDrop {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl Handler for Echo {
    async fn handle(&self, request: Request, _: SocketAddr) -> Reply {
        self.runs.fetch_add(1, Ordering::SeqCst);
        if request.path == "/wait" {
            let _guard = CountOnDrop(Arc::clone(&self.dropped));
            pending::<()>().await;
        }
        if request.path == "/slow" {
            Timer::after(Duration::from_millis(20)).await;
        }
        Reply {
            status: 200,
            headers: vec![("x-path".to_owned(), request.path)],
            body: request.body,
        }
    }
}

struct Fixture {
    server: Server,
    echo: Echo,
    _runtime: Runtime,
}

fn fixture() -> Fixture {
    let limits = ServerLimits {
        max_connections: 8,
        max_body: 64,
        idle_ms: 2_000,
        head_ms: 300,
        body_ms: 300,
        ..ServerLimits::default()
    };
    let runtime = Runtime::start(2).expect("traffic threads");
    let echo = Echo::default();
    let address = (Ipv4Addr::LOCALHOST, 0).into();
    let server = Server::bind(address, &runtime, limits, echo.clone()).expect("bind");
    Fixture {
        server,
        echo,
        _runtime: runtime,
    }
}

impl Fixture {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.server.address()).expect("connect");
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .expect("timeout");
        stream
    }

    /// Sends bytes on a new connection and reads until the server closes it.
    fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        let _ = stream.write_all(bytes);
        read_all(&mut stream)
    }

    fn runs(&self) -> usize {
        self.echo.runs.load(Ordering::SeqCst)
    }
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("none")
}

const VALID_REQUEST: &[u8] = b"GET /good HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

#[rstest]
#[case::noise(b"\x01\x02\x03 what\r\n\r\n", "400")]
#[case::bare_lines(b"GET / HTTP/1.1\nHost: a\n\n", "400")]
#[case::no_host(b"GET / HTTP/1.1\r\n\r\n", "400")]
#[case::two_hosts(b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400")]
#[case::old_version(b"GET / HTTP/1.0\r\nHost: a\r\n\r\n", "505")]
#[case::other_protocol(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "505")]
#[case::unknown_method(b"BREW / HTTP/1.1\r\nHost: a\r\n\r\n", "501")]
#[case::tunnel(b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", "501")]
#[case::header_outside_ascii(b"GET / HTTP/1.1\r\nHost: a\r\nX-A: \xc3\xa9\r\n\r\n", "400")]
#[case::bad_host(b"GET / HTTP/1.1\r\nHost: a b[\r\n\r\n", "400")]
#[case::two_lengths(
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    "400"
)]
#[case::same_length_twice(
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
    "400"
)]
#[case::length_and_chunks(
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "400"
)]
#[case::signed_length(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +2\r\n\r\nab", "400")]
#[case::huge_length(
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
    "400"
)]
#[case::unknown_coding(
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
    "501"
)]
#[case::large_body(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n", "413")]
#[case::large_chunks(
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n",
    "413"
)]
#[case::bad_chunk_size(
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "400"
)]
#[case::long_chunk(
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n",
    "400"
)]
#[case::slow_head(b"GET / HTTP/1.1\r\nHo", "408")]
#[case::slow_body(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", "408")]
fn invalid_input_is_refused_and_not_run(#[case] bytes: &[u8], #[case] expected: &str) {
    // Arrange
    let fixture = fixture();

    // Act
    let refused = fixture.exchange(bytes);
    let runs = fixture.runs();
    let next = fixture.exchange(VALID_REQUEST);

    // Assert
    assert_eq!(status(&refused), expected, "{refused}");
    assert!(refused.contains("application/problem+json"), "{refused}");
    assert!(refused.contains(r#""outcome":"not_run""#), "{refused}");
    assert_eq!(runs, 0);
    assert_eq!(status(&next), "200");
}

#[test]
fn head_over_the_limit_is_refused() {
    let fixture = fixture();
    let long = "a".repeat(9_000);
    let head = format!("GET / HTTP/1.1\r\nHost: a\r\nX-Long: {long}\r\n\r\n");

    let refused = fixture.exchange(head.as_bytes());

    assert_eq!(status(&refused), "431", "{refused}");
    assert_eq!(fixture.runs(), 0);
}

#[test]
fn too_many_headers_are_refused() {
    let fixture = fixture();
    let lines = "A: b\r\n".repeat(200);
    let head = format!("GET / HTTP/1.1\r\nHost: a\r\n{lines}\r\n");

    let refused = fixture.exchange(head.as_bytes());

    assert_eq!(status(&refused), "431", "{refused}");
}

#[rstest]
#[case::fixed(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nabcde")]
#[case::chunked(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")]
#[case::no_last_chunk(
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
)]
fn request_with_incomplete_body_is_never_run(#[case] bytes: &[u8]) {
    let fixture = fixture();
    let mut stream = fixture.connect();

    stream.write_all(bytes).expect("write");
    stream
        .shutdown(std::net::Shutdown::Write)
        .expect("shutdown");
    read_all(&mut stream);

    assert_eq!(fixture.runs(), 0);
    assert_eq!(status(&fixture.exchange(VALID_REQUEST)), "200");
}

#[test]
fn requests_in_one_write_are_answered_in_order() {
    let fixture = fixture();
    let bytes = [
        b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab".as_slice(),
        b"POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\nT: x\r\n\r\n",
        VALID_REQUEST,
    ]
    .concat();

    let responses = fixture.exchange(&bytes);

    let paths: Vec<&str> = responses
        .split("x-path: ")
        .skip(1)
        .filter_map(|rest| rest.lines().next())
        .collect();
    assert_eq!(paths, ["/1", "/2", "/good"]);
    assert!(responses.contains("\r\n\r\nabHTTP/1.1 200"), "{responses}");
    assert!(responses.contains("\r\n\r\ncHTTP/1.1 200"), "{responses}");
    assert_eq!(fixture.runs(), 3);
}

#[test]
fn connection_stays_open_after_a_slow_response() {
    let fixture = fixture();
    let mut stream = fixture.connect();
    let slow = b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";

    stream.write_all(slow).expect("write");
    thread::sleep(Duration::from_millis(100));
    stream.write_all(VALID_REQUEST).expect("write");
    let responses = read_all(&mut stream);

    assert_eq!(responses.matches("HTTP/1.1 200").count(), 2, "{responses}");
}

#[test]
fn client_that_expects_100_continue_receives_it() {
    let fixture = fixture();
    let mut stream = fixture.connect();
    let head = b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 2\r\n\r\n";

    stream.write_all(head).expect("write");
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).expect("interim response");
    stream.write_all(b"ok").expect("write");
    let response = read_all(&mut stream);

    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    assert!(response.ends_with("\r\n\r\nok"), "{response}");
}

/// Guards against chunks whose extensions take more memory and time than any body may.
#[test]
fn chunk_extensions_over_the_limit_are_refused() {
    let chunk = format!("1;{}\r\nx\r\n", "e".repeat(3_000));
    let head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    let request = format!("{head}{}", chunk.repeat(12));

    let response = fixture().exchange(request.as_bytes());

    assert_eq!(status(&response), "413");
}

#[test]
fn handler_is_dropped_when_the_client_disconnects() {
    let fixture = fixture();
    let mut stream = fixture.connect();
    stream
        .write_all(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("write");
    wait_until(|| fixture.runs() == 1);

    drop(stream);

    wait_until(|| fixture.echo.dropped.load(Ordering::SeqCst) == 1);
}

#[test]
fn connections_over_the_limit_are_refused() {
    let fixture = fixture();
    let held: Vec<TcpStream> = (0..8).map(|_| fixture.connect()).collect();
    wait_until(|| fixture.server.connections() == 8);

    let refused = fixture.exchange(VALID_REQUEST);
    drop(held);
    wait_until(|| fixture.server.connections() == 0);

    assert_eq!(status(&refused), "503");
    assert_eq!(status(&fixture.exchange(VALID_REQUEST)), "200");
}

/// Guards against limits that refuse requests without a trace.
#[test]
fn refusals_are_counted_by_status() {
    let fixture = fixture();

    fixture.exchange(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n");
    fixture.exchange(b"GET / HTTP/9.1\r\nHost: a\r\n\r\n");
    fixture.exchange(VALID_REQUEST);

    assert_eq!(fixture.server.refusals(), vec![(413, 1), (505, 1)]);
}

fn wait_until(done: impl Fn() -> bool) {
    for _ in 0..500 {
        if done() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("not reached within 5 s");
}
