//! Whether jobs can still meet their latency objectives.

use super::{Job, JobKey, JobSpec, Occurrence, QueueTerms, TaskPhase};

/// A late job is still of use to its caller within this many times its latency objective.
pub(super) const LATE_FACTOR: u64 = 3;

/// Whether a job can still meet its latency objective; jobs of earlier variants come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timeliness {
    /// The job runs until it is cancelled.
    LongRunning,
    /// The job can still meet its objective.
    InTime,
    /// The job can only end late, and must not make others late too.
    Late,
    /// The job would end so late that its caller has little use for it.
    TooLate,
}

/// Times by which a job should end, and what is left of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Deadlines {
    long_running: bool,
    pub(super) priority: u32,
    /// When the job should end by its latency objective, in ms since 1970.
    pub(super) due_ms: u64,
    /// Until when the end of the job is of use to its caller, in ms since 1970.
    useful_until_ms: u64,
    /// Length of the critical path over steps with tasks that are not placed yet, in ms.
    pub(super) left_ms: u64,
}

impl Deadlines {
    /// Times of a job that its queue grants `terms`.
    pub(super) fn of(job: &Job, terms: QueueTerms) -> Self {
        let spec = &job.spec;
        let objective_ms = terms.objective_ms;
        let (number, occurrence) = next_in_turn(job);
        let start_ms = spec.due_ms(number).unwrap_or(spec.accepted_ms);
        Self {
            long_running: spec.is_long_running(),
            priority: terms.priority,
            due_ms: start_ms.saturating_add(objective_ms),
            useful_until_ms: start_ms.saturating_add(objective_ms.saturating_mul(LATE_FACTOR)),
            left_ms: occurrence
                .map_or_else(|| spec.critical_path_ms(), |o| remaining_path_ms(spec, o)),
        }
    }

    /// Whether the job can still meet its objective at `wall_ms`, the time of day in ms since 1970.
    pub(super) const fn timeliness(&self, wall_ms: u64) -> Timeliness {
        let end_ms = wall_ms.saturating_add(self.left_ms);
        if self.long_running {
            Timeliness::LongRunning
        } else if end_ms <= self.due_ms {
            Timeliness::InTime
        } else if end_ms <= self.useful_until_ms {
            Timeliness::Late
        } else {
            Timeliness::TooLate
        }
    }

    /// Position of the job at `wall_ms`, the time of day in ms since 1970.
    pub(super) const fn urgency(&self, job: JobKey, wall_ms: u64) -> Urgency {
        Urgency {
            timeliness: self.timeliness(wall_ms),
            priority: self.priority,
            due_ms: self.due_ms,
            job,
        }
    }
}

/// Position of a job in the order of placement; lower values come first. Among jobs of equal
/// timeliness the queue's priority decides, then the end of the latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    timeliness: Timeliness,
    priority: u32,
    /// When the job should end by its latency objective, in ms since 1970.
    due_ms: u64,
    pub(super) job: JobKey,
}

impl Urgency {
    /// Position of a job at `wall_ms`, for callers without [`Deadlines`] of it.
    pub(super) fn of(key: JobKey, job: &Job, terms: QueueTerms, wall_ms: u64) -> Self {
        Deadlines::of(job, terms).urgency(key, wall_ms)
    }
}

impl Urgency {
    /// Returns whether the job would end so late that its caller has little use for it.
    pub(super) fn past_use(&self) -> bool {
        self.timeliness == Timeliness::TooLate
    }
}

/// Number of the occurrence of which tasks are placed next, and the occurrence itself if it is open:
/// the first one with pending tasks that may be placed, else the next one to be opened, or the last.
fn next_in_turn(job: &Job) -> (u32, Option<&Occurrence>) {
    let progress = &job.progress;
    let mut open = progress.occurrences.iter();
    if let Some(occurrence) = open.find(|occurrence| has_ready_tasks(&job.spec, occurrence)) {
        return (occurrence.number, Some(occurrence));
    }
    if progress.opened < job.spec.occurrences() {
        return (progress.opened, None);
    }
    let last = progress.occurrences.last();
    let number = last.map_or_else(|| progress.opened.saturating_sub(1), |o| o.number);
    (number, last)
}

fn has_ready_tasks(spec: &JobSpec, occurrence: &Occurrence) -> bool {
    spec.steps
        .iter()
        .zip(&occurrence.steps)
        .any(|(step, tasks)| {
            let mut needed = step.depends_on.iter();
            tasks.iter().any(|task| task.phase == TaskPhase::Pending)
                && needed.all(|needed| occurrence.step_done(*needed))
        })
}

/// Length in ms of the critical path over steps with tasks that are not placed yet.
fn remaining_path_ms(spec: &JobSpec, occurrence: &Occurrence) -> u64 {
    let mut end_ms: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for (i, step) in spec.steps.iter().enumerate() {
        let before = step
            .depends_on
            .iter()
            .filter_map(|i| end_ms.get(*i as usize));
        let start = before.copied().max().unwrap_or(0);
        let tasks = occurrence.steps.get(i);
        let open = tasks.is_some_and(|tasks| tasks.iter().any(|t| t.phase == TaskPhase::Pending));
        let length = if open { step.estimate_ms } else { 0 };
        end_ms.push(start.saturating_add(length));
    }
    end_ms.into_iter().max().unwrap_or(0)
}
