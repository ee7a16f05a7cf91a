//! Decides which VMs each pool holds: pure functions of what the leader knows.

mod drain;

pub(super) use drain::{DrainCandidate, choose_drained};
