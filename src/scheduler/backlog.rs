//! Summary of the work that waits for each pool and of the capacity that will do it. The leader
//! computes it, and sends it to the other processes, which decide by it while there is no leader.
//!
//! Addresses bursts at several times the capacity, in which a job that can't be served has to be
//! refused at once.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::work::{Work, amounts, to_float};
use super::{Capacity, Millis};

/// Time until a VM that is moved to a pool runs tasks there, in ms.
const MOVE_MS: f64 = 1_500.0;

/// Own wait below which a team is left out of a summary for other processes, in ms. A job can't
/// end past three times its objective because of so little work of its team.
const LISTED_WAIT_MS: f64 = 500.0;

/// Largest number of teams of a level in a summary for other processes, those with most work, so
/// that a process gets less than 2 KB.
const MAX_LISTED_TEAMS: usize = 10;

/// All of the capacity, in thousandths.
const WHOLE: u32 = 1_000;

/// Waiting work of one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct TeamWork {
    pub(super) work: Work,
    /// Part of the capacity that the team can expect, in thousandths.
    pub(super) part: u32,
}

/// Waiting work of the jobs of one priority.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct Level {
    pub(super) priority: u32,
    /// Work of all jobs.
    pub(super) work: Work,
    /// Work that does not delay other teams, because its teams are over their shares or at their
    /// limits.
    pub(super) yielding: Work,
    pub(super) teams: IndexMap<String, TeamWork>,
}

/// Waiting work for a pool, and the pool's capacity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct PoolBacklog {
    /// Capacity of the pool without what long-running tasks reserve.
    pub(super) now: Capacity,
    /// Capacity that it can have once VMs have been moved.
    pub(super) later: Capacity,
    /// By priority; jobs that are past use are left out, because they start last.
    pub(super) levels: Vec<Level>,
    /// How long the work has been more than can be served in time, in ms; 0 while it is not.
    pub(super) scarce_ms: Millis,
    /// By how much the time that the work takes has fallen recently, in ms per second.
    pub(super) drain: u32,
    /// Work of refused jobs whose callers have been told to come back later.
    pub(super) returning: Work,
}

impl PoolBacklog {
    /// Work that goes before a job of `priority`; if that is not of a team `over` its share, without
    /// what yields to it.
    pub(super) fn ahead(&self, priority: u32, over: bool) -> Work {
        let mut ahead = Work::default();
        for level in self.levels_before(priority) {
            ahead.add(&level.work);
            if !over {
                ahead.subtract(&level.yielding);
            }
        }
        ahead
    }

    /// Work of the team's own jobs that goes before a job of `priority`, and the part of the
    /// capacity that the team can expect; `None` for a team without much work.
    pub(super) fn own_ahead(&self, priority: u32, team: &str) -> Option<(Work, f64)> {
        let mut own: Option<(Work, f64)> = None;
        for level in self.levels_before(priority) {
            if let Some(team) = level.teams.get(team) {
                let (sum, part) = own.get_or_insert_default();
                sum.add(&team.work);
                *part = part.max(f64::from(team.part) / f64::from(WHOLE));
            }
        }
        own
    }

    fn levels_before(&self, priority: u32) -> impl Iterator<Item = &Level> {
        let levels = self.levels.iter();
        levels.filter(move |level| level.priority <= priority)
    }

    /// Time in ms that `work` takes on `part` of the pool's capacity, at least: that of the
    /// resource which takes longest. `None` if the pool has no capacity and can get none, as far
    /// as is known.
    pub(super) fn wait_ms(&self, work: &Work, part: f64) -> Option<f64> {
        let mut longest: f64 = 0.0;
        let work: [u64; 3] = (*work).into();
        let [now, later] = [self.now, self.later].map(amounts);
        let empty = now.iter().all(|amount| *amount == 0);
        for ((work, now), later) in work.into_iter().zip(now).zip(later) {
            if work == 0 {
                continue;
            }
            if later == 0 || part <= 0.0 {
                return None;
            }
            let (work, now, later) = (to_float(work), to_float(now) * part, to_float(later) * part);
            let done_first = now * MOVE_MS;
            let wait = if work <= done_first {
                work / now
            } else if empty {
                // VMs may already be on their way.
                work / later
            } else {
                MOVE_MS + (work - done_first) / later
            };
            longest = longest.max(wait);
        }
        Some(longest)
    }

    /// Adds the work of a job. A team that had none is taken to get all of the capacity until
    /// [`Self::apply_shares`].
    pub(super) fn add(&mut self, priority: u32, work: &Work, team: Option<&str>, over: bool) {
        let at = self.levels.iter().position(|l| l.priority == priority);
        let at = at.unwrap_or_else(|| {
            self.levels.push(Level {
                priority,
                ..Level::default()
            });
            self.levels.len() - 1
        });
        let level = &mut self.levels[at];
        level.work.add(work);
        if over {
            level.yielding.add(work);
        }
        if let Some(name) = team {
            if let Some(team) = level.teams.get_mut(name) {
                team.work.add(work);
            } else {
                let team = TeamWork {
                    work: *work,
                    part: WHOLE,
                };
                level.teams.insert(name.to_owned(), team);
            }
        }
    }

    /// Sets which part of the pool's capacity each team can expect, and sums up the work of the
    /// teams for which `yields` holds. `part` tells the part of the whole fleet, which has
    /// `fleet_factor` times the capacity of the pool.
    pub(super) fn apply_shares(
        &mut self,
        yields: impl Fn(&str) -> bool,
        fleet_factor: f64,
        part: impl Fn(&str) -> f64,
    ) {
        for level in &mut self.levels {
            level.yielding = Work::default();
            for (name, team) in &mut level.teams {
                team.part = in_thousandths(part(name) * fleet_factor);
                if yields(name) {
                    level.yielding.add(&team.work);
                }
            }
        }
    }

    /// Removes what other processes don't need.
    fn trim(&mut self) {
        let pool = Self {
            levels: Vec::new(),
            ..self.clone_capacity()
        };
        for level in &mut self.levels {
            level.teams.retain(|_, team| {
                let wait = pool.wait_ms(&team.work, f64::from(team.part) / f64::from(WHOLE));
                wait.is_some_and(|wait| wait >= LISTED_WAIT_MS)
            });
            let own_cpu = |team: &TeamWork| <[u64; 3]>::from(team.work)[0];
            level
                .teams
                .sort_by(|_, a, _, b| own_cpu(b).cmp(&own_cpu(a)));
            level.teams.truncate(MAX_LISTED_TEAMS);
        }
    }

    fn clone_capacity(&self) -> Self {
        Self {
            now: self.now,
            later: self.later,
            ..Self::default()
        }
    }
}

/// Summary of the waiting work of all pools.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Backlog {
    /// By name; pools without waiting work may be missing.
    pub(super) pools: IndexMap<String, PoolBacklog>,
    /// Teams over their share.
    pub(super) over: IndexSet<String>,
    /// Time since it was computed, in ms.
    pub(super) age_ms: Millis,
}

impl Backlog {
    /// Age in ms, `since_ms` after this was received.
    pub(crate) const fn age(&self, since_ms: Millis) -> Millis {
        self.age_ms.saturating_add(since_ms)
    }

    /// The part of the summary that another process needs, sent `age_ms` after it was computed.
    pub(super) fn for_peers(&self, age_ms: Millis) -> Self {
        let pools = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.levels.is_empty());
        let mut pools: IndexMap<String, PoolBacklog> = pools
            .map(|(name, pool)| (name.clone(), pool.clone()))
            .collect();
        pools.values_mut().for_each(PoolBacklog::trim);
        Self {
            pools,
            over: self.over.clone(),
            age_ms,
        }
    }
}

/// A part of the whole, at most all of it.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // It is within the bounds.
fn in_thousandths(part: f64) -> u32 {
    ((part * f64::from(WHOLE)) as u32).clamp(1, WHOLE)
}
