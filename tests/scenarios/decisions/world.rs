//! Processes, the log and the network between them in virtual time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use amaranthwick::document::FLEET_SECTION;
use indexmap::IndexMap;

use super::Output;
use super::edits::Sent;
use super::log::{Fault, Log, fault};
use super::process::{Kind, Process, peer};
use crate::args::{Args, Failure};
use crate::support::NERETVA;

const DATA_CENTRE: &str = "ploce";

/// Time between two steps of every process.
const STEP_MS: u64 = 50;

/// Everything of one script.
pub struct World {
    pub(super) start: Instant,
    pub(super) now: Instant,
    pub(super) log: Log,
    pub(super) processes: IndexMap<String, Process>,
    pub(super) peers: IndexMap<SocketAddr, String>,
    pub(super) edits: IndexMap<String, Sent>,
    pub(super) cuts: BTreeSet<(String, String)>,
    pub(super) document: String,
    /// True while processes give each other their states.
    pub(super) states: bool,
    /// Records signed so far; the last one's id.
    pub(super) records: u128,
}

impl World {
    pub fn open() -> Self {
        let now = Instant::now();
        Self {
            start: now,
            now,
            log: Log::open(),
            processes: IndexMap::new(),
            peers: IndexMap::new(),
            edits: IndexMap::new(),
            cuts: BTreeSet::new(),
            document: NERETVA.to_owned(),
            states: true,
            records: 0,
        }
    }

    pub fn start(&mut self, args: &mut Args) -> Output {
        let kind = match args.next("kind")? {
            "entry" => Kind::Entry,
            "planner" => Kind::Planner,
            kind => return Err(format!("no kind {kind}").into()),
        };
        let name = args.next("name")?;
        let data_centre = args.key("in").unwrap_or(DATA_CENTRE);
        let run = u16::try_from(self.peers.len() + 1)?;
        let process = Process::start(kind, name, data_centre, run, self.now);
        self.peers.insert(peer(run), name.to_owned());
        self.processes.insert(name.to_owned(), process);
        Ok(String::new())
    }

    pub fn kill(&mut self, args: &mut Args) -> Output {
        let name = args.next("name")?;
        let killed = self.processes.shift_remove(name);
        killed.ok_or_else(|| format!("no process {name}"))?;
        Ok(String::new())
    }

    pub fn set_frozen(&mut self, args: &mut Args, frozen: bool) -> Output {
        let name = args.next("name")?;
        self.process(name)?;
        self.processes[name].frozen = frozen;
        Ok(String::new())
    }

    /// Lets virtual time pass.
    pub fn advance(&mut self, args: &mut Args) -> Output {
        let ms: u64 = args.next("ms")?.parse()?;
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
        self.log.fault = fault(args.next("kind of fault")?)?;
        Ok(String::new())
    }

    pub fn clear(&mut self) -> String {
        self.log.fault = Fault::None;
        String::new()
    }

    /// Whether processes give each other their states, besides heartbeats.
    pub fn set_states(&mut self, args: &mut Args) -> Output {
        self.states = args.next("on or off")? == "on";
        Ok(String::new())
    }

    pub fn expire(&mut self) -> String {
        self.log.expire();
        String::new()
    }

    pub fn cut(&mut self, args: &mut Args) -> Output {
        let pair = pair(args)?;
        self.cuts.insert(pair);
        Ok(String::new())
    }

    pub fn heal(&mut self, args: &mut Args) -> Output {
        let pair = pair(args)?;
        self.cuts.remove(&pair);
        Ok(String::new())
    }

    /// What a process knows: revisions of sections, freshness of keys, planner, members.
    pub fn look(&mut self, args: &mut Args) -> Output {
        let name = args.next("process")?;
        let section = args.key("section").unwrap_or(FLEET_SECTION);
        let process = self.process(name)?;
        let revision = process.revision(section);
        let keys = if process.is_fresh(self.now) {
            "fresh"
        } else {
            "stale"
        };
        let planner = match process.holding() {
            Some(held) => format!("{}/{}", held.member, held.epoch),
            None => "none".to_owned(),
        };
        let view = process.core.view(self.now);
        let alive = view.members.iter().filter(|member| member.alive);
        let mut alive: Vec<_> = alive.map(|member| member.id.as_str()).collect();
        // They register after waits that are drawn at random.
        alive.sort_unstable();
        let alive = alive.join(",");
        Ok(format!(
            "{section}={revision} keys={keys} planner={planner} alive={alive}"
        ))
    }

    /// Whether a planner may act.
    pub fn holds(&mut self, args: &mut Args) -> Output {
        let process = self.process(args.next("process")?)?;
        let holds = process.holds(self.now);
        Ok(if holds { "yes" } else { "no" }.to_owned())
    }

    pub(super) fn process(&self, name: &str) -> Result<&Process, Failure> {
        let process = self.processes.get(name);
        process.ok_or_else(|| format!("no process {name}").into())
    }
}

fn pair(args: &mut Args) -> Result<(String, String), Failure> {
    Ok(ordered(args.next("place")?, args.next("place")?))
}

pub(super) fn ordered(a: &str, b: &str) -> (String, String) {
    (a.min(b).to_owned(), a.max(b).to_owned())
}
