//! Targets that start again under their ids. Calls name only the id, so a later incarnation answers
//! those that were meant for an earlier one, and only its reports and its entry tell which it is.

use super::Leader;
use super::releases::{Evidence, Release};
use super::verdicts::{Loss, LostRuns};
use crate::scheduler::lease::{Lease, Responder};
use crate::scheduler::run::{AfterRestart, RunPhase};
use crate::scheduler::target::{HoldState, Target};
use crate::scheduler::{JobTable, Millis, TargetEntry, TargetId, TaskKey, TaskPhase};

impl Leader {
    /// Which incarnation has answered a call that was meant for the incarnation `born` of a target. A
    /// later one has the longest lease from that call, or may have it.
    pub(super) fn responder(
        &mut self,
        id: &TargetId,
        born: u64,
        clock: Option<u64>,
        sent_at: Millis,
        now: Millis,
    ) -> Responder {
        let target = self.targets.get_mut(id);
        let target = target.filter(|target| target.entry.born == born);
        let (Some(target), Some(clock_ms)) = (target, clock) else {
            return Responder::Unclear;
        };
        let responder = target.lease.responder(clock_ms, sent_at, now);
        if responder == Responder::Later {
            spdlog::warn!("target_clock_restarted", kv: {
                target = id.0.as_ref(), born, clock_ms, before_ms = target.lease.clock_ms().unwrap_or_default()
            });
            target.lease.extend_restarted(now);
        }
        responder
    }

    /// Notes that a call with a deadline is over that was meant for the incarnation `born` of a target,
    /// and that a later one may have received: the present one, if that is later.
    pub(super) fn unproven_call_ended(&mut self, id: &TargetId, born: u64, now: Millis) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.entry.born == born {
            target.lease.note_unproven_call(now);
        } else if target.entry.born > born {
            target.lease.extend_restarted(now);
        }
    }

    /// Returns whether a target has missed calls or a later incarnation was announced, so that the one
    /// that answers now may be another one, and has it asked for a report, which tells.
    pub(super) fn may_have_restarted(&mut self, id: &TargetId, now: Millis) -> bool {
        let target = self.targets.get(id);
        let unsure = target.is_some_and(|t| t.missed_calls > 0 || t.announced.is_some());
        if unsure {
            self.expedite_hold(id, now);
        }
        unsure
    }

    /// Notes which incarnation of the target has accepted the start of a run. If it was a later one, the
    /// end of the earlier one says nothing of the run.
    pub(super) fn note_responder(
        &mut self,
        id: &TargetId,
        task: TaskKey,
        run: u32,
        responder: Responder,
    ) {
        let target = self.targets.get_mut(id);
        if let Some(known) = target.and_then(|target| target.runs.get_mut(&task))
            && known.number == run
            && known.phase == RunPhase::Running
            && known.reported_clock.is_none()
        {
            known.accepted_by = responder;
        }
    }

    /// Applies an entry that tells of a later incarnation of a target. Another writer may have written
    /// it, so the target's runs end only once a report shows that incarnation, or the lease lapses.
    pub(super) fn restart_announced(
        &mut self,
        table: &mut JobTable,
        entry: TargetEntry,
        now: Millis,
    ) {
        let Some(target) = self.targets.get_mut(&entry.id) else {
            return;
        };
        if target.is_idle() {
            return self.target_restarted(table, entry, "entry", now);
        }
        let known = target.announced.as_ref().map(|known| known.born);
        if known != Some(entry.born) {
            spdlog::warn!("restart_announced", kv: {
                target = entry.id.0.as_ref(), born = entry.born, before = target.entry.born, runs = target.runs.len()
            });
            // A call in flight may have been received by the earlier incarnation: its answer is ignored.
            target.hold = HoldState::Due(now);
        }
        target.listed = true;
        target.announced = Some(entry);
    }

    /// Applies that a target has answered, as the incarnation that is known, a call that was sent after
    /// another one was announced: the entry that announced it is not its own.
    pub(super) fn disprove_restart(&mut self, id: &TargetId) {
        let target = self.targets.get_mut(id);
        if let Some(target) = target
            && let Some(announced) = target.announced.take()
        {
            spdlog::warn!("restart_disproved", kv: {
                target = id.0.as_ref(), born = target.entry.born, announced = announced.born
            });
            self.needs_scheduling = true;
        }
    }

    /// Replaces targets by their announced incarnations once they have no runs left that might go on.
    pub(super) fn replace_idle_targets(&mut self, table: &mut JobTable, now: Millis) {
        let idle = self.targets.values_mut().filter(|t| t.is_idle());
        let announced: Vec<TargetEntry> = idle.filter_map(|t| t.announced.take()).collect();
        for entry in announced {
            self.target_restarted(table, entry, "entry", now);
        }
    }

    /// Replaces a target by its new incarnation. Runs that the earlier one had reported have ended
    /// with it. The others may be on the new one, because calls name only the id: those whose starts
    /// were answered go on there if it reports them, and those whose starts were not are stopped
    /// there before their tasks start again. `source` is what tells of the restart, for the log.
    pub(super) fn target_restarted(
        &mut self,
        table: &mut JobTable,
        entry: TargetEntry,
        source: &'static str,
        now: Millis,
    ) {
        self.target_sighted(table, &entry);
        self.needs_scheduling = true;
        let id = entry.id.clone();
        let known = self.targets.get(&id).map(|target| target.lease);
        let known = known.unwrap_or_else(|| Lease::new(self.settings.max_lease_ms));
        let new_target = Target::new(entry, known.next_incarnation(now), now);
        let new_born = new_target.entry.born;
        let Some(mut old_target) = self.targets.insert(id.clone(), new_target) else {
            return;
        };
        let began_later = old_target.take_runs_that_began_later(now);
        let lost = LostRuns {
            entry: &old_target.entry,
            answered_at: old_target.last_answer_at,
            clock_ms: old_target.lease.clock_ms(),
            runs: &old_target.runs,
            loss: Loss::Replaced,
            leaving: self.is_leaving(&old_target.entry),
        };
        self.suspect_runs(table, &lost, now);
        let holds_sent = self.holds_sent;
        let mut counts = [0; 3];
        for (task, run) in began_later.into_iter().chain(old_target.runs) {
            let fate = run.after_restart();
            counts[fate as usize] += 1;
            if fate == AfterRestart::Ended {
                let release = Release {
                    task,
                    run: run.number,
                    target: &id,
                    born: old_target.entry.born,
                    evidence: if run.may_be_executing() {
                        Evidence::Restarted
                    } else {
                        Evidence::NotSent
                    },
                    answered_at: old_target.last_answer_at,
                };
                self.release_task(table, &release, now);
            } else if let Some(target) = self.targets.get_mut(&id) {
                target.add_run(task, run.on_next_incarnation(holds_sent));
                if fate == AfterRestart::MayBegin {
                    target.request_stop(task, now);
                }
            }
        }
        let [ended, may_run, may_begin] = counts;
        spdlog::warn!("target_restarted", kv: {
            target = id.0.as_ref(), born = new_born, before = old_target.entry.born, source, ended, may_run, may_begin
        });
        self.adopt_orphans(table, &id, now);
    }

    /// Stores on which incarnation of its target a run goes on, unless that is known: its start may
    /// have been meant for an earlier one.
    pub(super) fn note_incarnation(
        &mut self,
        table: &mut JobTable,
        task: TaskKey,
        run: u32,
        reported: u64,
    ) {
        let stored = table.get_mut(task.step.job);
        let stored = stored.and_then(|job| job.progress.task_mut(task));
        if let Some(stored) = stored.filter(|stored| stored.run == run)
            && let TaskPhase::Placed { born, .. } = &mut stored.phase
            && *born < reported
        {
            *born = reported;
            self.journal.mark_job_dirty(task.step.job);
        }
    }
}
