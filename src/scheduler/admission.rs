//! Decides whether a job is accepted, by a summary of the waiting work.
//!
//! Addresses bursts at several times the capacity: a job that can't end while it is of use is
//! refused at once, and its caller is told when there will be capacity for it.

use super::backlog::{Backlog, PoolBacklog};
use super::urgency::LATE_FACTOR;
use super::work::{JobClaim, to_float, to_millis};
use super::{JobKey, JobSpec, Millis, Policy};

/// Part of a sum of estimated times that the work takes at least, as a factor. Single estimates are
/// off by 20 to 50% on the noisiest queues, sums of many by less; and a job must be refused only if
/// it would end too late even if they are too long.
const LOW_ESTIMATE: f64 = 0.8;

/// Age from which a summary no longer justifies a refusal for lack of capacity, in ms: a burst
/// can end and several seconds of work be done meanwhile.
const FRESH_MS: Millis = 2_000;

/// Age from which a summary is not used at all, in ms: longer than the leader role is vacant.
const USABLE_MS: Millis = 10_000;

/// Fall of the waiting time from which the work counts as draining, in ms per second.
const MIN_DRAIN: u32 = 100;

/// Fall of the waiting time that is expected after a burst, as a fraction of the capacity; the
/// rest goes to jobs that arrive.
const DRAIN_AFTER_BURST: f64 = 0.5;

/// Longest time for which a burst is expected to go on, in ms. One that has lasted for some time is
/// expected to last as long again.
const MAX_BURST_LEFT_MS: Millis = 8_000;

/// Longest time after which a caller is told to come back, in ms.
const MAX_RETRY_MS: f64 = 60_000.0;

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It would certainly end so late that it is of no use.
    NoCapacity,
    /// Its team is over its share, and it would end past its objective.
    OverShare,
    /// The store does not take records at present.
    StoreUnavailable,
}

impl RefusalCause {
    /// Name of the cause in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoCapacity => "no_capacity",
            Self::OverShare => "over_share",
            Self::StoreUnavailable => "store_unavailable",
        }
    }
}

/// A refusal, and when the caller may try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the job is refused.
    pub cause: RefusalCause,
    /// Time until the job is expected to be accepted, in whole seconds; at least 1.
    pub retry_s: u32,
}

impl Refusal {
    /// The refusal of a job that could not be stored. Outages of the store mostly last for seconds,
    /// and a refused append costs little.
    pub(crate) const STORE_UNAVAILABLE: Self = Self {
        cause: RefusalCause::StoreUnavailable,
        retry_s: 1,
    };
}

/// Figures on which a refusal is based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    /// Time that the work ahead of the job takes, in ms.
    pub(super) ahead_ms: Millis,
    /// CPU of the pool, in thousandths of a core.
    pub(super) cpu: u64,
    /// Time until the job would end, in ms.
    pub(super) end_ms: Millis,
    pub(super) objective_ms: Millis,
    /// Age of the summary, in ms.
    pub(super) age_ms: Millis,
}

impl Refused {
    pub(super) fn log(&self, key: JobKey, spec: &JobSpec) {
        spdlog::info!("refused", kv: {
            job = key.to_string(), team = spec.team.as_deref().unwrap_or(""), queue = spec.queue,
            cause = self.refusal.cause.name(), ahead_ms = self.ahead_ms, cpu = self.cpu,
            end_ms = self.end_ms, objective_ms = self.objective_ms, age_ms = self.age_ms,
            retry_s = self.refusal.retry_s
        });
    }
}

impl Backlog {
    /// Decides on a job without the leader, by a summary that is `age_ms` old, and counts its work
    /// if it is accepted.
    ///
    /// # Errors
    /// Returns the refusal if the job is refused.
    pub(crate) fn admit(
        &mut self,
        policy: &Policy,
        key: JobKey,
        spec: &JobSpec,
        age_ms: Millis,
    ) -> Result<(), Refusal> {
        if !is_subject(spec, policy) {
            return Ok(());
        }
        let claim = JobClaim::of(spec, policy.terms_of(spec));
        let pool = policy.pool_of(&spec.queue, &spec.pool);
        if let Err(refused) = decide(self, &claim, spec, pool, key, age_ms) {
            refused.log(key, spec);
            return Err(refused.refusal);
        }
        let team = spec.team.as_deref();
        let over = team.is_some_and(|team| self.over.contains(team));
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.add(claim.priority, &claim.work, team, over);
        }
        Ok(())
    }
}

/// Returns whether a job is subject to admission at all: operators have given some team a weight,
/// and the job ends by itself and runs as soon as possible.
pub(super) fn is_subject(spec: &JobSpec, policy: &Policy) -> bool {
    let weighted = policy.teams.values().any(|team| team.weight > 0);
    weighted && spec.occurrence_count == 0 && !spec.is_long_running()
}

/// Decides on a job that is not known yet; `age_ms` is the age of the summary. The error is the
/// refusal.
pub(super) fn decide(
    backlog: &Backlog,
    claim: &JobClaim,
    spec: &JobSpec,
    pool: &str,
    key: JobKey,
    age_ms: Millis,
) -> Result<(), Refused> {
    if age_ms > USABLE_MS {
        return Ok(());
    }
    let Some(pool) = backlog.pools.get(pool) else {
        return Ok(());
    };
    let team = spec.team.as_deref();
    let over = team.is_some_and(|team| backlog.over.contains(team));
    let Some(wait_ms) = expected_wait_ms(pool, claim, team, over) else {
        return Ok(());
    };
    // The work is being done while the summary gets older.
    let wait_ms = (wait_ms - to_float(age_ms)).max(0.0);
    let chain_ms = to_float(claim.chain_ms);
    let objective_ms = to_float(claim.objective_ms);
    let useful_ms = objective_ms * to_float(LATE_FACTOR);
    // A job that would be late on an idle pool is no better off later.
    let late = |limit_ms: f64, factor: f64| {
        let feasible = objective_ms > 0.0 && chain_ms <= limit_ms;
        feasible && (wait_ms + chain_ms) * factor > limit_ms
    };
    let (cause, limit_ms) = if age_ms <= FRESH_MS && late(useful_ms, LOW_ESTIMATE) {
        (RefusalCause::NoCapacity, useful_ms / LOW_ESTIMATE)
    } else if over && late(objective_ms, 1.0) {
        (RefusalCause::OverShare, objective_ms)
    } else {
        return Ok(());
    };
    let excess_ms = wait_ms + chain_ms - limit_ms;
    Err(Refused {
        refusal: Refusal {
            cause,
            retry_s: retry_s(
                pool,
                excess_ms + returning_ms(pool, claim),
                drain_after_burst(pool, claim, team, cause),
                key,
            ),
        },
        ahead_ms: to_millis(wait_ms),
        cpu: pool.now.cpu,
        end_ms: to_millis(wait_ms + chain_ms),
        objective_ms: claim.objective_ms,
        age_ms,
    })
}

/// Time until the work that goes before a job is done, in ms: that of all teams on the whole pool,
/// or if that is sooner, that of the job's own team on the part which the team can expect, because
/// what others have queued up does not delay a team within its share. Only resources that the job
/// needs count. `None` if it is not known.
fn expected_wait_ms(
    pool: &PoolBacklog,
    claim: &JobClaim,
    team: Option<&str>,
    over: bool,
) -> Option<f64> {
    let ahead = pool.ahead(claim.priority, over);
    let all = pool.wait_ms(&ahead.of_resources(&claim.needs), 1.0)?;
    let Some(team) = team else { return Some(all) };
    match pool.own_ahead(claim.priority, team) {
        Some((own, part)) => {
            let own = own.of_resources(&claim.needs);
            Some(all.min(pool.wait_ms(&own, part)?))
        }
        None => Some(0.0),
    }
}

/// Fraction of the pool's capacity that is expected to be free for the job after the burst. A team
/// over its share gets only its part of that.
fn drain_after_burst(
    pool: &PoolBacklog,
    claim: &JobClaim,
    team: Option<&str>,
    cause: RefusalCause,
) -> f64 {
    let part = match (cause, team) {
        (RefusalCause::OverShare, Some(team)) => pool
            .own_ahead(claim.priority, team)
            .map_or(1.0, |(_, part)| part),
        _ => 1.0,
    };
    DRAIN_AFTER_BURST * part
}

/// Time that the work of jobs takes which were refused before this one, in ms.
fn returning_ms(pool: &PoolBacklog, claim: &JobClaim) -> f64 {
    let returning = pool.returning.of_resources(&claim.needs);
    pool.wait_ms(&returning, 1.0).unwrap_or(0.0)
}

/// Time after which a refused job is expected to be accepted, in whole seconds: once the waiting
/// time has fallen by `to_drain_ms`. While it does not fall, `later_drain` is the fraction of the
/// capacity that is expected to be free after the burst.
///
/// It is stretched by up to a half, by the job's id, so that callers do not come back together.
fn retry_s(pool: &PoolBacklog, to_drain_ms: f64, later_drain: f64, key: JobKey) -> u32 {
    let wait_ms = if pool.drain >= MIN_DRAIN {
        to_drain_ms * 1_000.0 / f64::from(pool.drain)
    } else {
        to_float(pool.scarce_ms.min(MAX_BURST_LEFT_MS)) + to_drain_ms / later_drain
    };
    let jitter = f64::from(jitter(key)) / f64::from(u32::MAX);
    let wait_ms = (wait_ms * (1.0 + jitter / 2.0)).min(MAX_RETRY_MS);
    let seconds = to_millis(wait_ms).div_ceil(1_000).max(1);
    u32::try_from(seconds).unwrap_or(u32::MAX)
}

/// A number that is evenly distributed over jobs although their ids may be consecutive.
#[allow(clippy::cast_possible_truncation)] // The upper half is what mixes best.
const fn jitter(key: JobKey) -> u32 {
    (key.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as u32
}
