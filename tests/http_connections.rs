//! What the connections of a server hold together, and which of them make room for others.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use amaranthwick::http::{Handler, Reply, Request, Server, ServerLimits};
use amaranthwick::runtime::Runtime;

const VALID_REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
/// Longer than a connection may be idle, or slow, before it makes room for another, in ms.
const IDLE_MS: u64 = 2_500;
const PAUSE: Duration = Duration::from_millis(30);

/// Answers after a while with 4,000 bytes, and sums up the bodies that it has at a time.
#[derive(Clone)]
struct SlowHandler {
    delay_ms: u64,
    held: Arc<AtomicUsize>,
    most_held: Arc<AtomicUsize>,
}

impl Handler for SlowHandler {
    async fn handle(&self, request: Request, _caller: SocketAddr) -> Reply {
        let size = request.body.len();
        let held = self.held.fetch_add(size, Ordering::SeqCst) + size;
        self.most_held.fetch_max(held, Ordering::SeqCst);
        async_io::Timer::after(Duration::from_millis(self.delay_ms)).await;
        self.held.fetch_sub(size, Ordering::SeqCst);
        Reply {
            status: 200,
            headers: Vec::new(),
            body: vec![b'x'; 4_000],
        }
    }
}

struct Fixture {
    server: Server,
    most_held: Arc<AtomicUsize>,
    _runtime: Runtime,
}

impl Fixture {
    fn bind(limits: ServerLimits, delay_ms: u64) -> Self {
        let runtime = Runtime::start(1).expect("a thread");
        let handler = SlowHandler {
            delay_ms,
            held: Arc::default(),
            most_held: Arc::default(),
        };
        let most_held = Arc::clone(&handler.most_held);
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let server = Server::bind(any_port, &runtime, limits, handler).expect("a server");
        Self {
            server,
            most_held,
            _runtime: runtime,
        }
    }

    fn connect(&self) -> TcpStream {
        connect(self.server.address())
    }

    /// Returns whether a request on a new connection is answered with 200.
    fn serves(&self) -> bool {
        let mut stream = self.connect();
        let mut status = [0; 12];
        let sent = stream.write_all(VALID_REQUEST);
        let read = sent.and_then(|()| stream.read_exact(&mut status));
        read.is_ok() && status.ends_with(b"200")
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    let limit = Some(Duration::from_millis(1_500));
    stream.set_read_timeout(limit).expect("a time limit");
    stream.set_write_timeout(limit).expect("a time limit");
    stream
}

fn head(body_size: usize) -> Vec<u8> {
    format!("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {body_size}\r\n\r\n").into_bytes()
}

/// Guards against memory that is no longer counted once the client sends a byte of its next request.
#[test]
fn bodies_that_the_handler_has_stay_counted() {
    let limits = ServerLimits {
        max_bytes: 1 << 20,
        ..ServerLimits::default()
    };
    let fixture = Fixture::bind(limits, 3_000);

    let mut streams = Vec::new();
    for _ in 0..12 {
        let mut stream = fixture.connect();
        let _ = stream.write_all(&head(400_000));
        let _ = stream.write_all(&vec![b'x'; 400_000]);
        thread::sleep(PAUSE);
        let _ = stream.write_all(b"G");
        thread::sleep(PAUSE);
        streams.push(stream);
    }

    let most_held = fixture.most_held.load(Ordering::SeqCst);
    assert!(most_held > 0);
    assert!(most_held <= limits.max_bytes, "{most_held}");
}

/// Guards against heads that are no longer counted while the body is read.
#[test]
fn heads_stay_counted_while_the_body_is_read() {
    let limits = ServerLimits {
        max_bytes: 64 << 10,
        max_head: 16 << 10,
        ..ServerLimits::default()
    };
    let fixture = Fixture::bind(limits, 0);
    let filler = "x".repeat(12_000);
    let head =
        format!("POST /a HTTP/1.1\r\nHost: a\r\nX: {filler}\r\nContent-Length: 1000\r\n\r\n");

    let mut streams = Vec::new();
    for _ in 0..20 {
        let mut stream = fixture.connect();
        let _ = stream.write_all(head.as_bytes());
        thread::sleep(PAUSE);
        let _ = stream.write_all(b"body");
        thread::sleep(PAUSE);
        streams.push(stream);
    }

    let kept = 20 - fixture.server.revoked_connections();
    assert!(kept * 12_000 <= 64 << 10, "{kept} connections are kept");
}

/// Guards against clients that hold all places by not reading their responses.
#[test]
fn unread_responses_hold_no_places() {
    let limits = ServerLimits {
        max_connections: 4,
        ..ServerLimits::default()
    };
    let fixture = Fixture::bind(limits, 0);
    let address = fixture.server.address();
    let send_until_blocked = move || {
        let mut stream = connect(address);
        let requests = VALID_REQUEST.repeat(100);
        let sent = (0..3_000).take_while(|_| stream.write_all(&requests).is_ok());
        (sent.count(), stream)
    };
    let clients: Vec<_> = (0..4).map(|_| thread::spawn(send_until_blocked)).collect();
    let blocked = clients
        .into_iter()
        .map(|client| client.join().expect("a client"));
    let blocked: Vec<(usize, TcpStream)> = blocked.collect();

    thread::sleep(Duration::from_millis(IDLE_MS));

    assert!(blocked.iter().all(|(sent, _)| *sent < 3_000));
    assert!(fixture.serves());
}

/// Guards against a server with few places that closes a new connection although one is idle.
#[test]
fn an_idle_connection_makes_room_where_there_is_one_place() {
    let limits = ServerLimits {
        max_connections: 1,
        ..ServerLimits::default()
    };
    let fixture = Fixture::bind(limits, 0);
    let _idle = fixture.connect();

    thread::sleep(Duration::from_millis(IDLE_MS));

    assert!(fixture.serves());
}
