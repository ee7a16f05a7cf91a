//! Schedules jobs of tasks on targets, without I/O.
//!
//! Every process folds the same stream of records into a [`JobTable`]. The process that
//! holds the claim also runs a [`Leader`], which turns events and the time into commands.

mod claim;
mod demand;
mod fleet;
mod health;
mod ids;
mod leader;
mod lease;
mod machines;
mod order;
mod place;
mod policy;
mod progress;
mod record;
mod spec;
mod table;
mod urgency;
mod usage;
mod wave;

pub use claim::{Claim, Standing};
pub use fleet::{TargetEntry, TargetId, TargetState};
pub use ids::{JobKey, Millis, StepKey, TaskKey};
pub use leader::{
    Command, Event, Held, HoldFailure, Leader, LeaderSettings, StartOutcome, StopOutcome, event_of,
};
pub use machines::{Machine, MachineOutcome, MachineState};
pub use order::{EndKind, Ended, RunningTask};
pub use policy::{Policy, Pool, Queue, Tenant};
pub use progress::{JobState, Occurrence, Phase, Progress, Task};
pub use record::{Change, Holder, Member, Record, WaveProgress, decode_records, encode_records};
pub use spec::{JobSpec, MAX_TASKS, SpecFault, Step};
pub use table::{Job, JobTable};
pub use usage::Capacity;
pub use wave::Wave;
