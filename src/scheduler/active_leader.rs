//! A leader with its own table, in which its decisions are ahead of the stored ones.

use std::sync::Arc;

use super::{
    Backlog, Change, Command, Event, JobKey, JobSpec, JobTable, JobUpdate, Leader, LeaderSettings,
    Millis, Policy, Record, Refusal, StoredTable, TargetEntry,
};

/// A leader and the table on which it decides. Callers can't be answered from that table: it has
/// decisions that are lost if the leader ends before they are stored.
#[derive(Debug)]
pub struct ActiveLeader {
    leader: Leader,
    table: JobTable,
}

impl ActiveLeader {
    /// Creates the leader from a copy of the stored records and the current list of targets.
    /// `wall_ms` is the time of day in ms since 1970.
    #[must_use]
    pub fn take_over(
        settings: LeaderSettings,
        stored: &StoredTable,
        policy: Arc<Policy>,
        entries: Vec<TargetEntry>,
        now: Millis,
        wall_ms: u64,
    ) -> Self {
        let mut table = stored.table().clone();
        let leader = Leader::new(settings, &mut table, policy, entries, now, wall_ms);
        Self { leader, table }
    }

    /// As [`Leader::epoch`].
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.leader.epoch()
    }

    /// As [`Leader::deposed`].
    #[must_use]
    pub const fn deposed(&self, now: Millis) -> bool {
        self.leader.deposed(now)
    }

    /// As [`Leader::handle`].
    pub fn handle(&mut self, event: Event, now: Millis) {
        self.leader.handle(&mut self.table, event, now);
    }

    /// As [`Leader::poll`].
    pub fn poll(&mut self, now: Millis, wall_ms: u64) -> Vec<Command> {
        self.leader.poll(&mut self.table, now, wall_ms)
    }

    /// As [`Leader::unstored_end_count`].
    #[must_use]
    pub fn unstored_end_count(&self) -> usize {
        self.leader.unstored_end_count()
    }

    /// As [`Leader::next_pass_at`].
    #[must_use]
    pub fn next_pass_at(&self) -> Option<Millis> {
        self.leader.next_pass_at()
    }

    /// Applies a change of a job that the stored table has taken in.
    pub fn apply(&mut self, update: JobUpdate, now: Millis) {
        match update {
            JobUpdate::Accepted(key, spec) => {
                self.table.accept(key, spec);
                self.handle(Event::JobChanged(key), now);
            }
            JobUpdate::Cancelled(job, shown) => {
                self.table.apply(Change::Put(Record::Cancel(job)));
                self.handle(Event::JobCancelled { job, shown }, now);
            }
            JobUpdate::Forgotten(key) => {
                self.table.apply(Change::Forget(key));
            }
        }
    }

    /// As [`Leader::admit`].
    ///
    /// # Errors
    /// Returns the refusal if the job is refused.
    pub fn admit(&mut self, key: JobKey, spec: &JobSpec, now: Millis) -> Result<(), Refusal> {
        self.leader.admit(&self.table, key, spec, now)
    }

    /// As [`Leader::backlog_for_peers`].
    pub fn backlog_for_peers(&mut self, now: Millis) -> Backlog {
        self.leader.backlog_for_peers(&self.table, now)
    }

    /// As [`Leader::summary`].
    #[must_use]
    pub fn summary(&self) -> Vec<(&'static str, u64)> {
        self.leader.summary()
    }
}
