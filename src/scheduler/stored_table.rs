//! The table from which callers are answered: nothing in it can be lost with a process.

use std::sync::Arc;

use super::{Change, Holder, Job, JobKey, JobSpec, JobState, JobTable, Record};

/// Identifies a batch of a leader: batches are ordered by the leader's fencing token, then by their
/// number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchId {
    /// Fencing token of the leader.
    pub epoch: u64,
    /// Number of the batch, from 1; 0 stands for the claim.
    pub number: u64,
}

impl BatchId {
    /// The batch that a record of the holder ends.
    const fn ended_by(holder: &Holder) -> Self {
        Self {
            epoch: holder.epoch,
            number: holder.batch,
        }
    }
}

/// A change of a job that a leader takes over into its own table. It shares the job's spec.
#[derive(Clone, Debug)]
pub enum JobUpdate {
    /// A job was accepted, or a record of it was repeated.
    Accepted(JobKey, Arc<JobSpec>),
    /// A job was cancelled by its caller, and callers are shown this state of it now; `None` if the
    /// job is not known.
    Cancelled(JobKey, Option<JobState>),
    /// The job is forgotten.
    Forgotten(JobKey),
}

/// The records that are known to be stored: those read from the stream, and those whose append was
/// acknowledged. Decisions of a leader are not in it before.
///
/// Records that were applied when they were acknowledged are skipped when they are read, because
/// later ones may have been applied meanwhile: no state that was shown goes back.
#[derive(Debug, Default)]
pub struct StoredTable {
    table: JobTable,
    /// The batch of the last record of a holder that was read.
    read: BatchId,
    /// The last batch that was applied when it was acknowledged.
    confirmed: BatchId,
    /// Callers' records that were acknowledged since a load began: what is loaded may lack them.
    /// `None` while nothing is loaded.
    load_acknowledged: Option<Vec<Record>>,
}

impl StoredTable {
    /// The records, as applied so far.
    #[must_use]
    pub const fn table(&self) -> &JobTable {
        &self.table
    }

    /// The batch of the last record of a holder that was read from the stream. All records of the
    /// batches of its leader up to this one have been read.
    #[must_use]
    pub const fn read(&self) -> BatchId {
        self.read
    }

    /// Notes that the records are about to be loaded anew.
    pub fn load_began(&mut self) {
        self.load_acknowledged = Some(Vec::new());
    }

    /// Replaces the records by loaded ones that were read to the end of the stream. Returns false,
    /// and changes nothing, if they lack a batch that was acknowledged meanwhile.
    pub fn loaded(&mut self, table: JobTable) -> bool {
        let read = table
            .holder()
            .map_or_else(BatchId::default, BatchId::ended_by);
        if read < self.confirmed {
            return false;
        }
        self.table = table;
        self.read = read;
        for record in self.load_acknowledged.take().unwrap_or_default() {
            self.table.apply(Change::Put(record));
        }
        true
    }

    /// Applies the next change of the stream. Returns what a leader takes over of it.
    pub fn apply_read(&mut self, change: Change) -> Option<JobUpdate> {
        match &change {
            Change::Put(Record::Progress(..) | Record::Wave(..)) if self.next_is_applied() => None,
            Change::Put(Record::Holder(holder)) => {
                self.read = BatchId::ended_by(holder);
                self.apply(change)
            }
            _ => self.apply(change),
        }
    }

    /// Applies a caller's record whose append was acknowledged, before it is read. Returns what a
    /// leader takes over of it. Other kinds of record change nothing.
    pub fn apply_acknowledged(&mut self, record: Record) -> Option<JobUpdate> {
        if !matches!(record, Record::Job(..) | Record::Cancel(_)) {
            return None;
        }
        if let Some(acknowledged) = &mut self.load_acknowledged {
            acknowledged.push(record.clone());
        }
        self.apply(Change::Put(record))
    }

    /// Applies the records of a leader's batch whose append was acknowledged, unless it was read
    /// already. The holder is left as it was read, and deletions are left to the stream.
    pub fn batch_stored(&mut self, batch: BatchId, records: Vec<Record>) {
        if batch <= self.read.max(self.confirmed) {
            return;
        }
        self.confirmed = batch;
        for record in records {
            if matches!(record, Record::Progress(..) | Record::Wave(..)) {
                self.table.apply(Change::Put(record));
            }
        }
    }

    /// Returns whether the batch whose records are read next was applied when it was acknowledged.
    const fn next_is_applied(&self) -> bool {
        self.read.epoch == self.confirmed.epoch && self.read.number < self.confirmed.number
    }

    fn apply(&mut self, change: Change) -> Option<JobUpdate> {
        match change {
            Change::Put(Record::Job(key, spec)) => {
                self.table.accept(key, Arc::new(spec));
                let job = self.table.get(key)?;
                Some(JobUpdate::Accepted(key, Arc::clone(&job.spec)))
            }
            Change::Put(Record::Cancel(key)) => {
                self.table.apply(change);
                let shown = self.table.get(key).map(Job::state);
                Some(JobUpdate::Cancelled(key, shown))
            }
            Change::Forget(key) => {
                self.table.apply(change);
                Some(JobUpdate::Forgotten(key))
            }
            other => {
                self.table.apply(other);
                None
            }
        }
    }
}
