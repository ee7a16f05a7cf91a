//! Bytes of the heads of HTTP around one exchange of heartbeats.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;

use amaranthwick::http::{self, Limits, Reply, Request, ServerLimits};
use amaranthwick::id::{Incarnation, MemberId, Offset};
use amaranthwick::peer::{Client, Heartbeat, PeerRequest};
use amaranthwick::runtime::Runtime;
use amaranthwick::secret::FleetSecret;
use futures_lite::future::block_on;

const LIMITS: Limits = Limits {
    connect_ms: 500,
    answer_ms: 500,
    body_ms: 0,
    max_body: 64 << 10,
};

/// Length of the body of an answer; of the same number of digits as a real one's.
const BODY_BYTES: usize = 280;

/// Answers with the headers of the server for other processes.
struct Sealed;

impl http::Handler for Sealed {
    async fn handle(&self, _request: Request, _caller: SocketAddr) -> Reply {
        Reply {
            status: 200,
            headers: vec![("x-peer-mac".to_owned(), "0".repeat(64))],
            body: vec![0; BODY_BYTES],
        }
    }
}

pub(crate) fn run() {
    let message = PeerRequest::Heartbeat(heartbeat());
    let body = rmp_serde::to_vec(&message).expect("plain").len();
    let request = caught(&message);
    let reply = answered(&request);
    println!(
        "beat=exchange request_head_bytes={} reply_head_bytes={}",
        request.len() - body,
        reply.len() - BODY_BYTES,
    );
}

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

/// The request as the client writes it.
fn caught(message: &PeerRequest) -> Vec<u8> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let catcher = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        bytes
    });
    let client = Client::new(FleetSecret::new([7; 32]));
    let _ = block_on(client.ask(address, message, &LIMITS));
    catcher.join().expect("a request")
}

fn answered(request: &[u8]) -> Vec<u8> {
    let runtime = Runtime::start(1).expect("a thread");
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let server = http::Server::listen(listener, &runtime, ServerLimits::default(), Sealed);
    let server = server.expect("a server");
    let mut stream = TcpStream::connect(server.address()).expect("connected");
    stream.write_all(request).expect("written");
    stream.shutdown(Shutdown::Write).expect("open");
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).expect("read");
    assert!(reply.starts_with(b"HTTP/1.1 200"), "an answer");
    reply
}
