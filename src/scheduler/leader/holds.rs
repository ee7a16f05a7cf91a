//! Holds: each extends a target's lease and lists what runs and what has ended there.

use super::{Command, HoldFailure, Leader, TargetReport};
use crate::scheduler::run::{ReportedProgress, RunPhase};
use crate::scheduler::target::{HoldState, Target};
use crate::scheduler::{JobTable, Millis, TargetId, TaskKey, TaskPhase};

/// Time that a target with work may wait for an end before it answers, in ms; a third of
/// a lease at most, so that a lost answer costs no lease.
const MAX_HOLD_WAIT_MS: u64 = 1_000;

/// Time between two holds of a target without work, in ms: its clock and health stay known.
const IDLE_HOLD_INTERVAL_MS: Millis = 2_500;

/// Least time without progress after which a run is taken to stand still, in ms: a cold
/// start and a lost list.
const MIN_STALL_MS: Millis = 800;

/// A slow target takes this many times as long; progress is told in parts of a hundred.
const MAX_SLOWDOWN: u64 = 10;

/// Time between two holds while ends can't be stored, in ms; the lease must not lapse.
const UNSTORED_HOLD_INTERVAL_MS: Millis = 300;

/// Time to the next hold after one without an answer, in ms; doubled up to the second.
const RETRY_MS: Millis = 150;
const MAX_RETRY_MS: Millis = 1_000;

impl Leader {
    /// Sends the holds that are due.
    pub(super) fn send_holds(&mut self, now: Millis) {
        let lease_ms = self.settings.lease_ms;
        for target in self.targets.values_mut() {
            let HoldState::Due(at) = target.hold else {
                continue;
            };
            if at > now {
                continue;
            }
            // A call to a silent target only looks: were it to extend the lease each time,
            // what runs there could never be given up.
            let deadline_ms = if target.missed_calls == 0 {
                target.lease.extend(now, lease_ms)
            } else {
                None
            };
            let settled = target.applied_end == target.stored_end && target.missed_calls == 0;
            let wait_ms = if target.token_accepted && settled && target.may_be_executing() {
                MAX_HOLD_WAIT_MS
            } else {
                0
            };
            target.hold = HoldState::InFlight(now);
            target.sent_cursor = target.stored_end;
            self.commands.push(Command::Hold {
                target: target.entry.clone(),
                deadline_ms,
                forget_up_to: target.stored_end,
                wait_ms,
            });
        }
    }

    /// Applies what a target listed.
    pub(super) fn hold_answered(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        born: u64,
        result: Result<TargetReport, HoldFailure>,
        sent_at: Millis,
        now: Millis,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.entry.born != born {
            return;
        }
        let report = match result {
            Ok(report) => report,
            Err(HoldFailure::Fenced) => {
                spdlog::warn!("fenced", kv: { target = id.0.as_ref(), epoch = self.epoch(), call = "hold" });
                self.fenced = true;
                return;
            }
            Err(HoldFailure::OtherIncarnation) => return self.target_replaced(table, id, now),
            Err(HoldFailure::NoAnswer) => return call_missed(target, now),
        };
        if report.born != born {
            let mut entry = (*target.entry).clone();
            entry.born = report.born;
            self.target_restarted(table, entry, now);
            return;
        }
        if target.missed_calls > 0 || !target.token_accepted {
            spdlog::info!("target_answers", kv: {
                target = id.0.as_ref(), missed = target.missed_calls, running = report.running.len(), ended = report.ended.len()
            });
            self.needs_scheduling = true;
        }
        target.missed_calls = 0;
        target.last_answer_at = Some(now);
        target.forgotten_end = target.sent_cursor;
        target.lease.observe_clock(report.clock_ms, sent_at, now);
        if !target.token_accepted {
            target.token_accepted = true;
            target.lease.take_over(self.settings.lease_ms);
        }
        self.apply_report(table, id, &report, sent_at, now);
        self.schedule_next_hold(id, now);
    }

    fn schedule_next_hold(&mut self, id: &TargetId, now: Millis) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let pause = if target.applied_end > target.stored_end {
            UNSTORED_HOLD_INTERVAL_MS
        } else if target.runs.is_empty() {
            IDLE_HOLD_INTERVAL_MS
        } else {
            0
        };
        target.hold = HoldState::Due(now + pause);
    }

    fn apply_report(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        report: &TargetReport,
        sent_at: Millis,
        now: Millis,
    ) {
        for ended in &report.ended {
            let new = self
                .targets
                .get(id)
                .is_some_and(|t| ended.position > t.applied_end);
            if new {
                self.apply_ended_run(table, id, ended, now);
            }
        }
        for running in &report.running {
            self.apply_running_task(table, id, running, now);
        }
        let missing = self.missing_runs(id, report, sent_at);
        for (task, run, confirmed) in missing {
            if let Some(target) = self.targets.get_mut(id) {
                target.remove_run(task, now);
            }
            let cause = if confirmed { "vanished" } else { "never_began" };
            spdlog::info!("run_missing", kv: { task = task.to_string(), run, target = id.0.as_ref(), cause });
            self.release_task(table, task, run);
        }
    }

    /// Orders that the target would list if it had them.
    fn missing_runs(
        &self,
        id: &TargetId,
        report: &TargetReport,
        sent_at: Millis,
    ) -> Vec<(TaskKey, u32, bool)> {
        let Some(target) = self.targets.get(id) else {
            return Vec::new();
        };
        let listed = |task: &TaskKey| report.running.iter().any(|running| running.task == *task);
        target
            .runs
            .iter()
            .filter(|(task, run)| {
                let settled = match run.phase {
                    RunPhase::Intended | RunPhase::Sent => false,
                    RunPhase::Adopted | RunPhase::Running => run.phase_since < sent_at,
                    RunPhase::Stopping { confirmed_at, .. } => {
                        confirmed_at.is_some_and(|at| at < sent_at)
                    }
                };
                settled && !listed(task)
            })
            .map(|(task, run)| (*task, run.number, run.phase == RunPhase::Running))
            .collect()
    }

    fn apply_running_task(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        running: &crate::scheduler::RunningTask,
        now: Millis,
    ) {
        let task = running.task;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        match target.runs.get_mut(&task) {
            Some(run) if run.number == running.run => {
                if matches!(run.phase, RunPhase::Sent | RunPhase::Adopted) {
                    run.phase = RunPhase::Running;
                    run.phase_since = now;
                }
                if running.percent >= 100 {
                    run.working_since.get_or_insert(now);
                } else {
                    run.working_since = None;
                }
                let unchanged_ms = run.progress.observe(running.percent, now);
                if run.phase == RunPhase::Running
                    && stall_ms(table, task).is_some_and(|limit| unchanged_ms > limit)
                {
                    self.stop_stalled_run(id, running, unchanged_ms, now);
                    return;
                }
            }
            Some(_) => {}
            None => return self.stop_unknown_run(table, id, running, now),
        }
        let stored = table.get_mut(task.step.job);
        if let Some(task) = stored.and_then(|job| job.progress.task_mut(task))
            && !running.checkpoint.is_empty()
        {
            task.checkpoint.clone_from(&running.checkpoint);
        }
    }

    /// The work of a run stands still, as that of all runs on some targets does: it is
    /// stopped, and the target gets no new work for a while.
    fn stop_stalled_run(
        &mut self,
        id: &TargetId,
        running: &crate::scheduler::RunningTask,
        unchanged_ms: Millis,
        now: Millis,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        spdlog::warn!("run_stalled", kv: {
            task = running.task.to_string(), run = running.run, target = id.0.as_ref(),
            percent = running.percent, unchanged_ms
        });
        target.request_stop(running.task, now);
        target.health.run_stalled(now);
    }

    /// Something runs that no order here stands for: it is stopped. The intent is stored
    /// before each start, so this is a run that was given up.
    fn stop_unknown_run(
        &mut self,
        table: &JobTable,
        id: &TargetId,
        running: &crate::scheduler::RunningTask,
        now: Millis,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let step = table
            .get(running.task.step.job)
            .and_then(|job| job.spec.steps.get(running.task.step.step as usize));
        let takes = step
            .map(crate::scheduler::Step::reservation)
            .unwrap_or_default();
        spdlog::warn!("unknown_run", kv: { task = running.task.to_string(), run = running.run, target = id.0.as_ref() });
        let run = crate::scheduler::run::Run {
            number: running.run,
            phase: RunPhase::Adopted,
            reserved: takes,
            phase_since: now,
            working_since: None,
            progress: ReportedProgress::default(),
            long_running: false,
            team: None,
        };
        target.add_run(running.task, run);
        target.request_stop(running.task, now);
    }

    /// The run has ended without being done, or never began: its task may start again.
    pub(super) fn release_task(&mut self, table: &mut JobTable, task: TaskKey, run: u32) {
        self.needs_scheduling = true;
        let Some(job) = table.get_mut(task.step.job) else {
            return;
        };
        let Some(stored) = job.progress.task_mut(task) else {
            return;
        };
        if stored.run == run && matches!(stored.phase, TaskPhase::Placed { .. }) {
            stored.phase = TaskPhase::Pending;
            self.journal.mark_job_dirty(task.step.job);
        }
    }

    /// Gives up what ran on targets whose leases have surely expired.
    pub(super) fn expire_leases(&mut self, table: &mut JobTable, now: Millis) {
        let expired: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, target)| {
                let unused = target.runs.is_empty() && target.listed;
                target.missed_calls > 0 && !unused && target.lease.lapsed(now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.give_up_runs(table, &id, "lease lapsed", now);
        }
        let released: Vec<TaskKey> = self
            .orphans
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in released {
            self.orphans.swap_remove(&task);
            let run = table
                .get(task.step.job)
                .and_then(|job| job.progress.task(task))
                .map_or(0, |task| task.run);
            spdlog::info!("run_given_up", kv: { task = task.to_string(), run, cause = "its target is not listed" });
            self.release_task(table, task, run);
        }
    }

    /// Another incarnation has taken the target's address, so all that ran there has ended.
    pub(super) fn target_replaced(&mut self, table: &mut JobTable, id: &TargetId, now: Millis) {
        if let Some(target) = self.targets.get_mut(id) {
            target.listed = false;
        }
        self.give_up_runs(table, id, "replaced", now);
    }

    fn give_up_runs(&mut self, table: &mut JobTable, id: &TargetId, cause: &str, now: Millis) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let runs = std::mem::take(&mut target.runs);
        target.used = crate::scheduler::Capacity::default();
        target.idle_since = now;
        let listed = target.listed;
        let silent_ms = target.last_answer_at.map_or(0, |at| now - at);
        spdlog::warn!("runs_given_up", kv: { target = id.0.as_ref(), cause, silent_ms, runs = runs.len() });
        for (task, run) in runs {
            self.release_task(table, task, run.number);
        }
        if !listed {
            self.targets.swap_remove(id);
        }
    }
}

/// Time without progress after which a run is taken to stand still, in ms; `None` for one
/// whose progress says nothing: it lasts, or waits for the rest of its gang.
fn stall_ms(table: &JobTable, task: TaskKey) -> Option<Millis> {
    let job = table.get(task.step.job)?;
    let step = job.spec.steps.get(task.step.step as usize)?;
    let counts = !step.long_running && !step.gang;
    counts.then(|| MIN_STALL_MS + step.estimate_ms * MAX_SLOWDOWN / 100)
}

/// A call without an answer: the next goes out soon, over a new connection.
fn call_missed(target: &mut Target, now: Millis) {
    target.missed_calls += 1;
    let pause = (RETRY_MS << target.missed_calls.min(6)).min(MAX_RETRY_MS) / 2;
    target.hold = HoldState::Due(now + pause);
    if target.missed_calls == 1 {
        spdlog::warn!("target_silent", kv: { target = target.entry.id.0.as_ref(), runs = target.runs.len() });
    }
}
