//! Bytes of the HTTP heads of one heartbeat and its answer.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;

use amaranthwick::http::{self, ClientLimits, Reply, Request, ServerLimits};
use amaranthwick::id::{Incarnation, MemberId, Offset};
use amaranthwick::peer::{Client, Heartbeat, PeerRequest};
use amaranthwick::runtime::Runtime;
use amaranthwick::secret::FleetSecret;
use futures_lite::future::block_on;

const LIMITS: ClientLimits = ClientLimits {
    connect_ms: 500,
    response_ms: 500,
    body_ms: 0,
    max_body: 64 << 10,
};

/// Length of the reply's body, which has as many digits as that of a real one, so that the head is
/// as long.
const REPLY_BODY_BYTES: usize = 280;

/// Replies with the headers that the server for other processes sends.
struct FixedReply;

impl http::Handler for FixedReply {
    async fn handle(&self, _request: Request, _caller: SocketAddr) -> Reply {
        Reply {
            status: 200,
            headers: vec![("x-peer-mac".to_owned(), "0".repeat(64))],
            body: vec![0; REPLY_BODY_BYTES],
        }
    }
}

pub(crate) fn run() {
    let message = PeerRequest::Heartbeat(heartbeat());
    let body = rmp_serde::to_vec(&message).expect("plain data").len();
    let request = capture_request(&message);
    let reply = capture_reply(&request);
    println!(
        "beat=exchange request_head_bytes={} reply_head_bytes={}",
        request.len() - body,
        reply.len() - REPLY_BODY_BYTES,
    );
}

/// A heartbeat without news of other members; only its head is measured.
fn heartbeat() -> Heartbeat {
    Heartbeat {
        member: MemberId::new("entry-00"),
        incarnation: Incarnation(1_790_000_000_000_000),
        offset: Offset(1_000_000),
        verified_ms: Some(200),
        heard: Vec::default(),
        data_centres: Vec::default(),
    }
}

/// Bytes of the request as the client writes it.
fn capture_request(message: &PeerRequest) -> Vec<u8> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let capture = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        bytes
    });
    let client = Client::new(FleetSecret::new([7; 32]));
    let _ = block_on(client.ask(address, message, &LIMITS));
    capture.join().expect("a request")
}

/// Bytes of the reply as the server writes it.
fn capture_reply(request: &[u8]) -> Vec<u8> {
    let runtime = Runtime::start(1).expect("a thread");
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let server = http::Server::listen(listener, &runtime, ServerLimits::default(), FixedReply);
    let server = server.expect("a server");
    let mut stream = TcpStream::connect(server.address()).expect("connected");
    stream.write_all(request).expect("written");
    stream.shutdown(Shutdown::Write).expect("shut down");
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).expect("read");
    assert!(reply.starts_with(b"HTTP/1.1 200"), "an answer");
    reply
}
