//! Decides which VMs each pool holds: pure functions of what the leader knows.

mod drain;
mod grants;
mod trend;

pub(super) use drain::{DrainCandidate, choose_drained};
pub(super) use grants::{PoolRequest, grant_vms};
pub(super) use trend::DemandTrend;
