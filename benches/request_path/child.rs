//! Runs this program as a child process: executors or an entry.

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

/// Environment variable with the role of a child process; unset in the bench itself.
const ROLE_VARIABLE: &str = "REQUEST_PATH_ROLE";

/// Environment variable with the id of an entry.
const NAME_VARIABLE: &str = "REQUEST_PATH_NAME";

const EXECUTORS: usize = 2;
const ENTRY_THREADS: usize = 2;
const MAX_CALLERS: usize = 10_000;

/// Microseconds in one clock tick of `/proc/PID/stat`.
const TICK_US: f64 = 10_000.0;

/// What a child process runs.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Role {
    Executors,
    Entry,
}

/// Role of this process; `None` if it is the bench itself.
pub(crate) fn role() -> Option<Role> {
    match std::env::var(ROLE_VARIABLE).ok()?.as_str() {
        "executors" => Some(Role::Executors),
        _ => Some(Role::Entry),
    }
}

/// A child process that runs this program; killed when dropped.
pub(crate) struct ChildProcess {
    process: std::process::Child,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
    /// Where an entry listens for callers; port 0 for executors.
    pub(crate) caller_address: SocketAddr,
    /// First line that the process printed; empty until it is read.
    pub(crate) first_line: String,
}

impl ChildProcess {
    /// Starts the process, and reads the caller address if it is an entry.
    pub(crate) fn spawn(role: Role, name: &str) -> Self {
        let role_name = match role {
            Role::Executors => "executors",
            Role::Entry => "entry",
        };
        let mut process = Command::new(std::env::current_exe().expect("own program"))
            .env(ROLE_VARIABLE, role_name)
            .env(NAME_VARIABLE, name)
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
            caller_address: common::any_loopback_port(),
            first_line: String::new(),
        };
        if matches!(role, Role::Entry) {
            child.caller_address = child.read_address("callers");
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

    /// Reads a line `role=address` of the given role.
    pub(crate) fn read_address(&mut self, role: &str) -> SocketAddr {
        let line = self.read_line();
        let (name, address) = line.split_once('=').expect("role=address");
        assert_eq!(name, role);
        address.parse().expect("address")
    }

    pub(crate) fn write_line(&mut self, line: &str) {
        writeln!(self.input, "{line}").expect("write");
    }

    /// Processor time used so far, in user and kernel mode.
    pub(crate) fn cpu_us(&self) -> f64 {
        let stat = self.read_proc("stat");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        let ticks: f64 = fields[12..14]
            .iter()
            .filter_map(|text| text.parse::<f64>().ok())
            .sum();
        ticks * TICK_US
    }

    /// Resident memory, in kB.
    pub(crate) fn resident_kb(&self) -> u64 {
        let status = self.read_proc("status");
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.trim().strip_suffix(" kB")?.parse().ok())
            .expect("VmRSS")
    }

    /// Contents of `/proc/PID/FILE`.
    fn read_proc(&self, file: &str) -> String {
        fs::read_to_string(format!("/proc/{}/{file}", self.process.id())).expect("proc")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Prints the addresses of the executors in one line and serves until standard input ends.
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
    wait_for_end_of_input();
}

/// Prints the entry's addresses, reads one line with those of the targets and one with those of
/// the members, prints whether it owns the pool, and serves until standard input ends.
pub(crate) fn run_entry() {
    let name = std::env::var(NAME_VARIABLE).expect("name");
    let mut config = common::config(&name);
    config.threads = ENTRY_THREADS;
    config.max_callers = MAX_CALLERS;
    let (control, _commands) = Control::channel();
    let entry = Entry::open(&config, control.clone()).expect("entry");
    println!("callers={}", entry.caller_address());
    println!("peers={}", entry.peer_address());
    let mut input = stdin().lines();
    let targets = read_addresses(&mut input).into_iter().enumerate();
    let targets = targets.map(|(i, address)| common::target(i, address, 8));
    let members = ["a", "b"].into_iter().zip(read_addresses(&mut input));
    let members: Vec<_> = members
        .map(|(name, address)| common::member(name, address))
        .collect();
    let owner = rank_owners(&QueueId::new("herd"), &members)[0].id.clone();
    let mut view = common::view(targets.collect(), members);
    view.verified = Instant::now().checked_add(Duration::from_hours(1));
    view.document = Some(large_queue_document().into());
    view.limits = common::uniform_limits(1_000);
    control.publish(view);
    let role = if owner == MemberId::new(&name) {
        "owner"
    } else {
        "other"
    };
    println!("{role}");
    wait_for_end_of_input();
}

/// The document of the entry's tests, with queues that hold all open callers at once.
fn large_queue_document() -> amaranthwick::document::Document {
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

/// Reads one line of addresses separated by commas.
fn read_addresses(lines: &mut std::io::Lines<std::io::StdinLock<'static>>) -> Vec<SocketAddr> {
    let line = lines.next().expect("line").expect("text");
    line.split(',')
        .map(|text| text.parse().expect("address"))
        .collect()
}

fn wait_for_end_of_input() {
    let input: Stdin = stdin();
    for _ in input.lines() {}
}
