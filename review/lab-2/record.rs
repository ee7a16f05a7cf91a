//! What was sent, answered and run, as the stand-ins saw it.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A job of thousands of tasks, whose starts and ends are counted instead of written one by one.
pub const COUNTED_JOB: &str = "00000000000a11ce";

/// A start or a stop that an executor has carried out, or the end of a run.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub kind: &'static str,
    pub task: String,
}

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = Mutex::new(File::create(path).expect("record.txt"));
        Self {
            begun: Instant::now(),
            file,
            events: Mutex::new(Vec::new()),
        }
    }

    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn note(&self, text: &str) {
        let at = self.now().as_millis();
        let _ = writeln!(
            self.file.lock().unwrap(),
            "{:>7}.{:03}  {text}",
            at / 1_000,
            at % 1_000
        );
    }

    pub fn order(
        &self,
        kind: &'static str,
        task: &str,
        run: u64,
        executor: &str,
        fence: u64,
        how: &str,
    ) {
        if !task.starts_with(COUNTED_JOB) {
            self.note(&format!(
                "{executor} carries out: {kind} {task} run {run}, fence {fence} {how}"
            ));
        }
        self.add(kind, task);
    }

    pub fn ended(&self, task: &str, run: u64, executor: &str, how: &str) {
        if !task.starts_with(COUNTED_JOB) {
            self.note(&format!("{executor}: {task} run {run} ends: {how}"));
        }
        self.add("end", task);
    }

    fn add(&self, kind: &'static str, task: &str) {
        let event = Event {
            at: self.now(),
            kind,
            task: task.to_owned(),
        };
        self.events.lock().unwrap().push(event);
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }
}
