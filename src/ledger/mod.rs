//! Records of the replicated log and the state machine that accepts or refuses them.
//!
//! Each record carries one [`Proposal`]. [`State::apply`] folds the log into a [`State`],
//! and every process reaches the same verdicts at the same offsets.

mod chain;
mod dedup_window;
mod fold;
mod proposal;
mod record;
mod snapshot;
mod state;

pub use chain::{CHECKPOINT_OFFSETS, ChainDigest, HashChain};
pub use dedup_window::{DEDUP_WINDOW_OFFSETS, DedupWindow};
pub use fold::{
    Allotment, AllotmentHolder, Availability, BudgetInputs, MAX_FAILED_STOPS, PoolCount,
    UnmetDemand, is_ended,
};
pub use proposal::{
    Claim, Edit, Job, JobPhase, JobUpdate, PlannedStop, Proposal, Refusal, Registration, Role,
    StopReason, TransferParty, Verdict, VmLocation,
};
pub use record::{DecodeError, RULES_VERSION, Record, decode_record, encode_edit, encode_record};
pub use snapshot::{SnapshotError, decode_snapshot, encode_snapshot};
pub use state::{Facts, RegisteredMember, RoleHolder, State, TrustedKeys};
