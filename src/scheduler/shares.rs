//! Fair shares of teams: weighted max-min over the dominant resource of what each team runs and
//! waits for, over all pools and data centres.
//!
//! Addresses the load in which one team submits several times its usual rate while others compete
//! for the same targets.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{Capacity, Team};

/// Number of resources in a [`Capacity`].
const RESOURCES: usize = 3;

/// Factor on its entitlement from which a team counts as over its share. What a team at its usual
/// load runs changes by single jobs, and runs end one at a time when it has to give capacity back.
const OVER_FACTOR: f64 = 1.2;

/// Fraction of a resource or of a demand that counts as nothing, because sums of floating-point
/// fractions are not exact.
const EPSILON: f64 = 1e-9;

/// Weight of a team whose jobs still wait although the operators have removed it.
const REMOVED_TEAM_WEIGHT: u64 = 1;

/// Capacity that a team uses and requests, over all pools.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TeamLoad {
    /// Sum of what its runs reserve.
    pub(super) running: Capacity,
    /// Sum of what its tasks that could start now would reserve.
    pub(super) waiting: Capacity,
}

/// The share of one team, as fractions of the capacity of all VMs in its dominant resource.
#[derive(Clone, Copy, Debug, Default)]
struct TeamShare {
    /// Fraction by weight alone, among the teams that run or wait for something.
    guaranteed: f64,
    /// Fraction that weighted max-min gives it; at most its demand.
    entitled: f64,
    over: bool,
    /// Whether its limit keeps it from running all that it requests.
    limited: bool,
}

/// Shares of the teams that run or wait for something.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamShares {
    shares: IndexMap<String, TeamShare>,
    /// Sum of the weights of these teams.
    weights: f64,
}

impl TeamShares {
    /// Divides `capacity`, that of all VMs which jobs without a team leave, among the teams.
    /// No team counts as over its share unless `scarce`, or before the operators have given any
    /// team a weight.
    pub(super) fn divide(
        loads: &IndexMap<&str, TeamLoad>,
        teams: &IndexMap<Arc<str>, Team>,
        capacity: &Capacity,
        scarce: bool,
    ) -> Self {
        let mut claims: Vec<Claim> = loads
            .iter()
            .map(|(name, load)| Claim::new(load, teams.get(*name), weight(name, teams), capacity))
            .collect();
        fill(&mut claims);
        let weights: f64 = claims.iter().map(|claim| claim.weight).sum();
        let decides = scarce && teams.values().any(|team| team.weight > 0);
        let shares = loads.iter().zip(&claims).map(|((name, load), claim)| {
            let entitled = claim.granted * claim.dominant;
            let running = dominant(&fractions(&load.running, capacity));
            let waits = load.waiting != Capacity::default();
            let share = TeamShare {
                guaranteed: claim.weight / weights,
                entitled,
                over: decides && waits && running > entitled * OVER_FACTOR + EPSILON,
                limited: claim.limited,
            };
            ((*name).to_owned(), share)
        });
        Self {
            shares: shares.collect(),
            weights,
        }
    }

    /// Returns whether a team runs more than its entitlement and waits for more, while capacity is
    /// scarce. Jobs without a team are not subject to shares.
    pub(super) fn over_share(&self, team: Option<&str>) -> bool {
        team.and_then(|team| self.shares.get(team))
            .is_some_and(|share| share.over)
    }

    /// Returns whether the team's waiting work does not delay that of others, because the team is
    /// over its share or its limit keeps the work from starting.
    pub(super) fn yields(&self, team: &str) -> bool {
        let share = self.shares.get(team);
        share.is_some_and(|share| share.over || share.limited)
    }

    /// Names of the teams over their share.
    pub(super) fn teams_over(&self) -> impl Iterator<Item = &str> {
        let over = self.shares.iter().filter(|(_, share)| share.over);
        over.map(|(team, _)| team.as_str())
    }

    /// Fraction of the capacity that the team can expect, at least by its weight, whatever the
    /// others request.
    pub(super) fn expected_part(&self, team: &str, teams: &IndexMap<Arc<str>, Team>) -> f64 {
        if let Some(share) = self.shares.get(team) {
            return share.guaranteed.max(share.entitled);
        }
        let own = to_float(weight(team, teams));
        own / (self.weights + own)
    }

    /// Fraction of all VMs that weighted max-min gives the team, in its dominant resource.
    #[cfg(test)]
    pub(super) fn entitled(&self, team: &str) -> f64 {
        self.shares.get(team).map_or(0.0, |share| share.entitled)
    }
}

/// Weight of a team. A weight of 0 counts as the smallest one above 0 of any team.
fn weight(name: &str, teams: &IndexMap<Arc<str>, Team>) -> u64 {
    match teams.get(name) {
        None => REMOVED_TEAM_WEIGHT,
        Some(team) if team.weight > 0 => team.weight,
        Some(_) => {
            let weights = teams.values().map(|team| team.weight);
            weights.filter(|weight| *weight > 0).min().unwrap_or(1)
        }
    }
}

/// A team's claim to capacity while it is divided.
#[derive(Clone, Copy, Debug)]
struct Claim {
    weight: f64,
    /// What it runs and waits for within its limit, as fractions of the capacity.
    demand: [f64; RESOURCES],
    /// Largest of these fractions.
    dominant: f64,
    /// Fraction of its demand that is granted so far.
    granted: f64,
    /// Whether it can be granted more.
    open: bool,
    /// Whether it requests more than its limit.
    limited: bool,
}

impl Claim {
    fn new(load: &TeamLoad, team: Option<&Team>, weight: u64, capacity: &Capacity) -> Self {
        let mut demand = load.running;
        demand.add(&load.waiting);
        let scale = team.map_or(1.0, |team| within_limit(&demand, &team.limit));
        let demand = fractions(&demand, capacity).map(|part| part * scale);
        let dominant = dominant(&demand);
        Self {
            weight: to_float(weight),
            demand,
            dominant,
            granted: 0.0,
            open: dominant > 0.0,
            limited: scale < 1.0,
        }
    }

    /// Growth of what it is granted, as a fraction of its demand, while the common level of
    /// dominant shares per weight grows by 1.
    fn growth(&self) -> f64 {
        self.weight / self.dominant
    }
}

/// Raises the dominant shares of all teams at rates in proportion to their weights. A team stops
/// when its demand is met, or when a resource that it needs is exhausted.
fn fill(claims: &mut [Claim]) {
    let mut free = [1.0; RESOURCES];
    while claims.iter().any(|claim| claim.open) {
        let mut rates = [0.0; RESOURCES];
        let mut step = f64::INFINITY;
        for claim in claims.iter().filter(|claim| claim.open) {
            for (rate, demand) in rates.iter_mut().zip(claim.demand) {
                *rate += demand * claim.growth();
            }
            step = step.min((1.0 - claim.granted) / claim.growth());
        }
        for (rate, free) in rates.iter().zip(free) {
            if *rate > 0.0 {
                step = step.min(free / rate);
            }
        }
        for (free, rate) in free.iter_mut().zip(rates) {
            *free -= rate * step;
        }
        for claim in claims.iter_mut().filter(|claim| claim.open) {
            claim.granted += claim.growth() * step;
            let mut needs = claim.demand.iter().zip(free);
            let blocked = needs.any(|(demand, free)| *demand > 0.0 && free <= EPSILON);
            claim.open = !blocked && claim.granted < 1.0 - EPSILON;
        }
    }
}

/// Largest factor, at most 1, by which `demand` stays within `limit`; 0 in a field of `limit`
/// means no limit.
fn within_limit(demand: &Capacity, limit: &Capacity) -> f64 {
    amounts(demand)
        .into_iter()
        .zip(amounts(limit))
        .filter(|(demand, limit)| *limit > 0.0 && demand > limit)
        .map(|(demand, limit)| limit / demand)
        .fold(1.0, f64::min)
}

/// `part` as fractions of `whole`; 0 in resources that `whole` has none of.
fn fractions(part: &Capacity, whole: &Capacity) -> [f64; RESOURCES] {
    let mut parts = amounts(part);
    for (part, whole) in parts.iter_mut().zip(amounts(whole)) {
        *part = if whole > 0.0 { *part / whole } else { 0.0 };
    }
    parts
}

fn dominant(fractions: &[f64; RESOURCES]) -> f64 {
    fractions.iter().copied().fold(0.0, f64::max)
}

fn amounts(capacity: &Capacity) -> [f64; RESOURCES] {
    [capacity.cpu, capacity.mem_mb, capacity.gpu].map(to_float)
}

/// Amounts of a fleet are far below 2^52, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
const fn to_float(amount: u64) -> f64 {
    amount as f64
}
