//! Counts what each team runs in this process against its ceiling.

use std::sync::{Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;

use super::queue::Allowance;
use crate::id::TeamId;

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    running: u32,
    limit: u32,
}

/// Running requests of all teams, over all pools of this process.
#[derive(Debug, Default)]
pub(crate) struct Ceilings(Mutex<Usages>);

/// The counts while they are locked.
#[derive(Debug, Default)]
pub(crate) struct Usages(IndexMap<TeamId, Usage>);

impl Ceilings {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Usages> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Usages {
    /// Sets how many requests of a team may run at a time.
    pub(crate) fn set_limit(&mut self, team: &TeamId, limit: u32) {
        self.0.entry(team.clone()).or_default().limit = limit;
    }

    /// Counts a start.
    pub(crate) fn take(&mut self, team: &TeamId) {
        self.0.entry(team.clone()).or_default().running += 1;
    }

    /// Counts an end; true when the team had reached its ceiling.
    pub(crate) fn release(&mut self, team: &TeamId) -> bool {
        let Some(usage) = self.0.get_mut(team) else {
            return false;
        };
        let full = usage.running >= usage.limit;
        usage.running = usage.running.saturating_sub(1);
        full
    }

    /// Team, running requests and limit.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&TeamId, u32, u32)> {
        self.0
            .iter()
            .map(|(team, usage)| (team, usage.running, usage.limit))
    }
}

impl Allowance for Usages {
    fn room(&self, team: &TeamId) -> bool {
        self.0
            .get(team)
            .is_some_and(|usage| usage.running < usage.limit)
    }
}
