//! Decides which waiting request of a pool starts next, and on which target.
//!
//! A state machine without I/O; times are in microseconds since an arbitrary start.

use indexmap::IndexMap;

use super::balancer::{Avoid, Balancer, Choice, Health};
use super::queue::{Allowance, FairQueue, Ticket, Waiting};
use crate::id::{QueueId, TeamId};
use crate::outcome::Reason;
use crate::view::Target;

/// A request to be queued.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) queue: QueueId,
    pub(crate) waiting: Waiting,
    pub(crate) bytes: u64,
    pub(crate) avoid: Avoid,
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
    pub(crate) choice: Choice,
    pub(crate) started_us: u64,
}

#[derive(Debug, Default)]
struct Held {
    requests: u32,
    bytes: u64,
}

#[derive(Debug)]
struct Kept {
    queue: QueueId,
    bytes: u64,
    avoid: Avoid,
}

/// Waiting requests and targets of one pool in one data centre.
#[derive(Debug, Default)]
pub(crate) struct Scheduler {
    queue: FairQueue,
    balancer: Balancer,
    held: IndexMap<QueueId, Held>,
    kept: IndexMap<Ticket, Kept>,
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
    pub(crate) fn submit(&mut self, entry: Entry, now_us: u64) -> Result<Ticket, Reason> {
        if !self.balancer.any() {
            return Err(Reason::NoTarget);
        }
        let Waiting {
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
        let held = self.held.entry(entry.queue.clone()).or_default();
        let full =
            held.requests >= entry.bounds.requests || held.bytes + entry.bytes > entry.bounds.bytes;
        if full {
            return Err(Reason::QueueFull);
        }
        held.requests += 1;
        held.bytes += entry.bytes;
        let ticket = self.queue.push(entry.waiting, now_us);
        let kept = Kept {
            queue: entry.queue,
            bytes: entry.bytes,
            avoid: entry.avoid,
        };
        self.kept.insert(ticket, kept);
        Ok(ticket)
    }

    /// Takes a request out; false when it waits no longer.
    pub(crate) fn cancel(&mut self, ticket: Ticket) -> bool {
        self.forget(ticket);
        self.queue.cancel(ticket).is_some()
    }

    /// Starts the next request, if one waits that may run and a target has room.
    pub(crate) fn start(&mut self, now_us: u64, allowance: &impl Allowance) -> Option<Grant> {
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

    fn forget(&mut self, ticket: Ticket) -> Option<Avoid> {
        let kept = self.kept.swap_remove(&ticket)?;
        if let Some(held) = self.held.get_mut(&kept.queue) {
            held.requests = held.requests.saturating_sub(1);
            held.bytes = held.bytes.saturating_sub(kept.bytes);
        }
        Some(kept.avoid)
    }
}
