//! Targets as they describe themselves, and what the leader knows of each.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::health::Health;
use super::lease::Lease;
use super::run::{Run, RunPhase};
use super::{Capacity, Millis, StepKey, TaskKey};

/// Id of a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetId(pub Arc<str>);

impl std::fmt::Display for TargetId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a target says of its plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Leaves soon.
    Draining,
}

/// A target's description of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Its id.
    pub id: TargetId,
    /// Start of its incarnation, in ms since 1970.
    pub born: u64,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Pool that it belongs to.
    pub pool: Arc<str>,
    /// VM that it runs on.
    pub machine: Arc<str>,
    /// Labels: its kind and its rack.
    pub labels: Vec<String>,
    /// What it offers.
    pub capacity: Capacity,
    /// What it says of its plans.
    pub state: TargetState,
}

impl TargetEntry {
    /// Its failure domain: the last label.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// The one call for running tasks and ends that may be open to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldState {
    /// The next is due then.
    Due(Millis),
    /// Sent then.
    InFlight(Millis),
}

/// A target as the leader sees it.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) entry: Arc<TargetEntry>,
    /// False once its entry has gone from the list.
    pub(super) listed: bool,
    /// True once it has answered a call with the leader's fencing token.
    pub(super) token_accepted: bool,
    pub(super) lease: Lease,
    pub(super) hold: HoldState,
    /// When it last answered.
    pub(super) last_answer_at: Option<Millis>,
    /// Calls in a row without an answer.
    pub(super) missed_calls: u32,
    /// Last end that was applied.
    pub(super) applied_end: u64,
    /// Last end whose effect is stored.
    pub(super) stored_end: u64,
    /// Last end that the open or latest hold allows the target to forget.
    pub(super) sent_cursor: u64,
    /// Last end that the target has been told to forget, and has answered.
    pub(super) forgotten_end: u64,
    pub(super) runs: IndexMap<TaskKey, Run>,
    pub(super) used: Capacity,
    pub(super) health: Health,
    /// Since when it gets no new work, as its VM is to be moved or maintained.
    pub(super) vacating_since: Option<Millis>,
    /// Its VM is to have its upkeep in a wave that is open.
    pub(super) upkeep_due: bool,
    /// It refused a start for want of room; no further one before this time.
    pub(super) starts_paused_until: Millis,
    /// Its VM's orders were last more than none.
    pub(super) idle_since: Millis,
}

impl Target {
    pub(super) fn new(entry: TargetEntry, inherited_until: Millis, now: Millis) -> Self {
        Self {
            entry: Arc::new(entry),
            listed: true,
            token_accepted: false,
            lease: Lease::inherited(inherited_until),
            hold: HoldState::Due(now),
            last_answer_at: None,
            missed_calls: 0,
            applied_end: 0,
            stored_end: 0,
            sent_cursor: 0,
            forgotten_end: 0,
            runs: IndexMap::new(),
            used: Capacity::default(),
            health: Health::default(),
            vacating_since: None,
            upkeep_due: false,
            starts_paused_until: 0,
            idle_since: now,
        }
    }

    /// True when new work may be placed on it.
    pub(super) fn accepts_work(&self, now: Millis) -> bool {
        self.listed
            && self.token_accepted
            && self.vacating_since.is_none()
            && self.missed_calls == 0
            && self.entry.state == TargetState::Ready
            && self.health.usable(now)
            && now >= self.starts_paused_until
    }

    /// Adds an order and what it takes.
    pub(super) fn add_run(&mut self, task: TaskKey, run: Run) {
        self.used.add(&run.reserved);
        self.runs.insert(task, run);
    }

    /// Removes an order and what it takes.
    pub(super) fn remove_run(&mut self, task: TaskKey, now: Millis) -> Option<Run> {
        let run = self.runs.swap_remove(&task)?;
        self.used.subtract(&run.reserved);
        if self.runs.is_empty() {
            self.idle_since = now;
        }
        Some(run)
    }

    /// Orders of a step.
    pub(super) fn runs_of_step(&self, step: StepKey) -> usize {
        self.runs.keys().filter(|task| task.step == step).count()
    }

    /// True when its VM may be taken away: nothing runs there, and no end that it lists
    /// would be lost.
    pub(super) fn removable(&self) -> bool {
        self.runs.is_empty() && self.forgotten_end == self.applied_end
    }

    /// Orders for tasks that last.
    pub(super) fn long_running_runs(&self) -> usize {
        self.runs.values().filter(|run| run.long_running).count()
    }

    /// True when something may be running there.
    pub(super) fn may_be_executing(&self) -> bool {
        self.runs.values().any(Run::may_be_executing)
    }

    /// Asks for a stop of an order; repeated calls change nothing.
    pub(super) fn request_stop(&mut self, task: TaskKey, now: Millis) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if !matches!(run.phase, RunPhase::Stopping { .. }) {
            run.phase = RunPhase::Stopping {
                resend_at: now,
                confirmed_at: None,
            };
            run.phase_since = now;
        }
    }
}
