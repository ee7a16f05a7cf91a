//! Stand-ins for executors. They follow the page on running tasks: fence numbers, run numbers,
//! leases by their own clock, listed ends, and room.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Response, response};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HOLD_MAX_MS: u64 = 6_000;
/// Time that a stop takes; `bounds.stop-ms` allows 400.
const STOP_MS: u64 = 100;
/// Time until a task that lasts is at work.
const STARTUP_MS: u64 = 300;
const LISTED_ENDS: usize = 500;

/// What a task of a step needs, and how long it works; `None` lasts.
#[derive(Clone, Copy, Debug)]
pub struct StepWork {
    pub cpu: u64,
    pub mem_mb: u64,
    pub work_ms: Option<u64>,
}

/// The steps of the jobs that were sent, by job id.
pub type Works = Arc<Mutex<HashMap<String, Vec<StepWork>>>>;

#[derive(Clone, Debug)]
struct Run {
    work: StepWork,
    began: Instant,
    stop_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct Life {
    id: String,
    born: u64,
    began: Instant,
    seq: u64,
    next_beat: Instant,
    fence: u64,
    lease_until: u64,
    runs: BTreeMap<(String, u64), Run>,
    /// Highest run of each task that was stopped or has ended.
    ended: HashMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
}

impl Life {
    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline: Option<u64>) {
        let most = self.clock() + HOLD_MAX_MS;
        self.lease_until = self.lease_until.max(deadline.unwrap_or(0).min(most));
    }

    fn used(&self) -> (u64, u64) {
        let runs = self.runs.values();
        runs.fold((0, 0), |(cpu, mem), run| {
            (cpu + run.work.cpu, mem + run.work.mem_mb)
        })
    }

    fn end(&mut self, task: &str, run: u64, how: &'static str) {
        self.runs.remove(&(task.to_owned(), run));
        let highest = self.ended.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        self.last_end += 1;
        self.ends.push(End {
            number: self.last_end,
            task: task.to_owned(),
            run,
            how,
        });
    }
}

pub struct Executor {
    pub machine: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
    /// `None` while it is down.
    life: Mutex<Option<Life>>,
    changed: Condvar,
    channels: Arc<AtomicU64>,
    lives: AtomicU64,
    /// Whether it answers starts with 503, and does nothing.
    grey: AtomicBool,
    works: Works,
    store: Arc<Store>,
    record: Arc<Record>,
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl Executor {
    pub fn start(
        number: usize,
        service: &str,
        zone: &'static str,
        (cpu, mem_mb): (u64, u64),
        works: &Works,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let executor = Arc::new(Self {
            machine: format!("m-{number:05x}"),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            zone,
            rack: format!("r1-{}", number / 4),
            cpu,
            mem_mb,
            life: Mutex::new(None),
            changed: Condvar::new(),
            channels: Arc::new(AtomicU64::new(0)),
            lives: AtomicU64::new(0),
            grey: AtomicBool::new(false),
            works: Arc::clone(works),
            store: Arc::clone(store),
            record: Arc::clone(record),
        });
        executor.come_up();
        let handled = Arc::clone(&executor);
        let handler = move |request: &Request| handled.handle(request);
        http::serve(listener, Arc::clone(&executor.channels), Arc::new(handler));
        let ticking = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        executor
    }

    /// Id of its current life; `None` while it is down.
    pub fn id(&self) -> Option<String> {
        self.life
            .lock()
            .unwrap()
            .as_ref()
            .map(|life| life.id.clone())
    }

    /// Starts a new life, under a new id, at the same address.
    pub fn come_up(&self) {
        let number = self.lives.fetch_add(1, Ordering::SeqCst) + 1;
        let life = Life {
            id: format!("i-{}-{number:02}", &self.machine[2..]),
            born: now_ms(),
            began: Instant::now(),
            seq: 0,
            next_beat: Instant::now(),
            fence: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            ended: HashMap::new(),
            ends: Vec::new(),
            last_end: 0,
        };
        self.record
            .note(&format!("executor {} is up on {}", life.id, self.machine));
        *self.life.lock().unwrap() = Some(life);
    }

    /// Ends its life without a word: what ran there ends, and its channels are closed.
    pub fn crash(&self) {
        let life = self.life.lock().unwrap().take();
        self.channels.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_all();
        let Some(life) = life else { return };
        self.record.note(&format!("executor {} crashes", life.id));
        for (task, run) in life.runs.keys() {
            self.record.ended(task, *run, &life.id, "lost");
        }
        // The entry goes after three heartbeat intervals of silence.
        let (store, id) = (Arc::clone(&self.store), life.id);
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.put("keyed.servers", &id, "");
        });
    }

    /// Has it answer starts with 503, or ends that.
    pub fn turn_grey(&self, grey: bool) {
        let shown = if grey {
            "refuses starts with 503"
        } else {
            "accepts starts again"
        };
        self.record.note(&format!(
            "executor {} {shown}",
            self.id().unwrap_or_default()
        ));
        self.grey.store(grey, Ordering::SeqCst);
    }

    /// Has a task that lasts exit by itself, with success.
    pub fn finish(&self, task: &str) {
        let mut life = self.life.lock().unwrap();
        let runs = life.iter_mut().flat_map(|life| &mut life.runs);
        for ((other, _), run) in runs {
            if other == task {
                run.work.work_ms = Some(0);
            }
        }
    }

    /// Runs that are there, with their age.
    pub fn running(&self) -> Vec<(String, u64, Duration)> {
        let life = self.life.lock().unwrap();
        let runs = life.iter().flat_map(|life| &life.runs);
        runs.map(|((task, run), state)| (task.clone(), *run, state.began.elapsed()))
            .collect()
    }

    fn tick(&self) {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        let (clock, now) = (life.clock(), Instant::now());
        let lapsed = clock > life.lease_until;
        let over = |run: &Run| match (run.stop_at, run.work.work_ms) {
            (Some(at), _) if now >= at => Some("stopped"),
            _ if lapsed => Some("lapsed"),
            (None, Some(work)) if run.began.elapsed().as_millis() as u64 >= work => Some("done"),
            _ => None,
        };
        let ended: Vec<_> = life
            .runs
            .iter()
            .filter_map(|(key, run)| Some((key.clone(), over(run)?)))
            .collect();
        for ((task, run), how) in ended {
            life.end(&task, run, how);
            self.record.ended(&task, run, &life.id, how);
            self.changed.notify_all();
        }
        if now >= life.next_beat {
            life.next_beat = now + HEARTBEAT;
            life.seq += 1;
            let entry = format!(
                "{{\"service\":{},\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
                 \"cold-left-ms\":0,\"capacity\":{{\"cpu\":{},\"mem-mb\":{},\"gpu\":0}},\"labels\":[\"a\",\"{}\"],\
                 \"machine\":\"{}\",\"born\":{},\"clock-ms\":{clock},\"seq\":{}}}",
                quote(&self.service),
                self.address,
                self.zone,
                self.cpu,
                self.mem_mb,
                self.rack,
                self.machine,
                life.born,
                life.seq
            );
            let id = life.id.clone();
            drop(guard);
            self.store.put("keyed.servers", &id, &entry);
        }
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        if request.path == "/healthz" {
            return Some(response(200, ""));
        }
        let body = Json::parse(std::str::from_utf8(&request.body).ok()?)?;
        let mut guard = self.life.lock().unwrap();
        let life = guard.as_mut()?;
        if request
            .header("expect-instance")
            .is_some_and(|id| id != life.id)
        {
            return Some(response(421, format!("{{\"clock-ms\":{}}}", life.clock())));
        }
        let fence = body.get("fence-token").number().unwrap_or(0);
        if fence < life.fence {
            return Some(response(
                409,
                format!("{{\"clock-ms\":{},\"reason\":\"fence\"}}", life.clock()),
            ));
        }
        life.fence = fence;
        let task = body.get("task").text().to_owned();
        let run = body.get("run-id").number().unwrap_or(0);
        match request.path.as_str() {
            "/run-start" if self.grey.load(Ordering::SeqCst) => {
                self.record
                    .order("refusal", &task, run, &life.id, fence, "503");
                Some(response(503, format!("{{\"clock-ms\":{}}}", life.clock())))
            }
            "/run-start" => Some(self.start_run(life, &body, task, run)),
            "/run-stop" => {
                let highest = life.ended.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                if let Some(running) = life.runs.get_mut(&(task.clone(), run)) {
                    running
                        .stop_at
                        .get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
                    let work = running.began.elapsed().as_millis();
                    self.record.order(
                        "stop",
                        &task,
                        run,
                        &life.id,
                        fence,
                        &format!("after {work} ms"),
                    );
                }
                Some(response(200, format!("{{\"clock-ms\":{}}}", life.clock())))
            }
            "/hold" => {
                life.extend(body.get("deadline-ms").number());
                let cursor = body.get("ack-cursor").number().unwrap_or(0);
                life.ends.retain(|end| end.number > cursor);
                let id = life.id.clone();
                let wait = body.get("wait-ms").number().unwrap_or(0).min(2_000);
                let deadline = Instant::now() + Duration::from_millis(wait);
                loop {
                    let life = guard.as_ref().filter(|life| life.id == id)?;
                    let now = Instant::now();
                    if !life.ends.is_empty() || now >= deadline {
                        return Some(response(200, lists(life)));
                    }
                    guard = self.changed.wait_timeout(guard, deadline - now).unwrap().0;
                }
            }
            _ => Some(response(404, "{}")),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json, task: String, run: u64) -> Response {
        let refuse = |life: &Life, reason: &str| {
            response(
                409,
                format!("{{\"clock-ms\":{},\"reason\":\"{reason}\"}}", life.clock()),
            )
        };
        let accept = |life: &Life| response(200, format!("{{\"clock-ms\":{}}}", life.clock()));
        let deadline = body.get("deadline-ms").number();
        if life.runs.contains_key(&(task.clone(), run)) {
            life.extend(deadline);
            return accept(life);
        }
        let later = life
            .runs
            .keys()
            .any(|(other, number)| *other == task && *number >= run);
        if later || life.ended.get(&task).is_some_and(|highest| run <= *highest) {
            life.extend(deadline);
            return refuse(life, "old");
        }
        if deadline.is_some_and(|deadline| deadline <= life.clock()) {
            return refuse(life, "late");
        }
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or_default();
        let step: usize = parts.nth(1).and_then(|step| step.parse().ok()).unwrap_or(0);
        let work = self
            .works
            .lock()
            .unwrap()
            .get(job)
            .and_then(|steps| steps.get(step).copied());
        let Some(work) = work else {
            self.record.note(&format!(
                "{}: a start of a task that nobody sent: {task}",
                life.id
            ));
            return response(400, format!("{{\"clock-ms\":{}}}", life.clock()));
        };
        life.extend(deadline);
        let (cpu, mem) = life.used();
        if cpu + work.cpu > self.cpu || mem + work.mem_mb > self.mem_mb {
            return refuse(life, "room");
        }
        self.record
            .order("start", &task, run, &life.id, life.fence, "");
        life.runs.insert(
            (task, run),
            Run {
                work,
                began: Instant::now(),
                stop_at: None,
            },
        );
        accept(life)
    }
}

fn percent(run: &Run) -> u64 {
    let worked = run.began.elapsed().as_millis() as u64;
    match run.work.work_ms {
        Some(work) => (worked * 100 / work.max(1)).min(99),
        None if worked < STARTUP_MS => 50,
        None => 100,
    }
}

/// Body of the answer to a hold.
fn lists(life: &Life) -> String {
    let running = life.runs.iter().map(|((task, run), state)| {
        format!(
            "[\"{task}\",{run},\"\",{},{}]",
            percent(state),
            state.work.cpu
        )
    });
    let ends = life.ends.iter().take(LISTED_ENDS);
    let ends = ends.map(|end| {
        format!(
            "[{},\"{}\",{},\"{}\",\"\"]",
            end.number, end.task, end.run, end.how
        )
    });
    format!(
        "{{\"clock-ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        life.clock(),
        life.born,
        running.collect::<Vec<_>>().join(","),
        ends.collect::<Vec<_>>().join(",")
    )
}
