//! Builds the leader's state after a claim of the role, and applies entries of targets that are
//! new or have restarted.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::admission::Admission;
use super::journal::Journal;
use super::lost_targets::LostTargets;
use super::placed_tasks::{latest_placed, placed_tasks};
use super::predecessors::{OrphanWait, Predecessors};
use super::releases::PastRuns;
use super::removed_entries::RemovedEntries;
use super::schedule::LastPass;
use super::unstored_ends::UnstoredEnds;
use super::verdicts::Loss;
use super::{Leader, LeaderSettings};
use crate::scheduler::due_occurrences::DueOccurrences;
use crate::scheduler::lease::{Lease, Responder, with_clock_lag, with_lease_margin};
use crate::scheduler::order::FactsCache;
use crate::scheduler::placement::ReservedTargets;
use crate::scheduler::run::{ReportedProgress, Run, RunPhase};
use crate::scheduler::target::Target;
use crate::scheduler::target_entry::Incarnation;
use crate::scheduler::vms::VmTracker;
use crate::scheduler::{
    Evacuations, JobTable, Millis, Policy, TargetEntry, TargetId, TaskKey, TaskPhase,
};

impl Leader {
    /// Creates the leader from the stored jobs in `table` and the current list of targets.
    /// `wall_ms` is the time of day in ms since 1970.
    #[must_use]
    pub fn new(
        settings: LeaderSettings,
        table: &mut JobTable,
        policy: Arc<Policy>,
        entries: Vec<TargetEntry>,
        now: Millis,
        wall_ms: u64,
    ) -> Self {
        let mut leader = Self {
            vm_tracker: VmTracker::new(now + settings.vm_order_delay_ms),
            predecessors: Predecessors::new(&settings.predecessors, now),
            settings,
            started_at: now,
            policy,
            targets: IndexMap::new(),
            removed_entries: RemovedEntries::default(),
            evacuations: Evacuations::default(),
            next_evacuation_check: 0,
            active_jobs: IndexSet::new(),
            facts: FactsCache::default(),
            orphans: IndexMap::new(),
            lost_targets: LostTargets::default(),
            past_runs: PastRuns::default(),
            stray_numbers: IndexMap::new(),
            journal: Journal::new(now),
            unstored_ends: UnstoredEnds::default(),
            admission: Admission::default(),
            demand_trends: IndexMap::new(),
            next_wave_check: 0,
            next_balance: 0,
            next_demand_log: 0,
            begun_upkeeps: Vec::new(),
            holds_sent: 0,
            commands: Vec::new(),
            fenced: false,
            needs_scheduling: true,
            last_pass: LastPass::default(),
            next_order_log: 0,
            isolation_targets: ReservedTargets::new(),
            reschedule_at: None,
            due: DueOccurrences::default(),
            next_occurrence_log: 0,
            now,
            resumed_at: now,
            wall_ms,
        };
        let placed_on = latest_placed(table);
        for entry in entries {
            let placed_on = placed_on.get(&entry.id).copied();
            let target = listed_target(entry, leader.inherited_lease(), placed_on, now);
            leader.targets.insert(target.entry.id.clone(), target);
        }
        leader.adopt_jobs(table, now);
        leader.adopt_losses(table, now);
        leader
    }

    /// Until when leases that earlier leaders gave may hold.
    fn inherited_leases_until(&self) -> Millis {
        let length_ms = self.settings.earlier_extend_ms + self.settings.lease_ms;
        let extended_until = self.started_at + with_lease_margin(length_ms);
        extended_until.max(self.last_calls_lapsed_at())
    }

    /// When the longest lease has expired that the earlier leader may have given until its last sign, to
    /// an incarnation that it did not know of. 0 if there was no earlier leader.
    fn last_calls_lapsed_at(&self) -> Millis {
        let silence_ms = self.settings.earlier_silence_ms;
        silence_ms.map_or(0, |silence_ms| {
            let last_sign = self.started_at.saturating_sub(silence_ms);
            last_sign + with_clock_lag(self.settings.max_lease_ms)
        })
    }

    /// Lease that an earlier leader may have given a target.
    fn inherited_lease(&self) -> Lease {
        let LeaderSettings {
            lease_ms,
            max_lease_ms,
            earlier_silence_ms,
            ..
        } = self.settings;
        let length_ms = earlier_silence_ms.map_or(lease_ms, |_| max_lease_ms);
        let mut lease = Lease::new(max_lease_ms);
        lease.extend_inherited(self.inherited_leases_until(), length_ms);
        lease
    }

    /// Takes over the jobs in the table, and the runs of their placed tasks.
    fn adopt_jobs(&mut self, table: &mut JobTable, now: Millis) {
        let jobs: Vec<_> = table.iter().map(|(key, _)| key).collect();
        for key in jobs {
            let Some(job) = table.get(key) else { continue };
            self.facts.note_job(&job.spec);
            if !job.progress.state.ended() {
                self.active_jobs.insert(key);
            }
            for (task, target, born, run) in placed_tasks(key, job) {
                self.adopt_task(table, task, &target, born, run, now);
            }
            self.job_changed(table, key);
        }
    }

    /// Takes over the run of a task that an earlier leader placed on the target `id`, in its
    /// incarnation `born`.
    fn adopt_task(
        &mut self,
        table: &mut JobTable,
        task: TaskKey,
        id: &TargetId,
        born: u64,
        run: u32,
        now: Millis,
    ) {
        let Some(run) = adopted_run(table, task, run, self.holds_sent) else {
            return;
        };
        match self.targets.get_mut(id) {
            Some(target) if target.entry.born == born => target.add_run(task, run),
            Some(target) if target.entry.born > born => {
                // A start that was sent to an earlier incarnation may still reach this one.
                let number = run.number;
                target.add_run(task, run);
                target.request_stop(task, now);
                target.lease.extend_restarted(now);
                let lost = Incarnation {
                    id: id.clone(),
                    born,
                };
                self.suspect_earlier_run(table, task, number, &lost, Loss::Replaced, now);
            }
            // The list lags behind: the earlier leader had learned of a later incarnation.
            Some(_) => {
                let until = self.inherited_leases_until();
                self.orphans.insert(task, OrphanWait::Until(until));
            }
            None => {
                self.orphans.insert(task, OrphanWait::UnlistedLeases);
            }
        }
    }

    /// Applies an entry of the list of targets.
    pub(super) fn apply_target_entry(
        &mut self,
        table: &mut JobTable,
        entry: TargetEntry,
        now: Millis,
    ) {
        self.needs_scheduling = true;
        self.target_sighted(table, &entry);
        let id = entry.id.clone();
        self.removed_entries.cancel(&id);
        let Some(target) = self.targets.get_mut(&id) else {
            spdlog::info!("target_new", kv: { target = id.0.as_ref(), pool = entry.pool.as_ref(), born = entry.born });
            self.insert_target(table, entry, now);
            return;
        };
        if entry.born == target.entry.born {
            target.listed = true;
            target.update_entry(entry, now);
        } else if entry.born > target.entry.born {
            self.restart_announced(table, entry, now);
        } else if target.is_idle() && target.last_answer_at.is_none() {
            // Nothing has answered as the later incarnation, which another writer may have made up.
            self.target_restarted(table, entry, "listed entry", now);
        }
    }

    /// Adds a target that was not known, with the tasks that an earlier leader had placed
    /// there.
    fn insert_target(&mut self, table: &mut JobTable, entry: TargetEntry, now: Millis) {
        let id = entry.id.clone();
        let mut lease = if now < self.inherited_leases_until() {
            self.inherited_lease()
        } else {
            Lease::new(self.settings.max_lease_ms)
        };
        self.removed_entries.restore_calls(&id, &mut lease);
        let placed_on = self.orphans.keys().filter_map(|task| {
            let stored = table.get(task.step.job)?.progress.task(*task)?;
            match &stored.phase {
                TaskPhase::Placed { target, born } if *target == id => Some(*born),
                _ => None,
            }
        });
        let placed_on = placed_on.max();
        let target = listed_target(entry, lease, placed_on, now);
        self.targets.insert(id.clone(), target);
        self.adopt_orphans(table, &id, now);
    }

    /// Takes over the tasks that an earlier leader had placed on this incarnation of a target, or on
    /// an earlier one.
    pub(super) fn adopt_orphans(&mut self, table: &mut JobTable, id: &TargetId, now: Millis) {
        let Some(born) = self.targets.get(id).map(|target| target.entry.born) else {
            return;
        };
        let orphans: Vec<(TaskKey, u64, u32)> = self
            .orphans
            .keys()
            .filter_map(|task| {
                let stored = table.get(task.step.job)?.progress.task(*task)?;
                match &stored.phase {
                    TaskPhase::Placed { target, born } if target == id => {
                        Some((*task, *born, stored.run))
                    }
                    _ => None,
                }
            })
            .collect();
        for (task, placed, run) in orphans {
            if placed <= born {
                self.orphans.swap_remove(&task);
                let state = table.get(task.step.job).map(|job| job.progress.state);
                spdlog::info!("run_adopted", kv: {
                    task = task.to_string(), run, target = id.0.as_ref(), cause = "its target is listed late",
                    job = state.map_or_else(|| "unknown".to_owned(), |state| format!("{state:?}"))
                });
            }
            self.adopt_task(table, task, id, placed, run, now);
        }
    }
}

/// A target of the list that may have the lease `lease`; `placed_on` is `born` of the latest
/// incarnation that tasks were placed on. If the entry tells of a later one, that counts once the
/// target reports it, as another writer may have written the entry.
fn listed_target(
    entry: TargetEntry,
    mut lease: Lease,
    placed_on: Option<u64>,
    now: Millis,
) -> Target {
    let Some(born) = placed_on.filter(|born| *born < entry.born) else {
        return Target::new(entry, lease, now);
    };
    lease.extend_restarted(now);
    let known = TargetEntry {
        born,
        ..entry.clone()
    };
    Target {
        announced: Some(entry),
        ..Target::new(known, lease, now)
    }
}

/// State of a run that an earlier leader decided to start; `None` if the job or step is not
/// known.
pub(super) fn adopted_run(
    table: &JobTable,
    task: TaskKey,
    run: u32,
    holds_sent: u64,
) -> Option<Run> {
    let job = table.get(task.step.job)?;
    let step = job.spec.steps.get(task.step.step as usize)?;
    Some(Run {
        number: run,
        phase: RunPhase::Adopted,
        reserved: step.reservation(),
        holds_before: holds_sent,
        working_since: None,
        progress: ReportedProgress::default(),
        sent_at: None,
        running_since: None,
        reported_clock: None,
        accepted_by: Responder::Unclear,
        suspect: job
            .progress
            .task(task)
            .is_some_and(|task| task.crashes.is_suspect()),
        long_running: step.long_running,
        team: job.spec.team.clone(),
    })
}
