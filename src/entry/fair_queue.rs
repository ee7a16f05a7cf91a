//! Fair queue of one pool: teams by weight, and the most urgent request first within a team.
//!
//! Start-time fair queueing of slot time: the virtual time of a team is the slot time that
//! it has used, divided by its share, and the waiting team with the least virtual time is
//! served next. A run counts with the team's mean run time until it has taken longer or
//! ended, so that a burst is spread over the teams before any run ends. A team whose queue
//! was empty is raised to the virtual time of the last start, so that idle teams save up no
//! claim.
//!
//! The caller passes the current time, in microseconds since an arbitrary start.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::id::TeamId;

/// Number of urgencies of RFC 9218, from 0, the most urgent, to 7.
const URGENCIES: usize = 8;

/// Virtual time of one microsecond of one slot at share 1, which leaves room for fractions
/// at larger shares.
const VIRTUAL_SCALE: u64 = 1 << 16;

/// Waiting time after which a request counts as aged: it may start before more urgent ones
/// and is not evicted.
const AGING_US: u64 = 2_000_000;

/// Every eighth start of a team goes to its oldest request, if that has aged.
const AGED_START_INTERVAL: u32 = 8;

/// A new run time enters the moving average with one part in this many.
const MEAN_DIVISOR: u64 = 8;

/// Number of a queued request in order of arrival: later requests have larger tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Ticket(pub(crate) u64);

/// Properties of a request by which the queue orders it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct QueuedRequest {
    pub(crate) team: TeamId,
    /// 0 is the most urgent and 7 the least.
    pub(crate) urgency: u8,
    pub(crate) arrived_us: u64,
    /// Time after which it is pointless to start the request. Within an urgency, the earliest
    /// deadline goes first.
    pub(crate) deadline_us: u64,
}

/// Limits of the running requests of teams.
pub(crate) trait ConcurrencyLimits {
    /// True if the team's limit allows another request to start.
    fn may_start(&self, team: &TeamId) -> bool;
}

/// Waiting and running requests of one team.
#[derive(Debug)]
struct TeamQueue {
    share: u64,
    /// Waiting requests by deadline, for each urgency.
    by_urgency: [BTreeSet<(u64, Ticket)>; URGENCIES],
    by_arrival: BTreeSet<Ticket>,
    /// Requests started so far; wraps around.
    starts: u32,
    running: u64,
    /// Sum of the start times of the running requests, in us.
    start_sum_us: u128,
    /// Moving average of run times; 0 before the first run ends.
    mean_run_us: u64,
    /// Virtual time of the ended runs, and what [`TeamQueue::raise_to`] added.
    finished_time: u64,
}

impl TeamQueue {
    fn new() -> Self {
        Self {
            share: 1,
            by_urgency: Default::default(),
            by_arrival: BTreeSet::new(),
            starts: 0,
            running: 0,
            start_sum_us: 0,
            mean_run_us: 0,
            finished_time: 0,
        }
    }

    /// Virtual time of the team. Each running request counts for at least 1 us, so that a
    /// start breaks a tie. A team without a mean run time is given that of the pool.
    fn virtual_time(&self, now_us: u64, pool_mean_us: u64) -> u64 {
        let mean_run_us = if self.mean_run_us == 0 {
            pool_mean_us
        } else {
            self.mean_run_us
        };
        let expected = self.running * mean_run_us.max(1);
        let elapsed = u128::from(self.running) * u128::from(now_us);
        let elapsed = u64::try_from(elapsed.saturating_sub(self.start_sum_us)).unwrap_or(u64::MAX);
        self.finished_time + self.to_virtual(expected.max(elapsed))
    }

    fn to_virtual(&self, slot_us: u64) -> u64 {
        slot_us.saturating_mul(VIRTUAL_SCALE) / self.share
    }

    /// Raises the virtual time to `virtual_floor` if it is less.
    fn raise_to(&mut self, virtual_floor: u64, now_us: u64, pool_mean_us: u64) {
        let deficit = virtual_floor.saturating_sub(self.virtual_time(now_us, pool_mean_us));
        self.finished_time += deficit;
    }

    /// The request to start next: the most urgent one with the earliest deadline, or an aged
    /// one at every [`AGED_START_INTERVAL`]th start.
    fn next_ticket(
        &self,
        waiting: &IndexMap<Ticket, QueuedRequest>,
        now_us: u64,
    ) -> Option<Ticket> {
        let oldest = *self.by_arrival.first()?;
        let aged = waiting
            .get(&oldest)
            .is_some_and(|request| now_us.saturating_sub(request.arrived_us) >= AGING_US);
        if aged && self.starts % AGED_START_INTERVAL == AGED_START_INTERVAL - 1 {
            return Some(oldest);
        }
        let class = self.by_urgency.iter().find(|class| !class.is_empty())?;
        class.first().map(|(_, ticket)| *ticket)
    }

    fn remove(&mut self, ticket: Ticket, request: &QueuedRequest) {
        self.by_arrival.remove(&ticket);
        self.by_urgency[urgency_class(request)].remove(&(request.deadline_us, ticket));
    }

    /// Number of waiting requests that are as urgent as `urgency` or more.
    fn count_ahead(&self, urgency: usize) -> usize {
        self.by_urgency[..=urgency].iter().map(BTreeSet::len).sum()
    }
}

fn urgency_class(request: &QueuedRequest) -> usize {
    usize::from(request.urgency).min(URGENCIES - 1)
}

/// Exponential moving average; the first run time replaces the initial 0.
fn moving_average(mean_run_us: u64, run_us: u64) -> u64 {
    if mean_run_us == 0 {
        return run_us;
    }
    mean_run_us - mean_run_us / MEAN_DIVISOR + run_us / MEAN_DIVISOR
}

/// Fair queue of the requests that wait for one pool.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    team_queues: IndexMap<TeamId, TeamQueue>,
    waiting: IndexMap<Ticket, QueuedRequest>,
    next_number: u64,
    /// Highest virtual time at which a team was chosen to start a request.
    virtual_floor: u64,
    /// Moving average of the run times of all teams.
    mean_run_us: u64,
}

impl FairQueue {
    /// Sets the share of a team, its weight in the division of slot time; 0 counts as 1.
    pub(crate) fn set_share(&mut self, team: &TeamId, share: u32) {
        self.team_queue(team).share = u64::from(share.max(1));
    }

    /// The share of a team; 1 if none was set.
    pub(crate) fn share(&self, team: &TeamId) -> u64 {
        self.team_queues
            .get(team)
            .map_or(1, |team_queue| team_queue.share)
    }

    /// The newest waiting request of a team that passes `test`. Aged requests are skipped: one
    /// that has waited that long is not evicted.
    pub(crate) fn newest_matching(
        &self,
        team: &TeamId,
        now_us: u64,
        test: impl Fn(Ticket, &QueuedRequest) -> bool,
    ) -> Option<Ticket> {
        let by_arrival = self.team_queues.get(team)?.by_arrival.iter().rev();
        let not_aged = by_arrival
            .filter_map(|ticket| Some((*ticket, self.waiting.get(ticket)?)))
            .take_while(|(_, request)| now_us.saturating_sub(request.arrived_us) < AGING_US);
        let mut found = not_aged.filter(|(ticket, request)| test(*ticket, request));
        found.next().map(|(ticket, _)| ticket)
    }

    /// Adds a request to its team's queue.
    pub(crate) fn push(&mut self, request: QueuedRequest, now_us: u64) -> Ticket {
        let ticket = Ticket(self.next_number);
        self.next_number += 1;
        let (virtual_floor, pool_mean_us) = (self.virtual_floor, self.mean_run_us);
        let team_queue = self.team_queue(&request.team);
        if team_queue.by_arrival.is_empty() {
            team_queue.raise_to(virtual_floor, now_us, pool_mean_us);
        }
        team_queue.by_arrival.insert(ticket);
        team_queue.by_urgency[urgency_class(&request)].insert((request.deadline_us, ticket));
        self.waiting.insert(ticket, request);
        ticket
    }

    /// Estimated time until a new request could start even if its team had all `slots`, in
    /// us; other teams can only make it longer.
    pub(crate) fn least_wait_us(&self, team: &TeamId, urgency: u8, slots: u64) -> u64 {
        let Some(team_queue) = self.team_queues.get(team) else {
            return 0;
        };
        let class = usize::from(urgency).min(URGENCIES - 1);
        let ahead = u64::try_from(team_queue.count_ahead(class)).unwrap_or(u64::MAX);
        ahead.saturating_mul(team_queue.mean_run_us) / slots.max(1)
    }

    /// Takes out the request that starts next and counts it as running; `None` if no team
    /// with waiting requests may start one.
    pub(crate) fn pop(
        &mut self,
        now_us: u64,
        limits: &impl ConcurrencyLimits,
    ) -> Option<(Ticket, QueuedRequest)> {
        let team = self.choose_team(now_us, limits)?;
        let ticket = self.team_queues[team].next_ticket(&self.waiting, now_us)?;
        let request = self.waiting.swap_remove(&ticket)?;
        let team_queue = &mut self.team_queues[team];
        team_queue.remove(ticket, &request);
        team_queue.starts = team_queue.starts.wrapping_add(1);
        team_queue.running += 1;
        team_queue.start_sum_us += u128::from(now_us);
        Some((ticket, request))
    }

    /// Removes a waiting request in O(log n); `None` if it no longer waits.
    pub(crate) fn cancel(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let request = self.waiting.swap_remove(&ticket)?;
        if let Some(team_queue) = self.team_queues.get_mut(&request.team) {
            team_queue.remove(ticket, &request);
        }
        Some(request)
    }

    /// Records the end of a run whose request was popped at `started_us`.
    pub(crate) fn record_end(&mut self, team: &TeamId, started_us: u64, now_us: u64) {
        let Some(team_queue) = self.team_queues.get_mut(team) else {
            return;
        };
        let run_us = now_us.saturating_sub(started_us);
        team_queue.running = team_queue.running.saturating_sub(1);
        team_queue.start_sum_us = team_queue
            .start_sum_us
            .saturating_sub(u128::from(started_us));
        team_queue.finished_time += team_queue.to_virtual(run_us.max(1));
        team_queue.mean_run_us = moving_average(team_queue.mean_run_us, run_us);
        self.mean_run_us = moving_average(self.mean_run_us, run_us);
    }

    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Number of waiting and of running requests of each team.
    pub(crate) fn teams(&self) -> impl Iterator<Item = (&TeamId, usize, u64)> {
        self.team_queues
            .iter()
            .map(|(team, team_queue)| (team, team_queue.by_arrival.len(), team_queue.running))
    }

    /// Time that the oldest request has waited, in us; 0 if none waits.
    pub(crate) fn oldest_wait_us(&self, now_us: u64) -> u64 {
        let firsts = self
            .team_queues
            .values()
            .filter_map(|team_queue| team_queue.by_arrival.first());
        firsts
            .filter_map(|ticket| self.waiting.get(ticket))
            .map(|request| now_us.saturating_sub(request.arrived_us))
            .max()
            .unwrap_or(0)
    }

    /// Index of the team with the least virtual time among those that have waiting requests
    /// and may start one.
    fn choose_team(&mut self, now_us: u64, limits: &impl ConcurrencyLimits) -> Option<usize> {
        let mut best: Option<(u64, usize)> = None;
        let mut blocked = Vec::new();
        for (i, (team, team_queue)) in self.team_queues.iter().enumerate() {
            if team_queue.by_arrival.is_empty() {
                continue;
            }
            if !limits.may_start(team) {
                blocked.push(i);
                continue;
            }
            let time = team_queue.virtual_time(now_us, self.mean_run_us);
            if best.is_none_or(|(least, _)| time < least) {
                best = Some((time, i));
            }
        }
        let (time, team) = best?;
        self.virtual_floor = self.virtual_floor.max(time);
        // A team at its limit must not save up a claim to the slots that it can't use.
        for i in blocked {
            self.team_queues[i].raise_to(time, now_us, self.mean_run_us);
        }
        Some(team)
    }

    fn team_queue(&mut self, team: &TeamId) -> &mut TeamQueue {
        self.team_queues
            .entry(team.clone())
            .or_insert_with(TeamQueue::new)
    }
}
