//! The state of all jobs, built by applying the stream of records in every process.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use super::{Change, Holder, JobKey, JobProgress, JobSpec, JobState, Record, WaveProgress};

/// One accepted job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as it was accepted.
    pub spec: Arc<JobSpec>,
    /// Whether its caller has cancelled it.
    pub cancelled: bool,
    /// Progress of the job, as last stored; in the leader's table also changes that are not
    /// stored yet.
    pub progress: JobProgress,
}

impl Job {
    /// State of the job, as its caller sees it. A stored cancel counts even before the leader
    /// has acted on it.
    #[must_use]
    pub fn state(&self) -> JobState {
        match self.progress.state {
            JobState::Queued | JobState::Running if self.cancelled => JobState::Canceled,
            state => state,
        }
    }

    /// Applies stored progress. A job that has ended, by a cancel or otherwise, keeps its first end:
    /// its caller may have been shown it.
    fn apply_progress(&mut self, progress: JobProgress) {
        let before = self.state();
        self.progress = progress;
        if before.ended() && self.progress.state.ended() {
            self.progress.state = before;
        }
    }
}

/// Jobs, waves, processes and the holder of the leader role, as the records say.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    jobs: IndexMap<JobKey, Job>,
    /// Cancels and progress that were read before their job: pages of the first load may overlap,
    /// and a job may be cancelled before its record is stored.
    early_updates: IndexMap<JobKey, (bool, Option<JobProgress>)>,
    holder: Option<Holder>,
    waves: IndexMap<u64, WaveProgress>,
    members: IndexMap<String, SocketAddr>,
}

impl JobTable {
    /// Applies the newest records of all keys, which have no order. Cancels come last: one that was
    /// stored after the end of its job changes nothing, and that end was shown.
    pub fn apply_newest(&mut self, changes: Vec<Change>) {
        let is_cancel = |change: &Change| matches!(change, Change::Put(Record::Cancel(_)));
        let (cancels, others): (Vec<_>, Vec<_>) = changes.into_iter().partition(is_cancel);
        for change in others.into_iter().chain(cancels) {
            self.apply(change);
        }
    }

    /// Applies one change; returns the job that it concerns, if any.
    pub fn apply(&mut self, change: Change) -> Option<JobKey> {
        match change {
            Change::Put(Record::Job(key, spec)) => {
                self.accept(key, Arc::new(spec));
                Some(key)
            }
            Change::Put(Record::Cancel(key)) => {
                match self.jobs.get_mut(&key) {
                    Some(job) => job.cancelled = true,
                    None => self.early_updates.entry(key).or_default().0 = true,
                }
                Some(key)
            }
            Change::Put(Record::Progress(key, progress)) => {
                match self.jobs.get_mut(&key) {
                    Some(job) => job.apply_progress(progress),
                    None => self.early_updates.entry(key).or_default().1 = Some(progress),
                }
                Some(key)
            }
            Change::Put(Record::Holder(holder)) => {
                self.holder = Some(holder);
                None
            }
            Change::Put(Record::Wave(number, progress)) => {
                self.waves.insert(number, progress);
                None
            }
            Change::Put(Record::Member(member)) => {
                self.members.insert(member.name, member.address);
                None
            }
            Change::Forget(key) => {
                self.early_updates.swap_remove(&key);
                self.jobs.swap_remove(&key);
                Some(key)
            }
            Change::Other => None,
        }
    }

    /// Adds a job. A repeated record changes nothing: the first one of an id counts.
    pub(super) fn accept(&mut self, key: JobKey, spec: Arc<JobSpec>) {
        if self.jobs.contains_key(&key) {
            return;
        }
        let (cancelled, progress) = self.early_updates.swap_remove(&key).unwrap_or_default();
        let job = Job {
            spec,
            cancelled,
            progress: progress.unwrap_or_default(),
        };
        self.jobs.insert(key, job);
    }

    /// The job with this id; `None` when it is unknown or forgotten.
    #[must_use]
    pub fn get(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(&key)
    }

    /// Returns whether a job or a cancel from a caller has been applied; false for other kinds of
    /// record.
    #[must_use]
    pub fn has_applied(&self, record: &Record) -> bool {
        match record {
            Record::Job(key, _) => self.jobs.contains_key(key),
            Record::Cancel(key) => match self.jobs.get(key) {
                Some(job) => job.cancelled,
                None => self.early_updates.get(key).is_some_and(|early| early.0),
            },
            _ => false,
        }
    }

    /// Keys of the jobs that were cancelled and are not known.
    pub(super) fn early_cancels(&self) -> impl Iterator<Item = JobKey> {
        let cancelled = self.early_updates.iter().filter(|(_, early)| early.0);
        cancelled.map(|(key, _)| *key)
    }

    pub(super) fn get_mut(&mut self, key: JobKey) -> Option<&mut Job> {
        self.jobs.get_mut(&key)
    }

    /// All jobs with their ids, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        self.jobs.iter().map(|(key, job)| (*key, job))
    }

    /// Number of jobs, with those that have ended and are not forgotten yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether there are no jobs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Number of the queue's jobs of which no task has begun and which are not cancelled. Jobs that
    /// wait for their first due time count, and those whose starts are planned or were refused.
    #[must_use]
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.spec.queue == queue && job.state() == JobState::Queued)
            .count()
    }

    /// The holder of the leader role, as last recorded; `None` before the first claim.
    #[must_use]
    pub const fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Address of a process; `None` if it never introduced itself. A process that has left stays
    /// known.
    #[must_use]
    pub fn member_address(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name).copied()
    }

    /// Names of all known processes.
    pub fn member_names(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(String::as_str)
    }

    /// Addresses of all known processes except `name`.
    #[must_use]
    pub fn other_addresses(&self, name: &str) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|(other, _)| *other != name);
        others.map(|(_, address)| *address).collect()
    }

    /// Progress of the wave with this number; `None` before any of its VMs was begun.
    #[must_use]
    pub fn wave(&self, number: u64) -> Option<&WaveProgress> {
        self.waves.get(&number)
    }

    pub(super) fn wave_mut(&mut self, number: u64) -> &mut WaveProgress {
        self.waves.entry(number).or_default()
    }
}
