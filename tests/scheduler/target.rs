//! A fake target that follows the platform's rules for fencing tokens, leases, stops and ended
//! runs.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthwick::scheduler::{
    Capacity, EndKind, EndedRun, HoldFailure, Millis, RunningTask, StartOutcome, StopOutcome,
    TargetEntry, TargetId, TargetReport, TargetState, TaskKey,
};
use indexmap::IndexMap;

use crate::capacity::Room;
use crate::world::StartFault;

/// Time from a stop to the end of the run, in ms.
const STOP_MS: Millis = 200;

/// Longest lease that a target accepts, in ms.
pub(crate) const MAX_LEASE_MS: Millis = 6_000;

/// What a fake task reserves, how long it runs and how it ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) reserved: Capacity,
    /// Time that the task runs, in ms; `None` for a long-running task.
    pub(crate) run_ms: Option<Millis>,
    pub(crate) fails: bool,
}

/// Whether the runs on a target make progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    Normal,
    Stalled,
}

impl Run {
    /// It works from now on.
    pub(crate) fn begin_work(&mut self, now: Millis) {
        let kind = if self.work.fails {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        self.worked_since = now;
        self.end = self.work.run_ms.map(|length| (now + length, kind));
    }

    /// It made no progress for `passed` ms.
    pub(crate) fn hold_back(&mut self, passed: Millis) {
        self.worked_since += passed;
        if let Some((at, EndKind::Done)) = &mut self.end {
            *at += passed;
        }
    }

    /// Progress in percent; 100 for a long-running task that has run for 300 ms.
    fn percent(&self, now: Millis) -> u32 {
        let worked = now.saturating_sub(self.worked_since);
        let percent = match self.work.run_ms {
            Some(length) => worked * 100 / length.max(1),
            None if worked >= 300 => 100,
            None => 0,
        };
        u32::try_from(percent.min(100)).unwrap()
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Run {
    work: Work,
    /// When the run started, moved on by the time for which it was stalled.
    worked_since: Millis,
    /// When and how the run is to end; `None` for one that runs on.
    pub(crate) end: Option<(Millis, EndKind)>,
}

/// The end of a run as done that its target was allowed to forget. The task must not start again, nor
/// have started since the end, unless the lease has lapsed since.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForgottenEnd {
    pub(crate) task: TaskKey,
    pub(crate) ended_at: Millis,
    pub(crate) lapsed: bool,
}

/// A fake target.
#[derive(Debug)]
pub(crate) struct FakeTarget {
    pub(crate) entry: TargetEntry,
    /// Whether calls reach the target.
    pub(crate) reachable: bool,
    /// Whether its runs make progress.
    pub(crate) pace: Pace,
    /// Whether its entry is in the platform's list.
    pub(crate) listed: bool,
    /// Its entry in that list, if that is still the one of a former incarnation.
    pub(crate) listed_as: Option<TargetEntry>,
    /// False once it is lost for good.
    pub(crate) alive: bool,
    /// When its process crashed; its VM is up and refuses connections. `None` while it runs.
    pub(crate) crashed_at: Option<Millis>,
    pub(crate) room: Room,
    /// How its starts fail while its reports are in order; `None` while they are carried out.
    pub(crate) start_fault: Option<StartFault>,
    /// When this incarnation started; its clock counts from then.
    started_at: Millis,
    /// Time of the latest call of [`Self::advance`].
    advanced_at: Millis,
    /// Deadline of its lease, in ms of its clock.
    lease_deadline: u64,
    /// Highest fencing token of any call; lower ones are refused.
    highest_epoch: u64,
    /// Runs that have not ended, by task and number: a task may run under several numbers at a time.
    runs: IndexMap<(TaskKey, u32), Run>,
    /// Highest number of a run of each task that was stopped or has ended; starts up to it are
    /// refused.
    barred_runs: IndexMap<TaskKey, u32>,
    /// Ended runs that may not be forgotten yet, each with the time of its end.
    ended: Vec<(Millis, EndedRun)>,
    /// Largest number of ended runs in a report.
    pub(crate) ends_page: usize,
    /// Position of the next ended run.
    next_position: u64,
    /// When its lease was last seen to have lapsed.
    lapsed_at: Millis,
    /// Tasks of the runs that have ended as done since the simulation last took them.
    pub(crate) newly_done: Vec<TaskKey>,
    /// Ends as done that the leader let the target forget.
    pub(crate) forgotten_done: Vec<ForgottenEnd>,
}

impl FakeTarget {
    pub(crate) fn new(name: &str, pool: &str, rack: &str, cores: u64) -> Self {
        let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let capacity = Capacity {
            cpu: cores * 1_000,
            mem_mb: 32_768,
            gpu: 0,
        };
        Self {
            entry: TargetEntry {
                id: TargetId(Arc::from(name)),
                born: 1,
                address,
                pool: Arc::from(pool),
                vm: Arc::from(format!("vm-{name}")),
                data_centre: Arc::from(""),
                labels: vec!["a".to_owned(), rack.to_owned()],
                capacity,
                state: TargetState::Ready,
                cold_left_ms: 0,
            },
            reachable: true,
            pace: Pace::Normal,
            advanced_at: 0,
            listed: true,
            listed_as: None,
            alive: true,
            crashed_at: None,
            room: Room::new(capacity),
            start_fault: None,
            started_at: 0,
            lease_deadline: 0,
            highest_epoch: 0,
            runs: IndexMap::new(),
            barred_runs: IndexMap::new(),
            ended: Vec::new(),
            ends_page: 500,
            next_position: 1,
            lapsed_at: 0,
            newly_done: Vec::new(),
            forgotten_done: Vec::new(),
        }
    }

    pub(crate) fn clock(&self, now: Millis) -> u64 {
        now - self.started_at
    }

    /// Extends the lease, which a call can't do by more than [`MAX_LEASE_MS`].
    fn extend_lease(&mut self, deadline_ms: u64, now: Millis) {
        let latest = self.clock(now) + MAX_LEASE_MS;
        self.lease_deadline = self.lease_deadline.max(deadline_ms.min(latest));
    }

    /// Restarts as a new incarnation without any state.
    pub(crate) fn restart(&mut self, now: Millis) {
        let mut entry = self.entry.clone();
        entry.born += 1;
        *self = Self {
            entry: entry.clone(),
            started_at: now,
            room: self.room.clone(),
            ends_page: self.ends_page,
            ..Self::new("", "", "", 0)
        };
        self.entry = entry;
    }

    /// Returns whether its process runs.
    pub(crate) const fn is_up(&self) -> bool {
        self.alive && self.crashed_at.is_none()
    }

    /// Its process ends with all it knew.
    pub(crate) fn crash(&mut self, now: Millis) {
        self.crashed_at = Some(now);
        self.runs.clear();
        self.ended.clear();
    }

    /// The target that takes its place on its VM, under another id; it is not listed yet.
    pub(crate) fn successor(&self, id: TargetId, now: Millis) -> Self {
        let entry = TargetEntry {
            id,
            born: self.entry.born + 1,
            ..self.entry.clone()
        };
        Self {
            entry,
            reachable: self.reachable,
            listed: false,
            started_at: now,
            room: self.room.clone(),
            ends_page: self.ends_page,
            ..Self::new("", "", "", 0)
        }
    }

    /// Advances time to `now`: runs end, and the lease may expire.
    pub(crate) fn advance(&mut self, now: Millis) {
        let passed = now - self.advanced_at;
        self.advanced_at = now;
        if self.clock(now) > self.lease_deadline {
            self.lapsed_at = now;
        }
        if self.pace == Pace::Stalled {
            for run in self.runs.values_mut() {
                run.hold_back(passed);
            }
        }
        let over: Vec<((TaskKey, u32), EndKind)> = self
            .runs
            .iter()
            .filter_map(|(key, run)| Some((*key, self.due_end(run, now)?)))
            .collect();
        for ((task, run), kind) in over {
            self.runs.shift_remove(&(task, run));
            self.bar_starts(task, run);
            if kind == EndKind::Done {
                self.newly_done.push(task);
            }
            let end = EndedRun {
                position: self.next_position,
                task,
                run,
                kind,
                checkpoint: String::new(),
            };
            self.ended.push((now, end));
            self.next_position += 1;
        }
    }

    /// How the run ends now; `None` for one that goes on.
    pub(crate) fn due_end(&self, run: &Run, now: Millis) -> Option<EndKind> {
        if self.clock(now) > self.lease_deadline {
            return Some(EndKind::Lapsed);
        }
        let (at, kind) = run.end?;
        (at <= now).then_some(kind)
    }

    /// The run of a task under this number.
    pub(crate) fn run(&self, task: TaskKey, number: u32) -> Option<&Run> {
        self.runs.get(&(task, number))
    }

    pub(crate) fn run_mut(&mut self, task: TaskKey, number: u32) -> Option<&mut Run> {
        self.runs.get_mut(&(task, number))
    }

    /// Tasks of the runs here; one that runs under several numbers comes up several times.
    pub(crate) fn running(&self) -> impl Iterator<Item = TaskKey> {
        self.runs.keys().map(|(task, _)| *task)
    }

    /// Number of the only run of a task that is running here.
    pub(crate) fn run_number(&self, task: TaskKey) -> u32 {
        let mut numbers = self.runs.keys().filter(|(other, _)| *other == task);
        let (_, number) = numbers.next().unwrap();
        assert!(numbers.next().is_none(), "{task} runs twice");
        *number
    }

    /// Gives the run of a task another number, as if a start of that number had been carried out
    /// here instead.
    pub(crate) fn renumber_run(&mut self, task: TaskKey, number: u32) {
        let key = (task, self.run_number(task));
        let run = self.runs.shift_remove(&key).unwrap();
        self.runs.insert((task, number), run);
    }

    /// Refuses starts of the task up to this number from now on.
    fn bar_starts(&mut self, task: TaskKey, run: u32) {
        let barred = self.barred_runs.entry(task).or_default();
        *barred = run.max(*barred);
    }

    /// Sum of what its runs reserve.
    pub(crate) fn used(&self) -> Capacity {
        let mut used = Capacity::default();
        for run in self.runs.values() {
            used.add(&run.work.reserved);
        }
        used
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
        if epoch < self.highest_epoch {
            return StartOutcome::Fenced;
        }
        self.highest_epoch = epoch;
        if deadline_ms < self.clock(now) {
            return StartOutcome::Late;
        }
        self.extend_lease(deadline_ms, now);
        if self.run(task, run).is_some() {
            return StartOutcome::Running;
        }
        if self
            .barred_runs
            .get(&task)
            .is_some_and(|barred| run <= *barred)
        {
            return StartOutcome::OldRun;
        }
        if !self.room.admits(&self.used(), &work.reserved) {
            return StartOutcome::NoRoom;
        }
        self.begin_run(task, run, work, now);
        StartOutcome::Running
    }

    /// A run begins, beside others of its task.
    pub(crate) fn begin_run(&mut self, task: TaskKey, number: u32, work: Work, now: Millis) {
        let mut run = Run {
            work,
            worked_since: now,
            end: None,
        };
        run.begin_work(now);
        self.runs.insert((task, number), run);
    }

    pub(crate) fn stop(&mut self, task: TaskKey, run: u32, epoch: u64, now: Millis) -> StopOutcome {
        if epoch < self.highest_epoch {
            return StopOutcome::Fenced;
        }
        self.highest_epoch = epoch;
        self.bar_starts(task, run);
        if let Some(there) = self.run_mut(task, run)
            && !matches!(there.end, Some((_, EndKind::Stopped)))
        {
            there.end = Some((now + STOP_MS, EndKind::Stopped));
        }
        StopOutcome::Confirmed
    }

    pub(crate) fn hold(
        &mut self,
        deadline_ms: Option<u64>,
        cursor: u64,
        epoch: u64,
        now: Millis,
    ) -> Result<TargetReport, HoldFailure> {
        if epoch < self.highest_epoch {
            return Err(HoldFailure::Fenced);
        }
        self.highest_epoch = epoch;
        self.extend_lease(deadline_ms.unwrap_or(0), now);
        let forgotten = self.ended.iter().filter(|(_, end)| end.position <= cursor);
        let done = forgotten.filter(|(_, end)| end.kind == EndKind::Done);
        let done = done.map(|(at, end)| ForgottenEnd {
            task: end.task,
            ended_at: *at,
            lapsed: self.lapsed_at >= *at,
        });
        self.forgotten_done.extend(done);
        self.ended.retain(|(_, end)| end.position > cursor);
        let running = self.runs.iter().map(|((task, number), run)| RunningTask {
            task: *task,
            run: *number,
            checkpoint: String::new(),
            percent: run.percent(now),
            load: 0,
        });
        let listed = self.ended.iter().take(self.ends_page);
        let listed = listed.map(|(_, end)| end);
        Ok(TargetReport {
            born: self.entry.born,
            clock_ms: self.clock(now),
            running: running.collect(),
            ended: listed.cloned().collect(),
            complete: self.ended.len() < self.ends_page,
        })
    }
}
