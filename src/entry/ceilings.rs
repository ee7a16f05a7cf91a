//! Counts what each team runs in this process against its part of the team's ceiling.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use indexmap::IndexMap;

use super::queue::Allowance;
use crate::control::Control;
use crate::id::TeamId;
use crate::membership::{DemandReport, TeamDemand};
use crate::view::View;

/// Running requests of all teams, over all pools of this process.
#[derive(Debug)]
pub(crate) struct Ceilings {
    control: Control,
    usages: Mutex<Usages>,
}

/// The counts while they are locked.
#[derive(Debug, Default)]
pub(crate) struct Usages {
    view: Option<Arc<View>>,
    running: IndexMap<TeamId, u32>,
}

impl Ceilings {
    pub(crate) fn new(control: Control) -> Self {
        Self {
            control,
            usages: Mutex::default(),
        }
    }

    /// The counts against the limits of the newest view.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Usages> {
        let mut usages = self.usages.lock().unwrap_or_else(PoisonError::into_inner);
        // Read under the lock, so that no older view comes after a newer one.
        usages.view = Some(self.control.view());
        usages
    }

    /// What runs and waits, for the control thread.
    pub(crate) fn report(&self, waiting: &IndexMap<TeamId, u32>) -> DemandReport {
        let usages = self.lock();
        let mut demands: IndexMap<&TeamId, TeamDemand> = IndexMap::new();
        for (team, running) in &usages.running {
            demand(&mut demands, team).running = *running;
        }
        for (team, waiting) in waiting {
            demand(&mut demands, team).waiting = *waiting;
        }
        DemandReport {
            version: usages.view.as_ref().map_or(0, |view| view.limits.version),
            demands: demands
                .into_values()
                .filter(|demand| demand.running + demand.waiting > 0)
                .collect(),
        }
    }
}

fn demand<'a, 'b>(
    demands: &'b mut IndexMap<&'a TeamId, TeamDemand>,
    team: &'a TeamId,
) -> &'b mut TeamDemand {
    demands.entry(team).or_insert_with(|| TeamDemand {
        team: team.clone(),
        running: 0,
        waiting: 0,
    })
}

impl Usages {
    /// Counts a start.
    pub(crate) fn take(&mut self, team: &TeamId) {
        *self.running.entry(team.clone()).or_default() += 1;
    }

    /// Counts an end; true when the team had reached its limit.
    pub(crate) fn release(&mut self, team: &TeamId) -> bool {
        let full = !self.room(team);
        if let Some(running) = self.running.get_mut(team) {
            *running = running.saturating_sub(1);
        }
        full
    }

    /// Team, running requests and limit.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&TeamId, u32, u32)> {
        let limits = self.view.iter().flat_map(|view| &view.limits.teams);
        limits.map(|(team, limit)| (team, self.running(team), *limit))
    }

    fn running(&self, team: &TeamId) -> u32 {
        self.running.get(team).copied().unwrap_or(0)
    }
}

impl Allowance for Usages {
    fn room(&self, team: &TeamId) -> bool {
        let Some(view) = &self.view else {
            return false;
        };
        let limits = &view.limits;
        let over = limits.until.is_some_and(|until| until <= Instant::now());
        let limit = limits.teams.get(team).copied().unwrap_or(0);
        !over && self.running(team) < limit
    }
}
