//! The state of the platform: a store that admits one claim of each fencing token.

use std::time::{Duration, Instant};

use amaranthwick::dispatch::Producer;
use amaranthwick::scheduler::{Change, Holder, Record, RunningTask, TargetEntry, TaskKey};

/// Time for which reads lag behind a claim.
pub(crate) const HIDDEN_TIME: Duration = Duration::from_millis(300);

/// What happens to a claim.
#[derive(Clone, Debug, Default)]
pub(crate) enum ClaimFault {
    #[default]
    None,
    /// These records are appended just before it, and nothing is shown to readers for
    /// [`HIDDEN_TIME`].
    Preceded(Vec<Record>),
    /// Another process's claim with the same fencing token is appended just before the first one.
    Beaten,
    /// It is stored, and the stream can't be read from where it was before.
    Expired,
    /// It is stored, and from then on the stream can't be read at all.
    CutOff,
    /// It is stored, and the answer to its first try is lost.
    AnswerLost,
    /// It is stored, and answered late.
    AnswerLate,
    /// It is stored, and never answered.
    NoAnswer,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) log: Vec<Change>,
    pub(crate) epoch: u64,
    /// Sequence number of the last append of the epoch, and the end that was answered.
    pub(crate) last_append: Option<(u64, u64)>,
    pub(crate) fault: ClaimFault,
    /// Whether reads that may wait show nothing new.
    pub(crate) lags: bool,
    /// Until when all reads show nothing new.
    pub(crate) hidden_until: Option<Instant>,
    /// Whether the operators' changes can't be read.
    pub(crate) operators_away: bool,
    /// Offset of the first record that can be read one by one.
    pub(crate) first: u64,
    /// Whether reads fail.
    pub(crate) cut_off: bool,
    /// The producers of all claims, with whether they were admitted.
    pub(crate) claims: Vec<(Producer, bool)>,
    /// Tasks that were started at targets.
    pub(crate) starts: Vec<TaskKey>,
    pub(crate) targets: Vec<TargetEntry>,
    /// What the targets report as running.
    pub(crate) running: Vec<RunningTask>,
}

impl State {
    pub(crate) fn push(&mut self, record: Record) {
        self.log.push(Change::Put(record));
    }

    /// Appends a record of a leader, as another process does.
    pub(crate) fn lead_from_outside(&mut self, epoch: u64, batch: u64) {
        self.epoch = epoch;
        self.last_append = Some((batch, self.end() + 1));
        self.push(Record::Holder(holder(epoch, batch, false)));
    }

    pub(crate) fn end(&self) -> u64 {
        self.log.len() as u64
    }

    /// Appends as the store does; `None` for a refusal.
    pub(crate) fn append(&mut self, records: &[Record], producer: Option<Producer>) -> Option<u64> {
        if let Some(Producer { epoch, seq }) = producer {
            if epoch < self.epoch {
                return None;
            }
            if let Some((last, end)) = self.last_append.filter(|_| epoch == self.epoch) {
                if seq == last {
                    return Some(end);
                }
                if seq != last + 1 {
                    return None;
                }
            }
            self.epoch = epoch;
        }
        for record in records {
            self.push(record.clone());
        }
        if let Some(Producer { seq, .. }) = producer {
            self.last_append = Some((seq, self.end()));
        }
        Some(self.end())
    }
}

/// A record of another process that leads, or gives the role up.
pub(crate) fn holder(epoch: u64, batch: u64, released: bool) -> Holder {
    Holder {
        member: "other".to_owned(),
        incarnation: 1,
        epoch,
        released,
        batch,
    }
}
