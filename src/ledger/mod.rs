//! Proposals in the platform's log and the fold that accepts or refuses them.

mod proposal;

pub use proposal::{
    Claim, Edit, Job, JobPhase, JobUpdate, Proposal, Refusal, Registration, Role, StopReason,
    Verdict,
};
