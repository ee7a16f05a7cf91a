//! Proposals in the platform's log and the fold that accepts or refuses them.

mod chain;
mod fold;
mod proposal;
mod record;
mod snapshot;
mod state;
mod window;

pub use chain::{CHECKPOINT_OFFSETS, Chain, ChainDigest};
pub use fold::{Allotment, Availability, Fleet, Holder, MAX_FAILED, PoolCount, Want, is_ended};
pub use proposal::{
    Claim, Edit, Job, JobPhase, JobUpdate, Party, PlannedStop, Proposal, Refusal, Registration,
    Role, Site, StopReason, Verdict,
};
pub use record::{DecodeError, RULES, Record, decode, encode, encode_edit};
pub use snapshot::{SnapshotError, restore, store};
pub use state::{Enrolment, Facts, Holding, State, Trust};
pub use window::{WINDOW_OFFSETS, Window};
