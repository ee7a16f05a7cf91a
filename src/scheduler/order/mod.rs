//! The order in which jobs are placed, from facts on each job that are computed only when the job
//! changes.

mod facts;
mod history;
mod plan;
mod rooms;

pub(super) use facts::{FactsCache, ReadyStep};
pub(super) use plan::{Plan, PoolLoad, plan};
pub(super) use rooms::{PoolRoom, SmallestTask};
