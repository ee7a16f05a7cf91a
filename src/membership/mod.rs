//! Which processes are alive and which of them owns a queue.

mod account;
mod echo;
mod majority;
mod peers;
mod quota;
mod rank;
mod roster;
mod tenure;
mod zones;

pub use peers::{NoPeers, Peers, SilentPeers};
pub(crate) use quota::longest_run;
pub use quota::{Ask, Demand, Quota, Report};
pub use rank::rank;
pub use roster::{BEAT_MS, Roster, SUSPECT_MS};
pub use tenure::{FENCE_MS, RENEW_MS, RETIRE_MS, Tenure};
