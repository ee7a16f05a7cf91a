//! Stores progress in batches, and releases what waits for a batch to be stored: starts, and
//! permissions to forget ended runs.

use indexmap::{IndexMap, IndexSet};

use super::retention::FORGET_INTERVAL_MS;
use super::strays::progress_with_strays;
use super::{Command, Leader};
use crate::scheduler::run::RunPhase;
use crate::scheduler::{Holder, JobKey, JobTable, Millis, Record, TargetId, TaskKey};

/// Largest number of jobs in one batch, so that a batch stays well below the size limit of a
/// call.
pub(super) const MAX_BATCH_JOBS: usize = 100;

/// Longest time between two appends, in ms. A follower presumes the leader dead after a little
/// more than three of these.
const HEARTBEAT_MS: Millis = 300;

/// A run whose start waits until the decision is stored.
#[derive(Clone, Debug)]
pub(super) struct PlannedRun {
    pub(super) target: TargetId,
    pub(super) task: TaskKey,
    /// Number of the run. The task may be placed there again under the next one.
    pub(super) number: u32,
}

/// A batch that is being stored, and what may be done once it is.
#[derive(Debug)]
struct Batch {
    number: u64,
    /// Runs whose start may be sent.
    planned_runs: Vec<PlannedRun>,
    /// Targets, `born` of their incarnations, and positions of ended runs up to which the
    /// targets may forget.
    ends: Vec<(TargetId, u64, u64)>,
    /// Jobs whose end is stored with the batch.
    ended_jobs: Vec<JobKey>,
    /// Waves whose progress is in the batch, by number.
    waves: IndexSet<u64>,
    sent_at: Millis,
}

/// Changes that are not stored yet, and the batch that is being stored.
#[derive(Debug)]
pub(super) struct Journal {
    /// Jobs whose progress is in no batch yet.
    dirty_jobs: IndexSet<JobKey>,
    /// Jobs that have begun. They are stored with the next batch but do not cause one, for which the
    /// starts of other tasks would have to wait.
    begun_jobs: IndexSet<JobKey>,
    /// Jobs whose progress has changed since they were last taken.
    changed_jobs: Vec<JobKey>,
    /// Runs whose start waits until the progress of their job is stored. Some may be gone, or in
    /// a batch already.
    planned_runs: Vec<PlannedRun>,
    /// Waves whose progress is in no batch yet, by number.
    dirty_waves: IndexSet<u64>,
    in_flight: Option<Batch>,
    /// Number of the next batch, from 1.
    next_batch: u64,
    /// When the answer that a batch is stored was last handled.
    pub(super) stored_at: Millis,
    /// When the newest stored batch was sent: at that time, no other process had claimed the role.
    /// The answer may be handled much later, if the process was suspended.
    pub(super) confirmed_at: Millis,
    /// When a batch was last sent.
    sent_at: Millis,
    /// When ended jobs that may be forgotten are next searched for.
    pub(super) next_forget_at: Millis,
    /// Jobs that have ended, with the time when this leader first saw them so.
    pub(super) ended_since: IndexMap<JobKey, Millis>,
    /// Jobs that were cancelled and are not known, with the time when they were first seen.
    pub(super) early_cancels: IndexMap<JobKey, Millis>,
}

impl Journal {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            dirty_jobs: IndexSet::new(),
            begun_jobs: IndexSet::new(),
            changed_jobs: Vec::new(),
            planned_runs: Vec::new(),
            dirty_waves: IndexSet::new(),
            in_flight: None,
            next_batch: 1,
            stored_at: now,
            confirmed_at: now,
            sent_at: now,
            next_forget_at: now + FORGET_INTERVAL_MS,
            ended_since: IndexMap::new(),
            early_cancels: IndexMap::new(),
        }
    }

    /// Has the job's progress stored with one of the next batches.
    pub(super) fn mark_job_dirty(&mut self, job: JobKey) {
        self.dirty_jobs.insert(job);
        self.changed_jobs.push(job);
    }

    /// Has the state of a job that has begun stored with the next batch, at the latest with the next
    /// heartbeat.
    pub(super) fn note_job_begun(&mut self, job: JobKey) {
        self.begun_jobs.insert(job);
    }

    /// Returns the jobs whose progress has changed since the last call; some more than once.
    pub(super) fn take_changed(&mut self) -> Vec<JobKey> {
        std::mem::take(&mut self.changed_jobs)
    }

    /// Has the start of a run wait until the progress of its job is stored.
    pub(super) fn add_planned_run(&mut self, run: PlannedRun) {
        self.planned_runs.push(run);
    }

    /// Has the wave's progress stored with the next batch.
    pub(super) fn mark_wave_dirty(&mut self, wave: u64) {
        self.dirty_waves.insert(wave);
    }

    /// Returns whether the wave's progress is stored.
    pub(super) fn wave_is_stored(&self, wave: u64) -> bool {
        let mut in_flight = self.in_flight.iter();
        !self.dirty_waves.contains(&wave) && !in_flight.any(|batch| batch.waves.contains(&wave))
    }

    /// Takes the jobs for one batch. Those that have ended come first: callers wait for their ends.
    fn take_jobs(&mut self, table: &JobTable) -> IndexSet<JobKey> {
        self.dirty_jobs.extend(self.begun_jobs.drain(..));
        if self.dirty_jobs.len() > MAX_BATCH_JOBS {
            let ended =
                |key: &JobKey| (table.get(*key)).is_some_and(|job| job.progress.state.ended());
            self.dirty_jobs.sort_by_key(|key| !ended(key));
        }
        let count = self.dirty_jobs.len().min(MAX_BATCH_JOBS);
        self.dirty_jobs.drain(..count).collect()
    }

    /// Returns whether no batch is being stored.
    pub(super) const fn idle(&self) -> bool {
        self.in_flight.is_none()
    }
}

impl Leader {
    /// Sends a batch with the changes so far, or without changes as a heartbeat when one is
    /// due. Does nothing while a batch is being stored.
    pub(super) fn store_changes(&mut self, table: &JobTable, now: Millis, wall_ms: u64) {
        if !self.journal.idle() {
            return;
        }
        let forgotten_jobs = self.expired_jobs(table, now, wall_ms);
        let nothing_to_store = self.journal.dirty_jobs.is_empty()
            && self.journal.dirty_waves.is_empty()
            && forgotten_jobs.is_empty()
            && !self.has_unstored_ends();
        if nothing_to_store && now - self.journal.sent_at < HEARTBEAT_MS {
            return;
        }
        let jobs = self.journal.take_jobs(table);
        let strays = self.located_strays();
        let mut records: Vec<Record> = jobs
            .iter()
            .filter_map(|key| {
                let job = table.get(*key)?;
                let progress = progress_with_strays(*key, &job.progress, &strays);
                Some(Record::Progress(*key, progress))
            })
            .collect();
        let waves = std::mem::take(&mut self.journal.dirty_waves);
        for wave in &waves {
            if let Some(progress) = table.wave(*wave) {
                records.push(Record::Wave(*wave, progress.clone()));
            }
        }
        // When the answer of the store is lost, reading this record back confirms the batch.
        records.push(Record::Holder(Holder {
            batch: self.journal.next_batch,
            ..self.settings.holder.clone()
        }));
        self.journal.sent_at = now;
        let includes_all = self.journal.dirty_jobs.is_empty();
        let batch = Batch {
            number: self.journal.next_batch,
            planned_runs: self.planned_runs_of(&jobs),
            ends: if includes_all {
                self.unstored_ends()
            } else {
                Vec::new()
            },
            ended_jobs: self.unstored_ends.in_batch(&jobs, table),
            waves,
            sent_at: now,
        };
        self.journal.next_batch += 1;
        self.commands.push(Command::Append {
            batch: batch.number,
            records,
            forgotten_jobs,
        });
        self.journal.in_flight = Some(batch);
    }

    /// Takes the runs whose start waits until the progress of one of `jobs` is stored.
    fn planned_runs_of(&mut self, jobs: &IndexSet<JobKey>) -> Vec<PlannedRun> {
        let (mut taken, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.journal.planned_runs)
            .into_iter()
            .partition(|planned| jobs.contains(&planned.task.step.job));
        self.journal.planned_runs = left;
        taken.retain(|planned| self.is_planned(planned));
        taken
    }

    /// Returns whether the start of a run still waits to be sent.
    fn is_planned(&self, planned: &PlannedRun) -> bool {
        let target = self.targets.get(&planned.target);
        let run = target.and_then(|target| target.runs.get(&planned.task));
        run.is_some_and(|run| run.phase == RunPhase::Planned && run.number == planned.number)
    }

    /// Returns whether some ended run is applied but not known to be stored.
    fn has_unstored_ends(&self) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| target.applied_end > target.stored_end)
    }

    /// Targets with ended runs whose effect is applied but not known to be stored, `born` of the
    /// incarnation, and the position of the last of these runs.
    fn unstored_ends(&self) -> Vec<(TargetId, u64, u64)> {
        self.targets
            .iter()
            .filter(|(_, target)| target.applied_end > target.stored_end)
            .map(|(id, target)| (id.clone(), target.entry.born, target.applied_end))
            .collect()
    }

    /// Applies that a batch was stored: sends the starts that waited for it, and lets targets
    /// forget the ended runs whose effects are in it.
    pub(super) fn batch_stored(&mut self, table: &mut JobTable, number: u64, now: Millis) {
        let Some(batch) = self
            .journal
            .in_flight
            .take_if(|batch| batch.number == number)
        else {
            return;
        };
        // The answer may have waited while this process was suspended.
        let outdated = batch.sent_at < self.resumed_at;
        self.journal.stored_at = if outdated { batch.sent_at } else { now };
        self.journal.confirmed_at = batch.sent_at;
        self.ends_stored(&batch.ended_jobs, number, now);
        for (id, born, end) in batch.ends {
            let target = self.targets.get_mut(&id);
            if let Some(target) = target.filter(|target| target.entry.born == born) {
                target.stored_end = target.stored_end.max(end);
                self.expedite_hold(&id, now);
            }
        }
        if outdated {
            return self.plan_again(batch.planned_runs);
        }
        let planned_runs = batch.planned_runs.into_iter();
        let planned_runs = planned_runs
            .filter(|planned| self.is_planned(planned))
            .map(|planned| (planned.target, planned.task))
            .collect();
        let planned_runs = self.drop_broken_gangs(table, planned_runs, now);
        for (id, task) in planned_runs {
            self.send_start(table, &id, task, now);
        }
    }

    /// Has the starts of runs wait for a further batch, because another process may have claimed the
    /// role since theirs was stored. A target that has restarted knows of no later leader.
    fn plan_again(&mut self, planned_runs: Vec<PlannedRun>) {
        for planned in planned_runs {
            self.journal.mark_job_dirty(planned.task.step.job);
            self.journal.add_planned_run(planned);
        }
    }
}
