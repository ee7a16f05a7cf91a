//! Time until edits and withdrawals of keys have reached 24 entry processes on loopback, and what
//! these processes cost while idle.

use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use amaranthwick::dev::fleet_spec;
use amaranthwick::document;
use amaranthwick::http::{ClientLimits, Request, send};
use amaranthwick::id::{DataCentre, Offset, RecordId, SectionId};
use amaranthwick::ledger::{Record, encode_edit};
use amaranthwick::services::{Log, LogClient};
use amaranthwick_standins::{Fleet, FleetSpec};
use futures_lite::future::block_on;

use crate::fleet::edit;
use crate::support::NERETVA;
use crate::support::caller::{fetch_state, send_request, team_request};
use crate::support::daemons::{Daemon, DaemonStarter};
use crate::support::operator::Operator;
use crate::support::wait::wait_until;

const PROCESSES: usize = 24;

/// Edits that are appended one at a time.
const EDITS: u64 = 40;

/// Edits that are appended without a pause.
const BURST: u64 = 200;

const KEY_WITHDRAWALS: u64 = 10;
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Pause before each single edit.
const EDIT_INTERVAL: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_secs(30);
const IDLE_DURATION: Duration = Duration::from_secs(20);

/// Clock ticks of `/proc/PID/stat` per second.
const TICKS_PER_S: f64 = 100.0;

/// Indices of fields in `/proc/PID/stat`, counted from 0 after the name of the program.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Team whose section is edited.
const TEAM: &str = "herds";

pub(crate) fn run() {
    let document = document::parse("neretva.jsonc", NERETVA).expect("valid");
    let spec = FleetSpec {
        list_lag_ms: 50,
        ..fleet_spec(&document)
    };
    let fleet = Fleet::open(&spec).expect("stand-ins");
    let starter = DaemonStarter::new(&fleet);
    let data_centres = ["ploce", "split", "zadar"];
    let entries: Vec<Daemon> = (0..PROCESSES)
        .map(|n| {
            starter.start_entry(
                &format!("entry-{n:02}"),
                data_centres[n % data_centres.len()],
            )
        })
        .collect();
    let operator = Operator::new(fleet.log_address(), &[entries[0].admin_address]);
    operator.publish_all(NERETVA);
    let knows_all = |entry: &Daemon| known_members(entry) == PROCESSES;
    wait_until("all members are known", || entries.iter().all(knows_all));
    let log = LogClient::new(fleet.log_address(), &DataCentre::new(data_centres[0]));
    let section = SectionId::new(TEAM);
    let text = document::section_text("neretva.jsonc", NERETVA, &section).expect("a section");
    let mut bench = Bench {
        entries,
        log,
        text,
        revision: 1,
    };
    bench.measure_idle();
    bench.measure_single_edits();
    bench.measure_burst();
    bench.measure_key_withdrawals();
}

fn pid(entry: &Daemon) -> u64 {
    fetch_state(entry.admin_address)["process"]["pid"]
        .as_u64()
        .expect("a pid")
}

/// Processor time used by a process so far, in user and kernel mode, in clock ticks.
fn cpu_ticks(pid: u64) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let (_, rest) = text.rsplit_once(')').expect("a name");
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let field = |n: usize| fields[n].parse::<u64>().expect("a number");
    field(USER_TIME_FIELD) + field(SYSTEM_TIME_FIELD)
}

/// Resident memory of a process, in kB.
fn resident_kb(pid: u64) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .expect("a size");
    let number = line.split_whitespace().nth(1).expect("a number");
    number.parse().expect("a number")
}

/// Number of members in the entry's view.
fn known_members(entry: &Daemon) -> usize {
    let members = &fetch_state(entry.admin_address)["view"]["members"];
    members.as_array().map_or(0, Vec::len)
}

/// The entries, and the section that is edited.
struct Bench {
    entries: Vec<Daemon>,
    log: LogClient,
    /// First text of the section.
    text: String,
    /// Current revision of the section.
    revision: u64,
}

impl Bench {
    /// Processor time and memory of a process that only follows the log and exchanges heartbeats.
    fn measure_idle(&self) {
        let pids: Vec<u64> = self.entries.iter().map(pid).collect();
        let before: u64 = pids.iter().map(|pid| cpu_ticks(*pid)).sum();
        sleep(IDLE_DURATION);
        let after: u64 = pids.iter().map(|pid| cpu_ticks(*pid)).sum();
        let each = (after - before) as f64 / PROCESSES as f64;
        let percent = 100.0 * each / TICKS_PER_S / IDLE_DURATION.as_secs_f64();
        let resident: u64 = pids.iter().map(|pid| resident_kb(*pid)).sum();
        println!(
            "processes=idle processes={PROCESSES} core_percent_each={percent:.2} resident_kb_each={}",
            resident / PROCESSES as u64
        );
    }

    /// Time until each process shows an edit; edits are appended one at a time.
    fn measure_single_edits(&mut self) {
        let mut slowest = Vec::new();
        let mut all = Vec::new();
        for n in 0..EDITS {
            sleep(EDIT_INTERVAL);
            let text = self
                .text
                .replacen("\"share\": 30", &format!("\"share\": {}", 40 + n), 1);
            let started = Instant::now();
            self.publish(&text);
            let times = self.time_until_each(started, |entry, revision| {
                has_revision(entry.admin_address, revision)
            });
            slowest.extend(times.iter().max().copied());
            all.extend(times);
        }
        report("single", &format!("edits={EDITS}"), &mut all, &mut slowest);
    }

    /// Time until all processes show the last of many edits, each based on the one before it.
    fn measure_burst(&mut self) {
        let started = Instant::now();
        for n in 0..BURST {
            let text = self
                .text
                .replacen("\"share\": 30", &format!("\"share\": {}", 40 + n), 1);
            self.publish(&text);
        }
        let appended = started.elapsed();
        let times = self.time_until_each(started, |entry, revision| {
            has_revision(entry.admin_address, revision)
        });
        println!(
            "processes=burst processes={PROCESSES} edits={BURST} appended_ms={:.0} everywhere_ms={:.0}",
            to_ms(appended),
            to_ms(times.into_iter().max().unwrap_or_default())
        );
    }

    /// Time until each process refuses a key that was withdrawn.
    fn measure_key_withdrawals(&mut self) {
        let mut slowest = Vec::new();
        let mut all = Vec::new();
        let text = self.text.clone();
        let start = text.find("\"app\"").expect("a key");
        let end = start + text[start..].find('\n').expect("a line");
        let text_without_key = format!("{}{}", &text[..start], &text[end..]);
        for _ in 0..KEY_WITHDRAWALS {
            self.publish(&text);
            self.time_until_each(Instant::now(), |entry, _| {
                keyed_request_status(entry) != 401
            });
            let started = Instant::now();
            self.publish(&text_without_key);
            let times =
                self.time_until_each(started, |entry, _| keyed_request_status(entry) == 401);
            slowest.extend(times.iter().max().copied());
            all.extend(times);
        }
        report(
            "withdrawal",
            &format!("keys={KEY_WITHDRAWALS}"),
            &mut all,
            &mut slowest,
        );
    }

    /// Appends an edit of the section, and tries again until the log accepts it.
    fn publish(&mut self, text: &str) {
        let operator = format!("{TEAM}-ops");
        let record = Record {
            id: RecordId::random(),
            proposed_at: Offset(0),
            proposal: edit(TEAM, self.revision, text, &operator),
        };
        self.revision += 1;
        let bytes = [encode_edit(&record)];
        let started = Instant::now();
        while block_on(self.log.append("control", &bytes)).is_err() {
            assert!(started.elapsed() < TIMEOUT, "the log accepts no record");
            sleep(POLL_INTERVAL);
        }
    }

    /// Time from `started` until `test` is true, for each process; `test` gets the process and the
    /// current revision.
    fn time_until_each(
        &self,
        started: Instant,
        test: impl Fn(&Daemon, u64) -> bool + Sync,
    ) -> Vec<Duration> {
        let revision = self.revision;
        let test = &test;
        thread::scope(|scope| {
            let waiters = self.entries.iter().map(|entry| {
                scope.spawn(move || {
                    while !test(entry, revision) {
                        assert!(started.elapsed() < TIMEOUT, "not seen in time");
                        sleep(POLL_INTERVAL);
                    }
                    started.elapsed()
                })
            });
            let waiters: Vec<_> = waiters.collect();
            waiters
                .into_iter()
                .map(|waiter| waiter.join().expect("a waiter"))
                .collect()
        })
    }
}

/// True if the process shows this revision of the section.
fn has_revision(admin: SocketAddr, revision: u64) -> bool {
    let path = format!("/sections/{}", SectionId::new(TEAM));
    let request = Request::new("GET", &path, Vec::new());
    let reply = block_on(send(admin, &request, &ClientLimits::default())).expect("an answer");
    let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    body["revision"].as_u64() == Some(revision)
}

/// Status of the answer to a request with the team's key, 401 if the key is refused; the planner
/// does not run, so no target answers.
fn keyed_request_status(entry: &Daemon) -> u16 {
    let request = team_request("GET", "/q/headcount/count", TEAM, "");
    let request = crate::support::caller::with_header(request, "prefer", "wait=0");
    send_request(entry.caller_address.expect("an entry"), &request).status
}

/// Prints quantiles of the times of `all` processes, and of those of the slowest process for each
/// change; `count` is printed as it is.
fn report(name: &str, count: &str, all: &mut [Duration], slowest: &mut [Duration]) {
    all.sort();
    slowest.sort();
    println!(
        "processes={name} processes={PROCESSES} {count} p50_ms={:.1} p99_ms={:.1} last_p50_ms={:.1} last_max_ms={:.1}",
        to_ms(all[all.len() / 2]),
        to_ms(all[all.len() * 99 / 100]),
        to_ms(slowest[slowest.len() / 2]),
        to_ms(slowest[slowest.len() - 1])
    );
}

fn to_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
