//! Decides which waiting request of a pool starts next, and on which target.
//!
//! A state machine without I/O. The caller passes the current time, in microseconds since
//! an arbitrary start.

use indexmap::IndexMap;

use super::balancer::{AttemptResult, Balancer, ChosenTarget, FailedTargets};
use super::fair_queue::{ConcurrencyLimits, FairQueue, QueuedRequest, Ticket};
use crate::id::{QueueId, TeamId};
use crate::outcome::Reason;
use crate::view::Target;

/// Factor by which waiting requests are multiplied before they are divided by the share.
const LOAD_SCALE: u64 = 1 << 16;

/// A request to be queued, with the bounds of its queue.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub(crate) queue: QueueId,
    pub(crate) request: QueuedRequest,
    /// Memory that the request takes while it waits.
    pub(crate) bytes: u64,
    /// Targets and racks of earlier failed attempts; they are chosen last.
    pub(crate) avoid: FailedTargets,
    /// Bounds of the queue that the request is for.
    pub(crate) bounds: Bounds,
}

/// Most requests and bytes that may wait in a queue in one data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) requests: u32,
    pub(crate) bytes: u64,
}

/// A request that starts now and the target on which a slot was taken for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) ticket: Ticket,
    pub(crate) team: TeamId,
    pub(crate) target: ChosenTarget,
    pub(crate) started_us: u64,
}

/// Waiting requests and bytes of one queue.
#[derive(Debug, Default)]
struct QueueUsage {
    requests: u32,
    bytes: u64,
    /// Number of waiting requests of each team.
    requests_by_team: IndexMap<TeamId, u32>,
}

/// A request that was queued, and the waiting request that was evicted for it, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Admission {
    pub(crate) ticket: Ticket,
    pub(crate) evicted: Option<Ticket>,
}

/// What the scheduler needs of a waiting request that [`FairQueue`] does not keep.
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
    usage_by_queue: IndexMap<QueueId, QueueUsage>,
    details: IndexMap<Ticket, RequestDetails>,
}

impl Scheduler {
    /// Replaces the targets by those of a newer view.
    pub(crate) fn update<'a>(&mut self, targets: impl IntoIterator<Item = &'a Target>) {
        self.balancer.update(targets);
    }

    /// Sets the share of a team, its weight in the division of slots and queue places.
    pub(crate) fn set_share(&mut self, team: &TeamId, share: u32) {
        self.queue.set_share(team, share);
    }

    /// Queues a request, or refuses it if no target takes requests, it can't start before its
    /// deadline or the queue is full.
    ///
    /// A full queue makes room for a team that uses less of it than its share: the team that
    /// has most requests waiting for its share loses its newest one. Within a team, a request
    /// replaces a less urgent one. Requests that have aged are not evicted.
    pub(crate) fn submit(
        &mut self,
        submission: Submission,
        now_us: u64,
    ) -> Result<Admission, Reason> {
        if !self.balancer.has_targets() {
            return Err(Reason::NoTarget);
        }
        let QueuedRequest {
            team,
            urgency,
            deadline_us,
            ..
        } = &submission.request;
        let slots = self.balancer.total_slots();
        let wait_us = self.queue.least_wait_us(team, *urgency, slots);
        if now_us + wait_us > *deadline_us {
            return Err(Reason::Deadline);
        }
        let evicted = self.make_room(&submission, now_us)?;
        let usage = self
            .usage_by_queue
            .entry(submission.queue.clone())
            .or_default();
        usage.requests += 1;
        usage.bytes += submission.bytes;
        *usage
            .requests_by_team
            .entry(submission.request.team.clone())
            .or_default() += 1;
        let details = RequestDetails {
            queue: submission.queue,
            team: submission.request.team.clone(),
            bytes: submission.bytes,
            avoid: submission.avoid,
        };
        let ticket = self.queue.push(submission.request, now_us);
        self.details.insert(ticket, details);
        Ok(Admission { ticket, evicted })
    }

    /// Evicts a request if the queue is full; `Ok(None)` if there was room.
    fn make_room(
        &mut self,
        submission: &Submission,
        now_us: u64,
    ) -> Result<Option<Ticket>, Reason> {
        let Some(usage) = self.usage_by_queue.get(&submission.queue) else {
            return fits(0, 0, submission)
                .then_some(None)
                .ok_or(Reason::QueueFull);
        };
        if fits(usage.requests, usage.bytes, submission) {
            return Ok(None);
        }
        let victim = self
            .newest_over_share(usage, submission, now_us)
            .or_else(|| self.newest_less_urgent(submission, now_us))
            .ok_or(Reason::QueueFull)?;
        let freed = self.details.get(&victim).map_or(0, |details| details.bytes);
        if !fits(usage.requests - 1, usage.bytes - freed, submission) {
            return Err(Reason::QueueFull);
        }
        self.cancel(victim);
        Ok(Some(victim))
    }

    /// The newest request of the team that has most requests in the queue for its share;
    /// `None` unless those are more than the new request's team would have for its share, or
    /// if all have aged.
    fn newest_over_share(
        &self,
        usage: &QueueUsage,
        submission: &Submission,
        now_us: u64,
    ) -> Option<Ticket> {
        let load = |team: &TeamId, count: u32| {
            let share = self.queue.share(team);
            u64::from(count) * LOAD_SCALE / share
        };
        let own_count = usage
            .requests_by_team
            .get(&submission.request.team)
            .copied()
            .unwrap_or(0);
        let own_load = load(&submission.request.team, own_count + 1);
        let loads = usage
            .requests_by_team
            .iter()
            .map(|(team, count)| (load(team, *count), team));
        let (highest_load, team) = loads.max_by_key(|(load, _)| *load)?;
        let test = |ticket, _: &QueuedRequest| self.is_in_queue(ticket, &submission.queue);
        (highest_load > own_load).then(|| self.queue.newest_matching(team, now_us, test))?
    }

    /// The newest request of the same team and queue that is less urgent than the new one.
    fn newest_less_urgent(&self, submission: &Submission, now_us: u64) -> Option<Ticket> {
        let QueuedRequest { team, urgency, .. } = &submission.request;
        self.queue.newest_matching(team, now_us, |ticket, request| {
            request.urgency > *urgency && self.is_in_queue(ticket, &submission.queue)
        })
    }

    fn is_in_queue(&self, ticket: Ticket, queue: &QueueId) -> bool {
        let details = self.details.get(&ticket);
        details.is_some_and(|details| details.queue == *queue)
    }

    /// Removes a waiting request; false if it no longer waits.
    pub(crate) fn cancel(&mut self, ticket: Ticket) -> bool {
        self.release_usage(ticket);
        self.queue.cancel(ticket).is_some()
    }

    /// Starts the next request; `None` if none may start or no target has a free slot.
    pub(crate) fn start(&mut self, now_us: u64, limits: &impl ConcurrencyLimits) -> Option<Grant> {
        if self.queue.len() == 0 || !self.balancer.has_free_slot(now_us) {
            return None;
        }
        let (ticket, request) = self.queue.pop(now_us, limits)?;
        let avoid = self.release_usage(ticket).unwrap_or_default();
        let target = self.balancer.acquire(&avoid, now_us)?;
        Some(Grant {
            ticket,
            team: request.team,
            target,
            started_us: now_us,
        })
    }

    /// Records the end of a run and returns its slot.
    pub(crate) fn finish(&mut self, grant: &Grant, result: AttemptResult, now_us: u64) {
        self.queue.record_end(&grant.team, grant.started_us, now_us);
        self.balancer.release(&grant.target.vm, result, now_us);
    }

    /// The queue, for the state dump.
    pub(crate) const fn queue(&self) -> &FairQueue {
        &self.queue
    }

    /// The targets, for the state dump.
    pub(crate) const fn balancer(&self) -> &Balancer {
        &self.balancer
    }

    /// Takes a waiting request out of the counts of its queue and returns the targets that it
    /// avoids.
    fn release_usage(&mut self, ticket: Ticket) -> Option<FailedTargets> {
        let details = self.details.swap_remove(&ticket)?;
        if let Some(usage) = self.usage_by_queue.get_mut(&details.queue) {
            usage.requests = usage.requests.saturating_sub(1);
            usage.bytes = usage.bytes.saturating_sub(details.bytes);
            if let Some(count) = usage.requests_by_team.get_mut(&details.team) {
                *count = count.saturating_sub(1);
            }
        }
        Some(details.avoid)
    }
}

/// True if the submission fits in a queue that holds `requests` and `bytes`.
const fn fits(requests: u32, bytes: u64, submission: &Submission) -> bool {
    requests < submission.bounds.requests && bytes + submission.bytes <= submission.bounds.bytes
}
