//! An entry and a planner as real processes, by VMs, teams, pools and members.
//!
//! The other members are control threads inside the bench; relays count the bytes to and
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

use crate::fleet::{Size, edit, sections, team, team_text};
use crate::members::Members;
use crate::relay::{Passed, Relay};
use crate::support::caller::fetch_state;
use crate::support::directory::TempDirectory;
use crate::support::process::Process;
use crate::usage::Usage;
use crate::vm_list::open_fleet;

/// One renewal of each registration falls into it.
const IDLE: Duration = Duration::from_secs(15);
const BUSY: Duration = Duration::from_secs(8);
const QUIET: Duration = Duration::from_secs(2);
const PATIENCE: Duration = Duration::from_mins(1);
const PLANNER: &str = "\"lease_ms\": 5000, \"snapshot_every\": 4096";
const LOOK: Duration = Duration::from_millis(100);

/// 16,000 edits a day are one in 5.4 s; this is five times as fast.
const EDIT_GAP: Duration = Duration::from_millis(1_080);
const FASTER: f64 = 5.0;

/// What is varied, one at a time.
#[derive(Clone, Copy)]
struct Case {
    size: Size,
    members: usize,
}

const AIM: Case = Case {
    size: crate::fleet::AIM,
    members: 24,
};

pub(crate) fn by_vms() {
    for workers in [110, 1_000, 3_100] {
        measure("vms", &with(|size| size.workers = workers));
    }
}

pub(crate) fn by_teams() {
    for teams in [6, 35, 140] {
        let change = |size: &mut Size| {
            size.teams = teams;
            size.pools = size.pools.min(teams);
        };
        measure("teams", &with(change));
    }
}

pub(crate) fn by_pools() {
    for pools in [6, 18, 35] {
        measure("pools", &with(|size| size.pools = pools));
    }
}

pub(crate) fn by_members() {
    for members in [8, 24, 80] {
        measure("members", &Case { members, ..AIM });
    }
}

/// A second planner, which waits for the first to fall silent.
pub(crate) fn standby() {
    for workers in [110, 1_000, 3_100] {
        let mut case = with(|size| size.workers = workers);
        case.members = 8;
        let world = World::open(&case);
        world.settle();
        let own = PLANNER;
        let program = env!("CARGO_BIN_EXE_amaranthwick-planner");
        let through = (&world.log, &world.vms);
        let directory = &world.directory;
        let second = start(directory, &world.fleet, through, program, "planner-01", own);
        let pid = pid(&second);
        sleep(QUIET);
        let (began, before) = (Instant::now(), Usage::of(pid));
        sleep(IDLE);
        let (seconds, after) = (began.elapsed().as_secs_f64(), Usage::of(pid));
        let percent = |after: u64, before: u64| 100.0 * (after - before) as f64 / 1e9 / seconds;
        println!(
            "processes=standby vms={workers} members={} seconds={seconds:.1} core_percent={:.2} \
             control_percent={:.2} resident_kb={}",
            case.members,
            percent(after.all_ns, before.all_ns),
            percent(after.control_ns, before.control_ns),
            after.resident_kb,
        );
    }
}

fn with(change: impl FnOnce(&mut Size)) -> Case {
    let mut case = AIM;
    change(&mut case.size);
    case
}

struct World {
    fleet: Fleet,
    members: Members,
    log: Relay,
    vms: Relay,
    entry: Process,
    planner: Process,
    planner_log: Relay,
    planner_vms: Relay,
    directory: TempDirectory,
}

/// What the processes and their connections had used at a moment.
struct Reading {
    at: Instant,
    entry: Usage,
    planner: Usage,
    log: Passed,
    vms: Passed,
    planner_log: Passed,
    planner_vms: Passed,
    appends: u64,
}

fn measure(varied: &str, case: &Case) {
    let world = World::open(case);
    world.settle();
    let first = world.read();
    sleep(IDLE);
    let second = world.read();
    report(varied, case, "idle", &first, &second);
    let third = world.read();
    world.edit(case);
    let fourth = world.read();
    report(varied, case, "edits", &third, &fourth);
}

fn report(varied: &str, case: &Case, load: &str, from: &Reading, to: &Reading) {
    let seconds = (to.at - from.at).as_secs_f64();
    let rate = |passed: Passed, before: Passed| {
        let span = passed.since(before);
        (span.sent + span.received) as f64 / seconds
    };
    let percent = |after: u64, before: u64| 100.0 * (after - before) as f64 / 1e9 / seconds;
    let Size {
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
        if load == "idle" { 0.0 } else { FASTER },
        percent(to.entry.all_ns, from.entry.all_ns),
        percent(to.entry.control_ns, from.entry.control_ns),
        to.entry.resident_kb,
        rate(to.log, from.log),
        rate(to.vms, from.vms),
        percent(to.planner.all_ns, from.planner.all_ns),
        percent(to.planner.control_ns, from.planner.control_ns),
        to.planner.resident_kb,
        rate(to.planner_log, from.planner_log),
        rate(to.planner_vms, from.planner_vms),
        (to.appends - from.appends) as f64 / seconds,
    );
}

impl World {
    fn open(case: &Case) -> Self {
        let fleet = open_fleet(case.size.workers);
        publish(&fleet, &sections(&case.size));
        let directory = TempDirectory::create();
        let (log, vms) = relays(&fleet);
        let (planner_log, planner_vms) = relays(&fleet);
        let own = "\"callers\": \"127.0.0.1:0\", \"threads\": 2, \"max_callers\": 200, \
                   \"max_body_bytes\": 1048576, \"stale_ms\": 5000, \"drain_ms\": 200";
        let entry = env!("CARGO_BIN_EXE_amaranthwick-entry");
        let entry = start(&directory, &fleet, (&log, &vms), entry, "entry-00", own);
        let own = PLANNER;
        let planner = env!("CARGO_BIN_EXE_amaranthwick-planner");
        let through = (&planner_log, &planner_vms);
        let planner = start(&directory, &fleet, through, planner, "planner-00", own);
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

    /// Waits until all members are known and the planner has placed what it can.
    fn settle(&self) {
        let began = Instant::now();
        let admin = self.entry.address("admin");
        let mut calm = Instant::now();
        let mut offset = 0;
        while calm.elapsed() < QUIET && began.elapsed() < PATIENCE {
            sleep(LOOK);
            let control = &fetch_state(admin)["control"];
            let now = control["assignment"]
                .as_object()
                .map_or(0, serde_json::Map::len);
            let members = control["members"]
                .as_object()
                .map_or(0, serde_json::Map::len);
            let now = now + members;
            if now != offset || members < self.members.len() + 1 {
                offset = now;
                calm = Instant::now();
            }
        }
        sleep(QUIET);
    }

    fn read(&self) -> Reading {
        Reading {
            at: Instant::now(),
            entry: Usage::of(pid(&self.entry)),
            planner: Usage::of(pid(&self.planner)),
            log: self.log.passed(),
            vms: self.vms.passed(),
            planner_log: self.planner_log.passed(),
            planner_vms: self.planner_vms.passed(),
            appends: self.fleet.control().appends(),
        }
    }

    fn edit(&self, case: &Case) {
        let began = Instant::now();
        let mut n = 0;
        while began.elapsed() < BUSY {
            let at = n % case.size.teams;
            let base = 1 + (n / case.size.teams) as u64;
            let text = team_text(&case.size, at, 20 + n);
            let change = edit(&team(at), base, &text, &format!("{}-ops", team(at)));
            publish(&self.fleet, &[change]);
            n += 1;
            sleep(EDIT_GAP);
        }
    }
}

fn pid(process: &Process) -> u64 {
    fetch_state(process.address("admin"))["process"]["pid"]
        .as_u64()
        .expect("a pid")
}

fn relays(fleet: &Fleet) -> (Relay, Relay) {
    (
        Relay::open(fleet.log_address()),
        Relay::open(fleet.vms_address()),
    )
}

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
    let began = Instant::now();
    while block_on(log.append("control", &records)).is_err() {
        assert!(began.elapsed() < PATIENCE, "the log takes no record");
        sleep(LOOK);
    }
}

fn start(
    directory: &TempDirectory,
    fleet: &Fleet,
    (log, vms): (&Relay, &Relay),
    program: &str,
    id: &str,
    own: &str,
) -> Process {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = format!(
        "{{ \"id\": \"{id}\", \"data_centre\": \"dc-0\", \"peer\": \"{any}\", \"admin\": \"{any}\", \
         \"platform\": {{ \"log\": \"{}\", \"vms\": \"{}\", \"pools\": \"{}\", \"workers\": \"{}\" }}, \
         \"secret\": \"{}\", \"root_key\": \"{}\", {own} }}",
        log.address,
        vms.address,
        fleet.pools_address(),
        fleet.workers_address(),
        hex::encode(&example::fleet_secret()),
        hex::encode(&example::operator("root").public()),
    );
    let path = directory.write(&format!("{id}.jsonc"), &settings);
    let path = path.to_str().expect("path is text");
    Process::spawn(Path::new(program), &["--config", path])
}
