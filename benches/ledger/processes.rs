//! Edits and withdrawals of keys over 24 entry processes on loopback.

use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use amaranthwick::dev::fleet_spec;
use amaranthwick::document;
use amaranthwick::http::{Limits, Request, send};
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
const EDITS: u64 = 40;
const BURST: u64 = 200;
const WITHDRAWALS: u64 = 10;
const LOOK: Duration = Duration::from_millis(2);
const PAUSE: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(30);
const IDLE: Duration = Duration::from_secs(20);
const TICKS_PER_S: f64 = 100.0;

/// Places in `/proc/PID/stat`, counted after the name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;
const TEAM: &str = "herds";

pub(crate) fn run() {
    let document = document::parse("neretva.jsonc", NERETVA).expect("valid");
    let spec = FleetSpec {
        list_lag_ms: 50,
        ..fleet_spec(&document)
    };
    let fleet = Fleet::open(&spec).expect("stand-ins");
    let starter = DaemonStarter::new(&fleet);
    let places = ["ploce", "split", "zadar"];
    let entries: Vec<Daemon> = (0..PROCESSES)
        .map(|n| starter.start_entry(&format!("entry-{n:02}"), places[n % places.len()]))
        .collect();
    let operator = Operator::new(fleet.log_address(), &[entries[0].admin_address]);
    operator.publish_all(NERETVA);
    let full = |entry: &Daemon| members(entry) == PROCESSES;
    wait_until("all members are known", || entries.iter().all(full));
    let log = LogClient::new(fleet.log_address(), &DataCentre::new(places[0]));
    let section = SectionId::new(TEAM);
    let text = document::section_text("neretva.jsonc", NERETVA, &section).expect("a section");
    let mut bench = Bench {
        entries,
        log,
        text,
        revision: 1,
    };
    bench.idle();
    bench.singles();
    bench.burst();
    bench.withdrawals();
}

fn pid(entry: &Daemon) -> u64 {
    fetch_state(entry.admin_address)["process"]["pid"]
        .as_u64()
        .expect("a pid")
}

/// Processor time of a process, in ticks.
fn ticks(pid: u64) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let (_, rest) = text.rsplit_once(')').expect("a name");
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let field = |n: usize| fields[n].parse::<u64>().expect("a number");
    field(USER_TIME) + field(SYSTEM_TIME)
}

fn resident_kb(pid: u64) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .expect("a size");
    let number = line.split_whitespace().nth(1).expect("a number");
    number.parse().expect("a number")
}

fn members(entry: &Daemon) -> usize {
    let members = &fetch_state(entry.admin_address)["view"]["members"];
    members.as_array().map_or(0, Vec::len)
}

struct Bench {
    entries: Vec<Daemon>,
    log: LogClient,
    text: String,
    revision: u64,
}

impl Bench {
    /// What a process costs that has nothing to do but to follow and to beat.
    fn idle(&self) {
        let pids: Vec<u64> = self.entries.iter().map(pid).collect();
        let before: u64 = pids.iter().map(|pid| ticks(*pid)).sum();
        sleep(IDLE);
        let after: u64 = pids.iter().map(|pid| ticks(*pid)).sum();
        let each = (after - before) as f64 / PROCESSES as f64;
        let percent = 100.0 * each / TICKS_PER_S / IDLE.as_secs_f64();
        let memory: u64 = pids.iter().map(|pid| resident_kb(*pid)).sum();
        println!(
            "processes=idle processes={PROCESSES} core_percent_each={percent:.2} resident_kb_each={}",
            memory / PROCESSES as u64
        );
    }

    fn singles(&mut self) {
        let mut last = Vec::new();
        let mut all = Vec::new();
        for n in 0..EDITS {
            sleep(PAUSE);
            let text = self
                .text
                .replacen("\"share\": 30", &format!("\"share\": {}", 40 + n), 1);
            let began = Instant::now();
            self.publish(&text);
            let times = self.each(began, |entry, revision| {
                shows(entry.admin_address, revision)
            });
            last.extend(times.iter().max().copied());
            all.extend(times);
        }
        report("single", &format!("edits={EDITS}"), &mut all, &mut last);
    }

    /// Each edit is based on the one before it.
    fn burst(&mut self) {
        let began = Instant::now();
        for n in 0..BURST {
            let text = self
                .text
                .replacen("\"share\": 30", &format!("\"share\": {}", 40 + n), 1);
            self.publish(&text);
        }
        let appended = began.elapsed();
        let times = self.each(began, |entry, revision| {
            shows(entry.admin_address, revision)
        });
        println!(
            "processes=burst processes={PROCESSES} edits={BURST} appended_ms={:.0} everywhere_ms={:.0}",
            millis(appended),
            millis(times.into_iter().max().unwrap_or_default())
        );
    }

    fn withdrawals(&mut self) {
        let mut last = Vec::new();
        let mut all = Vec::new();
        let text = self.text.clone();
        let start = text.find("\"app\"").expect("a key");
        let end = start + text[start..].find('\n').expect("a line");
        let without = format!("{}{}", &text[..start], &text[end..]);
        for _ in 0..WITHDRAWALS {
            self.publish(&text);
            self.each(Instant::now(), |entry, _| status(entry) != 401);
            let began = Instant::now();
            self.publish(&without);
            let times = self.each(began, |entry, _| status(entry) == 401);
            last.extend(times.iter().max().copied());
            all.extend(times);
        }
        report(
            "withdrawal",
            &format!("keys={WITHDRAWALS}"),
            &mut all,
            &mut last,
        );
    }

    fn publish(&mut self, text: &str) {
        let operator = format!("{TEAM}-ops");
        let record = Record {
            id: RecordId::random(),
            proposed_at: Offset(0),
            proposal: edit(TEAM, self.revision, text, &operator),
        };
        self.revision += 1;
        let bytes = [encode_edit(&record)];
        let began = Instant::now();
        while block_on(self.log.append("control", &bytes)).is_err() {
            assert!(began.elapsed() < PATIENCE, "the log takes no record");
            sleep(LOOK);
        }
    }

    /// Time from `began` until the test holds, for each process.
    fn each(&self, began: Instant, test: impl Fn(&Daemon, u64) -> bool + Sync) -> Vec<Duration> {
        let revision = self.revision;
        let test = &test;
        thread::scope(|scope| {
            let looks = self.entries.iter().map(|entry| {
                scope.spawn(move || {
                    while !test(entry, revision) {
                        assert!(began.elapsed() < PATIENCE, "not seen in time");
                        sleep(LOOK);
                    }
                    began.elapsed()
                })
            });
            let looks: Vec<_> = looks.collect();
            looks
                .into_iter()
                .map(|look| look.join().expect("a look"))
                .collect()
        })
    }
}

fn shows(admin: SocketAddr, revision: u64) -> bool {
    let path = format!("/sections/{}", SectionId::new(TEAM));
    let request = Request::new("GET", &path, Vec::new());
    let reply = block_on(send(admin, &request, &Limits::default())).expect("an answer");
    let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    body["revision"].as_u64() == Some(revision)
}

/// Status of a keyed request; the planner does not run, so no target answers.
fn status(entry: &Daemon) -> u16 {
    let request = team_request("GET", "/q/headcount/count", TEAM, "");
    let request = crate::support::caller::with_header(request, "prefer", "wait=0");
    send_request(entry.caller_address.expect("an entry"), &request).status
}

fn report(name: &str, what: &str, all: &mut [Duration], last: &mut [Duration]) {
    all.sort();
    last.sort();
    println!(
        "processes={name} processes={PROCESSES} {what} p50_ms={:.1} p99_ms={:.1} last_p50_ms={:.1} last_max_ms={:.1}",
        millis(all[all.len() / 2]),
        millis(all[all.len() * 99 / 100]),
        millis(last[last.len() / 2]),
        millis(last[last.len() - 1])
    );
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
