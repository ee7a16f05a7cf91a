//! The scheduler itself: turns events and the time into commands.
//!
//! A start is sent only after its intent is stored, and an end is forgotten by its target
//! only after its effect is stored. Whoever takes over therefore knows of every task that
//! may be running, and where.

mod balance;
mod ends;
mod holds;
mod journal;
mod starts;
mod stops;
mod takeover;
mod upkeep;

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::demand::Trend;
use super::fleet::{HoldState, Target};
use super::machines::{Desk, Machine, MachineOutcome};
use super::order::{Ended, RunningTask};
use super::{
    Change, Holder, JobKey, JobSpec, JobTable, Millis, Policy, Record, TargetEntry, TargetId,
    TaskKey, Wave,
};

use journal::Journal;

/// Bounds that the platform sets, and who leads.
#[derive(Clone, Debug)]
pub struct LeaderSettings {
    /// The claim, as stored.
    pub holder: Holder,
    /// Length of the leases that orders carry, in ms.
    pub lease_ms: u64,
    /// A holder without the store gives up after this time, in ms.
    pub yield_ms: u64,
    /// Time after a claim before VMs are ordered about, in ms: the last holder's orders
    /// must not alternate with those of the new one.
    pub settle_ms: u64,
    /// Time that a stop may take at a target, in ms.
    pub stop_ms: u64,
    /// Time that an ended job stays known, in ms.
    pub keep_ms: u64,
}

/// What a target said to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is there.
    Running,
    /// It has no room.
    NoRoom,
    /// The start came after its deadline.
    Late,
    /// A run with this number or a higher one ended there.
    OldRun,
    /// Another holder with a higher fencing token has called.
    Fenced,
    /// The start was malformed.
    Invalid,
    /// Another incarnation answers there.
    OtherIncarnation,
    /// It refused as unhealthy and did nothing.
    Unhealthy,
    /// Nothing is known: it may begin now or later.
    Unknown,
}

/// What a target said to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The run ends, or will never begin.
    Confirmed,
    /// Another holder with a higher fencing token has called.
    Fenced,
    /// Another incarnation answers there.
    OtherIncarnation,
    /// Nothing is known.
    Unknown,
}

/// What a target lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Its incarnation.
    pub born: u64,
    /// Its clock, in ms.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Ends that were not forgotten yet, in order.
    pub ended: Vec<Ended>,
}

/// Why there is no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldFailure {
    /// Another holder with a higher fencing token has called.
    Fenced,
    /// Another incarnation answers there: the one that was meant has ended.
    OtherIncarnation,
    /// No whole answer came in time, or one that makes no sense.
    NoAnswer,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A change of the stream was applied to the table.
    Job(JobKey),
    /// The operators changed what they allow.
    Policy(Arc<Policy>),
    /// A target described itself.
    Target(TargetEntry),
    /// A target's entry has gone.
    TargetGone(TargetId),
    /// A wave is asked for.
    Wave(Wave),
    /// A batch is stored.
    Stored {
        /// Its number.
        batch: u64,
    },
    /// A start was answered, or its time is over.
    Started {
        /// The target.
        target: TargetId,
        /// Incarnation that it was meant for.
        born: u64,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// What is known.
        outcome: StartOutcome,
        /// The target's clock, in ms, where it said.
        clock_ms: Option<u64>,
        /// When the call was sent.
        sent: Millis,
    },
    /// A stop was answered, or its time is over.
    Stopped {
        /// The target.
        target: TargetId,
        /// Incarnation that it was meant for.
        born: u64,
        /// The task.
        task: TaskKey,
        /// What is known.
        outcome: StopOutcome,
    },
    /// A hold was answered, or its time is over.
    Held {
        /// The target.
        target: TargetId,
        /// Incarnation that it was meant for.
        born: u64,
        /// What it listed.
        result: Result<Held, HoldFailure>,
        /// When the call was sent.
        sent: Millis,
    },
    /// The list of VMs; `None` when it could not be read.
    Machines(Option<Vec<Machine>>),
    /// The platform answered an order for a VM.
    Machine {
        /// The VM.
        machine: String,
        /// What is known.
        outcome: MachineOutcome,
    },
    /// The state of a wave was reported, or could not be.
    Reported {
        /// The wave.
        wave: u64,
        /// True when the report is stored.
        stored: bool,
    },
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Store records, all or none; answered by [`Event::Stored`].
    Append {
        /// Number of the batch.
        batch: u64,
        /// The records.
        records: Vec<Record>,
        /// Jobs whose records are deleted.
        forget: Vec<JobKey>,
    },
    /// Start a task.
    Start {
        /// The target.
        target: Arc<TargetEntry>,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// Its job.
        spec: Arc<JobSpec>,
        /// Lease for all that runs there, by the target's clock.
        deadline_ms: u64,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
    },
    /// Stop a task.
    Stop {
        /// The target.
        target: Arc<TargetEntry>,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
    },
    /// Extend the lease and list what runs.
    Hold {
        /// The target.
        target: Arc<TargetEntry>,
        /// Lease, by the target's clock; `None` while the clock is not known.
        deadline_ms: Option<u64>,
        /// Ends up to this one may be forgotten.
        cursor: u64,
        /// Time that the target may wait for an end, in ms.
        wait_ms: u64,
    },
    /// List the VMs.
    ListMachines,
    /// Begin the upkeep of a VM.
    Upkeep {
        /// The VM.
        machine: String,
        /// The wave.
        wave: u64,
    },
    /// Move a VM to another pool.
    Move {
        /// The VM.
        machine: String,
        /// The pool.
        pool: Arc<str>,
    },
    /// Report the state of a wave to the operators.
    Report {
        /// The wave.
        wave: u64,
        /// True when its work is done.
        complete: bool,
    },
}

/// The holder of the scheduler's role.
#[derive(Debug)]
pub struct Leader {
    settings: LeaderSettings,
    started: Millis,
    policy: Arc<Policy>,
    targets: IndexMap<TargetId, Target>,
    /// Jobs that have not ended.
    active: IndexSet<JobKey>,
    /// Tasks on targets that are not listed, and until when they may be running.
    orphans: IndexMap<TaskKey, Millis>,
    journal: Journal,
    desk: Desk,
    /// How the demand of each pool has changed lately.
    trends: IndexMap<Arc<str>, Trend>,
    /// When the demand is looked at next.
    balance_at: Millis,
    /// When the demand is logged next.
    demand_log_at: Millis,
    /// VMs whose upkeep has begun, to be recorded.
    begun: Vec<(u64, String)>,
    commands: Vec<Command>,
    fenced: bool,
    /// Something has changed that may let a task start.
    changed: bool,
    /// Time of day when the next occurrence is due, in ms since 1970.
    next_due: u64,
    /// Time of the last poll.
    now: Millis,
    /// Time of day at the last poll, in ms since 1970.
    wall_ms: u64,
}

impl Leader {
    /// Fencing token of the claim.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.settings.holder.epoch
    }

    /// True once this process must stop acting: another holder was met, or the store has
    /// been out of reach for so long that there may be one.
    #[must_use]
    pub const fn deposed(&self, now: Millis) -> bool {
        self.fenced || now.saturating_sub(self.journal.stored_at) > self.settings.yield_ms
    }

    /// Takes in something that happened.
    pub fn handle(&mut self, table: &mut JobTable, event: Event, now: Millis) {
        match event {
            Event::Job(job) => self.job_changed(table, job),
            Event::Policy(policy) => self.adopt_policy(policy),
            Event::Target(entry) => self.target_entry(table, entry, now),
            Event::TargetGone(id) => self.target_gone(&id),
            Event::Wave(wave) => self.desk.wave(wave, now),
            Event::Stored { batch } => self.stored(table, batch, now),
            Event::Started {
                target,
                born,
                task,
                run,
                outcome,
                clock_ms,
                sent,
            } => {
                self.observe(&target, born, clock_ms, sent, now);
                self.start_answered(table, &target, born, task, run, outcome, now);
            }
            Event::Stopped {
                target,
                born,
                task,
                outcome,
            } => self.stop_answered(&target, born, task, outcome, now),
            Event::Held {
                target,
                born,
                result,
                sent,
            } => self.hold_answered(table, &target, born, result, sent, now),
            Event::Machines(machines) => self.desk.listed(machines, now),
            Event::Machine { machine, outcome } => self.machine_answered(&machine, outcome, now),
            Event::Reported { wave, stored } => self.desk.reported(wave, stored),
        }
    }

    /// Decides what to do now; `wall_ms` is the time of day in ms since 1970.
    pub fn poll(&mut self, table: &mut JobTable, now: Millis, wall_ms: u64) -> Vec<Command> {
        self.expire(table, now);
        self.advance_occurrences(table, now, wall_ms);
        if std::mem::take(&mut self.changed) {
            self.schedule(table, now);
        }
        self.send_stops(now);
        self.send_holds(now);
        self.record_begun(table);
        self.tend_machines(table, now);
        self.balance(table, now);
        self.flush(table, now, wall_ms);
        std::mem::take(&mut self.commands)
    }

    fn adopt_policy(&mut self, policy: Arc<Policy>) {
        if policy.version > self.policy.version {
            self.policy = policy;
            self.changed = true;
        }
    }

    fn target_gone(&mut self, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.listed = false;
            spdlog::info!("target_unlisted", kv: { target = id.0.as_ref(), orders = target.orders.len() });
            if target.orders.is_empty() {
                self.targets.swap_remove(id);
            }
        }
    }

    fn observe(&mut self, id: &TargetId, born: u64, clock: Option<u64>, sent: Millis, now: Millis) {
        let target = self.targets.get_mut(id);
        let target = target.filter(|target| target.entry.born == born);
        if let (Some(target), Some(clock)) = (target, clock) {
            target.lease.observe(clock, sent, now);
            target.answered = Some(now);
        }
    }

    /// A line on the state for the state dump.
    #[must_use]
    pub fn summary(&self) -> Vec<(&'static str, u64)> {
        let orders = self.targets.values().map(|t| t.orders.len() as u64).sum();
        let busy = self.targets.values().filter(|t| t.busy()).count() as u64;
        let silent = self.targets.values().filter(|t| t.silent > 0).count() as u64;
        vec![
            ("epoch", self.settings.holder.epoch),
            ("active_jobs", self.active.len() as u64),
            ("targets", self.targets.len() as u64),
            ("busy_targets", busy),
            ("silent_targets", silent),
            ("orders", orders),
        ]
    }

    /// Brings the next hold of a target forward.
    fn hold_soon(&mut self, id: &TargetId, now: Millis) {
        if let Some(target) = self.targets.get_mut(id)
            && matches!(target.hold, HoldState::Due(_))
        {
            target.hold = HoldState::Due(now);
        }
    }
}

/// What folding a change means for the leader.
#[must_use]
pub fn event_of(change: &Change) -> Option<Event> {
    match change {
        Change::Put(Record::Job(job, _) | Record::Cancel(job)) => Some(Event::Job(*job)),
        _ => None,
    }
}
