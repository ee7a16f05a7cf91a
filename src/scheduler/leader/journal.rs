//! What is to be stored, and what waits for it.

use indexmap::IndexSet;

use super::{Command, Leader};
use crate::scheduler::run::RunPhase;
use crate::scheduler::{Holder, JobKey, JobTable, Millis, Record, TargetId, TaskKey};

/// Largest number of jobs in one batch, so that a batch stays well below a call's limit.
const BATCH_JOBS: usize = 100;

/// Time between two looks for jobs that may be forgotten, in ms.
const FORGET_EVERY_MS: Millis = 5_000;

/// Longest time without an append, in ms; followers take three of these for a death.
const BEAT_MS: Millis = 300;

/// A batch on its way to the store, and what its storing allows.
#[derive(Debug)]
struct Batch {
    number: u64,
    intents: Vec<(TargetId, TaskKey)>,
    ends: Vec<(TargetId, u64, u64)>,
}

/// Changes not stored yet.
#[derive(Debug)]
pub(super) struct Journal {
    dirty: IndexSet<JobKey>,
    waves: IndexSet<u64>,
    open: Option<Batch>,
    next: u64,
    /// When a batch was last stored.
    pub(super) stored_at: Millis,
    /// When a batch was last sent.
    sent_at: Millis,
    forget_at: Millis,
}

impl Journal {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            dirty: IndexSet::new(),
            waves: IndexSet::new(),
            open: None,
            next: 1,
            stored_at: now,
            sent_at: now,
            forget_at: now + FORGET_EVERY_MS,
        }
    }

    /// The job's progress is to be stored.
    pub(super) fn touch(&mut self, job: JobKey) {
        self.dirty.insert(job);
    }

    /// The wave's progress is to be stored.
    pub(super) fn touch_wave(&mut self, wave: u64) {
        self.waves.insert(wave);
    }

    /// True while nothing is on its way to the store.
    pub(super) const fn idle(&self) -> bool {
        self.open.is_none()
    }
}

impl Leader {
    /// Stores what has changed, one batch at a time.
    pub(super) fn flush(&mut self, table: &JobTable, now: Millis, wall_ms: u64) {
        if !self.journal.idle() {
            return;
        }
        let forget = self.forgettable(table, now, wall_ms);
        let nothing = self.journal.dirty.is_empty() && self.journal.waves.is_empty();
        let nothing = nothing && forget.is_empty() && self.ends().is_empty();
        if nothing && now - self.journal.sent_at < BEAT_MS {
            return;
        }
        let rest = self.journal.dirty.len().min(BATCH_JOBS);
        let jobs: IndexSet<JobKey> = self.journal.dirty.drain(..rest).collect();
        let mut records: Vec<Record> = jobs
            .iter()
            .filter_map(|key| {
                let job = table.get(*key)?;
                Some(Record::Progress(*key, job.progress.clone()))
            })
            .collect();
        for wave in std::mem::take(&mut self.journal.waves) {
            if let Some(progress) = table.wave(wave) {
                records.push(Record::Wave(wave, progress.clone()));
            }
        }
        // Reading it back confirms the batch when its answer is lost.
        records.push(Record::Holder(Holder {
            batch: self.journal.next,
            ..self.settings.holder.clone()
        }));
        self.journal.sent_at = now;
        let all = self.journal.dirty.is_empty();
        let batch = Batch {
            number: self.journal.next,
            intents: self.intents(&jobs),
            ends: if all { self.ends() } else { Vec::new() },
        };
        self.journal.next += 1;
        self.commands.push(Command::Append {
            batch: batch.number,
            records,
            forget,
        });
        self.journal.open = Some(batch);
    }

    /// Starts that wait for one of `jobs` to be stored.
    fn intents(&self, jobs: &IndexSet<JobKey>) -> Vec<(TargetId, TaskKey)> {
        let mut found = Vec::new();
        for (id, target) in &self.targets {
            for (task, order) in &target.runs {
                if order.phase == RunPhase::Intended && jobs.contains(&task.step.job) {
                    found.push((id.clone(), *task));
                }
            }
        }
        found
    }

    /// Ends that have been applied to jobs, all of which are stored with this batch.
    fn ends(&self) -> Vec<(TargetId, u64, u64)> {
        self.targets
            .iter()
            .filter(|(_, target)| target.applied_end > target.stored_end)
            .map(|(id, target)| (id.clone(), target.entry.born, target.applied_end))
            .collect()
    }

    /// The batch is stored: starts go out, and ends may be forgotten by their targets.
    pub(super) fn stored(&mut self, table: &mut JobTable, number: u64, now: Millis) {
        let Some(batch) = self.journal.open.take_if(|batch| batch.number == number) else {
            return;
        };
        self.journal.stored_at = now;
        for (id, born, end) in batch.ends {
            let target = self.targets.get_mut(&id);
            if let Some(target) = target.filter(|target| target.entry.born == born) {
                target.stored_end = target.stored_end.max(end);
                self.hold_soon(&id, now);
            }
        }
        for (id, task) in batch.intents {
            self.send_start(table, &id, task, now);
        }
    }

    fn forgettable(&mut self, table: &JobTable, now: Millis, wall_ms: u64) -> Vec<JobKey> {
        if now < self.journal.forget_at {
            return Vec::new();
        }
        self.journal.forget_at = now + FORGET_EVERY_MS;
        let keep_ms = self.settings.keep_ms;
        table
            .iter()
            .filter(|(_, job)| {
                let progress = &job.progress;
                progress.state.ended() && wall_ms.saturating_sub(progress.ended_ms) > keep_ms
            })
            .map(|(key, _)| key)
            .take(BATCH_JOBS)
            .collect()
    }
}
