//! Counters of the requests that executors run, read by tests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Counters over the whole fleet since the start or the last reset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests that started to run.
    pub runs: u64,
    /// Requests that ran to completion.
    pub finished: u64,
    /// Requests aborted while running, because their executor went down.
    pub cut: u64,
    /// Requests refused because all slots of the executor were in use.
    pub busy: u64,
    /// Runs without a request id, or with a new id once [`crate::FleetSpec::tracked_requests`] ids
    /// are tracked.
    pub untracked: u64,
    /// Number of runs of each request id that ran more than once.
    pub repeated: IndexMap<String, u64>,
    /// Counters by team, for the teams that requests named.
    pub teams: IndexMap<String, TeamCounters>,
    /// Counters by the id of the executor's VM.
    pub executors: IndexMap<String, ExecutorCounters>,
}

/// Counters of one team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamCounters {
    /// Requests that started to run.
    pub runs: u64,
    /// Requests running now, over the whole fleet.
    pub running: u64,
    /// Peak number of requests running at once, over the whole fleet.
    pub max_running: u64,
}

/// Counters of one executor. A reset doesn't clear those of connections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorCounters {
    /// Requests that started to run.
    pub runs: u64,
    /// Requests running now.
    pub running: u64,
    /// Peak number of requests running at once.
    pub max_running: u64,
    /// Requests refused because all slots were in use.
    pub busy: u64,
    /// Connections open now.
    pub connections: usize,
    /// Peak number of open connections.
    pub max_connections: usize,
    /// Connections closed on accept because too many were open.
    pub refused_connections: u64,
}

/// Tracks the requests that run on all executors, and enforces their slots.
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

/// Identity of a request, taken from its headers.
#[derive(Clone, Debug)]
pub(crate) struct RunLabels {
    /// Value of `X-Request-Id`, if present.
    pub(crate) request_id: Option<String>,
    /// Value of `X-Team`, if present.
    pub(crate) team: Option<String>,
}

impl RunTracker {
    /// Creates a tracker that counts the runs of up to `max_tracked` request ids.
    pub(crate) fn new(max_tracked: usize) -> Self {
        Self {
            max_tracked,
            state: Mutex::default(),
        }
    }

    /// Starts a run on an executor; `None` if all its slots are in use.
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

    /// All counters, except those of connections, which stay 0.
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

    /// Number of requests running on an executor now; 0 for an unknown executor.
    pub(crate) fn running(&self, executor: &str) -> u64 {
        let state = self.lock();
        let counts = state.counters.executors.get(executor);
        counts.map_or(0, |counts| counts.running)
    }

    /// Number of runs of a request id; 0 if the id is unknown or not tracked.
    pub(crate) fn run_count(&self, request_id: &str) -> u64 {
        self.lock()
            .runs_by_request_id
            .get(request_id)
            .copied()
            .unwrap_or(0)
    }

    /// Resets all counters; requests that are running stay counted as running.
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

/// Counts a run as running until dropped.
#[derive(Debug)]
pub(crate) struct RunGuard {
    run_tracker: Arc<RunTracker>,
    executor: Arc<str>,
    team: Option<String>,
    finished: bool,
}

impl RunGuard {
    /// Records that the run completed; a guard dropped without this counts as `cut`.
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
