//! Chooses which waiting jobs go first. Under load it selects jobs that can all be in time, and
//! defers those that would make others late.

use std::collections::BinaryHeap;

use super::facts::JobFacts;
use super::history::QueueHistory;
use crate::scheduler::JobKey;
use crate::scheduler::urgency::Timeliness;

/// Part of a pool's CPU that selected jobs may fill, in percent. The rest is lost between the end
/// of one task and the start of the next, because tasks do not fill targets exactly, and to jobs
/// that arrive later and are due sooner.
const FILLED_PERCENT: u64 = 70;

/// Time from the end of the last task of a step to the start of the next step's tasks, in ms.
const STEP_GAP_MS: u64 = 40;

/// Part of its remaining work that a job counts for once tasks of it are placed, in percent: what was
/// done of it is lost if it ends late. Lower values let large jobs of this kind hold small ones up.
const PLACED_PERCENT: u64 = 50;

/// Number of waiting jobs of a pool below which all that can be in time are selected and go by due
/// time. The work of one job may exceed what a pool does in seconds, and with few jobs the time at
/// which others begin is not known from the sum of their work.
const FEW_JOBS: usize = 12;

/// Groups of jobs in the order in which they are placed, among jobs of one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// The job can be in time with all others that are selected.
    Selected,
    /// The job will be late, or would make others late.
    Deferred,
}

/// Groups of jobs that come before or after all others, whatever their priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// The job runs until it is cancelled.
    LongRunning,
    Usual,
    /// The job would end so late that its caller has little use for it.
    PastUse,
}

/// Position of a job in the order; lower ones are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    tier: Tier,
    priority: u32,
    class: Class,
    over_share: bool,
    /// Cost in thousandths of a core times ms, or due time in ms since 1970. Within a pool, all
    /// positions of a class have one of them.
    rank: u64,
    pub(crate) job: JobKey,
}

/// Jobs of a pool by class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolLoad {
    /// Jobs with tasks that are placed or done, of the selected and the deferred ones.
    pub(crate) placed: usize,
    pub(crate) selected: usize,
    pub(crate) deferred: usize,
    pub(crate) past_use: usize,
    /// Work of the selected jobs that is not placed yet, in thousandths of a core times ms.
    pub(crate) work: u64,
    /// CPU for tasks that are not long-running, in thousandths of a core.
    pub(crate) capacity: u64,
}

/// The order of the jobs with tasks that may be placed, and what it was computed from.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub(crate) positions: Vec<Position>,
    /// In the order of the pools in the cache of facts.
    pub(crate) pools: Vec<PoolLoad>,
}

/// A job that is neither long-running nor past use.
#[allow(clippy::struct_excessive_bools)] // Each is an independent fact.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    job: JobKey,
    priority: u32,
    over_share: bool,
    /// Whether some task of it is placed or done.
    placed: bool,
    /// Whether it has tasks that may be placed.
    ready: bool,
    /// Work that is not placed yet, in thousandths of a core times ms.
    work: u64,
    /// What others lose if it is placed, as for `work`.
    cost: u64,
    /// Like `cost`, for the choice among deferred jobs.
    deferred_cost: u64,
    /// Whether it can be in time by its estimates, if its tasks get room at once.
    in_time: bool,
    due_ms: u64,
    /// Latest time at which its tasks must get room for it to be in time, in ms since 1970.
    latest_ms: u64,
}

impl Candidate {
    fn new(
        job: JobKey,
        facts: &JobFacts,
        queue: &QueueHistory,
        in_time: bool,
        over_share: bool,
    ) -> Self {
        let deadlines = &facts.deadlines;
        // The margin for a job with placed tasks is spent: it is not given up before it must.
        let (path_ms, percent) = if facts.placed {
            (deadlines.left_ms, PLACED_PERCENT)
        } else {
            let gaps_ms = facts.open_steps * STEP_GAP_MS;
            (queue.with_margin(deadlines.left_ms) + gaps_ms, 100)
        };
        let part = |work: u64| work / 100 * percent;
        Self {
            job,
            priority: deadlines.priority,
            over_share,
            placed: facts.placed,
            ready: !facts.ready.is_empty(),
            work: queue.corrected(facts.pending_work),
            cost: part(facts.pending_work),
            deferred_cost: part(queue.deferred_cost(job, facts.pending_work)),
            in_time,
            due_ms: deadlines.due_ms,
            latest_ms: deadlines.due_ms.saturating_sub(path_ms),
        }
    }
}

/// Orders the jobs at `wall_ms`, the time of day in ms since 1970. `capacities` are those of the
/// pools, and `queues` what is known of the queues, by their indices in the facts; `over_share`
/// returns whether a team uses more than its share, so that its jobs are deferred before others.
pub(crate) fn plan<'a>(
    jobs: impl Iterator<Item = (JobKey, &'a JobFacts)>,
    capacities: &[u64],
    queues: &[&QueueHistory],
    wall_ms: u64,
    over_share: impl Fn(Option<&str>) -> bool,
) -> Plan {
    let load = |capacity: &u64| PoolLoad {
        capacity: *capacity,
        ..PoolLoad::default()
    };
    let mut plan = Plan {
        positions: Vec::new(),
        pools: capacities.iter().map(load).collect(),
    };
    let mut candidates: Vec<Vec<Candidate>> = vec![Vec::new(); capacities.len()];
    for (job, facts) in jobs {
        let tier = match facts.deadlines.timeliness(wall_ms) {
            Timeliness::LongRunning => Tier::LongRunning,
            Timeliness::TooLate => Tier::PastUse,
            timeliness @ (Timeliness::InTime | Timeliness::Late) => {
                let (queue, over) = (queues[facts.queue], over_share(facts.team()));
                let in_time = timeliness == Timeliness::InTime;
                let candidate = Candidate::new(job, facts, queue, in_time, over);
                candidates[facts.pool].push(candidate);
                continue;
            }
        };
        plan.pools[facts.pool].past_use += usize::from(tier == Tier::PastUse);
        if !facts.ready.is_empty() {
            plan.positions.push(Position {
                tier,
                priority: facts.deadlines.priority,
                class: Class::Deferred,
                over_share: false,
                rank: facts.deadlines.due_ms,
                job,
            });
        }
    }
    for (pool, candidates) in candidates.into_iter().enumerate() {
        let waiting = candidates.iter().filter(|candidate| candidate.ready);
        if waiting.count() < FEW_JOBS {
            plan.add_by_due_time(pool, &candidates);
        } else {
            plan.select(pool, candidates, wall_ms);
        }
    }
    plan.positions.sort_unstable();
    plan
}

impl Plan {
    /// Selects all candidates that can be in time, and orders all by due time.
    fn add_by_due_time(&mut self, pool: usize, candidates: &[Candidate]) {
        for candidate in candidates {
            if candidate.in_time {
                self.pools[pool].work += candidate.work;
            }
            self.add(candidate, !candidate.in_time, candidate.due_ms, pool);
        }
    }

    /// Selects candidates that can be in time together: walks them by priority and by the time at
    /// which they must begin, and when one would begin too late, defers the one that costs most, of
    /// teams over their share first. The others then begin no later than the ones before it did
    /// (the algorithm of Moore and Hodgson).
    fn select(&mut self, pool: usize, mut candidates: Vec<Candidate>, wall_ms: u64) {
        candidates.sort_unstable_by_key(|c| (c.priority, c.latest_ms, c.job));
        let capacity = (self.pools[pool].capacity * FILLED_PERCENT / 100).max(1);
        let mut work: u64 = 0;
        let mut deferred = vec![false; candidates.len()];
        let mut selected: BinaryHeap<(bool, u64, usize)> = BinaryHeap::new();
        let mut priority = None;
        let mut overloaded = false;
        for (i, candidate) in candidates.iter().enumerate() {
            if wall_ms > candidate.latest_ms {
                deferred[i] = true;
                continue;
            }
            // Jobs of a higher priority are not deferred for those of a lower one.
            if priority.replace(candidate.priority) != Some(candidate.priority) {
                selected.clear();
            }
            let begins_ms = wall_ms + work / capacity;
            work = work.saturating_add(candidate.work);
            selected.push((candidate.over_share, candidate.cost, i));
            if begins_ms > candidate.latest_ms
                && let Some((_, _, dropped)) = selected.pop()
            {
                overloaded = true;
                deferred[dropped] = true;
                work = work.saturating_sub(candidates[dropped].work);
            }
        }
        self.pools[pool].work = work;
        for (candidate, deferred) in candidates.iter().zip(deferred) {
            let rank = match (deferred, overloaded) {
                (true, _) => candidate.deferred_cost,
                // Estimates are far off at times: of more jobs than fit, more are in time if those
                // with the least work go first.
                (false, true) => candidate.cost,
                (false, false) => candidate.due_ms,
            };
            self.add(candidate, deferred, rank, pool);
        }
    }

    fn add(&mut self, candidate: &Candidate, deferred: bool, rank: u64, pool: usize) {
        let load = &mut self.pools[pool];
        load.placed += usize::from(candidate.placed);
        let class = if deferred {
            load.deferred += 1;
            Class::Deferred
        } else {
            load.selected += 1;
            Class::Selected
        };
        if candidate.ready {
            self.positions.push(Position {
                tier: Tier::Usual,
                priority: candidate.priority,
                class,
                over_share: deferred && candidate.over_share,
                rank,
                job: candidate.job,
            });
        }
    }
}
