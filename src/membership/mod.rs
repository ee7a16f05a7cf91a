//! Membership of the fleet's processes: which are alive, which owns a queue, and how much
//! of each team's ceiling this process may use.

mod failure_detector;
mod heartbeat_acks;
mod majority;
mod peers;
mod quota;
mod rank;
mod registration_lease;
mod remote_data_centres;
mod team_account;

pub use failure_detector::{FailureDetector, HEARTBEAT_INTERVAL_MS, SUSPECT_AFTER_MS};
pub use peers::{FetchOnlyPeers, NoPeers, Peers};
pub(crate) use quota::max_request_duration;
pub use quota::{DemandReport, QuotaManager, TeamDemand, TransferRequest};
pub use rank::rank_owners;
pub use registration_lease::{
    FENCE_AFTER_MS, RENEW_INTERVAL_MS, RETIRE_AFTER_MS, RegistrationLease,
};
