//! Simulated processes, the log and the network between them in virtual time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use amaranthwick::document::FLEET_SECTION;
use indexmap::IndexMap;

use super::Output;
use super::edits::AppendedEdit;
use super::log::{Fault, Log, parse_fault};
use super::process::{Process, ProcessKind, peer_address};
use crate::args::{Args, ScriptError};
use crate::support::NERETVA;

const DATA_CENTRE: &str = "ploce";

/// Virtual time between two steps of a process.
const STEP_MS: u64 = 50;

/// State of one script's simulation.
pub struct Simulation {
    pub(super) start: Instant,
    pub(super) now: Instant,
    pub(super) log: Log,
    pub(super) processes: IndexMap<String, Process>,
    /// Names of the processes by peer address, also of those that have been killed.
    pub(super) peer_names: IndexMap<SocketAddr, String>,
    /// Edits by the label that the script gave them.
    pub(super) edits: IndexMap<String, AppendedEdit>,
    /// Pairs of data centres, or a data centre and `platform`, without a connection.
    pub(super) cuts: BTreeSet<(String, String)>,
    pub(super) document: String,
    /// True while processes that are behind can fetch another's state.
    pub(super) state_transfer: bool,
    /// Number of records signed so far, which is the last one's id.
    pub(super) signed_records: u128,
}

impl Simulation {
    pub fn open() -> Self {
        let now = Instant::now();
        Self {
            start: now,
            now,
            log: Log::open(),
            processes: IndexMap::new(),
            peer_names: IndexMap::new(),
            edits: IndexMap::new(),
            cuts: BTreeSet::new(),
            document: NERETVA.to_owned(),
            state_transfer: true,
            signed_records: 0,
        }
    }

    pub fn start(&mut self, args: &mut Args) -> Output {
        let kind = match args.positional("kind")? {
            "entry" => ProcessKind::Entry,
            "planner" => ProcessKind::Planner,
            kind => return Err(format!("no kind {kind}").into()),
        };
        let name = args.positional("name")?;
        let data_centre = args.option("in").unwrap_or(DATA_CENTRE);
        let start_number = u16::try_from(self.peer_names.len() + 1)?;
        let process = Process::start(kind, name, data_centre, start_number, self.now);
        self.peer_names
            .insert(peer_address(start_number), name.to_owned());
        self.processes.insert(name.to_owned(), process);
        Ok(String::new())
    }

    pub fn kill(&mut self, args: &mut Args) -> Output {
        let name = args.positional("name")?;
        let killed = self.processes.shift_remove(name);
        killed.ok_or_else(|| format!("no process {name}"))?;
        Ok(String::new())
    }

    pub fn set_frozen(&mut self, args: &mut Args, frozen: bool) -> Output {
        let name = args.positional("name")?;
        self.process(name)?;
        self.processes[name].frozen = frozen;
        Ok(String::new())
    }

    /// Advances virtual time and runs the steps of all processes that are not frozen.
    pub fn advance(&mut self, args: &mut Args) -> Output {
        let ms: u64 = args.positional("ms")?.parse()?;
        for _ in 0..ms / STEP_MS {
            self.now += Duration::from_millis(STEP_MS);
            for i in 0..self.processes.len() {
                if !self.processes[i].frozen {
                    self.step(i);
                }
            }
        }
        Ok(String::new())
    }

    pub fn fault(&mut self, args: &mut Args) -> Output {
        self.log.fault = parse_fault(args.positional("kind of fault")?)?;
        Ok(String::new())
    }

    pub fn clear(&mut self) -> String {
        self.log.fault = Fault::None;
        String::new()
    }

    /// Sets whether processes can fetch each other's states; heartbeats go on either way.
    pub fn set_state_transfer(&mut self, args: &mut Args) -> Output {
        self.state_transfer = args.positional("on or off")? == "on";
        Ok(String::new())
    }

    pub fn expire(&mut self) -> String {
        self.log.expire();
        String::new()
    }

    pub fn cut(&mut self, args: &mut Args) -> Output {
        let link = parse_link(args)?;
        self.cuts.insert(link);
        Ok(String::new())
    }

    pub fn heal(&mut self, args: &mut Args) -> Output {
        let link = parse_link(args)?;
        self.cuts.remove(&link);
        Ok(String::new())
    }

    /// Describes what a process knows: a section's revision, whether keys are fresh, the planner and
    /// the live members.
    pub fn describe_process(&mut self, args: &mut Args) -> Output {
        let name = args.positional("process")?;
        let section = args.option("section").unwrap_or(FLEET_SECTION);
        let process = self.process(name)?;
        let revision = process.revision(section);
        let keys = if process.has_fresh_keys(self.now) {
            "fresh"
        } else {
            "stale"
        };
        let planner = match process.planner_holder() {
            Some(held) => format!("{}/{}", held.member, held.epoch),
            None => "none".to_owned(),
        };
        let view = process.core.view(self.now);
        let alive = view.members.iter().filter(|member| member.alive);
        let mut alive: Vec<_> = alive.map(|member| member.id.as_str()).collect();
        // Members register after random waits, so their order differs between runs.
        alive.sort_unstable();
        let alive = alive.join(",");
        Ok(format!(
            "{section}={revision} keys={keys} planner={planner} alive={alive}"
        ))
    }

    /// Answers whether a planner may act in its role.
    pub fn holds_role(&mut self, args: &mut Args) -> Output {
        let process = self.process(args.positional("process")?)?;
        let holds = process.holds_role(self.now);
        Ok(if holds { "yes" } else { "no" }.to_owned())
    }

    pub(super) fn process(&self, name: &str) -> Result<&Process, ScriptError> {
        let process = self.processes.get(name);
        process.ok_or_else(|| format!("no process {name}").into())
    }
}

fn parse_link(args: &mut Args) -> Result<(String, String), ScriptError> {
    Ok(ordered_pair(
        args.positional("place")?,
        args.positional("place")?,
    ))
}

/// Returns both names in alphabetical order, so that a pair has one form.
pub(super) fn ordered_pair(a: &str, b: &str) -> (String, String) {
    (a.min(b).to_owned(), a.max(b).to_owned())
}
