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
const SCALE: u64 = 1 << 16;

/// A request that has waited this long may go before more urgent ones.
const AGED_US: u64 = 2_000_000;

/// One start in this many of a team goes to its oldest request once that has aged.
const AGED_EVERY: u32 = 8;

/// Part of a new run time in the mean, as a divisor.
const MEAN_WEIGHT: u64 = 8;

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
    fn room(&self, team: &TeamId) -> bool;
}

/// Waiting and running requests of one team.
#[derive(Debug)]
struct TeamQueue {
    share: u64,
    classes: [BTreeSet<(u64, Ticket)>; URGENCIES],
    arrivals: BTreeSet<Ticket>,
    starts: u32,
    running: u64,
    /// Sum of the start times of what runs, in us.
    started_sum: u128,
    mean_us: u64,
    ended: u64,
}

impl TeamQueue {
    fn new() -> Self {
        Self {
            share: 1,
            classes: Default::default(),
            arrivals: BTreeSet::new(),
            starts: 0,
            running: 0,
            started_sum: 0,
            mean_us: 0,
            ended: 0,
        }
    }

    /// Virtual time; every start counts at least 1 us, so that ties end. A team that has
    /// run nothing yet is taken to run as long as the others do.
    fn virtual_time(&self, now_us: u64, pool_us: u64) -> u64 {
        let mean_us = if self.mean_us == 0 {
            pool_us
        } else {
            self.mean_us
        };
        let expected = self.running * mean_us.max(1);
        let elapsed = u128::from(self.running) * u128::from(now_us);
        let elapsed = u64::try_from(elapsed.saturating_sub(self.started_sum)).unwrap_or(u64::MAX);
        self.ended + self.scaled(expected.max(elapsed))
    }

    fn scaled(&self, slot_us: u64) -> u64 {
        slot_us.saturating_mul(SCALE) / self.share
    }

    fn raise(&mut self, floor: u64, now_us: u64, pool_us: u64) {
        let lag = floor.saturating_sub(self.virtual_time(now_us, pool_us));
        self.ended += lag;
    }

    fn next(&self, waiting: &IndexMap<Ticket, QueuedRequest>, now_us: u64) -> Option<Ticket> {
        let oldest = *self.arrivals.first()?;
        let aged = waiting
            .get(&oldest)
            .is_some_and(|entry| now_us.saturating_sub(entry.arrived_us) >= AGED_US);
        if aged && self.starts % AGED_EVERY == AGED_EVERY - 1 {
            return Some(oldest);
        }
        let class = self.classes.iter().find(|class| !class.is_empty())?;
        class.first().map(|(_, ticket)| *ticket)
    }

    fn remove(&mut self, ticket: Ticket, entry: &QueuedRequest) {
        self.arrivals.remove(&ticket);
        self.classes[class_of(entry)].remove(&(entry.deadline_us, ticket));
    }

    /// Requests of the same or a greater urgency.
    fn ahead(&self, urgency: usize) -> usize {
        self.classes[..=urgency].iter().map(BTreeSet::len).sum()
    }
}

fn class_of(entry: &QueuedRequest) -> usize {
    usize::from(entry.urgency).min(URGENCIES - 1)
}

fn mean(mean_us: u64, run_us: u64) -> u64 {
    if mean_us == 0 {
        return run_us;
    }
    mean_us - mean_us / MEAN_WEIGHT + run_us / MEAN_WEIGHT
}

/// Fair queue of one pool.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    lanes: IndexMap<TeamId, TeamQueue>,
    waiting: IndexMap<Ticket, QueuedRequest>,
    next: u64,
    /// Virtual time of the last start.
    floor: u64,
    /// Mean run time of all teams.
    mean_us: u64,
}

impl FairQueue {
    /// Sets the weight of a team.
    pub(crate) fn set_share(&mut self, team: &TeamId, share: u32) {
        self.lane(team).share = u64::from(share.max(1));
    }

    /// The weight of a team.
    pub(crate) fn share(&self, team: &TeamId) -> u64 {
        self.lanes.get(team).map_or(1, |lane| lane.share)
    }

    /// The newest request of a team that passes `test` and has not aged; work that has
    /// waited long keeps its place.
    pub(crate) fn newest(
        &self,
        team: &TeamId,
        now_us: u64,
        test: impl Fn(Ticket, &QueuedRequest) -> bool,
    ) -> Option<Ticket> {
        let arrivals = self.lanes.get(team)?.arrivals.iter().rev();
        let young = arrivals
            .filter_map(|ticket| Some((*ticket, self.waiting.get(ticket)?)))
            .take_while(|(_, entry)| now_us.saturating_sub(entry.arrived_us) < AGED_US);
        let mut found = young.filter(|(ticket, entry)| test(*ticket, entry));
        found.next().map(|(ticket, _)| ticket)
    }

    /// Adds a request.
    pub(crate) fn push(&mut self, entry: QueuedRequest, now_us: u64) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let (floor, pool_us) = (self.floor, self.mean_us);
        let lane = self.lane(&entry.team);
        if lane.arrivals.is_empty() {
            lane.raise(floor, now_us, pool_us);
        }
        lane.arrivals.insert(ticket);
        lane.classes[class_of(&entry)].insert((entry.deadline_us, ticket));
        self.waiting.insert(ticket, entry);
        ticket
    }

    /// Least time until a new request could start if its team had all `slots`.
    pub(crate) fn least_wait_us(&self, team: &TeamId, urgency: u8, slots: u64) -> u64 {
        let Some(lane) = self.lanes.get(team) else {
            return 0;
        };
        let class = usize::from(urgency).min(URGENCIES - 1);
        let ahead = u64::try_from(lane.ahead(class)).unwrap_or(u64::MAX);
        ahead.saturating_mul(lane.mean_us) / slots.max(1)
    }

    /// Takes out the request that starts now; its team counts as running one more.
    pub(crate) fn pop(
        &mut self,
        now_us: u64,
        allowance: &impl ConcurrencyLimits,
    ) -> Option<(Ticket, QueuedRequest)> {
        let team = self.choose(now_us, allowance)?;
        let ticket = self.lanes[team].next(&self.waiting, now_us)?;
        let entry = self.waiting.swap_remove(&ticket)?;
        let lane = &mut self.lanes[team];
        lane.remove(ticket, &entry);
        lane.starts = lane.starts.wrapping_add(1);
        lane.running += 1;
        lane.started_sum += u128::from(now_us);
        Some((ticket, entry))
    }

    /// Takes a request out, in O(log n); `None` when it waits no longer.
    pub(crate) fn cancel(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let entry = self.waiting.swap_remove(&ticket)?;
        if let Some(lane) = self.lanes.get_mut(&entry.team) {
            lane.remove(ticket, &entry);
        }
        Some(entry)
    }

    /// Counts the end of a run that was popped at `started_us`.
    pub(crate) fn end(&mut self, team: &TeamId, started_us: u64, now_us: u64) {
        let Some(lane) = self.lanes.get_mut(team) else {
            return;
        };
        let run_us = now_us.saturating_sub(started_us);
        lane.running = lane.running.saturating_sub(1);
        lane.started_sum = lane.started_sum.saturating_sub(u128::from(started_us));
        lane.ended += lane.scaled(run_us.max(1));
        lane.mean_us = mean(lane.mean_us, run_us);
        self.mean_us = mean(self.mean_us, run_us);
    }

    /// Requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Waiting and running requests of each team.
    pub(crate) fn teams(&self) -> impl Iterator<Item = (&TeamId, usize, u64)> {
        self.lanes
            .iter()
            .map(|(team, lane)| (team, lane.arrivals.len(), lane.running))
    }

    /// Time that the oldest request has waited, in us.
    pub(crate) fn oldest_us(&self, now_us: u64) -> u64 {
        let firsts = self.lanes.values().filter_map(|lane| lane.arrivals.first());
        firsts
            .filter_map(|ticket| self.waiting.get(ticket))
            .map(|entry| now_us.saturating_sub(entry.arrived_us))
            .max()
            .unwrap_or(0)
    }

    /// Index of the waiting team with the least virtual time that may run more.
    fn choose(&mut self, now_us: u64, allowance: &impl ConcurrencyLimits) -> Option<usize> {
        let mut best: Option<(u64, usize)> = None;
        let mut blocked = Vec::new();
        for (i, (team, lane)) in self.lanes.iter().enumerate() {
            if lane.arrivals.is_empty() {
                continue;
            }
            if !allowance.room(team) {
                blocked.push(i);
                continue;
            }
            let time = lane.virtual_time(now_us, self.mean_us);
            if best.is_none_or(|(least, _)| time < least) {
                best = Some((time, i));
            }
        }
        let (time, team) = best?;
        self.floor = self.floor.max(time);
        // A team at its ceiling must not save up what it can't use.
        for i in blocked {
            self.lanes[i].raise(time, now_us, self.mean_us);
        }
        Some(team)
    }

    fn lane(&mut self, team: &TeamId) -> &mut TeamQueue {
        self.lanes
            .entry(team.clone())
            .or_insert_with(TeamQueue::new)
    }
}
