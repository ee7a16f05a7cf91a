//! Fair queue of one pool: weighted among teams, urgent first within a team.
//!
//! Start-time fair queueing over slot time: each team has a virtual time, the slot time
//! that it used divided by its share, and the waiting team with the least is next. A run
//! counts as the mean of the team's runs until it has taken longer or ended, so that a
//! burst is spread over the teams before any run ends. A team that begins to wait starts
//! from the virtual time of the last start, so that nothing is saved up while idle.
//!
//! Times are in microseconds since an arbitrary start and are handed in.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::id::TeamId;

/// Urgencies of RFC 9218; 0 is the most urgent.
const URGENCIES: usize = 8;

/// Virtual time of one microsecond of a slot at share 1.
const VIRTUAL_SCALE: u64 = 1 << 16;

/// A request that has waited this long may go before more urgent ones.
const AGING_US: u64 = 2_000_000;

/// One start in this many of a team goes to its oldest request once that has aged.
const AGED_START_INTERVAL: u32 = 8;

/// Part of a new run time in the mean, as a divisor.
const MEAN_DIVISOR: u64 = 8;

/// A waiting request; later ones have larger tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Ticket(pub(crate) u64);

/// What the queue needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct QueuedRequest {
    pub(crate) team: TeamId,
    /// 0 is the most urgent and 7 the least.
    pub(crate) urgency: u8,
    pub(crate) arrived_us: u64,
    /// It is pointless to start it later.
    pub(crate) deadline_us: u64,
}

/// Says which teams may run more.
pub(crate) trait ConcurrencyLimits {
    /// True while the team runs less than its ceiling allows.
    fn may_start(&self, team: &TeamId) -> bool;
}

/// Waiting and running requests of one team.
#[derive(Debug)]
struct TeamQueue {
    share: u64,
    by_urgency: [BTreeSet<(u64, Ticket)>; URGENCIES],
    by_arrival: BTreeSet<Ticket>,
    starts: u32,
    running: u64,
    /// Sum of the start times of what runs, in us.
    start_sum_us: u128,
    mean_run_us: u64,
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

    /// Virtual time; every start counts at least 1 us, so that ties end. A team that has
    /// run nothing yet is taken to run as long as the others do.
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

    fn raise_to(&mut self, virtual_floor: u64, now_us: u64, pool_mean_us: u64) {
        let deficit = virtual_floor.saturating_sub(self.virtual_time(now_us, pool_mean_us));
        self.finished_time += deficit;
    }

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

    /// Requests of the same or a greater urgency.
    fn count_ahead(&self, urgency: usize) -> usize {
        self.by_urgency[..=urgency].iter().map(BTreeSet::len).sum()
    }
}

fn urgency_class(request: &QueuedRequest) -> usize {
    usize::from(request.urgency).min(URGENCIES - 1)
}

fn moving_average(mean_run_us: u64, run_us: u64) -> u64 {
    if mean_run_us == 0 {
        return run_us;
    }
    mean_run_us - mean_run_us / MEAN_DIVISOR + run_us / MEAN_DIVISOR
}

/// Fair queue of one pool.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    team_queues: IndexMap<TeamId, TeamQueue>,
    waiting: IndexMap<Ticket, QueuedRequest>,
    next_number: u64,
    /// Virtual time of the last start.
    virtual_floor: u64,
    /// Mean run time of all teams.
    mean_run_us: u64,
}

impl FairQueue {
    /// Sets the weight of a team.
    pub(crate) fn set_share(&mut self, team: &TeamId, share: u32) {
        self.team_queue(team).share = u64::from(share.max(1));
    }

    /// The weight of a team.
    pub(crate) fn share(&self, team: &TeamId) -> u64 {
        self.team_queues
            .get(team)
            .map_or(1, |team_queue| team_queue.share)
    }

    /// The newest request of a team that passes `test` and has not aged; work that has
    /// waited long keeps its place.
    pub(crate) fn newest_matching(
        &self,
        team: &TeamId,
        now_us: u64,
        matches: impl Fn(Ticket, &QueuedRequest) -> bool,
    ) -> Option<Ticket> {
        let by_arrival = self.team_queues.get(team)?.by_arrival.iter().rev();
        let not_aged = by_arrival
            .filter_map(|ticket| Some((*ticket, self.waiting.get(ticket)?)))
            .take_while(|(_, request)| now_us.saturating_sub(request.arrived_us) < AGING_US);
        let mut found = not_aged.filter(|(ticket, request)| matches(*ticket, request));
        found.next().map(|(ticket, _)| ticket)
    }

    /// Adds a request.
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

    /// Least time until a new request could start if its team had all `slots`.
    pub(crate) fn least_wait_us(&self, team: &TeamId, urgency: u8, slots: u64) -> u64 {
        let Some(team_queue) = self.team_queues.get(team) else {
            return 0;
        };
        let class = usize::from(urgency).min(URGENCIES - 1);
        let ahead = u64::try_from(team_queue.count_ahead(class)).unwrap_or(u64::MAX);
        ahead.saturating_mul(team_queue.mean_run_us) / slots.max(1)
    }

    /// Takes out the request that starts now; its team counts as running one more.
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

    /// Takes a request out, in O(log n); `None` when it waits no longer.
    pub(crate) fn cancel(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let request = self.waiting.swap_remove(&ticket)?;
        if let Some(team_queue) = self.team_queues.get_mut(&request.team) {
            team_queue.remove(ticket, &request);
        }
        Some(request)
    }

    /// Counts the end of a run that was popped at `started_us`.
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

    /// Requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Waiting and running requests of each team.
    pub(crate) fn teams(&self) -> impl Iterator<Item = (&TeamId, usize, u64)> {
        self.team_queues
            .iter()
            .map(|(team, team_queue)| (team, team_queue.by_arrival.len(), team_queue.running))
    }

    /// Time that the oldest request has waited, in us.
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

    /// Index of the waiting team with the least virtual time that may run more.
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
        // A team at its ceiling must not save up what it can't use.
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
