//! Gives up the runs of targets that are gone or whose leases have expired, so that their tasks
//! start again.

use std::sync::Arc;

use super::predecessors::OrphanWait;
use super::releases::{Evidence, Release};
use super::verdicts::{Loss, LostRuns};
use super::{Leader, TargetReport};
use crate::scheduler::run::{Run, RunPhase};
use crate::scheduler::target::Target;
use crate::scheduler::target_entry::Incarnation;
use crate::scheduler::{JobTable, Millis, TargetEntry, TargetId, TaskKey, TaskPhase};

impl Leader {
    /// Gives up the runs on targets that do not answer and whose leases have certainly expired,
    /// and the tasks that may have run on unlisted targets until now.
    pub(super) fn expire_leases(&mut self, table: &mut JobTable, now: Millis) {
        let expired: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, target)| {
                let unused = target.is_idle() && target.listed;
                target.missed_calls > 0
                    && !unused
                    && target.lease.lapsed(now)
                    && (target.has_known_runs() || self.later_ended(target, now))
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.give_up_runs(table, &id, Loss::Silent, now);
        }
        self.replace_idle_targets(table, now);
        self.release_orphans(table, now);
    }

    /// Lets the tasks start again that may have run on unlisted targets until now.
    fn release_orphans(&mut self, table: &mut JobTable, now: Millis) {
        let unlisted_lapsed_at = self.unlisted_leases_lapsed_at();
        let released: Vec<TaskKey> = self
            .orphans
            .iter()
            .filter(|(_, wait)| match wait {
                OrphanWait::Until(until) => *until <= now,
                OrphanWait::UnlistedLeases => unlisted_lapsed_at <= now,
            })
            .map(|(task, _)| *task)
            .collect();
        for task in released {
            self.orphans.swap_remove(&task);
            let job = table.get(task.step.job);
            let Some(stored) = job.and_then(|job| job.progress.task(task)) else {
                continue;
            };
            let run = stored.run;
            let target = match &stored.phase {
                TaskPhase::Placed { target, born } => Some(Incarnation {
                    id: target.clone(),
                    born: *born,
                }),
                _ => None,
            };
            spdlog::info!("run_given_up", kv: { task = task.to_string(), run, cause = "its target is not listed", after_ms = now - self.started_at });
            let Some(target) = target else { continue };
            self.suspect_earlier_run(table, task, run, &target, Loss::Unlisted, now);
            let release = Release {
                task,
                run,
                target: &target.id,
                born: target.born,
                evidence: Evidence::Lost(Loss::Unlisted),
                answered_at: None,
            };
            self.release_task(table, &release, now);
        }
    }

    /// Gives up all runs on a target whose address another incarnation or target has taken: they
    /// have ended.
    pub(super) fn target_replaced(&mut self, table: &mut JobTable, id: &TargetId, now: Millis) {
        self.target_displaced(table, id);
        if let Some(target) = self.targets.get_mut(id) {
            target.listed = false;
        }
        self.give_up_runs(table, id, Loss::Replaced, now);
    }

    /// Removes the runs of a target that have ended, lets their tasks start again, and forgets the
    /// target if it is not listed and has no others. A target whose VM has a later one by now is
    /// known to have ended.
    fn give_up_runs(&mut self, table: &mut JobTable, id: &TargetId, loss: Loss, now: Millis) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        self.needs_scheduling = true;
        let runs = target.runs.clone();
        target.clear_strays();
        let (entry, answered_at) = (Arc::clone(&target.entry), target.last_answer_at);
        let lease = target.lease;
        let target = &self.targets[id];
        let later_ended = loss != Loss::Silent || self.later_ended(target, now);
        let has_ended = |run: &Run| later_ended || !run.may_be_on_later();
        let ended = runs.values().filter(|run| has_ended(run)).count();
        let kept = runs.len() - ended;
        let replaced = self.has_successor(&entry);
        let lost_runs = LostRuns {
            entry: &entry,
            answered_at,
            clock_ms: lease.clock_ms(),
            runs: &runs,
            loss: if replaced { Loss::Replaced } else { loss },
            leaving: self.is_leaving(&entry),
        };
        spdlog::warn!("runs_given_up", kv: {
            target = id.0.as_ref(), born = entry.born, epoch = self.epoch(), cause = lost_runs.loss.name(),
            silent_ms = answered_at.map_or(0, |at| now - at), called_ms = lease.called_at().map_or(0, |at| now - at),
            runs = ended, kept, leaving = lost_runs.leaving.name()
        });
        self.suspect_runs(table, &lost_runs, now);
        let evidence = Evidence::Lost(lost_runs.loss);
        for (task, run) in runs.iter().filter(|(_, run)| has_ended(run)) {
            if let Some(target) = self.targets.get_mut(id) {
                target.remove_run(*task, now);
            }
            let release = Release {
                task: *task,
                run: run.number,
                target: id,
                born: entry.born,
                evidence,
                answered_at,
            };
            self.release_task(table, &release, now);
        }
        let target = self.targets.get(id);
        if target.is_some_and(|target| !target.listed && target.is_idle()) {
            self.forget_target(id);
        }
    }

    /// Returns whether a later incarnation of a silent target has ended, too, if there was one: its lease
    /// has expired, or another target answers on the VM. While a start is open, a later one may still
    /// take it.
    fn later_ended(&self, target: &Target, now: Millis) -> bool {
        let mut runs = target.runs.values();
        if runs.any(|run| run.phase == RunPhase::Sent) {
            return false;
        }
        let entry = &target.entry;
        let displaced = || {
            let mut others = self.targets.values();
            others.any(|other| other.last_answer_at.is_some() && succeeds(&other.entry, entry))
        };
        target.lease.later_lapsed(now) || (target.announced.is_none() && displaced())
    }

    /// Returns whether another target has come up on the VM of this one since.
    fn has_successor(&self, entry: &TargetEntry) -> bool {
        let mut others = self.targets.values();
        others.any(|other| succeeds(&other.entry, entry))
    }

    /// Runs that the target would have reported as running if it had them, in the answer to the hold
    /// call `number`. Each comes with its number, and whether the target had confirmed that it runs.
    pub(super) fn missing_runs(
        &self,
        id: &TargetId,
        report: &TargetReport,
        number: u64,
    ) -> Vec<(TaskKey, u32, bool)> {
        let Some(target) = self.targets.get(id) else {
            return Vec::new();
        };
        let listed = |task: TaskKey, number: u32| {
            let mut rows = report.running.iter();
            rows.any(|row| row.task == task && row.run == number)
        };
        target
            .runs
            .iter()
            .filter(|(task, run)| {
                let settled = match run.phase {
                    RunPhase::Planned | RunPhase::Sent => false,
                    RunPhase::Adopted | RunPhase::Running => run.holds_before < number,
                    RunPhase::Stopping { holds_before, .. } => {
                        holds_before.is_some_and(|before| before < number)
                    }
                };
                settled && !listed(**task, run.number)
            })
            .map(|(task, run)| (*task, run.number, run.phase == RunPhase::Running))
            .collect()
    }
}

/// Returns whether `other` is the entry of another target that has come up on the VM of `entry` since.
fn succeeds(other: &TargetEntry, entry: &TargetEntry) -> bool {
    other.vm == entry.vm && other.id != entry.id && other.born > entry.born
}
