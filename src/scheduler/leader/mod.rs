//! The scheduler's leader: turns events and the current time into commands.
//!
//! A start is sent only after the decision to start is stored, and a target may forget an
//! ended run only after its effect on the job is stored. A process that takes over the role
//! therefore knows of every task that may be running, and on which target.

mod admission;
mod balance;
mod begun_jobs;
mod crashes;
mod drains;
mod ends;
mod evacuation;
mod holds;
mod isolation;
mod journal;
mod losses;
mod lost_targets;
mod messages;
mod movable_tasks;
mod occurrences;
mod place;
mod placed_tasks;
mod pool_work;
mod predecessors;
mod releases;
mod removed_entries;
mod restarts;
mod retention;
mod schedule;
mod settings;
mod stalls;
mod starts;
mod stops;
mod strays;
mod sums;
mod takeover;
mod unstored_ends;
mod upkeep;
mod verdicts;
mod vm_orders;

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::balance::DemandTrend;
use super::due_occurrences::DueOccurrences;
use super::lease::Responder;
use super::order::FactsCache;
use super::placement::ReservedTargets;
use super::target::Target;
use super::vms::VmTracker;
use super::{Evacuations, JobKey, JobTable, Millis, Policy, TargetId, TaskKey};

pub use messages::{Command, Event, HoldFailure, StartOutcome, StopOutcome, TargetReport};
pub use predecessors::Predecessor;
pub use settings::LeaderSettings;

use admission::Admission;
use journal::Journal;
use lost_targets::LostTargets;
use predecessors::{OrphanWait, Predecessors};
use releases::PastRuns;
use removed_entries::RemovedEntries;
use schedule::LastPass;
use unstored_ends::UnstoredEnds;
use vm_orders::CLAIM_CONFIRMED_MS;

/// State of the process that holds the leader role.
#[derive(Debug)]
pub struct Leader {
    settings: LeaderSettings,
    started_at: Millis,
    policy: Arc<Policy>,
    targets: IndexMap<TargetId, Target>,
    removed_entries: RemovedEntries,
    /// Data centres in which nothing more is started.
    evacuations: Evacuations,
    /// When tasks are next moved out of evacuated data centres.
    next_evacuation_check: Millis,
    /// Keys of the jobs that have not ended.
    active_jobs: IndexSet<JobKey>,
    /// Facts on these jobs.
    facts: FactsCache,
    /// Tasks placed by an earlier leader on incarnations of targets that are not listed, with
    /// what they wait for until they start elsewhere.
    orphans: IndexMap<TaskKey, OrphanWait>,
    predecessors: Predecessors,
    lost_targets: LostTargets,
    past_runs: PastRuns,
    /// Highest number of a stray run of each task that has not started again since. Targets refuse
    /// starts with lower ones.
    stray_numbers: IndexMap<TaskKey, u32>,
    journal: Journal,
    unstored_ends: UnstoredEnds,
    admission: Admission,
    vm_tracker: VmTracker,
    /// Recent demand of each pool, by the pool's name.
    demand_trends: IndexMap<Arc<str>, DemandTrend>,
    /// When the maintenance waves are next advanced.
    next_wave_check: Millis,
    /// When the demand of the pools is next computed.
    next_balance: Millis,
    /// When the demand of the pools is next logged.
    next_demand_log: Millis,
    /// Numbers of waves, and names of VMs whose maintenance in them has begun but is not
    /// recorded yet.
    begun_upkeeps: Vec<(u64, String)>,
    /// Number of hold calls that were sent.
    holds_sent: u64,
    commands: Vec<Command>,
    /// Whether a call was refused because another leader has a higher fencing token.
    fenced: bool,
    /// Whether something has changed since the last scheduling that may let a task start.
    needs_scheduling: bool,
    last_pass: LastPass,
    /// When the order of the jobs is next logged.
    next_order_log: Millis,
    /// Targets that are kept free of other tasks until suspect ones can start there.
    isolation_targets: ReservedTargets,
    /// When to schedule again although nothing has changed, because a suspect task is isolated for
    /// a while.
    reschedule_at: Option<Millis>,
    /// Occurrences of jobs that are due.
    due: DueOccurrences,
    /// When the occurrences that wait are next logged.
    next_occurrence_log: Millis,
    /// Time of the last poll.
    now: Millis,
    /// When this process last went on after a pause in which another one may have claimed the role.
    resumed_at: Millis,
    /// Time of day at the last poll, in ms since 1970.
    wall_ms: u64,
}

impl Leader {
    /// Fencing token of this leader's claim.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.settings.holder.epoch
    }

    /// Returns whether this process must stop leading: a call was refused in favour of
    /// another leader, or nothing has been stored for so long that there may be one.
    #[must_use]
    pub const fn deposed(&self, now: Millis) -> bool {
        self.fenced || now.saturating_sub(self.journal.stored_at) > self.settings.step_down_after_ms
    }

    /// Applies an event to the leader's state and to `table`. The commands that follow are
    /// returned by the next [`Self::poll`].
    pub fn handle(&mut self, table: &mut JobTable, event: Event, now: Millis) {
        self.note_pause(now);
        match event {
            Event::JobChanged(job) => self.job_changed(table, job),
            Event::JobCancelled { job, shown } => self.job_cancelled(table, job, shown),
            Event::PolicyChanged(policy) => self.apply_policy(policy),
            Event::TargetEntry(entry) => self.apply_target_entry(table, entry, now),
            Event::TargetList(entries) => self.apply_target_list(table, entries, now),
            Event::TargetListRegained => self.removed_entries.list_regained(now),
            Event::TargetRemoved(id) => self.target_removed(&id, now),
            Event::WaveRequested(wave) => self.vm_tracker.add_wave(wave, now),
            Event::EvacuationsChanged {
                evacuations,
                age_ms,
            } => self.evacuations_changed(evacuations, age_ms),
            Event::BatchStored { batch } => self.batch_stored(table, batch, now),
            Event::StartAnswered {
                target,
                born,
                task,
                run,
                outcome,
                clock_ms,
                sent_at,
            } => {
                let responder = self.responder(&target, born, clock_ms, sent_at, now);
                if responder != Responder::Later {
                    self.observe_target_clock(&target, born, clock_ms, sent_at, now);
                }
                if responder != Responder::Known && outcome.may_extend_lease() {
                    self.unproven_call_ended(&target, born, now);
                }
                self.start_answered(table, &target, born, task, run, outcome, now);
                self.note_responder(&target, task, run, responder);
            }
            Event::StopAnswered {
                target,
                born,
                task,
                run,
                outcome,
                clock_ms,
                sent_at,
            } => {
                let responder = self.responder(&target, born, clock_ms, sent_at, now);
                let later = responder == Responder::Later;
                let outcome = match outcome {
                    StopOutcome::Confirmed if later => StopOutcome::OtherIncarnation,
                    StopOutcome::Confirmed if self.may_have_restarted(&target, now) => {
                        StopOutcome::Unknown
                    }
                    other => other,
                };
                self.stop_answered(&target, born, task, run, outcome, now);
            }
            Event::HoldAnswered {
                target,
                born,
                number,
                result,
                sent_at,
            } => self.hold_answered(table, &target, born, number, result, sent_at, now),
            Event::PredecessorNotified { member, idle_ms } => {
                self.predecessor_notified(&member, idle_ms, now);
            }
            Event::VmList(vms) => {
                let read = vms.is_some();
                self.vm_tracker.apply_list(vms, now);
                if read {
                    self.vms_listed(table);
                }
            }
            Event::VmOrderAnswered { vm, outcome } => self.vm_order_answered(&vm, outcome, now),
            Event::WaveReported { wave, stored } => self.vm_tracker.report_finished(wave, stored),
        }
    }

    /// Decides what to do at `now` and returns the commands to carry out; `wall_ms` is the
    /// time of day in ms since 1970.
    pub fn poll(&mut self, table: &mut JobTable, now: Millis, wall_ms: u64) -> Vec<Command> {
        self.note_pause(now);
        self.apply_final_removals(now);
        self.mark_evacuated_targets();
        self.notify_predecessors(now);
        self.expire_leases(table, now);
        self.advance_occurrences(table, now, wall_ms);
        self.refresh_summary(table, now);
        self.schedule_if_due(table, now);
        self.move_evacuated_tasks(table, now);
        self.send_stops(now);
        self.send_holds(now);
        self.record_begun_upkeeps(table);
        self.maintain_vms(table, now);
        self.balance_pools(table, now);
        self.settle_ordered_vms(table);
        self.store_changes(table, now, wall_ms);
        std::mem::take(&mut self.commands)
    }

    /// Notes whether this process was suspended since the last poll.
    fn note_pause(&mut self, now: Millis) {
        if now.saturating_sub(self.now) > CLAIM_CONFIRMED_MS {
            self.resumed_at = now;
        }
    }

    fn apply_policy(&mut self, policy: Arc<Policy>) {
        if policy.version > self.policy.version {
            self.policy = policy;
            self.needs_scheduling = true;
        }
    }

    /// Notes the time on a target's clock from the answer to a call.
    fn observe_target_clock(
        &mut self,
        id: &TargetId,
        born: u64,
        clock: Option<u64>,
        sent_at: Millis,
        now: Millis,
    ) {
        let target = self.targets.get_mut(id);
        let target = target.filter(|target| target.entry.born == born);
        if let (Some(target), Some(clock)) = (target, clock) {
            target.lease.observe_clock(clock, sent_at, now);
            target.last_answer_at = Some(now);
        }
    }

    /// Names and values of figures on the leader's state, for the state dump.
    #[must_use]
    pub fn summary(&self) -> Vec<(&'static str, u64)> {
        let runs = self.targets.values().map(|t| t.runs.len() as u64).sum();
        let busy = self
            .targets
            .values()
            .filter(|t| t.may_be_executing())
            .count() as u64;
        let silent = self.targets.values().filter(|t| t.missed_calls > 0).count() as u64;
        vec![
            ("epoch", self.settings.holder.epoch),
            ("active_jobs", self.active_jobs.len() as u64),
            ("targets", self.targets.len() as u64),
            ("busy_targets", busy),
            ("silent_targets", silent),
            ("orders", runs),
        ]
    }
}
