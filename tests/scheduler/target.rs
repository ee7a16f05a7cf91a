//! A target that keeps to the platform's rules: fences, leases, stops and lists of ends.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthwick::scheduler::{
    Capacity, EndKind, EndedRun, Held, HoldFailure, Millis, RunningTask, StartOutcome, StopOutcome,
    TargetEntry, TargetId, TargetState, TaskKey,
};
use indexmap::IndexMap;

/// Time that a stop takes.
const STOP_MS: Millis = 200;

/// How a fake task goes on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) takes: Capacity,
    /// `None` for a task that lasts.
    pub(crate) length_ms: Option<Millis>,
    pub(crate) fails: bool,
}

/// Whether work makes progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    Usual,
    StandsStill,
}

impl Run {
    /// Share of its work that is done, or for a task that lasts, whether it is at work.
    fn percent(&self, now: Millis) -> u32 {
        let worked = now.saturating_sub(self.since);
        let percent = match self.work.length_ms {
            Some(length) => worked * 100 / length.max(1),
            None if worked >= 300 => 100,
            None => 0,
        };
        u32::try_from(percent.min(100)).unwrap()
    }
}

#[derive(Clone, Debug)]
struct Run {
    number: u32,
    work: Work,
    since: Millis,
    ends: Option<(Millis, EndKind)>,
}

/// One target.
#[derive(Debug)]
pub(crate) struct FakeTarget {
    pub(crate) entry: TargetEntry,
    /// False while nothing reaches it and no answer leaves it.
    pub(crate) reachable: bool,
    /// Whether what runs there makes progress.
    pub(crate) pace: Pace,
    /// Its entry is in the store's list.
    pub(crate) listed: bool,
    pub(crate) alive: bool,
    started: Millis,
    /// When time last passed.
    seen: Millis,
    until: u64,
    fence: u64,
    runs: IndexMap<TaskKey, Run>,
    highest: IndexMap<TaskKey, u32>,
    ended: Vec<EndedRun>,
    next: u64,
    /// Tasks whose ends as done may not be undone: they were forgotten as asked.
    pub(crate) noted: Vec<TaskKey>,
}

impl FakeTarget {
    pub(crate) fn new(name: &str, pool: &str, rack: &str, cores: u64) -> Self {
        let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
        Self {
            entry: TargetEntry {
                id: TargetId(Arc::from(name)),
                born: 1,
                address,
                pool: Arc::from(pool),
                machine: Arc::from(format!("vm-{name}")),
                labels: vec!["a".to_owned(), rack.to_owned()],
                capacity: Capacity {
                    cpu: cores * 1_000,
                    mem_mb: 32_768,
                    gpu: 0,
                },
                state: TargetState::Ready,
            },
            reachable: true,
            pace: Pace::Usual,
            seen: 0,
            listed: true,
            alive: true,
            started: 0,
            until: 0,
            fence: 0,
            runs: IndexMap::new(),
            highest: IndexMap::new(),
            ended: Vec::new(),
            next: 1,
            noted: Vec::new(),
        }
    }

    fn clock(&self, now: Millis) -> u64 {
        now - self.started
    }

    /// Starts anew, knowing nothing.
    pub(crate) fn restart(&mut self, now: Millis) {
        let mut entry = self.entry.clone();
        entry.born += 1;
        *self = Self {
            entry: entry.clone(),
            started: now,
            ..Self::new("", "", "", 0)
        };
        self.entry = entry;
    }

    /// Lets time pass: work ends, leases expire.
    pub(crate) fn advance(&mut self, now: Millis) {
        let passed = now - self.seen;
        self.seen = now;
        if self.pace == Pace::StandsStill {
            for run in self.runs.values_mut() {
                run.since += passed;
                if let Some((at, EndKind::Done)) = &mut run.ends {
                    *at += passed;
                }
            }
        }
        let lapsed = self.clock(now) > self.until;
        let over: Vec<(TaskKey, EndKind)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| {
                if lapsed {
                    return Some((*task, EndKind::Lapsed));
                }
                let (at, kind) = run.ends?;
                (at <= now).then_some((*task, kind))
            })
            .collect();
        for (task, kind) in over {
            let run = self.runs.shift_remove(&task).unwrap();
            self.ended.push(EndedRun {
                position: self.next,
                task,
                run: run.number,
                kind,
                checkpoint: String::new(),
            });
            self.next += 1;
        }
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = TaskKey> {
        self.runs.keys().copied()
    }

    pub(crate) fn start(
        &mut self,
        task: TaskKey,
        run: u32,
        work: Work,
        deadline_ms: u64,
        epoch: u64,
        now: Millis,
    ) -> StartOutcome {
        if epoch < self.fence {
            return StartOutcome::Fenced;
        }
        self.fence = epoch;
        if deadline_ms < self.clock(now) {
            return StartOutcome::Late;
        }
        self.until = self.until.max(deadline_ms);
        if self
            .runs
            .get(&task)
            .is_some_and(|there| there.number == run)
        {
            return StartOutcome::Running;
        }
        if self.highest.get(&task).is_some_and(|high| run <= *high) {
            return StartOutcome::OldRun;
        }
        let mut used = Capacity::default();
        self.runs.values().for_each(|run| used.add(&run.work.takes));
        if !used.fits(&work.takes, &self.entry.capacity) {
            return StartOutcome::NoRoom;
        }
        let kind = if work.fails {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        let ends = work.length_ms.map(|length| (now + length, kind));
        let since = now;
        let begun = Run {
            number: run,
            work,
            since,
            ends,
        };
        self.highest.insert(task, run);
        self.runs.insert(task, begun);
        StartOutcome::Running
    }

    pub(crate) fn stop(&mut self, task: TaskKey, run: u32, epoch: u64, now: Millis) -> StopOutcome {
        if epoch < self.fence {
            return StopOutcome::Fenced;
        }
        self.fence = epoch;
        let high = self.highest.entry(task).or_default();
        *high = (*high).max(run);
        if let Some(there) = self.runs.get_mut(&task)
            && there.number <= run
        {
            there.ends = Some((now + STOP_MS, EndKind::Stopped));
        }
        StopOutcome::Confirmed
    }

    pub(crate) fn hold(
        &mut self,
        deadline_ms: Option<u64>,
        cursor: u64,
        epoch: u64,
        now: Millis,
    ) -> Result<Held, HoldFailure> {
        if epoch < self.fence {
            return Err(HoldFailure::Fenced);
        }
        self.fence = epoch;
        self.until = self.until.max(deadline_ms.unwrap_or(0));
        let noted = self.ended.iter().filter(|end| end.position <= cursor);
        let done = noted.filter(|end| end.kind == EndKind::Done);
        self.noted.extend(done.map(|end| end.task));
        self.ended.retain(|end| end.position > cursor);
        let running = self.runs.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: run.number,
            checkpoint: String::new(),
            percent: run.percent(now),
            load: 0,
        });
        Ok(Held {
            born: self.entry.born,
            clock_ms: self.clock(now),
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }
}
