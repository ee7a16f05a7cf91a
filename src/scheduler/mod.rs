//! Schedules the tasks of jobs on targets. The module does no I/O and reads no clock.
//!
//! Every process applies the same stream of records to a [`StoredTable`], from which it answers
//! callers. The process that holds the leader role also runs an [`ActiveLeader`]: a [`Leader`],
//! which takes events and the current time and returns commands for the process to carry out, and
//! its own [`JobTable`] with decisions that are not stored yet.

mod active_leader;
mod admission;
mod backlog;
mod balance;
mod capacity;
mod crash_count;
mod demand;
mod due_occurrences;
mod election;
mod evacuation;
mod health;
mod ids;
mod leader;
mod lease;
mod missing_vms;
mod order;
mod placement;
mod policy;
mod pool_history;
mod progress;
mod record;
mod room;
mod run;
mod shares;
mod sparse_progress;
mod spec;
mod step_status;
mod stored_table;
mod table;
mod target;
mod target_entry;
mod target_runs;
#[cfg(test)]
mod tests;
mod urgency;
mod vm;
mod vms;
mod wave;
mod work;

pub use active_leader::ActiveLeader;
pub use admission::{Refusal, RefusalCause};
pub use backlog::Backlog;
pub use capacity::Capacity;
pub use crash_count::{Crashes, LostTarget};
pub use election::{Election, Role};
pub use evacuation::{EvacuationChange, Evacuations};
pub use ids::{JobKey, Millis, StepKey, TaskKey};
pub use leader::{
    Command, Event, HoldFailure, Leader, LeaderSettings, Predecessor, StartOutcome, StopOutcome,
    TargetReport,
};
pub use policy::{Policy, Pool, Queue, Team};
pub use progress::{JobProgress, JobState, Occurrence, TaskPhase, TaskProgress};
pub use record::{Change, Holder, Member, Record, WaveProgress, decode_records, encode_records};
pub use run::{EndKind, EndedRun, RunningTask};
pub use spec::{JobSpec, MAX_TASKS, QueueTerms, SpecFault, Step};
pub use stored_table::{BatchId, JobUpdate, StoredTable};
pub use table::{Job, JobTable};
pub use target_entry::{TargetEntry, TargetId, TargetState};
pub use vm::{Vm, VmOutcome, VmState};
pub use wave::Wave;
