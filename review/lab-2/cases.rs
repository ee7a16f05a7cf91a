//! The cases.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::executor::StepWork;
use crate::record::{COUNTED_JOB, Record};
use crate::system::{Queue, System, config};

const ROOM: (u64, u64) = (16_000, 32_768);

const SMALL: Queue = Queue {
    host: "pens.example",
    prefix: "/count/",
    key: "key-of-stado",
};
const LARGE: Queue = Queue {
    host: "tides.example",
    prefix: "/rotation/",
    key: "key-of-ispasa",
};

fn two_queues(cap: u64) -> String {
    config(
        &[
            ("r-count", SMALL.host, SMALL.prefix, "stado", 0, 4),
            ("r-rotation", LARGE.host, LARGE.prefix, "ispasa", 1, 2),
        ],
        &["stado", "ispasa"],
        &[("pens", SMALL.key, cap), ("tides", LARGE.key, 0)],
    )
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn now_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

/// A scheduled job comes whose first occurrence was due 104 days ago. The platform kills processes over
/// their memory and starts them again. Returns whether Fault is broken: on two machines or more a
/// process ends by itself three times.
pub fn occurrences(trouble: bool, record: &Arc<Record>, folder: &Path) -> bool {
    /// `limits.memory-mb`.
    const MEMORY_MB: u64 = 260;
    const RESTART: Duration = Duration::from_secs(1);
    const ENDS: usize = 3;
    const MACHINES: usize = 2;
    let services = [("stado", 6, ROOM), ("ispasa", 6, ROOM)];
    let mut system = System::start(&two_queues(0), &services, 3, Arc::clone(record), folder);
    system.wait_until_ready();
    let work = StepWork {
        cpu: 500,
        mem_mb: 256,
        work_ms: Some(500),
    };
    let mut ends = [0; 3];
    let mut most = [0; 3];
    let mut down_since: [Option<Instant>; 3] = [None; 3];
    let mut sent = !trouble;
    let mut number = 0u64;
    let begun = Instant::now();
    let mut next_job = begun;
    while begun.elapsed() < Duration::from_secs(45) {
        if !sent && begun.elapsed() > Duration::from_secs(5) {
            sent = true;
            // Every 10 s since 104 days ago, for 116 days.
            let body = format!(
                "{{\"spec\":\"tide tables\",\"times\":1000000,\"start-at-ms\":{},\"interval-ms\":10000,\"steps\":[\
                 {{\"count\":2,\"cpu\":200,\"mem-mb\":128,\"est-ms\":200}}]}}",
                now_ms() - 9_000_000_000
            );
            let works = vec![StepWork {
                cpu: 200,
                mem_mb: 128,
                work_ms: Some(200),
            }];
            let taken = system.submit(&LARGE, COUNTED_JOB, &body, works);
            record.note(&format!("the scheduled job is accepted: {taken}"));
        }
        if Instant::now() >= next_job {
            next_job = Instant::now() + Duration::from_secs(1);
            number += 1;
            let body = "{\"spec\":\"headcount\",\"steps\":[{\"count\":3,\"cpu\":500,\"mem-mb\":256,\"est-ms\":500}]}";
            let id = format!("{number:016x}");
            system.works.lock().unwrap().insert(id.clone(), vec![work]);
            system.request(number as usize % 3, "POST", &SMALL, &id, body);
        }
        for i in 0..3 {
            if let Some(at) = down_since[i] {
                if at.elapsed() >= RESTART {
                    down_since[i] = None;
                    system.spawn(i);
                }
                continue;
            }
            let memory = system.memory_mb(i).unwrap_or(0);
            most[i] = most[i].max(memory);
            let by_itself = system.has_ended(i);
            if memory > MEMORY_MB || by_itself {
                ends[i] += 1;
                record.note(&format!(
                    "{}: ends, with {memory} MB of {MEMORY_MB}",
                    system.nodes[i].name
                ));
                system.kill(i);
                down_since[i] = Some(Instant::now());
            }
        }
        if ends.iter().filter(|ends| **ends >= ENDS).count() >= MACHINES {
            break;
        }
        sleep(10);
    }
    let starts = record
        .events()
        .into_iter()
        .filter(|event| event.kind == "start");
    let last = starts.map(|event| event.at).max().unwrap_or_default();
    record.note(&format!("ends of processes by machine: {ends:?}; most memory seen: {most:?} MB; last start of a task: {:.1} s", last.as_secs_f64()));
    ends.iter().filter(|ends| **ends >= ENDS).count() >= MACHINES
}

/// One of nine executors refuses starts for 6 s while the others are full. Returns whether MIXED is broken:
/// a machine gives as `pending` under half of the jobs that were accepted over `visible_ms` + 2 s before
/// and haven't begun.
pub fn pending(trouble: bool, record: &Arc<Record>, folder: &Path) -> bool {
    const VISIBLE: Duration = Duration::from_secs(3 + 2);
    const GREY: Duration = Duration::from_secs(6);
    let services = [("stado", 9, ROOM), ("ispasa", 3, ROOM)];
    let system = System::start(&two_queues(0), &services, 3, Arc::clone(record), folder);
    system.wait_until_ready();
    let body = "{\"spec\":\"herd register\",\"steps\":[{\"count\":8,\"cpu\":15800,\"mem-mb\":4300,\"est-ms\":700,\
                \"long-running\":true,\"max-per-server\":1}]}";
    let works = vec![StepWork {
        cpu: 15_800,
        mem_mb: 4_300,
        work_ms: None,
    }];
    if !system.submit(&SMALL, "00000000001ed9e4", body, works) {
        crate::give_up("the job isn't accepted");
    }
    sleep(3_000);
    let free = system.executors[..9]
        .iter()
        .find(|executor| executor.running().is_empty());
    let Some(free) = free.cloned() else {
        crate::give_up("no executor is free")
    };
    let begun = Instant::now();
    if trouble {
        free.turn_grey(true);
        let grey = Arc::clone(&free);
        thread::spawn(move || {
            thread::sleep(GREY);
            grey.turn_grey(false);
        });
    }
    let work = StepWork {
        cpu: 500,
        mem_mb: 256,
        work_ms: Some(1_000),
    };
    let body = "{\"spec\":\"headcount\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem-mb\":256,\"est-ms\":1000}]}";
    let mut accepted = Vec::new();
    for number in 1..=16u64 {
        let id = format!("{number:016x}");
        if system.submit(&SMALL, &id, body, vec![work]) {
            accepted.push((id, Instant::now()));
        }
    }
    let mut broken = false;
    while begun.elapsed() < Duration::from_secs(11) {
        sleep(200);
        for node in 0..system.nodes.len() {
            let asked = Instant::now();
            let waiting = |record: &Record| {
                let started: Vec<String> = record
                    .events()
                    .into_iter()
                    .filter(|event| event.kind == "start")
                    .map(|event| event.task)
                    .collect();
                let waiting = accepted.iter().filter(|(id, at)| {
                    asked.duration_since(*at) > VISIBLE
                        && !started.iter().any(|task| task.starts_with(id.as_str()))
                });
                waiting.count()
            };
            let before = waiting(record);
            let answer = system.request(node, "GET", &SMALL, "", "");
            // Those that began while the answer was on its way don't count.
            let count = before.min(waiting(record));
            let Some((200, body)) = answer else { continue };
            let shown =
                crate::json::Json::parse(&body).and_then(|body| body.get("pending").number());
            if let Some(shown) = shown
                && (shown as usize) * 2 < count
            {
                if !broken {
                    record.note(&format!(
                        "MIXED: {} gives {shown} as pending; {count} jobs were accepted over 5 s before and have not begun",
                        system.nodes[node].name
                    ));
                }
                broken = true;
            }
        }
    }
    record.note(&format!("{} small jobs were accepted", accepted.len()));
    broken
}

/// A wave of upkeep for nine machines, one at a time. The first order gets no answer and is carried out
/// 2 to 12 s later; its sender is killed meanwhile. Returns whether LIMIT is broken: an upkeep begins
/// while `cap` machines of its wave are down for theirs.
pub fn late_order(trouble: bool, record: &Arc<Record>, folder: &Path) -> bool {
    const CAP: usize = 1;
    let services = [("stado", 9, ROOM), ("ispasa", 3, ROOM)];
    let mut system = System::start(&two_queues(0), &services, 3, Arc::clone(record), folder);
    system.wait_until_ready();
    sleep(1_000);
    let mut wave: Vec<String> = system.executors[..9]
        .iter()
        .map(|executor| executor.machine.clone())
        .collect();
    // The first machine of the wave is the only one of its rack in the service.
    wave.reverse();
    if trouble {
        system.machines.make_next_late();
    }
    system.machines.open_wave(&wave);
    let names: Vec<String> = wave.iter().map(|name| format!("\"{name}\"")).collect();
    let body = format!(
        "{{\"wave\":1,\"machines\":[{}],\"duration-s\":60,\"cap\":{CAP}}}",
        names.join(",")
    );
    system.store.put("keyed.op", "wave/1", &body);
    record.note(&format!("op/wave/1: {body}"));
    let begun = Instant::now();
    let mut killed: Option<(usize, Instant)> = None;
    let mut number = 0u64;
    let mut next_job = begun + Duration::from_secs(2);
    let work = StepWork {
        cpu: 1_000,
        mem_mb: 512,
        work_ms: Some(8_000),
    };
    while begun.elapsed() < Duration::from_secs(40) {
        sleep(20);
        if trouble
            && killed.is_none()
            && let Some(at) = system.machines.late_taken()
            && at.elapsed() > Duration::from_millis(200)
        {
            let leader = system
                .leader()
                .unwrap_or_else(|| crate::give_up("nobody leads"));
            record.note(&format!("{}: killed", system.nodes[leader].name));
            system.kill(leader);
            killed = Some((leader, Instant::now()));
        }
        if let Some((node, at)) = killed
            && at.elapsed() > Duration::from_millis(3_000)
            && !system.is_up(node)
        {
            system.spawn(node);
        }
        if Instant::now() >= next_job && number < 12 {
            next_job += Duration::from_millis(400);
            number += 1;
            let body = "{\"spec\":\"headcount\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":512,\"est-ms\":8000,\"required-label\":\"r1-2\"}]}";
            let id = format!("{number:016x}");
            system.works.lock().unwrap().insert(id.clone(), vec![work]);
            let node = (0..3).find(|node| system.is_up(*node)).unwrap_or(0);
            system.request(node, "POST", &SMALL, &id, body);
        }
    }
    if let Some(at) = system.machines.late_taken() {
        let calls = system
            .machines
            .calls_within(at, Duration::from_millis(5_500));
        record.note(&format!("1 of {calls} calls for upkeep in 5.5 s was late"));
        if calls < 2 {
            crate::give_up("more than half of the calls were late");
        }
    }
    let mut broken = false;
    for upkeep in system.machines.begun() {
        if upkeep.down >= CAP {
            broken = true;
            record.note(&format!(
                "LIMIT at {:.3} s: the upkeep of {} begins by an order of {}, while {} of {CAP} machines are down for theirs",
                upkeep.at.as_secs_f64(), upkeep.machine, upkeep.holder, upkeep.down
            ));
        }
    }
    record.note(&format!(
        "{} of {} machines had their upkeep",
        system.machines.begun().len(),
        wave.len()
    ));
    broken
}

/// A task of a job that lasts exits by itself, with success. Returns whether LOST is broken: from 6 s after
/// its last run it isn't running for 3 s, although its service is nearly idle.
pub fn exits(trouble: bool, record: &Arc<Record>, folder: &Path) -> bool {
    const AFTER: Duration = Duration::from_secs(6);
    const SPAN: Duration = Duration::from_secs(3);
    let id = "00000000001ed9e4";
    let services = [("stado", 9, ROOM), ("ispasa", 3, ROOM)];
    let system = System::start(&two_queues(0), &services, 3, Arc::clone(record), folder);
    system.wait_until_ready();
    let body = "{\"spec\":\"herd register\",\"steps\":[{\"count\":5,\"cpu\":1300,\"mem-mb\":4300,\"est-ms\":700,\
                \"long-running\":true}]}";
    let works = vec![StepWork {
        cpu: 1_300,
        mem_mb: 4_300,
        work_ms: None,
    }];
    if !system.submit(&SMALL, id, body, works) {
        crate::give_up("the job isn't accepted");
    }
    sleep(6_000);
    let task = format!("{id}.0.0.0");
    let Some((executor, ..)) = system.runner(&task) else {
        crate::give_up("the task isn't running")
    };
    if trouble {
        system.executors[executor].finish(&task);
    }
    let ended = Instant::now();
    let mut away_since: Option<Instant> = None;
    let mut longest = Duration::ZERO;
    while ended.elapsed() < AFTER + SPAN * 4 {
        sleep(20);
        if system.runner(&task).is_some() {
            away_since = None;
        } else if ended.elapsed() >= AFTER {
            let since = *away_since.get_or_insert_with(Instant::now);
            longest = longest.max(since.elapsed());
        }
    }
    let state = system.state(&SMALL, id);
    let at_work = (0..5)
        .filter(|index| system.runner(&format!("{id}.0.0.{index}")).is_some())
        .count();
    record.note(&format!(
        "{:.1} s after the end of {task}: the job is shown as {state:?}, {at_work} of its 5 tasks are running; {task} was away for {:.1} s on end, counted from {} s after its end",
        ended.elapsed().as_secs_f64(), longest.as_secs_f64(), AFTER.as_secs()
    ));
    record.note("in use: 4 or 5 tasks of 1300 of 144000 thousandths of a core; the tenant has no cap; cancels sent: 0");
    longest >= SPAN
}
