//! The leader's state of each target.

use std::sync::Arc;

use indexmap::IndexMap;

use super::health::Health;
use super::lease::Lease;
use super::run::{Run, RunPhase, StrayRun};
use super::{Capacity, JobKey, Millis, StepKey, TargetEntry, TargetState, TaskKey};

/// Longest time since a report in which a hold call may let the target forget ended runs, in ms. The
/// call does not name the incarnation, so a later one would forget its own ends under these numbers,
/// before anybody has read them.
const MAX_REPORT_AGE_MS: Millis = 500;

/// State of the hold call to a target, which extends its lease and asks for its running
/// tasks and ended runs. At most one such call is in flight to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldState {
    /// No call is in flight; the next one is due at this time.
    Due(Millis),
    /// The call with this number is not answered yet.
    InFlight(u64),
}

/// Draining of a target whose pool holds more VMs than it needs: the target gets no new work while
/// others of the pool have room. Unlike vacating, it serves no order of the operators, and ends when
/// the pool needs the VM.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    pub(super) since: Millis,
    /// Whether other pools need the VM more than its own, so that it gets no new work at all.
    pub(super) reclaimed: bool,
}

/// The leader's state of one incarnation of a target.
#[allow(clippy::struct_excessive_bools)] // They are independent of each other.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) entry: Arc<TargetEntry>,
    /// The entry of a later incarnation, as long as the target has not reported which one it is.
    pub(super) announced: Option<TargetEntry>,
    /// Whether the platform's list has an entry for it.
    pub(super) listed: bool,
    /// Whether it has answered a call with this leader's fencing token, and so refuses
    /// earlier leaders.
    pub(super) token_accepted: bool,
    pub(super) lease: Lease,
    pub(super) hold: HoldState,
    /// Whether the hold call in flight, or else the latest one, carried a deadline.
    pub(super) hold_extends: bool,
    /// When it last answered a call; `None` before.
    pub(super) last_answer_at: Option<Millis>,
    /// Consecutive calls without an answer.
    pub(super) missed_calls: u32,
    /// Whether a start has had no answer since the latest answer to a hold call. Until the next one, no
    /// call extends the lease: a later incarnation might receive it.
    pub(super) start_unanswered: bool,
    /// Whether its latest report listed all its runs.
    pub(super) lists_all: bool,
    /// Position of the last ended run that was applied to its job; 0 for none.
    pub(super) applied_end: u64,
    /// Position of the last ended run whose effect on its job is stored.
    pub(super) stored_end: u64,
    /// When it last reported its runs, by an answer that is known to be recent; `None` before.
    pub(super) reported_at: Option<Millis>,
    /// Position of the last ended run that the hold in flight, or else the latest one, allows
    /// the target to forget; 0 for none.
    pub(super) sent_cursor: u64,
    /// Position of the last ended run that an answered hold allowed the target to forget.
    pub(super) forgotten_end: u64,
    pub(super) runs: IndexMap<TaskKey, Run>,
    /// Further runs that it has reported, by task and number.
    pub(super) strays: IndexMap<(TaskKey, u32), StrayRun>,
    /// Sum of what `runs` and `strays` reserve.
    pub(super) used: Capacity,
    /// Number of `runs` that are suspect.
    pub(super) suspect_runs: usize,
    /// Number of `runs` that are being stopped.
    pub(super) stopping_runs: usize,
    pub(super) health: Health,
    /// Since when it gets no new work because its VM is to be moved or maintained; `None`
    /// when it is not.
    pub(super) vacating_since: Option<Millis>,
    /// Its draining; `None` while its pool needs its VM.
    pub(super) drain: Option<Drain>,
    /// Whether its VM is still to be maintained in an open wave.
    pub(super) upkeep_due: bool,
    /// Whether its data centre is evacuated, so that it gets no new work.
    pub(super) evacuated: bool,
    /// Until when it runs tasks slowly after its start.
    pub(super) cold_until: Millis,
    /// After a refused start no further one is sent before this time.
    pub(super) starts_paused_until: Millis,
    /// When `runs` last became empty, or the target became known.
    pub(super) idle_since: Millis,
}

impl Target {
    /// A target that may have the lease `lease` from before.
    pub(super) fn new(entry: TargetEntry, lease: Lease, now: Millis) -> Self {
        Self {
            cold_until: now + entry.cold_left_ms,
            entry: Arc::new(entry),
            announced: None,
            listed: true,
            token_accepted: false,
            lease,
            hold: HoldState::Due(now),
            hold_extends: false,
            last_answer_at: None,
            missed_calls: 0,
            start_unanswered: false,
            lists_all: true,
            applied_end: 0,
            stored_end: 0,
            reported_at: None,
            sent_cursor: 0,
            forgotten_end: 0,
            runs: IndexMap::new(),
            strays: IndexMap::new(),
            used: Capacity::default(),
            suspect_runs: 0,
            stopping_runs: 0,
            health: Health::default(),
            vacating_since: None,
            drain: None,
            upkeep_due: false,
            evacuated: false,
            starts_paused_until: 0,
            idle_since: now,
        }
    }

    /// Returns whether new runs may be placed on it at `now`.
    pub(super) fn accepts_work(&self, now: Millis) -> bool {
        !self.drain.is_some_and(|drain| drain.reclaimed) && self.may_start(now)
    }

    /// Returns whether runs that were placed on it may start at `now`.
    pub(super) fn may_start(&self, now: Millis) -> bool {
        self.listed
            && self.announced.is_none()
            && self.token_accepted
            && self.stays()
            && self.missed_calls == 0
            && !self.start_unanswered
            && self.entry.state == TargetState::Ready
            && self.health.usable(now)
            && now >= self.starts_paused_until
    }

    /// Returns whether it is there for further work: its VM is not to be moved or maintained, and
    /// its data centre is not evacuated.
    pub(super) const fn stays(&self) -> bool {
        self.vacating_since.is_none() && !self.evacuated
    }

    /// Replaces the entry by a newer one of the same incarnation.
    pub(super) fn update_entry(&mut self, entry: TargetEntry, now: Millis) {
        if *self.entry != entry {
            self.cold_until = now + entry.cold_left_ms;
            self.entry = Arc::new(entry);
        }
    }

    /// Entry of whom the next hold call is for: of the same incarnation, but at the address of an
    /// announced one if nothing answers at its own.
    pub(super) fn called_entry(&self) -> Arc<TargetEntry> {
        match &self.announced {
            Some(announced) if self.missed_calls % 2 == 1 => Arc::new(TargetEntry {
                address: announced.address,
                ..(*self.entry).clone()
            }),
            _ => Arc::clone(&self.entry),
        }
    }

    /// Returns whether a later incarnation at another address was announced.
    pub(super) fn may_have_moved(&self) -> bool {
        let announced = self.announced.as_ref();
        announced.is_some_and(|announced| announced.address != self.entry.address)
    }

    /// Returns whether a crash would show whose run caused it, if a run of `job` started now: while
    /// a suspect run starts up, no run of another job may.
    pub(super) fn isolates(&self, job: JobKey, suspect: bool, now: Millis) -> bool {
        if !suspect && self.suspect_runs == 0 {
            return true;
        }
        self.runs.iter().all(|(task, run)| {
            task.step.job == job || run.past_startup(now) || !(suspect || run.suspect)
        })
    }

    /// Returns whether a suspect run is starting up on it.
    pub(super) fn starts_suspect(&self, now: Millis) -> bool {
        let mut runs = self.runs.values();
        self.suspect_runs > 0 && runs.any(|run| run.suspect && !run.past_startup(now))
    }

    /// Returns whether the planned runs of a step fit beside the runs that may be executing.
    pub(super) fn fits_planned_step(&self, step: StepKey) -> bool {
        let mut used = self.stray_used();
        for (task, run) in &self.runs {
            if run.may_be_executing() || task.step == step {
                used.add(&run.reserved);
            }
        }
        used.fits(&Capacity::default(), &self.entry.capacity)
    }

    /// Returns whether the planned run of a task fits beside the runs that may be executing. The
    /// capacity may have shrunk since the run was planned.
    pub(super) fn fits_planned_run(&self, task: TaskKey) -> bool {
        let mut used = self.stray_used();
        for run in self.runs.values().filter(|run| run.may_be_executing()) {
            used.add(&run.reserved);
        }
        self.runs
            .get(&task)
            .is_some_and(|run| used.fits(&run.reserved, &self.entry.capacity))
    }

    /// Position of the last ended run that a hold call sent now may let the target forget; 0 for none.
    pub(super) fn forgettable_end(&self, now: Millis) -> u64 {
        let recent = self
            .reported_at
            .is_some_and(|at| now.saturating_sub(at) <= MAX_REPORT_AGE_MS);
        let forgettable = recent
            && self.announced.is_none()
            && self.missed_calls == 0
            && self.stored_end > self.forgotten_end;
        if forgettable { self.stored_end } else { 0 }
    }

    /// Returns whether its VM may be taken away: it has no runs, and no ended run that it
    /// still lists would be lost.
    pub(super) fn removable(&self) -> bool {
        self.is_idle() && self.lists_all && self.forgotten_end == self.applied_end
    }

    /// Returns whether it may be executing any run.
    pub(super) fn may_be_executing(&self) -> bool {
        !self.strays.is_empty() || self.runs.values().any(Run::may_be_executing)
    }

    /// Marks the run of a task to be stopped. Does nothing without one, or if it is already
    /// being stopped.
    pub(super) fn request_stop(&mut self, task: TaskKey, now: Millis) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if !run.stopping() {
            run.phase = RunPhase::Stopping {
                resend_at: now,
                holds_before: None,
            };
            self.stopping_runs += 1;
        }
    }
}
