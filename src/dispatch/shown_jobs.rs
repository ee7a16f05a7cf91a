//! Remembers which jobs this process has shown to callers as ended, so that the log tells once for
//! each job on what grounds, and whether what is stored contradicts it later.

use indexmap::IndexMap;

use crate::scheduler::{JobKey, JobState, Millis};

/// Limit for the jobs in each of the two generations.
const MAX_GENERATION: usize = 16_384;

/// What the answer to a lookup rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Grounds {
    /// Fencing token of this process's claim; 0 if it does not lead.
    pub(super) epoch: u64,
    /// Time since the stream was last read to its end, in ms; `None` before the first time, and while
    /// the records are loaded anew.
    pub(super) table_ms: Option<Millis>,
}

/// A job that is shown as ended for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ShownEnd {
    pub(super) job: JobKey,
    pub(super) state: JobState,
    pub(super) grounds: Grounds,
    /// Time since this process first knew the end to be stored, in ms; `None` if that is
    /// no longer remembered.
    pub(super) stored_ms: Option<Millis>,
}

impl ShownEnd {
    /// Logs on what grounds the job is shown as ended.
    pub(super) fn log(&self) {
        spdlog::info!("job_shown", kv: {
            job = self.job.to_string(), state = format!("{:?}", self.state),
            stored_ms = known_or_unknown(self.stored_ms),
            epoch = self.grounds.epoch, table_ms = known_or_unknown(self.grounds.table_ms)
        });
    }
}

/// A job whose stored state is not the ended one that was shown to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ChangedEnd {
    pub(super) job: JobKey,
    pub(super) shown: JobState,
    pub(super) state: JobState,
}

impl ChangedEnd {
    /// Logs what was shown, and what is stored.
    pub(super) fn log(&self) {
        spdlog::warn!("ended_job_changed", kv: {
            job = self.job.to_string(), shown = format!("{:?}", self.shown),
            state = format!("{:?}", self.state)
        });
    }
}

fn known_or_unknown(age: Option<Millis>) -> String {
    age.map_or_else(|| "unknown".to_owned(), |age| age.to_string())
}

/// What is remembered of an ended job.
#[derive(Clone, Copy, Debug, Default)]
struct EndedJob {
    /// State that was last shown to a caller; `None` if the job was not shown as ended.
    shown: Option<JobState>,
    /// When the end was first known to be stored.
    stored_at: Option<Millis>,
}

/// Ended jobs that are stored or were shown. Of more than [`MAX_GENERATION`] jobs only the
/// latest are remembered, so that memory stays bounded: `older` is dropped whenever `recent` is full.
#[derive(Debug, Default)]
pub(super) struct ShownJobs {
    recent: IndexMap<JobKey, EndedJob>,
    older: IndexMap<JobKey, EndedJob>,
}

impl ShownJobs {
    /// Notes that a caller is shown an ended job. Returns what to log the first time that it is
    /// shown in this state.
    pub(super) fn show(
        &mut self,
        job: JobKey,
        state: JobState,
        grounds: Grounds,
        now: Millis,
    ) -> Option<ShownEnd> {
        let ended = self.entry(job);
        if ended.shown.replace(state) == Some(state) {
            return None;
        }
        let stored_ms = ended.stored_at.map(|at| now.saturating_sub(at));
        Some(ShownEnd {
            job,
            state,
            grounds,
            stored_ms,
        })
    }

    /// Notes the stored state of a job. Returns what to log if it is not the one that was shown.
    pub(super) fn state_stored(
        &mut self,
        job: JobKey,
        state: JobState,
        now: Millis,
    ) -> Option<ChangedEnd> {
        let shown = self.get(job).and_then(|ended| ended.shown);
        let changed = shown.filter(|shown| *shown != state);
        if changed.is_some() {
            self.forget(job);
        }
        if state.ended() {
            self.entry(job).stored_at.get_or_insert(now);
        }
        changed.map(|shown| ChangedEnd { job, shown, state })
    }

    /// Forgets a job whose records are deleted.
    pub(super) fn forget(&mut self, job: JobKey) {
        self.recent.swap_remove(&job);
        self.older.swap_remove(&job);
    }

    fn get(&self, job: JobKey) -> Option<&EndedJob> {
        self.recent.get(&job).or_else(|| self.older.get(&job))
    }

    /// The entry of a job, added if it is missing.
    fn entry(&mut self, job: JobKey) -> &mut EndedJob {
        if !self.recent.contains_key(&job) {
            let known = self.older.swap_remove(&job).unwrap_or_default();
            if self.recent.len() >= MAX_GENERATION {
                self.older = std::mem::take(&mut self.recent);
            }
            self.recent.insert(job, known);
        }
        &mut self.recent[&job]
    }

    /// Number of jobs that are remembered.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }
}
