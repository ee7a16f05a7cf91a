//! Messages between processes: valid, forged, replayed, truncated and oversized ones.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use amaranthwick::http::{ClientLimits, ConnectionPool, Request, Reuse, ServerLimits};
use amaranthwick::id::{Incarnation, MemberId, Offset};
use amaranthwick::peer::{Client, Handler, Heartbeat, PeerError, PeerReply, PeerRequest, Server};
use amaranthwick::runtime::Runtime;
use amaranthwick::secret::FleetSecret;
use futures_lite::future::block_on;
use rstest::rstest;

#[derive(Clone, Default)]
struct Echo(Arc<AtomicUsize>);

impl Handler for Echo {
    async fn handle(&self, message: PeerRequest) -> PeerReply {
        self.0.fetch_add(1, Ordering::SeqCst);
        match message {
            PeerRequest::Heartbeat(heartbeat) => PeerReply::Heartbeat(heartbeat),
            other => panic!("not sent here: {other:?}"),
        }
    }
}

struct Fixture {
    _runtime: Runtime,
    server: Server,
    echo: Echo,
}

const SECRET: [u8; 32] = [7; 32];

fn localhost() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn fixture() -> Fixture {
    let runtime = Runtime::start(2).expect("traffic threads");
    let echo = Echo::default();
    let limits = ServerLimits {
        max_body: 4 << 10,
        ..ServerLimits::default()
    };
    let secret = FleetSecret::new(SECRET);
    let server = Server::bind(localhost(), &runtime, secret, limits, echo.clone()).expect("bind");
    Fixture {
        _runtime: runtime,
        server,
        echo,
    }
}

fn heartbeat(member: &str) -> PeerRequest {
    PeerRequest::Heartbeat(Heartbeat {
        member: MemberId::new(member),
        incarnation: Incarnation(1),
        offset: Offset(2),
        verified_ms: Some(3),
        heard: Vec::new(),
        data_centres: Vec::new(),
    })
}

fn ask(
    secret: [u8; 32],
    address: SocketAddr,
    message: &PeerRequest,
) -> Result<PeerReply, PeerError> {
    let client = Client::new(FleetSecret::new(secret));
    block_on(client.ask(address, message, &ClientLimits::default()))
}

/// Builds a request with valid headers, independently of the client.
fn authenticated(address: SocketAddr, age_ms: i64, body: Vec<u8>) -> Request {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock");
    let time = u64::try_from(now.as_millis())
        .expect("time")
        .saturating_add_signed(-age_ms);
    let nonce = fastrand::u128(..);
    let mac = FleetSecret::new(SECRET).mac(&[
        b"request",
        address.to_string().as_bytes(),
        b"\0",
        &time.to_be_bytes(),
        &nonce.to_be_bytes(),
        &body,
    ]);
    let (left, right) = mac.split_at(16);
    let half = |bytes: &[u8]| u128::from_be_bytes(bytes.try_into().expect("16 bytes"));
    let mac = format!("{:032x}{:032x}", half(left), half(right));
    let mut request = Request::new("POST", "/peer", body);
    request.headers = vec![
        ("x-peer-time".to_owned(), time.to_string()),
        ("x-peer-nonce".to_owned(), format!("{nonce:032x}")),
        ("x-peer-mac".to_owned(), mac),
    ];
    request
}

fn bytes(message: &PeerRequest) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("encode")
}

fn handled(fixture: &Fixture) -> usize {
    fixture.echo.0.load(Ordering::SeqCst)
}

fn send(fixture: &Fixture, request: &Request) -> u16 {
    let (pool, limits) = (ConnectionPool::new(), ClientLimits::default());
    let sent = pool.send(fixture.server.address(), request, Reuse::Any, &limits);
    block_on(sent).expect("answer").status
}

#[test]
fn valid_message_is_answered() {
    let fixture = fixture();

    let reply = ask(SECRET, fixture.server.address(), &heartbeat("a")).expect("answer");

    let PeerRequest::Heartbeat(sent) = heartbeat("a") else {
        unreachable!()
    };
    assert_eq!(reply, PeerReply::Heartbeat(sent));
}

#[test]
fn message_with_another_secret_is_rejected() {
    let fixture = fixture();

    let reply = ask([8; 32], fixture.server.address(), &heartbeat("a"));

    assert_eq!(reply, Err(PeerError::Refused(401)));
    assert_eq!(handled(&fixture), 0);
    assert_eq!(fixture.server.rejects().forged.load(Ordering::Relaxed), 1);
}

#[test]
fn message_to_another_address_is_rejected() {
    let fixture = fixture();
    let other = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));

    let status = send(&fixture, &authenticated(other, 0, bytes(&heartbeat("a"))));

    assert_eq!(status, 401);
    assert_eq!(handled(&fixture), 0);
}

#[test]
fn message_sent_twice_is_handled_once() {
    let fixture = fixture();
    let request = authenticated(fixture.server.address(), 0, bytes(&heartbeat("a")));

    let statuses = (send(&fixture, &request), send(&fixture, &request));

    assert_eq!(statuses, (200, 409));
    assert_eq!(handled(&fixture), 1);
    let replayed = &fixture.server.rejects().replayed;
    assert_eq!(replayed.load(Ordering::Relaxed), 1);
}

#[rstest]
#[case::old(30_000)]
#[case::from_the_future(-30_000)]
#[case::older_than_the_server(2_000)]
fn message_with_an_unacceptable_time_is_rejected(#[case] age_ms: i64) {
    let fixture = fixture();

    let request = authenticated(fixture.server.address(), age_ms, bytes(&heartbeat("a")));

    assert_eq!(send(&fixture, &request), 403);
    assert_eq!(handled(&fixture), 0);
}

#[rstest]
#[case::truncated_mac("x-peer-mac", "00", 401)]
#[case::not_hex("x-peer-mac", "zz", 400)]
#[case::no_time("x-peer-time", "", 400)]
#[case::changed_time("x-peer-time", "5", 401)]
#[case::changed_nonce("x-peer-nonce", "5", 401)]
fn changed_header_is_rejected(#[case] name: &str, #[case] value: &str, #[case] expected: u16) {
    let fixture = fixture();
    let mut request = authenticated(fixture.server.address(), 0, bytes(&heartbeat("a")));
    for header in &mut request.headers {
        if header.0 == name {
            value.clone_into(&mut header.1);
        }
    }

    let status = send(&fixture, &request);

    assert_eq!(status, expected);
    assert_eq!(handled(&fixture), 0);
}

#[test]
fn truncated_message_is_rejected_and_the_next_is_answered() {
    let fixture = fixture();
    let address = fixture.server.address();
    let whole = bytes(&heartbeat("a"));
    let mut changed = authenticated(address, 0, whole.clone());
    changed.body.truncate(5);

    let changed = send(&fixture, &changed);
    let truncated = send(&fixture, &authenticated(address, 0, whole[..5].to_vec()));
    let empty = send(&fixture, &Request::new("POST", "/peer", Vec::new()));
    let large = send(&fixture, &authenticated(address, 0, vec![0; 5 << 10]));
    let next = ask(SECRET, address, &heartbeat("b"));

    assert_eq!((changed, truncated, empty, large), (401, 400, 400, 413));
    assert_eq!(handled(&fixture), 1);
    assert!(next.is_ok());
}
