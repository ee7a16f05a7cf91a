//! Callers, who look up jobs at every process again and again, and a store that falls silent.

use amaranthwick::scheduler::{
    Change, Event, Job, JobKey, JobState, Millis, StoredTable, TargetId, TaskKey,
};
use indexmap::{IndexMap, IndexSet};

use super::{Action, ENTRY_LAG_MS, STORE_LATENCY_MS, TICK_MS, World};

/// Interval at which callers look up all jobs, in ms.
const LOOKUP_MS: Millis = 50;
/// Interval at which processes that do not lead read the stream, in ms.
const READ_MS: Millis = 200;
/// Interval at which an append without an answer is repeated, in ms.
const RETRY_MS: Millis = 50;
/// Time after a job was shown as complete in which a task of it may still start, in ms.
const START_GRACE_MS: Millis = 1_000;
/// Stands for the process that only follows, among the indices of processes.
const FOLLOWER: usize = usize::MAX;

/// What callers were shown, and by whom.
#[derive(Default)]
pub(crate) struct Callers {
    /// Since when the store has been silent; `None` while it answers.
    silent_since: Option<Millis>,
    /// Processes that were killed.
    killed: IndexSet<usize>,
    /// Batches, by leader and number, that were stored and not answered.
    unanswered: IndexSet<(usize, u64)>,
    /// Table of a process that only follows.
    follower: StoredTable,
    /// Number of changes that it has read.
    read: usize,
    /// First ended state of each job that any process has shown, with the time.
    ended: IndexMap<JobKey, (Millis, JobState)>,
    /// Ended states that each process has shown.
    shown: IndexMap<(usize, JobKey), JobState>,
    /// When the first task of each job began on a target.
    begun: IndexMap<JobKey, Millis>,
    /// Jobs that each process has shown as running.
    shown_running: IndexSet<(usize, JobKey)>,
    /// Longest time after a job has begun in which it may still be shown as queued, in ms; `None`
    /// where targets, the store or the leader may be away for any time.
    pub(crate) queued_limit: Option<Millis>,
    /// Number of claims after which the stored states were checked.
    checked_claims: usize,
    /// Starts of tasks of jobs that were shown as complete before, at whatever time.
    pub(crate) repeats: usize,
}

impl Callers {
    /// Notes what a lookup at a process found. Returns the state that is contradicted.
    fn note(&mut self, at: usize, key: JobKey, state: JobState, now: Millis) -> Option<JobState> {
        let earlier = self.shown.get(&(at, key)).copied();
        if !state.ended() {
            self.shown.swap_remove(&(at, key));
            return earlier;
        }
        self.shown.insert((at, key), state);
        let (_, first) = *self.ended.entry(key).or_insert((now, state));
        let contradicted = earlier.unwrap_or(first);
        (contradicted != state).then_some(contradicted)
    }

    /// Notes that a task of the job has begun on a target.
    pub(super) fn note_begun(&mut self, job: JobKey, now: Millis) {
        self.begun.entry(job).or_insert(now);
    }

    /// Notes a state that a lookup at a process found. Returns how it is wrong by whether a task of
    /// the job has begun.
    fn check_begun(
        &mut self,
        at: usize,
        key: JobKey,
        state: JobState,
        now: Millis,
    ) -> Option<&'static str> {
        let begun_at = self.begun.get(&key).copied();
        match state {
            JobState::Running => {
                self.shown_running.insert((at, key));
                begun_at.is_none().then_some("before any task has begun")
            }
            JobState::Queued if self.shown_running.contains(&(at, key)) => {
                Some("after it was shown as running")
            }
            JobState::Queued => {
                let limit = self.queued_limit?;
                let late = begun_at.is_some_and(|begun| now > begun + limit);
                late.then_some("long after a task has begun")
            }
            JobState::Complete | JobState::Failed | JobState::Canceled => None,
        }
    }

    fn forget(&mut self, key: JobKey) {
        self.ended.swap_remove(&key);
        self.shown.retain(|(_, other), _| *other != key);
        self.shown_running.retain(|(_, other)| *other != key);
    }
}

impl World {
    /// The store falls silent: it answers no appends, and nothing can be read. Nobody may submit
    /// jobs or claim the role meanwhile.
    pub(crate) fn silence_store(&mut self) {
        self.callers.silent_since = Some(self.now);
    }

    /// The store answers again. If the entries of the targets have expired, they return one by one.
    pub(crate) fn end_silence(&mut self, expired: bool) {
        self.callers.silent_since = None;
        if !expired {
            self.notify_leaders(&Event::TargetListRegained);
            return self.relist_targets();
        }
        self.expire_entries();
        for id in self.ids() {
            self.publish_later(&id);
        }
    }

    pub(crate) const fn store_is_silent(&self) -> bool {
        self.callers.silent_since.is_some()
    }

    /// Returns whether the process that claimed the role last still acts on it.
    pub(crate) fn leads(&self) -> bool {
        let last = self.processes.last();
        last.is_some_and(|process| !process.gone && process.frozen_until <= self.now)
    }

    /// The process that claimed the role last no longer answers callers.
    pub(super) fn note_kill(&mut self) {
        self.callers.killed.insert(self.processes.len() - 1);
    }

    /// A target publishes its entry with a later heartbeat.
    pub(super) fn publish_later(&mut self, id: &TargetId) {
        let delay = self.rng.u64(..ENTRY_LAG_MS);
        self.schedule(delay, Action::Heartbeat(id.clone()));
    }

    /// An append is sent to the silent store. One that was sent before the silence may be stored;
    /// its process repeats it in either case.
    pub(super) fn append_unanswered(&mut self, leader: usize, batch: u64, changes: Vec<Change>) {
        let sent_before = self
            .callers
            .silent_since
            .is_some_and(|since| self.now < since + STORE_LATENCY_MS + TICK_MS);
        let holds_role = leader + 1 == self.processes.len();
        if sent_before && holds_role && self.rng.bool() {
            self.store_batch(leader, batch, &changes);
            self.callers.unanswered.insert((leader, batch));
        }
        if !self.processes[leader].gone {
            let append = Action::Store {
                leader,
                batch,
                changes,
            };
            self.schedule(RETRY_MS, append);
        }
    }

    /// Stores a batch, unless it repeats one that was stored and not answered.
    pub(super) fn store_batch(&mut self, leader: usize, batch: u64, changes: &[Change]) {
        if self.callers.unanswered.contains(&(leader, batch)) {
            return;
        }
        self.check_failed_jobs(changes);
        self.log.extend_from_slice(changes);
        self.last_stored = self.now;
    }

    /// Callers look up all jobs at every process that runs.
    pub(super) fn look_up_jobs(&mut self) {
        if self.now.is_multiple_of(READ_MS) && !self.store_is_silent() {
            self.read_stream();
        }
        self.check_claim();
        if !self.now.is_multiple_of(LOOKUP_MS) {
            return;
        }
        let now = self.now;
        let processes = self.processes.iter().enumerate();
        let killed = &self.callers.killed;
        let running: Vec<usize> = processes
            .filter(|(i, process)| !killed.contains(i) && process.frozen_until <= now)
            .map(|(i, _)| i)
            .collect();
        for i in running.into_iter().chain([FOLLOWER]) {
            let stored = match self.processes.get(i) {
                Some(process) => &process.stored,
                None => &self.callers.follower,
            };
            let states = stored.table().iter().map(|(key, job)| (key, job.state()));
            let states: Vec<(JobKey, JobState)> = states.collect();
            for (key, state) in states {
                if let Some(earlier) = self.callers.note(i, key, state, now) {
                    self.violations.push(format!(
                        "{now}: {key} is shown as {state:?} after {earlier:?}"
                    ));
                }
                if let Some(fault) = self.callers.check_begun(i, key, state, now) {
                    let violation = format!("{now}: {key} is shown as {state:?} {fault}");
                    self.violations.push(violation);
                }
            }
        }
    }

    /// Numbers of queued jobs that the running process which claimed the role last and a process
    /// that only follows give callers.
    pub(crate) fn queued_jobs(&self, queue: &str) -> [usize; 2] {
        let last = self.processes.last().map(|process| &process.stored);
        let follower = &self.callers.follower;
        [last.unwrap_or(follower), follower].map(|stored| stored.table().queued_jobs(queue))
    }

    /// Processes that do not lead read the stream to its end.
    fn read_stream(&mut self) {
        let log = &self.log;
        let callers = &mut self.callers;
        let changes = &log[callers.read..];
        callers.read = log.len();
        for change in changes {
            callers.follower.apply_read(change.clone());
            if let Change::Forget(key) = change {
                callers.forget(*key);
            }
        }
        for (i, process) in self.processes.iter_mut().enumerate() {
            if process.gone && process.frozen_until <= self.now && !callers.killed.contains(&i) {
                process.read_log(log, self.now);
            }
        }
    }

    /// Checks after a claim that all ended states that were shown are stored: what earlier leaders
    /// have not stored by then is lost.
    fn check_claim(&mut self) {
        if self.callers.checked_claims == self.processes.len() {
            return;
        }
        self.callers.checked_claims = self.processes.len();
        let stored = self.stored();
        for (key, (_, shown)) in &self.callers.ended {
            let state = stored.get(*key).map(Job::state);
            if state.is_some_and(|state| state != *shown) {
                self.violations.push(format!(
                    "{}: {key} is stored as {state:?} after it was shown as {shown:?}",
                    self.now
                ));
            }
        }
    }

    /// Checks that a start which an order of `ordered_at` causes does not come long after the job
    /// was shown as complete.
    pub(super) fn check_repeat(&mut self, leader: usize, task: TaskKey, ordered_at: Millis) {
        let now = self.now;
        let Some((shown_at, JobState::Complete)) = self.callers.ended.get(&task.step.job) else {
            return;
        };
        let age_ms = now - shown_at;
        self.callers.repeats += 1;
        let late = now - ordered_at > TICK_MS;
        let in_touch =
            !self.callers.killed.contains(&leader) && self.processes[leader].frozen_until <= now;
        if age_ms > START_GRACE_MS && in_touch && !late {
            self.violations.push(format!(
                "{now}: {task} starts {age_ms} ms after its job was shown as complete"
            ));
        }
    }
}
