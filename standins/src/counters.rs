//! What the executors ran, for checks from outside.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Counts over the whole fleet since the start or the last reset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests that began to run.
    pub runs: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests whose run was ended by a VM that went down.
    pub cut: u64,
    /// Requests refused because all slots were taken.
    pub busy: u64,
    /// Runs that carried no request id, or came after the bound on tracked ids.
    pub untracked: u64,
    /// Request ids that began to run more than once, with their runs.
    pub repeated: IndexMap<String, u64>,
    /// Counts of each team that requests named.
    pub teams: IndexMap<String, TeamCounters>,
    /// Counts of each executor.
    pub executors: IndexMap<String, ExecutorCounters>,
}

/// Counts of one team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamCounters {
    /// Requests that began to run.
    pub runs: u64,
    /// Requests that run now in the whole fleet.
    pub running: u64,
    /// Most that ran at a time in the whole fleet.
    pub max_running: u64,
}

/// Counts of one executor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorCounters {
    /// Requests that began to run.
    pub runs: u64,
    /// Requests that run now.
    pub running: u64,
    /// Most that ran at a time.
    pub max_running: u64,
    /// Requests refused because all slots were taken.
    pub busy: u64,
    /// Connections open now.
    pub connections: usize,
    /// Most connections that were open at a time.
    pub max_connections: usize,
    /// Connections closed at once because too many were open.
    pub refused_connections: u64,
}

/// Counts kept by all executors together.
#[derive(Debug)]
pub(crate) struct RunTracker {
    max_tracked: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    counters: Counters,
    runs_by_request_id: IndexMap<String, u64>,
}

/// Who runs what.
#[derive(Clone, Debug)]
pub(crate) struct RunLabels {
    /// Id of the request, if it carries one.
    pub(crate) request_id: Option<String>,
    /// The team that it names, if any.
    pub(crate) team: Option<String>,
}

impl RunTracker {
    /// Counts nothing yet; tracks up to `tracked` request ids.
    pub(crate) fn new(max_tracked: usize) -> Self {
        Self {
            max_tracked,
            state: Mutex::default(),
        }
    }

    /// Begins a run; `None` when all slots of the executor are taken.
    pub(crate) fn start_run(
        self: &Arc<Self>,
        executor: &Arc<str>,
        slots: usize,
        labels: RunLabels,
    ) -> Option<RunGuard> {
        let mut state = self.lock();
        let counts = state.executor(executor);
        if counts.running >= slots as u64 {
            counts.busy += 1;
            state.counters.busy += 1;
            return None;
        }
        counts.runs += 1;
        counts.running += 1;
        counts.max_running = counts.max_running.max(counts.running);
        state.count_start(&labels, self.max_tracked);
        drop(state);
        Some(RunGuard {
            run_tracker: Arc::clone(self),
            executor: Arc::clone(executor),
            team: labels.team,
            finished: false,
        })
    }

    /// All counts, without those of connections.
    pub(crate) fn counters(&self) -> Counters {
        let state = self.lock();
        let mut counters = state.counters.clone();
        let repeated = state
            .runs_by_request_id
            .iter()
            .filter(|(_, runs)| **runs > 1);
        counters.repeated = repeated.map(|(id, runs)| (id.clone(), *runs)).collect();
        counters
    }

    /// Requests that run on an executor now.
    pub(crate) fn running(&self, executor: &str) -> u64 {
        let state = self.lock();
        let counts = state.counters.executors.get(executor);
        counts.map_or(0, |counts| counts.running)
    }

    /// Runs of one request id.
    pub(crate) fn run_count(&self, request_id: &str) -> u64 {
        self.lock()
            .runs_by_request_id
            .get(request_id)
            .copied()
            .unwrap_or(0)
    }

    /// Starts all counts anew; what runs stays counted as running.
    pub(crate) fn reset(&self) {
        let mut state = self.lock();
        state.runs_by_request_id.clear();
        let mut fresh = Counters::default();
        for (team, old) in &state.counters.teams {
            fresh.teams.insert(
                team.clone(),
                TeamCounters {
                    running: old.running,
                    max_running: old.running,
                    ..TeamCounters::default()
                },
            );
        }
        for (executor, old) in &state.counters.executors {
            fresh.executors.insert(
                executor.clone(),
                ExecutorCounters {
                    running: old.running,
                    max_running: old.running,
                    ..ExecutorCounters::default()
                },
            );
        }
        state.counters = fresh;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn executor(&mut self, name: &str) -> &mut ExecutorCounters {
        if !self.counters.executors.contains_key(name) {
            let counts = ExecutorCounters::default();
            self.counters.executors.insert(name.to_owned(), counts);
        }
        &mut self.counters.executors[name]
    }

    fn count_start(&mut self, labels: &RunLabels, max_tracked: usize) {
        self.counters.runs += 1;
        if let Some(team) = &labels.team {
            let counts = self.counters.teams.entry(team.clone()).or_default();
            counts.runs += 1;
            counts.running += 1;
            counts.max_running = counts.max_running.max(counts.running);
        }
        let has_capacity = self.runs_by_request_id.len() < max_tracked;
        match &labels.request_id {
            Some(id) if has_capacity || self.runs_by_request_id.contains_key(id) => {
                *self.runs_by_request_id.entry(id.clone()).or_default() += 1;
            }
            _ => self.counters.untracked += 1,
        }
    }
}

/// A run that is counted until it is dropped.
#[derive(Debug)]
pub(crate) struct RunGuard {
    run_tracker: Arc<RunTracker>,
    executor: Arc<str>,
    team: Option<String>,
    finished: bool,
}

impl RunGuard {
    /// Ends the run well; a run that is only dropped was cut.
    pub(crate) fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.run_tracker.lock();
        if self.finished {
            state.counters.finished += 1;
        } else {
            state.counters.cut += 1;
        }
        state.executor(&self.executor).running -= 1;
        if let Some(counts) = self
            .team
            .as_ref()
            .and_then(|team| state.counters.teams.get_mut(team))
        {
            counts.running -= 1;
        }
    }
}
