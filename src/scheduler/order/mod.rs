//! The order in which jobs are placed, from facts on each job that are computed only when the job
//! changes.

mod facts;
mod rooms;

pub(super) use facts::{FactsCache, ReadyStep};
pub(super) use rooms::{PoolRoom, SmallestTask};
