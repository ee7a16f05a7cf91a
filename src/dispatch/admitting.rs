//! Decides on jobs of callers before they are stored: the leader by its own figures, another
//! process that stores them itself by the last summary that it received.

use std::collections::{HashMap, VecDeque};

use super::forwarding::RefusedJob;
use super::state::{Shared, State};
use crate::scheduler::{Backlog, JobKey, JobSpec, Millis, Record, Refusal};
use crate::telemetry::metrics;

/// Time for which a job that was accepted, or may have been stored, is not refused, in ms: its
/// record can still be stored after that many of the store's and the connections' timeouts.
const UNSETTLED_MS: Millis = 10_000;

/// What decisions on jobs are based on, besides the leader's state.
#[derive(Debug, Default)]
pub(super) struct Admissions {
    /// Last summary of a leader, and when it was received.
    summary: Option<(Backlog, Millis)>,
    /// Jobs that were accepted or sent to be stored. They are in no table before their records have
    /// been read, but may be stored.
    unsettled: HashMap<JobKey, UnsettledJob>,
    /// When jobs became unsettled or were renewed, the earliest first, so that those that expire
    /// are found without a search.
    tries: VecDeque<(Millis, JobKey)>,
    /// Records are stored without the leader before this time, because it did not store some.
    pub(super) bypass_until: Millis,
}

/// A job whose record has not been read yet.
#[derive(Clone, Copy, Debug)]
struct UnsettledJob {
    /// When it was last accepted, or its record last sent.
    tried_at: Millis,
    /// Whether an append of its record had no usable answer.
    maybe_stored: bool,
}

impl Admissions {
    /// Takes over a summary that was received at `now`.
    pub(super) fn set_summary(&mut self, summary: Backlog, now: Millis) {
        self.summary = Some((summary, now));
    }

    /// Age of the summary at `now`, in ms; `None` without one.
    pub(super) fn summary_age(&self, now: Millis) -> Option<Millis> {
        let (summary, received_at) = self.summary.as_ref()?;
        Some(summary.age(now.saturating_sub(*received_at)))
    }

    /// Notes that a job was accepted, or sent to be stored: `maybe_stored` if that had no usable
    /// answer.
    pub(super) fn mark_unsettled(&mut self, key: JobKey, maybe_stored: bool, now: Millis) {
        while let Some(&(at, tried)) = self.tries.front()
            && !is_current(at, now)
        {
            self.tries.pop_front();
            // A job that was renewed has a later entry.
            if self
                .unsettled
                .get(&tried)
                .is_some_and(|job| job.tried_at == at)
            {
                self.unsettled.remove(&tried);
            }
        }
        let job = self.unsettled.entry(key).or_insert(UnsettledJob {
            tried_at: now,
            maybe_stored,
        });
        job.tried_at = now;
        job.maybe_stored |= maybe_stored;
        self.tries.push_back((now, key));
    }

    fn unsettled(&self, key: JobKey, now: Millis) -> Option<&UnsettledJob> {
        let job = self.unsettled.get(&key);
        job.filter(|job| is_current(job.tried_at, now))
    }

    /// Returns whether an earlier append of the job's record had no usable answer.
    pub(super) fn maybe_stored(&self, key: JobKey, now: Millis) -> bool {
        let job = self.unsettled(key, now);
        job.is_some_and(|job| job.maybe_stored)
    }
}

#[cfg(test)]
impl Admissions {
    /// Number of unsettled jobs that are kept.
    pub(super) fn unsettled_jobs(&self) -> usize {
        self.unsettled.len()
    }
}

/// Returns whether a job that was last tried at `tried_at` is still unsettled.
const fn is_current(tried_at: Millis, now: Millis) -> bool {
    now <= tried_at + UNSETTLED_MS
}

impl State {
    /// Returns whether this process stores callers' records itself, and so decides on their jobs.
    pub(super) fn stores_itself(&self, member: &str, now: Millis) -> bool {
        self.leader.is_some()
            || self.leader_address(member).is_none()
            || now < self.admissions.bypass_until
    }

    /// Decides on a job. One that is known, or may be stored, is accepted again.
    fn decide(&mut self, key: JobKey, spec: &JobSpec, now: Millis) -> Result<(), Refusal> {
        if self.stored.table().get(key).is_some() || self.admissions.unsettled(key, now).is_some() {
            return Ok(());
        }
        if let Some(leader) = &mut self.leader {
            return leader.admit(key, spec, now);
        }
        let Some(age_ms) = self.admissions.summary_age(now) else {
            return Ok(());
        };
        match &mut self.admissions.summary {
            Some((summary, _)) => summary.admit(&self.policy, key, spec, age_ms),
            None => Ok(()),
        }
    }
}

/// Splits records into those to be stored and the jobs that are refused.
pub(super) fn admit<S>(shared: &Shared<S>, records: Vec<Record>) -> (Vec<Record>, Vec<RefusedJob>) {
    let (mut admitted, mut refused) = (Vec::with_capacity(records.len()), Vec::new());
    let mut state = shared.lock();
    let now = shared.clock.now();
    for record in records {
        if let Record::Job(key, spec) = &record {
            // The answer names refused jobs by id, so records with one id are treated alike.
            if refused.iter().any(|job: &RefusedJob| job.key == *key) {
                continue;
            }
            if let Err(refusal) = state.decide(*key, spec, now) {
                refused.push(RefusedJob { key: *key, refusal });
                continue;
            }
            state.admissions.mark_unsettled(*key, false, now);
        }
        admitted.push(record);
    }
    drop(state);
    for RefusedJob { refusal, .. } in &refused {
        let tags = [("cause", refusal.cause.name())];
        shared.metrics.count(metrics::REFUSED_JOBS, 1, &tags);
        let wait_s = u64::from(refusal.retry_s);
        shared.metrics.record(metrics::RETRY_AFTER_S, wait_s, &[]);
    }
    (admitted, refused)
}

/// Notes that the jobs among `records` are accepted, or `maybe_stored`, so that they are not refused
/// later.
pub(super) fn mark_unsettled<S>(shared: &Shared<S>, records: &[Record], maybe_stored: bool) {
    let mut state = shared.lock();
    let now = shared.clock.now();
    for record in records {
        if let Record::Job(key, _) = record {
            state.admissions.mark_unsettled(*key, maybe_stored, now);
        }
    }
}
