//! Entries on loopback with a view made by hand and raw fake targets.
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

pub(crate) fn localhost() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Secret of the only key of a team.
pub(crate) fn secret(team: &str) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..team.len()].copy_from_slice(team.as_bytes());
    key_hash(&bytes)
}

/// `Authorization` line of a team.
pub(crate) fn bearer(team: &str) -> String {
    format!("Authorization: Bearer {}\r\n", format_secret(&secret(team)))
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
    let sha256 = key_hash(&secret(name));
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

/// Teams `neretva` with the queues `open`, `teams`, `own`, `tiny` and the pool `herd`,
/// and `analytics` and `stubborn`, which serves on stale documents, with a key each.
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
    let mut stubborn = team("stubborn");
    stubborn.on_stale = OnStale::Serve;
    let teams = IndexMap::from([
        (TeamId::new("neretva"), owner),
        (TeamId::new("analytics"), team("analytics")),
        (TeamId::new("stubborn"), stubborn),
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

pub(crate) fn view(targets: Vec<Target>, members: Vec<Member>) -> View {
    View {
        offset: Offset(1),
        document: Some(Arc::new(document())),
        limits: limits(100),
        targets: IndexMap::from([(PoolId::new("herd"), targets)]),
        members,
        planner: None,
        verified: Some(Instant::now() + Duration::from_mins(1)),
    }
}

/// The same limit for each team.
pub(crate) fn limits(limit: u32) -> TeamLimits {
    let teams = document().teams.into_keys();
    TeamLimits {
        version: 1,
        valid_until: None,
        teams: teams.map(|team| (team, limit)).collect(),
    }
}

pub(crate) fn config(id: &str) -> EntryConfig {
    EntryConfig {
        common: CommonConfig {
            id: MemberId::new(id),
            data_centre: DataCentre::new("split"),
            peer: localhost(),
            admin: localhost(),
            peers: IndexMap::new(),
            platform: PlatformAddresses {
                log: localhost(),
                vms: localhost(),
                pools: localhost(),
                workers: localhost(),
            },
            secret: FleetSecret::new([9; 32]),
            root_key: [0; 32],
        },
        callers: localhost(),
        threads: 2,
        max_callers: 1_000,
        max_body_bytes: 64 << 10,
        stale_ms: 1_000,
        drain_ms: 100,
    }
}

/// A running entry and the view that it is given.
pub(crate) struct Fixture {
    pub(crate) entry: Entry,
    pub(crate) control: Control,
}

/// Entries of one data centre that know each other.
pub(crate) fn fleet(names: &[&str], targets: &[Target]) -> Vec<Fixture> {
    let fixtures: Vec<Fixture> = names.iter().map(|name| open(name)).collect();
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

pub(crate) fn member(name: &str, peer: SocketAddr) -> Member {
    Member {
        id: MemberId::new(name),
        incarnation: Incarnation(1),
        data_centre: DataCentre::new("split"),
        peer,
        alive: true,
    }
}

fn open(name: &str) -> Fixture {
    let (control, _commands) = Control::channel();
    let entry = Entry::open(&config(name), control.clone()).expect("open entry");
    Fixture { entry, control }
}

/// One entry in front of targets.
pub(crate) fn single(targets: &[Target]) -> Fixture {
    fleet(&["a"], targets).remove(0)
}

/// Sends bytes and reads until the entry closes.
pub(crate) fn talk(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("timeout");
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// A request that asks for the connection to be closed; `lines` are further headers.
pub(crate) fn request(method: &str, path: &str, lines: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\
         Content-Length: {length}\r\n{lines}\r\n{body}"
    )
    .into_bytes()
}

pub(crate) fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

/// What a raw fake target does with a request.
#[derive(Clone, Copy)]
pub(crate) enum Act {
    /// Answers 200 with the path and body of the request.
    Echo,
    /// Writes these bytes and closes.
    Say(&'static [u8]),
    /// Closes at once after reading.
    Close,
    /// Reads and says nothing.
    Silent,
    /// Waits this long, then echoes.
    Slow(u64),
    /// Echoes the first request of each connection after this long, then keeps the
    /// connection open and says nothing.
    Once(u64),
}

/// A raw fake target that keeps the heads of its requests.
pub(crate) struct FakeTarget {
    pub(crate) address: SocketAddr,
    pub(crate) heads: Arc<Mutex<Vec<String>>>,
    pub(crate) running: Arc<AtomicUsize>,
    pub(crate) most: Arc<AtomicUsize>,
}

impl FakeTarget {
    pub(crate) fn open(act: Act) -> Self {
        let listener = TcpListener::bind(localhost()).expect("bind");
        let fake = Self {
            address: listener.local_addr().expect("address"),
            heads: Arc::default(),
            running: Arc::default(),
            most: Arc::default(),
        };
        let heads = Arc::clone(&fake.heads);
        let (running, most) = (Arc::clone(&fake.running), Arc::clone(&fake.most));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let heads = Arc::clone(&heads);
                let (running, most) = (Arc::clone(&running), Arc::clone(&most));
                let stream = stream.expect("accept");
                thread::spawn(move || play(stream, act, &heads, &running, &most));
            }
        });
        fake
    }

    pub(crate) fn runs(&self) -> usize {
        self.heads.lock().expect("lock").len()
    }

    pub(crate) fn head(&self, i: usize) -> String {
        self.heads.lock().expect("lock")[i].clone()
    }
}

fn play(
    mut stream: TcpStream,
    act: Act,
    heads: &Mutex<Vec<String>>,
    running: &AtomicUsize,
    most: &AtomicUsize,
) {
    let mut answered = false;
    while let Some((head, body)) = read_request(&mut stream) {
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        heads.lock().expect("lock").push(head);
        let now = running.fetch_add(1, Ordering::SeqCst) + 1;
        most.fetch_max(now, Ordering::SeqCst);
        if let Act::Slow(ms) | Act::Once(ms) = act {
            thread::sleep(Duration::from_millis(ms));
        }
        running.fetch_sub(1, Ordering::SeqCst);
        let answer = match act {
            Act::Once(_) if answered => {
                let _ = read_request(&mut stream);
                return;
            }
            Act::Echo | Act::Slow(_) | Act::Once(_) => {
                answered = true;
                let length = path.len() + body.len();
                format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{path}{body}")
                    .into_bytes()
            }
            Act::Say(bytes) => {
                let _ = stream.write_all(bytes);
                return;
            }
            Act::Close => return,
            Act::Silent => {
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

/// An address that nobody listens on.
pub(crate) fn nobody() -> SocketAddr {
    let listener = TcpListener::bind(localhost()).expect("bind");
    listener.local_addr().expect("address")
}

pub(crate) fn wait_until(done: impl Fn() -> bool) {
    for _ in 0..500 {
        if done() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("not reached within 5 s");
}
