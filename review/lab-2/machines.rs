//! A stand-in for the service of machines: lists them, and carries out upkeep.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::executor::Executor;
use crate::http::{Request, Response, response};
use crate::json::{Json, quote};
use crate::record::Record;

/// `bounds.maint-s`.
const MAINT: Duration = Duration::from_secs(2);

/// A carried-out order is late by this at least and at most.
const LATE_LEAST: Duration = Duration::from_secs(2);
const LATE_MOST: Duration = Duration::from_secs(12);

#[derive(Default)]
struct Machine {
    fence: u64,
    /// Since when its upkeep goes on.
    down_since: Option<Instant>,
    done: bool,
}

/// An upkeep that began, with the number of machines of the wave that were down then.
#[derive(Clone, Debug)]
pub struct Begun {
    pub at: Duration,
    pub machine: String,
    pub holder: String,
    pub down: usize,
}

#[derive(Default)]
struct State {
    machines: HashMap<String, Machine>,
    wave: Vec<String>,
    begun: Vec<Begun>,
    /// Whether the next upkeep call gets no answer and is carried out late.
    late_next: bool,
    late_taken: Option<Instant>,
    /// When calls for upkeep were received.
    calls: Vec<Instant>,
}

pub struct Machines {
    executors: Vec<Arc<Executor>>,
    record: Arc<Record>,
    state: Mutex<State>,
}

impl Machines {
    pub fn new(executors: Vec<Arc<Executor>>, record: Arc<Record>) -> Arc<Self> {
        let state = Mutex::default();
        Arc::new(Self {
            executors,
            record,
            state,
        })
    }

    /// Allows upkeep of these machines.
    pub fn open_wave(&self, machines: &[String]) {
        self.state.lock().unwrap().wave = machines.to_vec();
    }

    pub fn make_next_late(&self) {
        self.state.lock().unwrap().late_next = true;
    }

    /// When the late call was received.
    pub fn late_taken(&self) -> Option<Instant> {
        self.state.lock().unwrap().late_taken
    }

    /// Number of calls for upkeep in the span from `from` on.
    pub fn calls_within(&self, from: Instant, span: Duration) -> usize {
        let state = self.state.lock().unwrap();
        let calls = state.calls.iter();
        calls
            .filter(|at| **at >= from && **at <= from + span)
            .count()
    }

    pub fn begun(&self) -> Vec<Begun> {
        self.state.lock().unwrap().begun.clone()
    }

    pub fn handle(self: &Arc<Self>, request: &Request) -> Option<Response> {
        if request.method == "GET" {
            return Some(self.list());
        }
        let body = Json::parse(std::str::from_utf8(&request.body).ok()?)?;
        let machine = body.get("machine").text().to_owned();
        let holder = request.header("holder").unwrap_or_default().to_owned();
        let fence = request
            .header("fence-token")
            .and_then(|fence| fence.parse().ok())
            .unwrap_or(0);
        if request.path != "/machine-upkeep" {
            self.record.note(&format!(
                "machines: {} of {machine} by {holder}: busy",
                request.path
            ));
            return Some(response(409, "{\"reason\":\"busy\"}"));
        }
        let late = {
            let mut state = self.state.lock().unwrap();
            state.calls.push(Instant::now());
            if state.late_next {
                state.late_taken = state.calls.last().copied();
            }
            std::mem::take(&mut state.late_next)
        };
        if !late {
            return Some(self.upkeep(&machine, &holder, fence));
        }
        self.record.note(&format!(
            "machines: upkeep of {machine} by {holder}, fence {fence}: unanswered, will be late"
        ));
        let machines = Arc::clone(self);
        thread::spawn(move || {
            let begun = Instant::now();
            thread::sleep(LATE_LEAST);
            // Any moment of the span is as good; this one is while the upkeep of another goes on.
            while begun.elapsed() < LATE_MOST - Duration::from_millis(100)
                && !machines.one_is_down()
            {
                thread::sleep(Duration::from_millis(20));
            }
            let waited = begun.elapsed().as_millis();
            machines.record.note(&format!(
                "machines: the late order for {machine} is carried out after {waited} ms"
            ));
            machines.upkeep(&machine, &holder, fence);
        });
        // The channel stays silent; the caller gives up before.
        thread::sleep(Duration::from_secs(20));
        None
    }

    /// Whether the upkeep of a machine has gone on for half a second.
    fn one_is_down(&self) -> bool {
        let state = self.state.lock().unwrap();
        let mut machines = state.machines.values();
        machines.any(|machine| {
            machine
                .down_since
                .is_some_and(|at| at.elapsed() > MAINT / 4 && at.elapsed() < MAINT / 2)
        })
    }

    fn upkeep(self: &Arc<Self>, machine: &str, holder: &str, fence: u64) -> Response {
        let Some(executor) = self
            .executors
            .iter()
            .find(|executor| executor.machine == machine)
        else {
            return response(400, "{}");
        };
        let answer = {
            let mut guard = self.state.lock().unwrap();
            let state = &mut *guard;
            let of_wave = state.wave.iter().any(|other| other == machine);
            let down = state
                .machines
                .values()
                .filter(|machine| machine.down_since.is_some())
                .count();
            let entry = state.machines.entry(machine.to_owned()).or_default();
            if fence < entry.fence {
                (409, "{\"reason\":\"fence\"}")
            } else if !of_wave {
                (409, "{\"reason\":\"wave\"}")
            } else if entry.done || entry.down_since.is_some() {
                entry.fence = fence;
                (200, "{}")
            } else if executor.id().is_none() {
                (409, "{\"reason\":\"busy\"}")
            } else {
                entry.fence = fence;
                entry.down_since = Some(Instant::now());
                let (at, machine, holder) =
                    (self.record.now(), machine.to_owned(), holder.to_owned());
                state.begun.push(Begun {
                    at,
                    machine,
                    holder,
                    down,
                });
                (202, "{}")
            }
        };
        let (status, body) = answer;
        let began = status == 202;
        let status = if began { 200 } else { status };
        self.record.note(&format!("machines: upkeep of {machine} by {holder}, fence {fence}: {status} {body}, begun: {began}"));
        if began {
            executor.crash();
            let (machines, executor, machine) =
                (Arc::clone(self), Arc::clone(executor), machine.to_owned());
            thread::spawn(move || {
                thread::sleep(MAINT);
                let mut state = machines.state.lock().unwrap();
                if let Some(entry) = state.machines.get_mut(&machine) {
                    entry.down_since = None;
                    entry.done = true;
                }
                drop(state);
                executor.come_up();
            });
        }
        response(status, body)
    }

    fn list(&self) -> Response {
        let state = self.state.lock().unwrap();
        let machines = self.executors.iter().map(|executor| {
            let entry = state.machines.get(&executor.machine);
            let in_upkeep = entry.is_some_and(|entry| entry.down_since.is_some());
            let (shown, id) = match executor.id() {
                _ if in_upkeep => ("upkeep", "null".to_owned()),
                Some(id) => ("up", quote(&id)),
                None => ("down", "null".to_owned()),
            };
            format!(
                "{{\"machine\":\"{}\",\"pool\":{},\"state\":\"{shown}\",\"zone\":\"{}\",\"labels\":[\"a\",\"{}\"],\
                 \"capacity\":{{\"cpu\":{},\"mem-mb\":{},\"gpu\":0}},\"id\":{id}}}",
                executor.machine, quote(&executor.service), executor.zone, executor.rack, executor.cpu, executor.mem_mb
            )
        });
        let machines = machines.collect::<Vec<_>>().join(",");
        response(
            200,
            format!("{{\"machines\":[{machines}],\"next-token\":null}}"),
        )
    }
}
