//! Sends hold calls and applies the answers to them. A hold call extends a target's lease and
//! asks for its running tasks and ended runs.

use super::begun_jobs::Beginning;
use super::releases::{Evidence, Release};
use super::stalls::stall_ms;
use super::{Command, HoldFailure, Leader, TargetReport};
use crate::scheduler::run::RunPhase;
use crate::scheduler::target::{HoldState, Target};
use crate::scheduler::{JobTable, Millis, TargetEntry, TargetId};

/// Time that a target with work may wait for a run to end before it answers, in ms; at most a
/// third of a lease, so that the lease does not expire when one answer is lost.
const MAX_HOLD_WAIT_MS: u64 = 1_000;

/// Time after the sending of a hold call in which an answer counts as recent when it is handled, in
/// ms. The process may have been suspended since the target gave a later one.
const RECENT_ANSWER_MS: Millis = MAX_HOLD_WAIT_MS + 500;

/// Time between two hold calls to a target without work, in ms. They keep the reading of its
/// clock recent and show whether it answers.
const IDLE_HOLD_INTERVAL_MS: Millis = 2_500;

/// Time between two hold calls to a target while the effects of its ended runs are not stored,
/// in ms. The calls go on, so that the lease does not expire.
const UNSTORED_HOLD_INTERVAL_MS: Millis = 300;

/// Pause before the next hold call after the first one without an answer, in ms. It doubles
/// with each further one, up to half of [`MAX_RETRY_MS`].
const RETRY_MS: Millis = 150;

/// Twice the longest pause before a hold call after calls without an answer, in ms: the longest
/// pause is half this value, 500 ms.
const MAX_RETRY_MS: Millis = 1_000;

impl Leader {
    /// Makes the next hold call to a target due now, unless one is in flight.
    pub(super) fn expedite_hold(&mut self, id: &TargetId, now: Millis) {
        if let Some(target) = self.targets.get_mut(id)
            && matches!(target.hold, HoldState::Due(_))
        {
            target.hold = HoldState::Due(now);
        }
    }

    /// Sends the hold calls that are due.
    pub(super) fn send_holds(&mut self, now: Millis) {
        let lease_ms = self.settings.lease_ms;
        for target in self.targets.values_mut() {
            let HoldState::Due(at) = target.hold else {
                continue;
            };
            if at > now {
                continue;
            }
            // A call to a target that did not answer the last one does not extend its lease:
            // the lease would never expire, and the target's runs could never be given up. Nor does
            // one that a later incarnation may receive.
            let known = target.announced.is_none() && !target.start_unanswered;
            let deadline_ms = if target.missed_calls == 0 && known {
                target.lease.extend(now, lease_ms)
            } else {
                None
            };
            let forget_up_to = target.forgettable_end(now);
            let settled = target.applied_end == target.forgotten_end.max(forget_up_to)
                && target.missed_calls == 0
                && target.announced.is_none();
            let wait_ms = if target.token_accepted && settled && target.may_be_executing() {
                MAX_HOLD_WAIT_MS
            } else {
                0
            };
            self.holds_sent += 1;
            target.hold = HoldState::InFlight(self.holds_sent);
            target.hold_extends = deadline_ms.is_some();
            target.sent_cursor = forget_up_to;
            self.commands.push(Command::Hold {
                target: target.called_entry(),
                number: self.holds_sent,
                deadline_ms,
                forget_up_to,
                wait_ms,
            });
        }
    }

    /// Applies the answer to a hold call, unless another one was sent to the target since.
    #[allow(clippy::too_many_arguments)] // One for each field of the event.
    pub(super) fn hold_answered(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        born: u64,
        number: u64,
        result: Result<TargetReport, HoldFailure>,
        sent_at: Millis,
        now: Millis,
    ) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let superseded = target.entry.born != born || target.hold != HoldState::InFlight(number);
        let unproven = match &result {
            Ok(_) => superseded,
            Err(HoldFailure::NoAnswer) => superseded || target.hold_extends,
            Err(HoldFailure::OtherIncarnation | HoldFailure::Fenced) => false,
        };
        if unproven {
            self.unproven_call_ended(id, born, now);
        }
        let Some(target) = self.targets.get_mut(id).filter(|t| t.entry.born == born) else {
            return;
        };
        let report = match result {
            Err(HoldFailure::Fenced) => {
                spdlog::warn!("fenced", kv: { target = id.0.as_ref(), epoch = self.epoch(), call = "hold" });
                self.fenced = true;
                return;
            }
            _ if superseded => return,
            Ok(report) => report,
            Err(HoldFailure::OtherIncarnation) if !target.may_have_moved() => {
                return self.target_replaced(table, id, now);
            }
            Err(HoldFailure::OtherIncarnation | HoldFailure::NoAnswer) => {
                return call_missed(target, now);
            }
        };
        if report.born != born {
            let announced = target.announced.take();
            let announced = announced.filter(|entry| entry.born == report.born);
            let entry = announced.unwrap_or_else(|| TargetEntry {
                born: report.born,
                ..(*target.entry).clone()
            });
            self.target_restarted(table, entry, "report", now);
            return;
        }
        self.disprove_restart(id);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.missed_calls > 0 || !target.token_accepted {
            spdlog::info!("target_answers", kv: {
                target = id.0.as_ref(), missed = target.missed_calls, running = report.running.len(), ended = report.ended.len()
            });
            self.needs_scheduling = true;
        }
        target.missed_calls = 0;
        target.start_unanswered = false;
        target.last_answer_at = Some(now);
        target.reported_at = Some(now).filter(|at| at.saturating_sub(sent_at) <= RECENT_ANSWER_MS);
        target.forgotten_end = target.forgotten_end.max(target.sent_cursor);
        target.lease.observe_clock(report.clock_ms, sent_at, now);
        if !target.token_accepted {
            target.token_accepted = true;
            target.lease.take_over();
        }
        self.target_returned(table, id, born);
        self.apply_report(table, id, &report, number, now);
        self.schedule_next_hold(id, now);
    }

    /// Sets when the next hold call after an answered one is due.
    fn schedule_next_hold(&mut self, id: &TargetId, now: Millis) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let pause = if target.announced.is_some() {
            0
        } else if target.applied_end > target.stored_end {
            UNSTORED_HOLD_INTERVAL_MS
        } else if target.stored_end > target.forgotten_end || !target.lists_all {
            0
        } else if target.is_idle() {
            IDLE_HOLD_INTERVAL_MS
        } else {
            0
        };
        target.hold = HoldState::Due(now + pause);
    }

    /// Applies the ended runs and running tasks that a target reported in answer to the hold call
    /// `number`.
    fn apply_report(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        report: &TargetReport,
        number: u64,
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
        if let Some(target) = self.targets.get_mut(id) {
            target.lists_all = report.complete;
        }
        if !report.complete {
            spdlog::info!("report_incomplete", kv: {
                target = id.0.as_ref(), running = report.running.len(), ended = report.ended.len()
            });
            return;
        }
        self.remove_ended_strays(id, report);
        let missing = self.missing_runs(id, report, number);
        for (task, run, confirmed) in missing {
            if let Some(target) = self.targets.get_mut(id) {
                target.remove_run(task, now);
            }
            let cause = if confirmed { "vanished" } else { "never_began" };
            spdlog::info!("run_missing", kv: { task = task.to_string(), run, target = id.0.as_ref(), cause });
            if confirmed {
                self.count_late_end(table, task, run, cause);
            }
            let release = Release {
                task,
                run,
                target: id,
                born: report.born,
                evidence: if confirmed {
                    Evidence::Vanished
                } else {
                    Evidence::NeverBegan
                },
                answered_at: Some(now),
            };
            self.release_task(table, &release, now);
        }
    }

    /// Applies what a target reported of a running task.
    fn apply_running_task(
        &mut self,
        table: &mut JobTable,
        id: &TargetId,
        running: &crate::scheduler::RunningTask,
        now: Millis,
    ) {
        let task = running.task;
        self.note_begun(table, task, running.run, id, Beginning::Reported);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let clock_ms = target.lease.clock_ms();
        let born = target.entry.born;
        let holds_sent = self.holds_sent;
        match target.runs.get_mut(&task) {
            Some(run) if run.number == running.run => {
                if matches!(run.phase, RunPhase::Sent | RunPhase::Adopted) {
                    run.confirm(holds_sent, now);
                }
                let first = run.reported_clock.is_none();
                run.reported_clock = run.reported_clock.or(clock_ms);
                if running.percent >= 100 {
                    run.working_since.get_or_insert(now);
                } else {
                    run.working_since = None;
                }
                let unchanged_ms = run.progress.observe(running.percent, now);
                let cleared = run.clears_task(now);
                if run.phase == RunPhase::Running
                    && stall_ms(table, task).is_some_and(|limit| unchanged_ms > limit)
                {
                    self.stop_stalled_run(id, running, unchanged_ms, now);
                    return;
                }
                if cleared {
                    self.clear_task(table, id, task);
                }
                if first {
                    self.note_incarnation(table, task, running.run, born);
                }
            }
            _ => return self.stray_reported(table, id, running, now),
        }
        if self.stop_unwanted_run(table, id, task, now) {
            return;
        }
        let stored = table.get_mut(task.step.job);
        if let Some(task) = stored.and_then(|job| job.progress.task_mut(task))
            && !running.checkpoint.is_empty()
        {
            task.checkpoint.clone_from(&running.checkpoint);
        }
    }
}

/// Notes that a hold call was not answered and sets when the next one is due. That one goes
/// out over a new connection.
fn call_missed(target: &mut Target, now: Millis) {
    target.missed_calls += 1;
    let pause = (RETRY_MS << target.missed_calls.min(6)).min(MAX_RETRY_MS) / 2;
    target.hold = HoldState::Due(now + pause);
    if target.missed_calls == 1 {
        target.lease.note_silence(now);
        spdlog::warn!("target_silent", kv: { target = target.entry.id.0.as_ref(), runs = target.runs.len() });
    }
}
