//! Serves callers: submits jobs, looks them up and cancels them.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;

use super::clock::wall_ms;
use super::forwarding::{Appended, ForwardAnswer, PeerBuild};
use super::services::{AppendOutcome, Services};
use super::{Dispatch, admitting, append_queue, state::Shared};
use crate::scheduler::{JobKey, JobSpec, JobState, Millis, Policy, Record, Refusal};

/// Time without a read to the end of the stream after which this process's table counts as
/// outdated, in ms: about one and a half times the longest time between two reads in a process that
/// does not lead.
const MAX_READ_AGE_MS: Millis = 1_200;

/// Pause between two tries to store a record, in ms.
const RETRY_MS: u64 = 80;

/// Number of refused tries after which a submission is refused, if no other try may have been
/// stored.
const MAX_REFUSED_TRIES: u32 = 4;

/// Time that a lookup of an unknown job waits for the stream to be read, in ms.
const LOOKUP_WAIT_MS: u64 = 40;

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submission {
    /// The job is stored and will run. If it was known before, this is its state.
    Accepted(JobState),
    /// The job is not stored and will not run.
    Refused(Refusal),
    /// The job may have been stored, or may still be.
    Unknown,
}

/// Outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancellation is stored.
    Accepted,
    /// There is no such job. The cancellation is stored all the same: a record of the job may be on
    /// its way to the store, or may not have been read here, and then it does not run.
    NotFound,
    /// The cancellation could not be stored in time; it may still be stored.
    Unavailable,
}

/// Result of looking up a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The job is known and is in this state.
    Found(JobState),
    /// There is no such job.
    NotFound,
    /// The job is not known, but this process's table may be outdated.
    Unavailable,
}

impl<S: Services> Dispatch<S> {
    /// The newest policy of the operators; of version 0 before the first.
    #[must_use]
    pub fn policy(&self) -> Arc<Policy> {
        Arc::clone(&self.shared.lock().policy)
    }

    /// Returns whether the process can serve callers: it has a policy, its table is up to date,
    /// and it is not stopping.
    #[must_use]
    pub fn ready(&self) -> bool {
        let state = self.shared.lock();
        !state.stopping && state.policy.version > 0 && is_fresh(&self.shared, state.caught_up_at)
    }

    /// Time of day, in ms since 1970.
    #[must_use]
    pub fn wall_ms(&self) -> u64 {
        wall_ms()
    }

    /// Stores a job; gives up after `limit_ms`. A job whose key is known counts as accepted.
    pub async fn submit(&self, key: JobKey, spec: JobSpec, limit_ms: u64) -> Submission {
        let shared = &self.shared;
        let begun_at = shared.clock.now();
        let deadline = begun_at + limit_ms;
        // An earlier call may have left the record stored, or on its way to the store.
        let mut sent = shared.lock().admissions.maybe_stored(key, begun_at);
        match self.local_lookup(key) {
            Lookup::Found(state) => return Submission::Accepted(state),
            Lookup::Unavailable => {
                return self.refuse(key, sent, Refusal::STORE_UNAVAILABLE);
            }
            Lookup::NotFound => {}
        }
        let record = Record::Job(key, spec);
        let mut refused = 0;
        loop {
            let appended = append_queue::append(shared, vec![record.clone()]).await;
            if let Some(refusal) = appended.refusal(key) {
                return self.refuse(key, sent, refusal);
            }
            match appended.outcome {
                AppendOutcome::Stored { .. } => break,
                AppendOutcome::Unknown => sent = true,
                _ => refused += 1,
            }
            // This process cannot read the stream, so another one can tell the caller sooner.
            if sent && self.local_lookup(key) == Lookup::Unavailable {
                return Submission::Unknown;
            }
            if let Lookup::Found(state) = self.local_lookup(key) {
                return Submission::Accepted(state);
            }
            let gives_up = !sent && refused >= MAX_REFUSED_TRIES;
            if gives_up || shared.clock.now() >= deadline {
                return self.refuse(key, sent, Refusal::STORE_UNAVAILABLE);
            }
            Timer::after(Duration::from_millis(RETRY_MS)).await;
        }
        self.apply_stored(record);
        match self.local_lookup(key) {
            Lookup::Found(state) => Submission::Accepted(state),
            Lookup::NotFound | Lookup::Unavailable => Submission::Accepted(JobState::Queued),
        }
    }

    /// Outcome of a submission that is refused: unknown if a try of this call was `sent` without a
    /// usable answer, or one of another call was, because that may be stored.
    fn refuse(&self, key: JobKey, sent: bool, refusal: Refusal) -> Submission {
        let now = self.shared.clock.now();
        if sent || self.shared.lock().admissions.maybe_stored(key, now) {
            Submission::Unknown
        } else {
            Submission::Refused(refusal)
        }
    }

    /// Applies a stored record at once, before it is read from the stream.
    fn apply_stored(&self, record: Record) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        state.apply_acknowledged(record, now);
        drop(state);
        self.shared.wake();
    }

    /// Stores records that another process forwarded, if this process leads; else the outcome is
    /// [`AppendOutcome::Busy`]. Decides on each job by itself: those that are refused are not
    /// stored.
    pub async fn store_forwarded(&self, records: Vec<Record>, peer: PeerBuild) -> ForwardAnswer {
        let shared = &self.shared;
        if shared.lock().leader.is_none() {
            return ForwardAnswer::plain(AppendOutcome::Busy);
        }
        if peer == PeerBuild::WithoutAdmission {
            admitting::mark_unsettled(shared, &records, false);
        }
        let appended = append_queue::append(shared, records.clone()).await;
        if matches!(appended.outcome, AppendOutcome::Stored { .. }) {
            self.apply_all(records, &appended);
        }
        let summary = peer.needs_summary().then(|| {
            let now = shared.clock.now();
            let state = &mut *shared.lock();
            let leader = state.leader.as_mut()?;
            Some(leader.backlog_for_peers(now))
        });
        ForwardAnswer {
            appended,
            summary: summary.flatten(),
        }
    }

    /// Applies the stored records of callers, but not those of refused jobs.
    fn apply_all(&self, records: Vec<Record>, appended: &Appended) {
        for record in records {
            if let Record::Job(key, _) | Record::Cancel(key) = &record
                && appended.refusal(*key).is_none()
            {
                self.apply_stored(record);
            }
        }
    }

    /// Looks up a job for its caller. If it is not known, has the stream read once more before the
    /// answer. Logs on what grounds a job is shown as ended for the first time.
    pub async fn look_up(&self, key: JobKey) -> Lookup {
        let found = self.find(key).await;
        if let Lookup::Found(job_state) = found
            && job_state.ended()
        {
            let now = self.shared.clock.now();
            let shown = self.shared.lock().show_end(key, job_state, now);
            if let Some(shown) = shown {
                shown.log();
            }
        }
        found
    }

    /// Looks up a job. If it is not known, has the stream read once more.
    async fn find(&self, key: JobKey) -> Lookup {
        let first = self.local_lookup(key);
        if first != Lookup::NotFound {
            return first;
        }
        self.shared.request_read();
        Timer::after(Duration::from_millis(LOOKUP_WAIT_MS)).await;
        self.local_lookup(key)
    }

    /// Looks up a job in the stored table as it is.
    fn local_lookup(&self, key: JobKey) -> Lookup {
        let state = self.shared.lock();
        match state.stored.table().get(key) {
            Some(job) => Lookup::Found(job.state()),
            None if is_fresh(&self.shared, state.caught_up_at) => Lookup::NotFound,
            None => Lookup::Unavailable,
        }
    }

    /// Cancels a job; gives up after `limit_ms`.
    pub async fn cancel(&self, key: JobKey, limit_ms: u64) -> CancelOutcome {
        let shared = &self.shared;
        if self.find(key).await == Lookup::Found(JobState::Canceled) {
            return CancelOutcome::Accepted;
        }
        let deadline = shared.clock.now() + limit_ms;
        let record = Record::Cancel(key);
        loop {
            let appended = append_queue::append(shared, vec![record.clone()]).await;
            if matches!(appended.outcome, AppendOutcome::Stored { .. }) {
                break;
            }
            if shared.clock.now() >= deadline {
                return CancelOutcome::Unavailable;
            }
            Timer::after(Duration::from_millis(RETRY_MS)).await;
        }
        self.apply_stored(record);
        if shared.lock().stored.table().get(key).is_some() {
            CancelOutcome::Accepted
        } else {
            spdlog::info!("unknown_job_cancelled", kv: { job = key.to_string() });
            CancelOutcome::NotFound
        }
    }

    /// Number of accepted jobs of a queue of which no task has started.
    #[must_use]
    pub fn queued_jobs(&self, queue: &str) -> usize {
        self.shared.request_read();
        self.shared.lock().stored.table().queued_jobs(queue)
    }

    /// Names and values of figures on the process, for the state dump.
    #[must_use]
    pub fn summary(&self) -> Vec<(&'static str, u64)> {
        let state = self.shared.lock();
        let table = state.stored.table();
        let mut numbers = vec![
            ("policy_version", state.policy.version),
            ("jobs", table.len() as u64),
            ("next_offset", state.next_offset.unwrap_or(0)),
            ("holder_epoch", table.holder().map_or(0, |h| h.epoch)),
            ("evacuated_data_centres", state.evacuations.len() as u64),
        ];
        if let Some(leader) = &state.leader {
            numbers.extend(leader.summary());
        }
        numbers
    }
}

/// Returns whether the stream was read to its end recently; `caught_up_at` is when it last was.
fn is_fresh<S>(shared: &Shared<S>, caught_up_at: Option<Millis>) -> bool {
    caught_up_at.is_some_and(|at| shared.clock.now().saturating_sub(at) < MAX_READ_AGE_MS)
}
