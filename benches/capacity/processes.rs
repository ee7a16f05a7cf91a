//! Processor time, memory and traffic of an entry process and a planner process, by number of VMs,
//! teams, pools and members.
//!
//! The other members are control threads inside the bench process; relays count the bytes to and
//! from the platform.

use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use amaranthwick::document::{example, hex};
use amaranthwick::id::{DataCentre, Offset, RecordId};
use amaranthwick::ledger::{Proposal, Record, encode_edit};
use amaranthwick::services::{Log, LogClient};
use amaranthwick_standins::Fleet;
use futures_lite::future::block_on;

use crate::fleet::{FleetSize, edit, section_edits, team_name, team_section};
use crate::members::Members;
use crate::relay::{Relay, Traffic};
use crate::support::caller::fetch_state;
use crate::support::directory::TempDirectory;
use crate::support::process::Process;
use crate::usage::Usage;
use crate::vm_list::open_fleet;

/// Time measured without load; each registration is renewed once in it.
const IDLE_DURATION: Duration = Duration::from_secs(15);

/// Time measured while edits are published.
const EDITS_DURATION: Duration = Duration::from_secs(8);

/// Time without a change after which the deployment counts as settled.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_mins(1);

/// Settings that only planners have.
const PLANNER_SETTINGS: &str = "\"lease_ms\": 5000, \"snapshot_every\": 4096";
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// 16,000 edits a day are one in 5.4 s; this is five times as fast.
const EDIT_INTERVAL: Duration = Duration::from_millis(1_080);

/// Rate of the edits, as a multiple of 16,000 a day.
const EDIT_SPEEDUP: f64 = 5.0;

/// Size of one deployment; the cases of a part differ in one of these numbers.
#[derive(Clone, Copy)]
struct Case {
    size: FleetSize,
    members: usize,
}

/// The case that the others vary.
const TARGET_CASE: Case = Case {
    size: crate::fleet::TARGET_SIZE,
    members: 24,
};

pub(crate) fn by_vms() {
    for workers in [110, 1_000, 3_100] {
        measure("vms", &target_case_with(|size| size.workers = workers));
    }
}

pub(crate) fn by_teams() {
    for teams in [6, 35, 140] {
        let change = |size: &mut FleetSize| {
            size.teams = teams;
            size.pools = size.pools.min(teams);
        };
        measure("teams", &target_case_with(change));
    }
}

pub(crate) fn by_pools() {
    for pools in [6, 18, 35] {
        measure("pools", &target_case_with(|size| size.pools = pools));
    }
}

pub(crate) fn by_members() {
    for members in [8, 24, 80] {
        measure(
            "members",
            &Case {
                members,
                ..TARGET_CASE
            },
        );
    }
}

/// Cost of a second planner, which stands by to take over if the first falls silent.
pub(crate) fn standby() {
    for workers in [110, 1_000, 3_100] {
        let mut case = target_case_with(|size| size.workers = workers);
        case.members = 8;
        let deployment = Deployment::open(&case);
        deployment.wait_until_settled();
        let settings = PLANNER_SETTINGS;
        let program = env!("CARGO_BIN_EXE_amaranthwick-planner");
        let relays = (&deployment.log, &deployment.vms);
        let directory = &deployment.directory;
        let second = start_process(
            directory,
            &deployment.fleet,
            relays,
            program,
            "planner-01",
            settings,
        );
        let pid = pid(&second);
        sleep(SETTLE_TIME);
        let (started, before) = (Instant::now(), Usage::of(pid));
        sleep(IDLE_DURATION);
        let (seconds, after) = (started.elapsed().as_secs_f64(), Usage::of(pid));
        let percent = |after: u64, before: u64| 100.0 * (after - before) as f64 / 1e9 / seconds;
        println!(
            "processes=standby vms={workers} members={} seconds={seconds:.1} core_percent={:.2} \
             control_percent={:.2} resident_kb={}",
            case.members,
            percent(after.cpu_ns, before.cpu_ns),
            percent(after.control_cpu_ns, before.control_cpu_ns),
            after.resident_kb,
        );
    }
}

/// The target case with `change` made to its size.
fn target_case_with(change: impl FnOnce(&mut FleetSize)) -> Case {
    let mut case = TARGET_CASE;
    change(&mut case.size);
    case
}

/// An entry and a planner that reach the platform through relays, and the other members.
struct Deployment {
    /// The platform.
    fleet: Fleet,
    members: Members,
    /// The entry's way to the log.
    log: Relay,
    /// The entry's way to the VM list.
    vms: Relay,
    entry: Process,
    planner: Process,
    planner_log: Relay,
    planner_vms: Relay,
    directory: TempDirectory,
}

/// What the processes and their connections have used until `at`.
struct Reading {
    at: Instant,
    entry: Usage,
    planner: Usage,
    log: Traffic,
    vms: Traffic,
    planner_log: Traffic,
    planner_vms: Traffic,
    /// Appends of all processes that took effect; a batch counts once.
    appends: u64,
}

/// Measures a case idle and then under edits; `varied` names the number that the part varies.
fn measure(varied: &str, case: &Case) {
    let deployment = Deployment::open(case);
    deployment.wait_until_settled();
    let first = deployment.read_usage();
    sleep(IDLE_DURATION);
    let second = deployment.read_usage();
    report(varied, case, "idle", &first, &second);
    let third = deployment.read_usage();
    deployment.publish_edits(case);
    let fourth = deployment.read_usage();
    report(varied, case, "edits", &third, &fourth);
}

fn report(varied: &str, case: &Case, load: &str, from: &Reading, to: &Reading) {
    let seconds = (to.at - from.at).as_secs_f64();
    let rate = |traffic: Traffic, before: Traffic| {
        let span = traffic.since(before);
        (span.sent + span.received) as f64 / seconds
    };
    let percent = |after: u64, before: u64| 100.0 * (after - before) as f64 / 1e9 / seconds;
    let FleetSize {
        workers,
        teams,
        pools,
    } = case.size;
    let members = case.members;
    println!(
        "processes={load} varied={varied} vms={workers} teams={teams} pools={pools} members={members} \
         seconds={seconds:.1} faster={:.0} \
         entry_core_percent={:.2} entry_control_percent={:.2} entry_kb={} \
         entry_log_bytes_per_s={:.0} entry_vms_bytes_per_s={:.0} \
         planner_core_percent={:.2} planner_control_percent={:.2} planner_kb={} \
         planner_log_bytes_per_s={:.0} planner_vms_bytes_per_s={:.0} appends_per_s={:.2}",
        if load == "idle" { 0.0 } else { EDIT_SPEEDUP },
        percent(to.entry.cpu_ns, from.entry.cpu_ns),
        percent(to.entry.control_cpu_ns, from.entry.control_cpu_ns),
        to.entry.resident_kb,
        rate(to.log, from.log),
        rate(to.vms, from.vms),
        percent(to.planner.cpu_ns, from.planner.cpu_ns),
        percent(to.planner.control_cpu_ns, from.planner.control_cpu_ns),
        to.planner.resident_kb,
        rate(to.planner_log, from.planner_log),
        rate(to.planner_vms, from.planner_vms),
        (to.appends - from.appends) as f64 / seconds,
    );
}

impl Deployment {
    fn open(case: &Case) -> Self {
        let fleet = open_fleet(case.size.workers);
        publish(&fleet, &section_edits(&case.size));
        let directory = TempDirectory::create();
        let (log, vms) = relays(&fleet);
        let (planner_log, planner_vms) = relays(&fleet);
        let settings = "\"callers\": \"127.0.0.1:0\", \"threads\": 2, \"max_callers\": 200, \
                   \"max_body_bytes\": 1048576, \"stale_ms\": 5000, \"drain_ms\": 200";
        let entry = env!("CARGO_BIN_EXE_amaranthwick-entry");
        let entry = start_process(
            &directory,
            &fleet,
            (&log, &vms),
            entry,
            "entry-00",
            settings,
        );
        let settings = PLANNER_SETTINGS;
        let planner = env!("CARGO_BIN_EXE_amaranthwick-planner");
        let relays = (&planner_log, &planner_vms);
        let planner = start_process(&directory, &fleet, relays, planner, "planner-00", settings);
        Self {
            members: Members::open(&fleet, case.members),
            fleet,
            log,
            vms,
            entry,
            planner,
            planner_log,
            planner_vms,
            directory,
        }
    }

    /// Waits until all members are known and the planner has placed what it can, but no longer than
    /// [`TIMEOUT`].
    fn wait_until_settled(&self) {
        let started = Instant::now();
        let admin = self.entry.address("admin");
        let mut unchanged_since = Instant::now();
        let mut previous = 0;
        while unchanged_since.elapsed() < SETTLE_TIME && started.elapsed() < TIMEOUT {
            sleep(POLL_INTERVAL);
            let control = &fetch_state(admin)["control"];
            let assigned = control["assignment"]
                .as_object()
                .map_or(0, serde_json::Map::len);
            let members = control["members"]
                .as_object()
                .map_or(0, serde_json::Map::len);
            let total = assigned + members;
            if total != previous || members < self.members.len() + 1 {
                previous = total;
                unchanged_since = Instant::now();
            }
        }
        sleep(SETTLE_TIME);
    }

    fn read_usage(&self) -> Reading {
        Reading {
            at: Instant::now(),
            entry: Usage::of(pid(&self.entry)),
            planner: Usage::of(pid(&self.planner)),
            log: self.log.traffic(),
            vms: self.vms.traffic(),
            planner_log: self.planner_log.traffic(),
            planner_vms: self.planner_vms.traffic(),
            appends: self.fleet.control().appends(),
        }
    }

    /// Publishes edits of the teams' sections in turn for [`EDITS_DURATION`].
    fn publish_edits(&self, case: &Case) {
        let started = Instant::now();
        let mut n = 0;
        while started.elapsed() < EDITS_DURATION {
            let team = n % case.size.teams;
            let base = 1 + (n / case.size.teams) as u64;
            let text = team_section(&case.size, team, 20 + n);
            let change = edit(
                &team_name(team),
                base,
                &text,
                &format!("{}-ops", team_name(team)),
            );
            publish(&self.fleet, &[change]);
            n += 1;
            sleep(EDIT_INTERVAL);
        }
    }
}

fn pid(process: &Process) -> u64 {
    fetch_state(process.address("admin"))["process"]["pid"]
        .as_u64()
        .expect("a pid")
}

/// Relays to the log and to the VM list.
fn relays(fleet: &Fleet) -> (Relay, Relay) {
    (
        Relay::open(fleet.log_address()),
        Relay::open(fleet.vms_address()),
    )
}

/// Appends the proposals in one batch, and tries again until the log accepts it.
fn publish(fleet: &Fleet, proposals: &[Proposal]) {
    let log = LogClient::new(fleet.log_address(), &DataCentre::new("dc-0"));
    let record = |proposal: &Proposal| {
        encode_edit(&Record {
            id: RecordId::random(),
            proposed_at: Offset(0),
            proposal: proposal.clone(),
        })
    };
    let records: Vec<Vec<u8>> = proposals.iter().map(record).collect();
    let started = Instant::now();
    while block_on(log.append("control", &records)).is_err() {
        assert!(started.elapsed() < TIMEOUT, "the log accepts no record");
        sleep(POLL_INTERVAL);
    }
}

/// Starts a daemon that reaches the log and the VM list through the relays; `settings` are those
/// that only its role has.
fn start_process(
    directory: &TempDirectory,
    fleet: &Fleet,
    (log, vms): (&Relay, &Relay),
    program: &str,
    id: &str,
    settings: &str,
) -> Process {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = format!(
        "{{ \"id\": \"{id}\", \"data_centre\": \"dc-0\", \"peer\": \"{any_port}\", \"admin\": \"{any_port}\", \
         \"platform\": {{ \"log\": \"{}\", \"vms\": \"{}\", \"pools\": \"{}\", \"workers\": \"{}\" }}, \
         \"secret\": \"{}\", \"root_key\": \"{}\", {settings} }}",
        log.address,
        vms.address,
        fleet.pools_address(),
        fleet.workers_address(),
        hex::encode(&example::fleet_secret()),
        hex::encode(&example::operator_key("root").public()),
    );
    let path = directory.write(&format!("{id}.jsonc"), &settings);
    let path = path.to_str().expect("path is text");
    Process::spawn(Path::new(program), &["--config", path])
}
