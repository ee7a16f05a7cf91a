//! Decides which VMs each pool holds: pure functions of what the leader knows.

mod arrivals;
mod drain;
mod grants;
mod sizing;

pub(super) use arrivals::Arrivals;
pub(super) use drain::{DrainCandidate, choose_drained};
pub(super) use grants::{PoolRequest, grant_vms};
pub(super) use sizing::{PoolWork, RunningTask, WaitingTasks, work_of};
