//! Requests without an answer: what the client reports of them, against the bytes that a server on
//! loopback receives. Bytes of a request that is reported as unsent must never be received.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use amaranthwick::http::{ClientLimits, ConnectionPool, Failure, FailureKind, Request, Reuse};
use async_io::Timer;
use futures_lite::future::{block_on, or, pending};
use rstest::rstest;
use rustix::net::sockopt::set_socket_linger;
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};

/// Time in which bytes on their way over loopback arrive.
const ARRIVAL: Duration = Duration::from_millis(100);

const COMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

/// A listener whose queue of connections that are not accepted has one place.
fn short_listener() -> (TcpListener, SocketAddr) {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("address");
    bind(&socket, &any).expect("bind");
    listen(&socket, 0).expect("listen");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("address");
    (listener, address)
}

fn short_limits() -> ClientLimits {
    ClientLimits {
        connect_ms: 300,
        response_ms: 100,
        ..ClientLimits::default()
    }
}

fn post(size: usize) -> Request {
    Request::new("POST", "/run-start", vec![b'x'; size])
}

fn send(
    pool: &ConnectionPool,
    address: SocketAddr,
    size: usize,
    limits: &ClientLimits,
) -> Result<Vec<u8>, Failure> {
    let request = post(size);
    let sent = pool.send(address, &request, Reuse::Any, limits);
    block_on(sent).map(|reply| reply.body)
}

/// Reads a request with a body of `size` bytes.
fn read_request(stream: &mut TcpStream, size: usize) -> Vec<u8> {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        received.push(byte[0]);
    }
    let mut body = vec![0; size];
    stream.read_exact(&mut body).expect("a body");
    received.extend(body);
    received
}

/// Bytes that arrive on a connection until it is quiet or ends.
fn read_rest(stream: &mut TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(ARRIVAL)).expect("timeout");
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    received
}

/// Bytes that arrive on the connections that wait at the listener, and on further ones.
fn read_waiting(listener: &TcpListener) -> Vec<u8> {
    thread::sleep(ARRIVAL);
    listener.set_nonblocking(true).expect("nonblocking");
    let mut received = Vec::new();
    while let Ok((mut stream, _)) = listener.accept() {
        stream.set_nonblocking(false).expect("blocking");
        received.extend(read_rest(&mut stream));
    }
    received
}

/// What a dark server does only once it is told to go on.
#[derive(Clone, Copy, Debug)]
enum Late {
    /// It accepts the connection.
    Accept,
    /// It reads from the accepted connection.
    Read,
    /// It reads the second request of the connection.
    Reuse,
}

/// A server that is dark until it is told to go on. Returns the request of 300 bytes that it receives
/// then.
fn dark_server(late: Late) -> (SocketAddr, Sender<()>, JoinHandle<Vec<u8>>) {
    let (listener, address) = listener();
    let (go_on, told) = channel();
    let server = thread::spawn(move || {
        if let Late::Accept = late {
            told.recv().expect("told to go on");
        }
        let (mut stream, _) = listener.accept().expect("accept");
        if let Late::Reuse = late {
            read_request(&mut stream, 1);
            stream.write_all(COMPLETE).expect("write");
        }
        if !matches!(late, Late::Accept) {
            told.recv().expect("told to go on");
        }
        read_request(&mut stream, 300)
    });
    (address, go_on, server)
}

/// Guards against a task that starts elsewhere while its target still takes the start: the reset that
/// gives a request up does not remove it from the buffers of a server that reads later.
#[rstest]
#[case::accepted_late(Late::Accept)]
#[case::read_late(Late::Read)]
#[case::read_late_on_a_reused_connection(Late::Reuse)]
fn a_request_that_is_read_after_it_was_given_up_is_not_reported_as_unsent(#[case] late: Late) {
    // Arrange
    let (address, go_on, server) = dark_server(late);
    let pool = ConnectionPool::new();
    if let Late::Reuse = late {
        send(&pool, address, 1, &ClientLimits::default()).expect("a response");
    }

    // Act
    let sent = send(&pool, address, 300, &short_limits());
    thread::sleep(ARRIVAL);
    go_on.send(()).expect("a server");
    let received = server.join().expect("server");

    // Assert
    let failure = sent.expect_err("no response");
    assert_eq!(failure.kind, FailureKind::Silent);
    assert_eq!(failure.written, received.len());
}

/// Guards against a request that is written to a connection which opens after its time-out.
#[test]
fn a_request_whose_connection_opens_too_late_is_not_sent() {
    // Arrange
    let (listener, address) = short_listener();
    let filler = TcpStream::connect(address).expect("the only place");

    // Act
    let sent = send(&ConnectionPool::new(), address, 300, &short_limits());
    drop(filler);
    let received = read_waiting(&listener);

    // Assert
    let failure = sent.expect_err("no connection");
    assert_eq!((failure.kind, failure.written), (FailureKind::Connect, 0));
    assert_eq!(received, b"");
}

/// Guards against a request of which a part was received and that is reported as unsent.
#[test]
fn a_request_that_is_reset_while_it_is_written_is_not_reported_as_unsent() {
    // Arrange
    let (listener, address) = listener();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        stream.read_exact(&mut [0; 64]).expect("the first bytes");
        set_socket_linger(&stream, Some(Duration::ZERO)).expect("linger");
    });

    // Act
    let failure = send(
        &ConnectionPool::new(),
        address,
        32 << 20,
        &ClientLimits::default(),
    )
    .expect_err("no response");
    server.join().expect("server");

    // Assert
    assert_eq!(failure.kind, FailureKind::Cut);
    assert!(failure.written >= 64, "{failure:?}");
}

/// How a server ends the connection that a client keeps.
#[derive(Clone, Copy, Debug)]
enum Ended {
    /// In order, while the connection is idle.
    ClosedIdle,
    /// By a reset, while the connection is idle.
    ResetIdle,
    /// By a reset, once it has received the next request.
    ResetInUse,
}

/// What the incarnations of a server have received.
#[derive(Debug)]
struct Received {
    earlier: Vec<u8>,
    later: Vec<u8>,
}

/// Serves one request, ends the connection and starts again at the same address. Returns what either
/// incarnation has received after that request, and tells when the second one listens.
fn restarting_server(ended: Ended) -> (SocketAddr, Receiver<()>, JoinHandle<Received>) {
    let (listener, address) = listener();
    let (ready, restarted) = channel();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        drop(listener);
        read_request(&mut stream, 1);
        stream.write_all(COMPLETE).expect("write");
        let earlier = match ended {
            Ended::ResetInUse => read_request(&mut stream, 300),
            Ended::ClosedIdle | Ended::ResetIdle => Vec::new(),
        };
        if !matches!(ended, Ended::ClosedIdle) {
            set_socket_linger(&stream, Some(Duration::ZERO)).expect("linger");
        }
        drop(stream);
        let listener = TcpListener::bind(address).expect("bind again");
        ready.send(()).expect("a client");
        thread::sleep(2 * ARRIVAL);
        let later = read_waiting(&listener);
        Received { earlier, later }
    });
    (address, restarted, server)
}

/// Guards against two copies of a request: the client sends a request again after its connection
/// has failed.
#[rstest]
#[case::closed_while_idle(Ended::ClosedIdle)]
#[case::reset_while_idle(Ended::ResetIdle)]
#[case::reset_in_use(Ended::ResetInUse)]
fn a_request_to_a_server_that_has_restarted_is_written_once(#[case] ended: Ended) {
    // Arrange
    let (address, restarted, server) = restarting_server(ended);
    let pool = ConnectionPool::new();
    send(&pool, address, 1, &ClientLimits::default()).expect("a response");
    if !matches!(ended, Ended::ResetInUse) {
        restarted.recv().expect("a restart");
    }

    // Act
    let failure = send(&pool, address, 300, &ClientLimits::default()).expect_err("no response");
    let Received { earlier, later } = server.join().expect("server");

    // Assert
    assert_eq!(failure.written, earlier.len() + later.len(), "{failure:?}");
    assert_eq!(earlier.is_empty(), !later.is_empty());
}

/// Guards against an order that is sent over a kept connection although its sender may no longer
/// give orders.
#[test]
fn a_request_that_is_withdrawn_is_not_written_to_a_reused_connection() {
    // Arrange
    let (listener, address) = listener();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        read_request(&mut stream, 1);
        stream.write_all(COMPLETE).expect("write");
        stream.read(&mut [0]).map_err(|error| error.kind())
    });
    let pool = ConnectionPool::new();
    send(&pool, address, 1, &ClientLimits::default()).expect("a response");

    // Act
    let sent = block_on(pool.send_if(address, &post(300), Reuse::Any, &short_limits(), || false));
    let seen = server.join().expect("server");

    // Assert
    let failure = sent.expect_err("withdrawn");
    assert_eq!((failure.kind, failure.written), (FailureKind::Withdrawn, 0));
    assert_eq!(seen, Err(ErrorKind::ConnectionReset));
}

/// Guards against a start that is written seconds after its leader has decided it, because the process
/// was held up while it connected.
#[test]
fn a_request_held_up_while_it_connects_is_not_sent_after_the_time_out() {
    // Arrange: the connection opens as its first packet is sent again, after 1 s.
    let (listener, address) = short_listener();
    let filler = TcpStream::connect(address).expect("the only place");
    let (pool, request, limits) = (ConnectionPool::new(), post(300), short_limits());
    let held_up = async {
        Timer::after(Duration::from_millis(10)).await;
        drop(listener.accept().expect("the first connection"));
        thread::sleep(Duration::from_millis(1_500));
        pending().await
    };

    // Act
    let sent = pool.send(address, &request, Reuse::Any, &limits);
    let failure = async_io::block_on(or(sent, held_up)).expect_err("no response");
    drop(filler);
    let received = read_waiting(&listener);

    // Assert
    assert_eq!(received.len(), 0);
    assert_eq!((failure.kind, failure.written), (FailureKind::Connect, 0));
}
