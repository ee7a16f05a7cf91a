//! Opens the occurrences of jobs with set times.
//!
//! An occurrence that is due waits as part of a count. It is opened, that is gets state, when the
//! first of its tasks is placed, and loses that state when all are done, so that what a job costs follows the work in hand, however
//! many of its occurrences are due or done.

use std::sync::Arc;

use super::Leader;
use super::schedule::SchedulingPass;
use crate::scheduler::order::ReadyStep;
use crate::scheduler::{JobKey, JobSpec, JobTable, MAX_TASKS, Millis, StepKey};

/// Largest number of occurrences of a job that one pass opens, so that a pass is short. The next one
/// goes on with them.
const MAX_OPENED_IN_PASS: usize = 64;

/// Time between two log lines on waiting occurrences, in ms.
const WAITING_LOG_INTERVAL_MS: Millis = 1_000;

/// Largest number of jobs in these lines.
const MAX_LOGGED_JOBS: usize = 10;

impl Leader {
    /// Notes the occurrences of jobs that are due by `wall_ms`.
    pub(super) fn advance_occurrences(&mut self, table: &JobTable, now: Millis, wall_ms: u64) {
        self.now = now;
        self.wall_ms = wall_ms;
        for key in self.due.advance(table, wall_ms) {
            self.facts.note_change(key);
            self.needs_scheduling = true;
        }
    }

    /// Opens waiting occurrences of a job in their order and places their tasks, until those of one
    /// find no room.
    pub(super) fn open_waiting_occurrences(
        &mut self,
        table: &mut JobTable,
        key: JobKey,
        pool: usize,
        pass: &mut SchedulingPass,
    ) {
        let Some(job) = table.get(key) else { return };
        let waiting = self.due.waiting(key, job);
        let spec = Arc::clone(&job.spec);
        let mut size = job.progress.size();
        for opened in 0..waiting as usize {
            if opened == MAX_OPENED_IN_PASS {
                self.needs_scheduling = true;
                return;
            }
            size += spec.occurrence_size();
            if !self.open_next_occurrence(table, key, &spec, size, pool, pass) {
                return;
            }
        }
    }

    /// Opens the next occurrence of a job, which then has `size` tasks and steps with state, and places
    /// its first tasks. Returns false, and leaves it closed, if none of them has room.
    fn open_next_occurrence(
        &mut self,
        table: &mut JobTable,
        key: JobKey,
        spec: &JobSpec,
        size: u64,
        pool: usize,
        pass: &mut SchedulingPass,
    ) -> bool {
        let room = &pass.rooms[pool];
        let mut first_steps = spec.steps.iter().filter(|step| step.depends_on.is_empty());
        if !first_steps.any(|step| step.long_running || !room.lacks(&step.reservation())) {
            return false;
        }
        let Some(job) = table.get_mut(key) else {
            return false;
        };
        // The record of the job has to fit the store, like that of the largest job.
        if size > MAX_TASKS && !job.progress.occurrences.is_empty() {
            return false;
        }
        let occurrence = job.progress.open_next(spec);
        let mut placed = false;
        for (step, step_spec) in (0..).zip(&spec.steps) {
            if !step_spec.depends_on.is_empty() {
                continue;
            }
            let ready = ReadyStep {
                key: StepKey {
                    job: key,
                    occurrence,
                    step,
                },
                reservation: step_spec.reservation(),
                special: step_spec.long_running,
            };
            placed |= self.start_step(table, &ready, pool, pass);
        }
        if !placed && let Some(job) = table.get_mut(key) {
            job.progress.close_last();
        }
        placed
    }

    /// Logs the jobs with most occurrences that are due and not open, when that is due.
    pub(super) fn log_waiting_occurrences(&mut self, table: &JobTable, now: Millis) {
        if now < self.next_occurrence_log {
            return;
        }
        self.next_occurrence_log = now + WAITING_LOG_INTERVAL_MS;
        let jobs = self.due.jobs().filter_map(|key| {
            let job = table.get(key)?;
            Some((self.due.waiting(key, job), key, job))
        });
        let mut jobs: Vec<_> = jobs.filter(|(waiting, ..)| *waiting > 0).collect();
        jobs.sort_unstable_by_key(|(waiting, key, _)| (std::cmp::Reverse(*waiting), *key));
        for (waiting, key, job) in jobs.into_iter().take(MAX_LOGGED_JOBS) {
            let due_ms = job.spec.due_ms(job.progress.opened).unwrap_or(self.wall_ms);
            spdlog::info!("occurrences_waiting", kv: {
                job = key.to_string(), waiting, opened = job.progress.opened,
                open = job.progress.occurrences.len(), size = job.progress.size(),
                late_ms = self.wall_ms.saturating_sub(due_ms)
            });
        }
    }
}
