//! One team's part in this process: demand, and transfers on their way.

use std::time::{Duration, Instant};

use crate::id::{Offset, RecordId};
use crate::ledger::{Allotment, AllotmentHolder};

/// Time over which the highest demand counts, in ms.
const PEAK_WINDOW_MS: u64 = 400;

/// Time for which this process leaves the reserve to another holder that has asked for
/// more, in ms; longer than its next look takes.
const YIELD_AFTER_DEMAND_MS: u64 = 250;

/// Waits between two unmet demands of this process, in ms; they double.
const MIN_RETRY_DELAY_MS: u64 = 500;
const MAX_RETRY_DELAY_MS: u64 = 16_000;

/// Part of the demand that is held in addition, so that a small rise needs no transfer.
const HEADROOM_DIVISOR: u32 = 4;

/// Part of the ceiling, over all members, that idle members keep while others want it.
const IDLE_SHARE_DIVISOR: u32 = 20;

/// Part of what is held that is too small to be given back unasked.
const MIN_RETURN_DIVISOR: u32 = 8;

/// What a decision depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct TeamQuota {
    pub(super) ceiling: u32,
    pub(super) members: u32,
    pub(super) held: u32,
    pub(super) reserve: u32,
}

impl TeamQuota {
    /// Even part of each member, with one for jobs.
    fn even_share(&self) -> u32 {
        self.ceiling / (self.members + 1)
    }

    /// Part that an idle member keeps while others want more.
    fn idle_share(&self) -> u32 {
        self.ceiling / (IDLE_SHARE_DIVISOR * self.members.max(1))
    }
}

#[derive(Debug)]
pub(super) struct TeamAccount {
    running: u32,
    /// Highest demand of this and the last span; `None` until it is reported.
    peaks: Option<[u32; 2]>,
    window_start: Instant,
    pending_return: Option<PendingReturn>,
    pending_take: Option<PendingTransfer>,
    seen_refusals: u64,
    /// When another holder was last seen to ask for more.
    others_unmet_at: Option<Instant>,
    /// True until that has been answered by giving what can be given.
    response_due: bool,
    last_unmet_request: Option<Instant>,
    retry_delay: Duration,
}

/// A part on its way back to the reserve.
#[derive(Debug)]
pub(super) struct PendingReturn {
    pub(super) amount: u32,
    /// Version of the limits that leaves it out.
    pub(super) version: u64,
    pub(super) running: u32,
    pub(super) transfer: Option<PendingTransfer>,
}

/// A proposed transfer without a verdict.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingTransfer {
    pub(super) id: RecordId,
    pub(super) proposed_at: Offset,
}

impl TeamAccount {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            running: 0,
            peaks: None,
            window_start: now,
            pending_return: None,
            pending_take: None,
            seen_refusals: 0,
            others_unmet_at: None,
            response_due: false,
            last_unmet_request: None,
            retry_delay: Duration::from_millis(MIN_RETRY_DELAY_MS),
        }
    }

    pub(super) fn record_demand(&mut self, running: u32, waiting: u32, now: Instant) {
        self.running = running;
        if let Some(pending_return) = &mut self.pending_return {
            pending_return.running = running;
        }
        let [mut newest, mut last] = self.peaks.unwrap_or_default();
        if now.saturating_duration_since(self.window_start) >= Duration::from_millis(PEAK_WINDOW_MS)
        {
            (newest, last) = (0, newest);
            self.window_start = now;
        }
        let demand = running.saturating_add(waiting);
        if demand > newest.max(last) {
            self.retry_delay = Duration::from_millis(MIN_RETRY_DELAY_MS);
        }
        newest = newest.max(demand);
        self.peaks = Some([newest, last]);
    }

    /// Notes whether another holder has asked for more since the last look.
    pub(super) fn record_unmet_demand(
        &mut self,
        allotment: &Allotment,
        own: &AllotmentHolder,
        now: Instant,
    ) {
        let Some(unmet_demand) = &allotment.unmet_demand else {
            return;
        };
        if unmet_demand.refusals != self.seen_refusals {
            self.seen_refusals = unmet_demand.refusals;
            if unmet_demand.holder != *own {
                self.others_unmet_at = Some(now);
                self.response_due = true;
            }
        }
    }

    /// What to ask for, if anything; more than the reserve only to make the demand known.
    pub(super) fn amount_to_request(
        &mut self,
        quota: &TeamQuota,
        allotment: &Allotment,
        now: Instant,
    ) -> Option<u32> {
        let target = self.wanted_share(quota);
        let yields_to_others =
            self.wanted_by_others(now) && quota.held >= fair_share(quota, allotment);
        if self.pending_take.is_some() || target <= quota.held || yields_to_others {
            return None;
        }
        if quota.reserve > 0 {
            self.retry_delay = Duration::from_millis(MIN_RETRY_DELAY_MS);
            return Some((target - quota.held).min(quota.reserve));
        }
        let has_unmet_demand = self.peak_demand().is_some_and(|demand| demand > quota.held);
        let too_early = self
            .last_unmet_request
            .is_some_and(|at| now.saturating_duration_since(at) < self.retry_delay);
        if !has_unmet_demand || too_early {
            return None;
        }
        self.last_unmet_request = Some(now);
        self.retry_delay = (self.retry_delay * 2).min(Duration::from_millis(MAX_RETRY_DELAY_MS));
        Some(1)
    }

    /// Keeps what was to be given, if it is needed again and not yet proposed.
    pub(super) fn cancel_needless_return(&mut self, quota: &TeamQuota, now: Instant) {
        let unproposed = self
            .pending_return
            .as_ref()
            .is_some_and(|g| g.transfer.is_none());
        if unproposed && !self.wanted_by_others(now) && self.wanted_share(quota) >= quota.held {
            self.pending_return = None;
        }
    }

    /// What to give back, if anything.
    pub(super) fn amount_to_return(
        &mut self,
        quota: &TeamQuota,
        allotment: &Allotment,
    ) -> Option<u32> {
        if self.pending_take.is_some() {
            return None;
        }
        let wanted_share = self.wanted_share(quota);
        if std::mem::take(&mut self.response_due) {
            let target = wanted_share
                .min(fair_share(quota, allotment))
                .max(quota.idle_share());
            return quota
                .held
                .checked_sub(target)
                .filter(|surplus| *surplus > 0);
        }
        let surplus = quota
            .held
            .checked_sub(wanted_share.max(quota.even_share() / 2))?;
        (surplus >= (quota.held / MIN_RETURN_DIVISOR).max(1)).then_some(surplus)
    }

    /// The demand with some headroom; an even part until the demand is reported.
    fn wanted_share(&self, quota: &TeamQuota) -> u32 {
        match self.peak_demand() {
            None => quota.even_share(),
            Some(demand) => (demand + demand.div_ceil(HEADROOM_DIVISOR)).min(quota.ceiling),
        }
    }

    /// Highest demand of the last one to two spans.
    fn peak_demand(&self) -> Option<u32> {
        self.peaks.map(|[newest, last]| newest.max(last))
    }

    fn wanted_by_others(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(YIELD_AFTER_DEMAND_MS);
        self.others_unmet_at
            .is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    pub(super) const fn start_return(&mut self, amount: u32, version: u64) {
        self.pending_return = Some(PendingReturn {
            amount,
            version,
            running: self.running,
            transfer: None,
        });
    }

    pub(super) const fn pending_return_mut(&mut self) -> Option<&mut PendingReturn> {
        self.pending_return.as_mut()
    }

    /// Part of what is held that is no longer used.
    pub(super) fn returning_amount(&self) -> u32 {
        self.pending_return
            .as_ref()
            .map_or(0, |pending_return| pending_return.amount)
    }

    pub(super) const fn record_proposed(&mut self, id: RecordId, proposed_at: Offset) {
        let pending = Some(PendingTransfer { id, proposed_at });
        match &mut self.pending_return {
            Some(pending_return) => pending_return.transfer = pending,
            None => self.pending_take = pending,
        }
    }

    pub(super) fn pending_transfers(&self) -> Vec<PendingTransfer> {
        let returning = self
            .pending_return
            .as_ref()
            .and_then(|pending_return| pending_return.transfer);
        returning.into_iter().chain(self.pending_take).collect()
    }

    pub(super) fn settle(&mut self, id: RecordId, accepted: bool) {
        if self.pending_take.is_some_and(|pending| pending.id == id) {
            self.pending_take = None;
            if accepted {
                self.last_unmet_request = None;
            }
        }
        let proposed = self
            .pending_return
            .as_ref()
            .and_then(|pending_return| pending_return.transfer);
        if proposed.is_some_and(|pending| pending.id == id) {
            self.pending_return = None;
        }
    }
}

fn fair_share(quota: &TeamQuota, allotment: &Allotment) -> u32 {
    quota.ceiling / contenders(allotment).max(1)
}

/// Holders with a part, and one without that asks for it.
fn contenders(allotment: &Allotment) -> u32 {
    let holders = allotment
        .shares
        .keys()
        .filter(|h| **h != AllotmentHolder::Reserve);
    let requester = allotment
        .unmet_demand
        .as_ref()
        .map(|unmet_demand| &unmet_demand.holder);
    let newcomer = requester.is_some_and(|holder| allotment.share(holder) == 0);
    u32::try_from(holders.count()).unwrap_or(u32::MAX) + u32::from(newcomer)
}
