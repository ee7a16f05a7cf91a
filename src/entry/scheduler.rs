//! Decides which waiting request of a pool starts next, and on which target.
//!
//! A state machine without I/O; times are in microseconds since an arbitrary start.

use indexmap::IndexMap;

use super::balancer::{Balancer, ChosenTarget, FailedTargets, Health};
use super::fair_queue::{ConcurrencyLimits, FairQueue, QueuedRequest, Ticket};
use crate::id::{QueueId, TeamId};
use crate::outcome::Reason;
use crate::view::Target;

/// Precision of requests held a share.
const LOAD_SCALE: u64 = 1 << 16;

/// A request to be queued.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) queue: QueueId,
    pub(crate) waiting: QueuedRequest,
    pub(crate) bytes: u64,
    pub(crate) avoid: FailedTargets,
    /// Bounds of its queue.
    pub(crate) bounds: Bounds,
}

/// Bounds of a queue in one data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) requests: u32,
    pub(crate) bytes: u64,
}

/// A request that starts now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) ticket: Ticket,
    pub(crate) team: TeamId,
    pub(crate) choice: ChosenTarget,
    pub(crate) started_us: u64,
}

/// What waits in one queue.
#[derive(Debug, Default)]
struct QueueUsage {
    requests: u32,
    bytes: u64,
    /// Waiting requests of each team.
    teams: IndexMap<TeamId, u32>,
}

/// A request that was queued, and the one that lost its place to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Admitted {
    pub(crate) ticket: Ticket,
    pub(crate) evicted: Option<Ticket>,
}

#[derive(Debug)]
struct RequestDetails {
    queue: QueueId,
    team: TeamId,
    bytes: u64,
    avoid: FailedTargets,
}

/// Waiting requests and targets of one pool in one data centre.
#[derive(Debug, Default)]
pub(crate) struct Scheduler {
    queue: FairQueue,
    balancer: Balancer,
    held: IndexMap<QueueId, QueueUsage>,
    kept: IndexMap<Ticket, RequestDetails>,
}

impl Scheduler {
    /// Takes over the targets of a newer view.
    pub(crate) fn update<'a>(&mut self, targets: impl IntoIterator<Item = &'a Target>) {
        self.balancer.update(targets);
    }

    /// Sets the weight of a team.
    pub(crate) fn set_share(&mut self, team: &TeamId, share: u32) {
        self.queue.set_share(team, share);
    }

    /// Queues a request, or refuses what can't be served in time or space.
    ///
    /// A full queue makes room for a team that holds less of it than its share: the team
    /// that holds most for its share loses its newest request. Within a team, an urgent
    /// request takes the place of a less urgent one. What has waited long keeps its place.
    pub(crate) fn submit(&mut self, entry: Entry, now_us: u64) -> Result<Admitted, Reason> {
        if !self.balancer.any() {
            return Err(Reason::NoTarget);
        }
        let QueuedRequest {
            team,
            urgency,
            deadline_us,
            ..
        } = &entry.waiting;
        let slots = self.balancer.slots();
        let wait_us = self.queue.least_wait_us(team, *urgency, slots);
        if now_us + wait_us > *deadline_us {
            return Err(Reason::Deadline);
        }
        let evicted = self.make_room(&entry, now_us)?;
        let held = self.held.entry(entry.queue.clone()).or_default();
        held.requests += 1;
        held.bytes += entry.bytes;
        *held.teams.entry(entry.waiting.team.clone()).or_default() += 1;
        let kept = RequestDetails {
            queue: entry.queue,
            team: entry.waiting.team.clone(),
            bytes: entry.bytes,
            avoid: entry.avoid,
        };
        let ticket = self.queue.push(entry.waiting, now_us);
        self.kept.insert(ticket, kept);
        Ok(Admitted { ticket, evicted })
    }

    /// The request that had to go, if any.
    fn make_room(&mut self, entry: &Entry, now_us: u64) -> Result<Option<Ticket>, Reason> {
        let Some(held) = self.held.get(&entry.queue) else {
            return fits(0, 0, entry).then_some(None).ok_or(Reason::QueueFull);
        };
        if fits(held.requests, held.bytes, entry) {
            return Ok(None);
        }
        let victim = self
            .over_share(held, entry, now_us)
            .or_else(|| self.less_urgent(entry, now_us))
            .ok_or(Reason::QueueFull)?;
        let freed = self.kept.get(&victim).map_or(0, |kept| kept.bytes);
        if !fits(held.requests - 1, held.bytes - freed, entry) {
            return Err(Reason::QueueFull);
        }
        self.cancel(victim);
        Ok(Some(victim))
    }

    /// A request of the team that holds most of the queue for its share; `None` when that
    /// is not more than the new request's team would hold.
    fn over_share(&self, held: &QueueUsage, entry: &Entry, now_us: u64) -> Option<Ticket> {
        let load = |team: &TeamId, count: u32| {
            let share = self.queue.share(team);
            u64::from(count) * LOAD_SCALE / share
        };
        let own = held.teams.get(&entry.waiting.team).copied().unwrap_or(0);
        let own_load = load(&entry.waiting.team, own + 1);
        let loads = held.teams.iter().map(|(team, n)| (load(team, *n), team));
        let (most, team) = loads.max_by_key(|(load, _)| *load)?;
        let test = |ticket, _: &QueuedRequest| self.is_in(ticket, &entry.queue);
        (most > own_load).then(|| self.queue.newest(team, now_us, test))?
    }

    /// A request of the same team that is less urgent than the new one.
    fn less_urgent(&self, entry: &Entry, now_us: u64) -> Option<Ticket> {
        let QueuedRequest { team, urgency, .. } = &entry.waiting;
        self.queue.newest(team, now_us, |ticket, waiting| {
            waiting.urgency > *urgency && self.is_in(ticket, &entry.queue)
        })
    }

    fn is_in(&self, ticket: Ticket, queue: &QueueId) -> bool {
        let kept = self.kept.get(&ticket);
        kept.is_some_and(|kept| kept.queue == *queue)
    }

    /// Takes a request out; false when it waits no longer.
    pub(crate) fn cancel(&mut self, ticket: Ticket) -> bool {
        self.forget(ticket);
        self.queue.cancel(ticket).is_some()
    }

    /// Starts the next request, if one waits that may run and a target has room.
    pub(crate) fn start(
        &mut self,
        now_us: u64,
        allowance: &impl ConcurrencyLimits,
    ) -> Option<Grant> {
        if self.queue.len() == 0 || !self.balancer.has_room(now_us) {
            return None;
        }
        let (ticket, waiting) = self.queue.pop(now_us, allowance)?;
        let avoid = self.forget(ticket).unwrap_or_default();
        let choice = self.balancer.take(&avoid, now_us)?;
        Some(Grant {
            ticket,
            team: waiting.team,
            choice,
            started_us: now_us,
        })
    }

    /// Counts the end of a run.
    pub(crate) fn finish(&mut self, grant: &Grant, health: Health, now_us: u64) {
        self.queue.end(&grant.team, grant.started_us, now_us);
        self.balancer.release(&grant.choice.vm, health, now_us);
    }

    /// The queue, for the state dump.
    pub(crate) const fn queue(&self) -> &FairQueue {
        &self.queue
    }

    /// The targets, for the state dump.
    pub(crate) const fn balancer(&self) -> &Balancer {
        &self.balancer
    }

    fn forget(&mut self, ticket: Ticket) -> Option<FailedTargets> {
        let kept = self.kept.swap_remove(&ticket)?;
        if let Some(held) = self.held.get_mut(&kept.queue) {
            held.requests = held.requests.saturating_sub(1);
            held.bytes = held.bytes.saturating_sub(kept.bytes);
            if let Some(count) = held.teams.get_mut(&kept.team) {
                *count = count.saturating_sub(1);
            }
        }
        Some(kept.avoid)
    }
}

const fn fits(requests: u32, bytes: u64, entry: &Entry) -> bool {
    requests < entry.bounds.requests && bytes + entry.bytes <= entry.bounds.bytes
}
