//! Entries on loopback with hand-made control views, in front of fake targets that write raw bytes.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use amaranthwick::config::{CommonConfig, EntryConfig, PlatformAddresses};
use amaranthwick::control::Control;
use amaranthwick::document::{
    Access, Budgets, Class, DataCentreSpec, Document, FleetSection, OnStale, PoolSpec, QueueSpec,
    Service, TargetKind, TeamKey, TeamSection, format_secret, key_hash,
};
use amaranthwick::entry::Entry;
use amaranthwick::id::{
    ClassId, DataCentre, Incarnation, KeyId, MemberId, Offset, PoolId, QueueId, Rack, ServiceId,
    TeamId, VmId,
};
use amaranthwick::secret::FleetSecret;
use amaranthwick::view::{Member, Target, TeamLimits, View};
use indexmap::IndexMap;

/// Loopback address with port 0: the kernel chooses a free port.
pub(crate) fn any_loopback_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Secret of the only key of a team.
pub(crate) fn team_secret(team: &str) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..team.len()].copy_from_slice(team.as_bytes());
    key_hash(&bytes)
}

/// `Authorization` header line with the key of a team.
pub(crate) fn authorization_line(team: &str) -> String {
    format!(
        "Authorization: Bearer {}\r\n",
        format_secret(&team_secret(team))
    )
}

fn queue(access: Access, max_queued: u32) -> QueueSpec {
    QueueSpec {
        pool: PoolId::new("herd"),
        access,
        max_queued,
        max_bytes: 1 << 20,
        wait_ms: 2_000,
    }
}

fn team(name: &str) -> TeamSection {
    let mut keys = IndexMap::new();
    let sha256 = key_hash(&team_secret(name));
    keys.insert(KeyId::new("main"), TeamKey { sha256 });
    TeamSection {
        share: 1,
        ceiling: 100,
        pools: IndexMap::new(),
        queues: IndexMap::new(),
        keys,
        operators: IndexMap::new(),
        on_stale: OnStale::Refuse,
    }
}

/// A document of three teams with a key each. `neretva` has the queues `open`, `teams`, `own` and
/// `tiny` on the pool `herd`; `analytics` and `stubborn` have no queues, and `stubborn` is served
/// while its keys may be out of date (`on_stale`).
pub(crate) fn document() -> Document {
    let mut owner = team("neretva");
    let pool = PoolSpec {
        service: Some(ServiceId::new("records")),
        class: ClassId::new("small"),
        vms: IndexMap::new(),
        spare: false,
    };
    owner.pools.insert(PoolId::new("herd"), pool);
    for (name, access, max_queued) in [
        ("open", Access::Open, 100),
        ("teams", Access::Teams, 100),
        ("own", Access::Own, 100),
        ("tiny", Access::Open, 1),
    ] {
        owner
            .queues
            .insert(QueueId::new(name), queue(access, max_queued));
    }
    let mut stale_server = team("stubborn");
    stale_server.on_stale = OnStale::Serve;
    let teams = IndexMap::from([
        (TeamId::new("neretva"), owner),
        (TeamId::new("analytics"), team("analytics")),
        (TeamId::new("stubborn"), stale_server),
    ]);
    let class = Class {
        kind: TargetKind::Executor,
        cores: 2,
        memory_mb: 4_096,
        accelerators: 0,
        slots: 8,
        connections: 64,
    };
    let service = Service {
        class: ClassId::new("small"),
        run_limit_ms: 700,
        idempotent: false,
    };
    let region = DataCentreSpec {
        region: "dalmatia".to_owned(),
    };
    Document {
        fleet: FleetSection {
            data_centres: IndexMap::from([(DataCentre::new("split"), region)]),
            classes: IndexMap::from([(ClassId::new("small"), class)]),
            services: IndexMap::from([(ServiceId::new("records"), service)]),
            budgets: Budgets {
                pool_percent: 10,
                racks: 1,
                vms: 2,
                cycle_days: 42,
            },
            operators: IndexMap::new(),
            owners: IndexMap::new(),
        },
        teams,
    }
}

/// Target number `i` in a rack of its own, with room for `slots` requests at a time.
pub(crate) fn target(i: usize, address: SocketAddr, slots: u32) -> Target {
    Target {
        vm: VmId::new(&format!("vm-{i}")),
        data_centre: DataCentre::new("split"),
        rack: Rack::new(&format!("rack-{i}")),
        address,
        slots,
        connections: 64,
        leaving: false,
    }
}

/// View with [`document`], `targets` in the pool `herd` and a limit of 100 for each team. It is
/// verified a minute ahead of now, so that keys stay fresh for a whole test.
pub(crate) fn view(targets: Vec<Target>, members: Vec<Member>) -> View {
    View {
        offset: Offset(1),
        document: Some(Arc::new(document())),
        limits: uniform_limits(100),
        targets: IndexMap::from([(PoolId::new("herd"), targets)]),
        members,
        planner: None,
        verified: Some(Instant::now() + Duration::from_mins(1)),
    }
}

/// Limits that give each team of [`document`] `limit`, without an end.
pub(crate) fn uniform_limits(limit: u32) -> TeamLimits {
    let teams = document().teams.into_keys();
    TeamLimits {
        version: 1,
        valid_until: None,
        teams: teams.map(|team| (team, limit)).collect(),
    }
}

/// Settings of an entry on loopback with no platform behind its addresses.
pub(crate) fn config(id: &str) -> EntryConfig {
    EntryConfig {
        common: CommonConfig {
            id: MemberId::new(id),
            data_centre: DataCentre::new("split"),
            peer: any_loopback_port(),
            admin: any_loopback_port(),
            peers: IndexMap::new(),
            platform: PlatformAddresses {
                log: any_loopback_port(),
                vms: any_loopback_port(),
                pools: any_loopback_port(),
                workers: any_loopback_port(),
            },
            secret: FleetSecret::new([9; 32]),
            root_key: [0; 32],
        },
        callers: any_loopback_port(),
        threads: 2,
        max_callers: 1_000,
        max_body_bytes: 64 << 10,
        stale_ms: 1_000,
        drain_ms: 100,
    }
}

/// A running entry and the control handle through which the test sets its view.
pub(crate) struct Fixture {
    pub(crate) entry: Entry,
    pub(crate) control: Control,
}

/// Opens entries in one data centre, whose views list each other as members.
pub(crate) fn open_entries(names: &[&str], targets: &[Target]) -> Vec<Fixture> {
    let fixtures: Vec<Fixture> = names.iter().map(|name| open_fixture(name)).collect();
    let members: Vec<Member> = names
        .iter()
        .zip(&fixtures)
        .map(|(name, fixture)| member(name, fixture.entry.peer_address()))
        .collect();
    for fixture in &fixtures {
        let view = view(targets.to_vec(), members.clone());
        fixture.control.publish(view);
    }
    fixtures
}

/// A live member in the data centre `split`.
pub(crate) fn member(name: &str, peer: SocketAddr) -> Member {
    Member {
        id: MemberId::new(name),
        incarnation: Incarnation(1),
        data_centre: DataCentre::new("split"),
        peer,
        alive: true,
    }
}

fn open_fixture(name: &str) -> Fixture {
    let (control, _commands) = Control::channel();
    let entry = Entry::open(&config(name), control.clone()).expect("open entry");
    Fixture { entry, control }
}

/// Opens a single entry in front of `targets`.
pub(crate) fn open_entry(targets: &[Target]) -> Fixture {
    open_entries(&["a"], targets).remove(0)
}

/// Sends `bytes` and returns all that the entry sends until it closes or is silent for 10 s.
pub(crate) fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("timeout");
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Bytes of a request with `Connection: close`; `lines` are further header lines.
pub(crate) fn request(method: &str, path: &str, lines: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\
         Content-Length: {length}\r\n{lines}\r\n{body}"
    )
    .into_bytes()
}

/// Status code of a raw answer; "none" if there is no status line.
pub(crate) fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

/// What a [`FakeTarget`] does with a request; times are in ms.
#[derive(Clone, Copy)]
pub(crate) enum Behaviour {
    /// Answers 200 with the path and body of the request.
    Echo,
    /// Writes these bytes and closes the connection.
    WriteRaw(&'static [u8]),
    /// Closes the connection after reading the request.
    Close,
    /// Reads the request and sends nothing.
    Silent,
    /// Waits this long, then answers as `Echo`.
    DelayedEcho(u64),
    /// Answers the first request of each connection as `DelayedEcho`, then keeps the connection
    /// open and answers nothing more.
    EchoOnce(u64),
}

/// A fake target on loopback that records the requests it gets.
pub(crate) struct FakeTarget {
    pub(crate) address: SocketAddr,
    /// Request line and headers of each request, in order of arrival.
    pub(crate) request_heads: Arc<Mutex<Vec<String>>>,
    /// Requests in progress now.
    pub(crate) running: Arc<AtomicUsize>,
    /// Most requests in progress at one time.
    pub(crate) max_running: Arc<AtomicUsize>,
}

impl FakeTarget {
    pub(crate) fn open(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind(any_loopback_port()).expect("bind");
        let fake = Self {
            address: listener.local_addr().expect("address"),
            request_heads: Arc::default(),
            running: Arc::default(),
            max_running: Arc::default(),
        };
        let request_heads = Arc::clone(&fake.request_heads);
        let (running, max_running) = (Arc::clone(&fake.running), Arc::clone(&fake.max_running));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let request_heads = Arc::clone(&request_heads);
                let (running, max_running) = (Arc::clone(&running), Arc::clone(&max_running));
                let stream = stream.expect("accept");
                thread::spawn(move || {
                    serve_connection(stream, behaviour, &request_heads, &running, &max_running);
                });
            }
        });
        fake
    }

    pub(crate) fn runs(&self) -> usize {
        self.request_heads.lock().expect("lock").len()
    }

    pub(crate) fn head(&self, i: usize) -> String {
        self.request_heads.lock().expect("lock")[i].clone()
    }
}

fn serve_connection(
    mut stream: TcpStream,
    behaviour: Behaviour,
    request_heads: &Mutex<Vec<String>>,
    running: &AtomicUsize,
    max_running: &AtomicUsize,
) {
    let mut answered = false;
    while let Some((head, body)) = read_request(&mut stream) {
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        request_heads.lock().expect("lock").push(head);
        let now = running.fetch_add(1, Ordering::SeqCst) + 1;
        max_running.fetch_max(now, Ordering::SeqCst);
        if let Behaviour::DelayedEcho(ms) | Behaviour::EchoOnce(ms) = behaviour {
            thread::sleep(Duration::from_millis(ms));
        }
        running.fetch_sub(1, Ordering::SeqCst);
        let answer = match behaviour {
            Behaviour::EchoOnce(_) if answered => {
                let _ = read_request(&mut stream);
                return;
            }
            Behaviour::Echo | Behaviour::DelayedEcho(_) | Behaviour::EchoOnce(_) => {
                answered = true;
                let length = path.len() + body.len();
                format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{path}{body}")
                    .into_bytes()
            }
            Behaviour::WriteRaw(bytes) => {
                let _ = stream.write_all(bytes);
                return;
            }
            Behaviour::Close => return,
            Behaviour::Silent => {
                thread::sleep(Duration::from_secs(5));
                return;
            }
        };
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}

fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

/// A loopback address that nothing listens on.
pub(crate) fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind(any_loopback_port()).expect("bind");
    listener.local_addr().expect("address")
}

/// Waits until `done` is true; panics after 5 s.
pub(crate) fn wait_until(done: impl Fn() -> bool) {
    for _ in 0..500 {
        if done() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("not reached within 5 s");
}
