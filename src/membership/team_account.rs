//! One team's demand in this process, its pending transfers and how much to transfer next.

use std::time::{Duration, Instant};

use crate::id::{Offset, RecordId};
use crate::ledger::{Allotment, AllotmentHolder};

/// Length of a window over which the highest demand is kept, in ms; the current and the
/// last window count.
const PEAK_WINDOW_MS: u64 = 400;

/// Time for which this process leaves the reserve to another holder whose transfer was
/// refused, in ms; longer than that holder takes to look again.
const YIELD_AFTER_DEMAND_MS: u64 = 250;

/// Delay before this process asks again while the reserve is empty, in ms; it doubles
/// from the first of these up to the second.
const MIN_RETRY_DELAY_MS: u64 = 500;
const MAX_RETRY_DELAY_MS: u64 = 16_000;

/// One part in this many of the demand is held in addition, so that a small rise needs no
/// transfer.
const HEADROOM_DIVISOR: u32 = 4;

/// Idle members together keep one part in this many of the ceiling while others want more.
const IDLE_SHARE_DIVISOR: u32 = 20;

/// Less than one part in this many of what is held is not returned unasked.
const MIN_RETURN_DIVISOR: u32 = 8;

/// Current division of a team's ceiling, as seen by this process.
#[derive(Clone, Copy, Debug)]
pub(super) struct TeamQuota {
    pub(super) ceiling: u32,
    /// Registered processes, this one included.
    pub(super) members: u32,
    /// Requests that this process may have running.
    pub(super) held: u32,
    /// Part of the ceiling that no holder uses.
    pub(super) reserve: u32,
}

impl TeamQuota {
    /// Share of each holder if members and jobs divided the ceiling evenly.
    fn even_share(&self) -> u32 {
        self.ceiling / (self.members + 1)
    }

    /// Share that an idle member keeps while others want more.
    fn idle_share(&self) -> u32 {
        self.ceiling / (IDLE_SHARE_DIVISOR * self.members.max(1))
    }
}

#[derive(Debug)]
pub(super) struct TeamAccount {
    running: u32,
    /// Highest demand of the current and the last window; `None` before the first report.
    peaks: Option<[u32; 2]>,
    window_start: Instant,
    pending_return: Option<PendingReturn>,
    pending_take: Option<PendingTransfer>,
    /// Refusals of the team when last looked at.
    seen_refusals: u64,
    /// When another holder was last seen to be refused a transfer.
    others_unmet_at: Option<Instant>,
    /// True until this process has returned what it can spare because of that.
    response_due: bool,
    /// When this process last asked an empty reserve; `None` again after a success.
    last_unmet_request: Option<Instant>,
    /// Time until it may ask an empty reserve again.
    retry_delay: Duration,
}

/// A part of the share that is being returned to the reserve.
#[derive(Debug)]
pub(super) struct PendingReturn {
    pub(super) amount: u32,
    /// First version of the limits that excludes the amount.
    pub(super) version: u64,
    /// Requests of the team that this process has running.
    pub(super) running: u32,
    /// `None` until the transfer is proposed.
    pub(super) transfer: Option<PendingTransfer>,
}

/// A proposed transfer that has no verdict yet.
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

    /// Records whether another holder was refused a transfer since the last call.
    pub(super) fn observe_unmet_demand(
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

    /// Amount to ask of the reserve, if any. Of an empty reserve it asks for 1, so that the
    /// refusal makes the demand known to the other holders.
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

    /// Cancels a return that is not yet proposed if the share is needed again.
    pub(super) fn cancel_needless_return(&mut self, quota: &TeamQuota, now: Instant) {
        let unproposed = self
            .pending_return
            .as_ref()
            .is_some_and(|g| g.transfer.is_none());
        if unproposed && !self.wanted_by_others(now) && self.wanted_share(quota) >= quota.held {
            self.pending_return = None;
        }
    }

    /// Amount to return, if any.
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

    /// The demand with some headroom; an even share before the first report.
    fn wanted_share(&self, quota: &TeamQuota) -> u32 {
        match self.peak_demand() {
            None => quota.even_share(),
            Some(demand) => (demand + demand.div_ceil(HEADROOM_DIVISOR)).min(quota.ceiling),
        }
    }

    /// Highest demand of the current and the last window; `None` before the first report.
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

    /// Amount of the share that is no longer used because it is being returned.
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

/// Number of holders with a share, and one more if the last refused one has none.
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
