//! This program as another process: executors or an entry.

use std::fs;
use std::io::{BufRead, BufReader, Lines, Stdin, Write, stdin};
use std::net::SocketAddr;
use std::process::{ChildStdin, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use amaranthwick::control::Control;
use amaranthwick::entry::Entry;
use amaranthwick::id::{MemberId, QueueId};
use amaranthwick::membership::rank_owners;
use amaranthwick_standins::{ClassSpec, DataCentreSpec, Fleet, FleetSpec};
use indexmap::IndexMap;

use crate::common;

const ROLE: &str = "REQUEST_PATH_ROLE";
const NAME: &str = "REQUEST_PATH_NAME";
const EXECUTORS: usize = 2;
const ENTRY_THREADS: usize = 2;
const MAX_CALLERS: usize = 10_000;

/// Microseconds in one tick of /proc/PID/stat.
const TICK_US: f64 = 10_000.0;

/// What a process does.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Role {
    Executors,
    Entry,
}

/// The role that this process was started in.
pub(crate) fn role() -> Option<Role> {
    match std::env::var(ROLE).ok()?.as_str() {
        "executors" => Some(Role::Executors),
        _ => Some(Role::Entry),
    }
}

/// A process of this program; killed when dropped.
pub(crate) struct Child {
    process: std::process::Child,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
    pub(crate) callers: SocketAddr,
    pub(crate) first_line: String,
}

impl Child {
    pub(crate) fn spawn(role: Role, name: &str) -> Self {
        let role_name = match role {
            Role::Executors => "executors",
            Role::Entry => "entry",
        };
        let mut process = Command::new(std::env::current_exe().expect("own program"))
            .env(ROLE, role_name)
            .env(NAME, name)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("start");
        let input = process.stdin.take().expect("stdin");
        let output = BufReader::new(process.stdout.take().expect("stdout")).lines();
        let mut child = Self {
            process,
            input,
            output,
            callers: common::any_loopback_port(),
            first_line: String::new(),
        };
        if matches!(role, Role::Entry) {
            child.callers = child.read_address("callers");
        }
        child
    }

    pub(crate) fn read_line(&mut self) -> String {
        let line = self.output.next().expect("line").expect("text");
        if self.first_line.is_empty() {
            self.first_line.clone_from(&line);
        }
        line
    }

    pub(crate) fn read_address(&mut self, role: &str) -> SocketAddr {
        let line = self.read_line();
        let (name, address) = line.split_once('=').expect("role=address");
        assert_eq!(name, role);
        address.parse().expect("address")
    }

    pub(crate) fn write_line(&mut self, line: &str) {
        writeln!(self.input, "{line}").expect("write");
    }

    /// Processor time so far.
    pub(crate) fn cpu_us(&self) -> f64 {
        let stat = self.proc("stat");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        let ticks: f64 = fields[12..14]
            .iter()
            .filter_map(|text| text.parse::<f64>().ok())
            .sum();
        ticks * TICK_US
    }

    /// Resident memory.
    pub(crate) fn resident_kb(&self) -> u64 {
        let status = self.proc("status");
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.trim().strip_suffix(" kB")?.parse().ok())
            .expect("VmRSS")
    }

    fn proc(&self, file: &str) -> String {
        fs::read_to_string(format!("/proc/{}/{file}", self.process.id())).expect("proc")
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Prints the executors' addresses and serves until its input ends.
pub(crate) fn run_executors() {
    let class = ClassSpec::default();
    let data_centre = DataCentreSpec {
        vms: IndexMap::from([("small".to_owned(), EXECUTORS)]),
        ..DataCentreSpec::default()
    };
    let spec = FleetSpec {
        classes: IndexMap::from([("small".to_owned(), class)]),
        data_centres: IndexMap::from([("split".to_owned(), data_centre)]),
        ..FleetSpec::default()
    };
    let fleet = Fleet::open(&spec).expect("stand-ins");
    let addresses: Vec<String> = fleet
        .executors()
        .iter()
        .map(|executor| executor.address.to_string())
        .collect();
    println!("{}", addresses.join(","));
    wait_for_end();
}

/// Prints its addresses, reads targets and members, and serves until its input ends.
pub(crate) fn run_entry() {
    let name = std::env::var(NAME).expect("name");
    let mut config = common::config(&name);
    config.threads = ENTRY_THREADS;
    config.max_callers = MAX_CALLERS;
    let (control, _commands) = Control::channel();
    let entry = Entry::open(&config, control.clone()).expect("entry");
    println!("callers={}", entry.caller_address());
    println!("peers={}", entry.peer_address());
    let mut input = stdin().lines();
    let targets = addresses(&mut input).into_iter().enumerate();
    let targets = targets.map(|(i, address)| common::target(i, address, 8));
    let members = ["a", "b"].into_iter().zip(addresses(&mut input));
    let members: Vec<_> = members
        .map(|(name, address)| common::member(name, address))
        .collect();
    let owner = rank_owners(&QueueId::new("herd"), &members)[0].id.clone();
    let mut view = common::view(targets.collect(), members);
    view.verified = Instant::now().checked_add(Duration::from_hours(1));
    view.document = Some(roomy_document().into());
    view.limits = common::uniform_limits(1_000);
    control.publish(view);
    let role = if owner == MemberId::new(&name) {
        "owner"
    } else {
        "other"
    };
    println!("{role}");
    wait_for_end();
}

/// Queues that hold all open callers at once.
fn roomy_document() -> amaranthwick::document::Document {
    let mut document = common::document();
    for team in document.teams.values_mut() {
        for queue in team.queues.values_mut() {
            queue.max_queued = 100_000;
            queue.max_bytes = 1 << 30;
            queue.wait_ms = 60_000;
        }
    }
    document
}

fn addresses(lines: &mut std::io::Lines<std::io::StdinLock<'static>>) -> Vec<SocketAddr> {
    let line = lines.next().expect("line").expect("text");
    line.split(',')
        .map(|text| text.parse().expect("address"))
        .collect()
}

fn wait_for_end() {
    let input: Stdin = stdin();
    for _ in input.lines() {}
}
