//! Counts the running requests of each team against this process's part of the team's
//! ceiling.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use indexmap::IndexMap;

use super::fair_queue::ConcurrencyLimits;
use crate::control::Control;
use crate::id::TeamId;
use crate::membership::{DemandReport, TeamDemand};
use crate::view::View;

/// Running requests of all teams, over all pools of this process.
#[derive(Debug)]
pub(crate) struct Ceilings {
    control: Control,
    counts: Mutex<RunningCounts>,
}

/// Running requests of each team and the view whose limits apply.
#[derive(Debug, Default)]
pub(crate) struct RunningCounts {
    view: Option<Arc<View>>,
    running: IndexMap<TeamId, u32>,
}

impl Ceilings {
    pub(crate) fn new(control: Control) -> Self {
        Self {
            control,
            counts: Mutex::default(),
        }
    }

    /// Locks the counts and applies the limits of the newest view.
    pub(crate) fn lock(&self) -> MutexGuard<'_, RunningCounts> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        // Read under the lock, so that an older view can't replace a newer one.
        counts.view = Some(self.control.view());
        counts
    }

    /// Running and waiting requests of each team, for the control thread; `waiting` comes
    /// from the queues. Teams without either are left out.
    pub(crate) fn report(&self, waiting: &IndexMap<TeamId, u32>) -> DemandReport {
        let counts = self.lock();
        let mut demands: IndexMap<&TeamId, TeamDemand> = IndexMap::new();
        for (team, running) in &counts.running {
            demand_mut(&mut demands, team).running = *running;
        }
        for (team, waiting) in waiting {
            demand_mut(&mut demands, team).waiting = *waiting;
        }
        DemandReport {
            version: counts.view.as_ref().map_or(0, |view| view.limits.version),
            demands: demands
                .into_values()
                .filter(|demand| demand.running + demand.waiting > 0)
                .collect(),
        }
    }
}

fn demand_mut<'a, 'b>(
    demands: &'b mut IndexMap<&'a TeamId, TeamDemand>,
    team: &'a TeamId,
) -> &'b mut TeamDemand {
    demands.entry(team).or_insert_with(|| TeamDemand {
        team: team.clone(),
        running: 0,
        waiting: 0,
    })
}

impl RunningCounts {
    /// Counts a request of the team that starts.
    pub(crate) fn record_start(&mut self, team: &TeamId) {
        *self.running.entry(team.clone()).or_default() += 1;
    }

    /// Counts a request of the team that ended; true if the team was at its limit.
    pub(crate) fn record_end(&mut self, team: &TeamId) -> bool {
        let was_at_limit = !self.may_start(team);
        if let Some(running) = self.running.get_mut(team) {
            *running = running.saturating_sub(1);
        }
        was_at_limit
    }

    /// Each team that has a limit, with its running requests and that limit.
    pub(crate) fn teams(&self) -> impl Iterator<Item = (&TeamId, u32, u32)> {
        let limits = self.view.iter().flat_map(|view| &view.limits.teams);
        limits.map(|(team, limit)| (team, self.running(team), *limit))
    }

    fn running(&self, team: &TeamId) -> u32 {
        self.running.get(team).copied().unwrap_or(0)
    }
}

impl ConcurrencyLimits for RunningCounts {
    fn may_start(&self, team: &TeamId) -> bool {
        let Some(view) = &self.view else {
            return false;
        };
        let limits = &view.limits;
        let expired = limits
            .valid_until
            .is_some_and(|until| until <= Instant::now());
        let limit = limits.teams.get(team).copied().unwrap_or(0);
        !expired && self.running(team) < limit
    }
}
