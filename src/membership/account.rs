//! One team's part in this process: demand, and transfers on their way.

use std::time::{Duration, Instant};

use crate::id::{Offset, RecordId};
use crate::ledger::{Allotment, AllotmentHolder};

/// Time over which the highest demand counts, in ms.
const PEAK_MS: u64 = 400;

/// Time for which this process leaves the reserve to another holder that has asked for
/// more, in ms; longer than its next look takes.
const YIELD_MS: u64 = 250;

/// Waits between two unmet demands of this process, in ms; they double.
const FIRST_WAIT_MS: u64 = 500;
const MAX_WAIT_MS: u64 = 16_000;

/// Part of the demand that is held in addition, so that a small rise needs no transfer.
const HEADROOM_PARTS: u32 = 4;

/// Part of the ceiling, over all members, that idle members keep while others want it.
const KEPT_PARTS: u32 = 20;

/// Part of what is held that is too small to be given back unasked.
const IDLE_PARTS: u32 = 8;

/// What a decision depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    pub(super) ceiling: u32,
    pub(super) members: u32,
    pub(super) held: u32,
    pub(super) reserve: u32,
}

impl Size {
    /// Even part of each member, with one for jobs.
    fn even(&self) -> u32 {
        self.ceiling / (self.members + 1)
    }

    /// Part that an idle member keeps while others want more.
    fn kept(&self) -> u32 {
        self.ceiling / (KEPT_PARTS * self.members.max(1))
    }
}

#[derive(Debug)]
pub(super) struct Account {
    running: u32,
    /// Highest demand of this and the last span; `None` until it is reported.
    peaks: Option<[u32; 2]>,
    span: Instant,
    giving: Option<Giving>,
    taking: Option<Pending>,
    want_count: u64,
    /// When another holder was last seen to ask for more.
    wanted: Option<Instant>,
    /// True until that has been answered by giving what can be given.
    answering: bool,
    asked: Option<Instant>,
    wait: Duration,
}

/// A part on its way back to the reserve.
#[derive(Debug)]
pub(super) struct Giving {
    pub(super) amount: u32,
    /// Version of the limits that leaves it out.
    pub(super) version: u64,
    pub(super) running: u32,
    pub(super) record: Option<Pending>,
}

/// A proposed transfer without a verdict.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pending {
    pub(super) id: RecordId,
    pub(super) after: Offset,
}

impl Account {
    pub(super) const fn open(now: Instant) -> Self {
        Self {
            running: 0,
            peaks: None,
            span: now,
            giving: None,
            taking: None,
            want_count: 0,
            wanted: None,
            answering: false,
            asked: None,
            wait: Duration::from_millis(FIRST_WAIT_MS),
        }
    }

    pub(super) fn demand(&mut self, running: u32, waiting: u32, now: Instant) {
        self.running = running;
        if let Some(giving) = &mut self.giving {
            giving.running = running;
        }
        let [mut newest, mut last] = self.peaks.unwrap_or_default();
        if now.saturating_duration_since(self.span) >= Duration::from_millis(PEAK_MS) {
            (newest, last) = (0, newest);
            self.span = now;
        }
        let demand = running.saturating_add(waiting);
        if demand > newest.max(last) {
            self.wait = Duration::from_millis(FIRST_WAIT_MS);
        }
        newest = newest.max(demand);
        self.peaks = Some([newest, last]);
    }

    /// Notes whether another holder has asked for more since the last look.
    pub(super) fn note_want(&mut self, allotment: &Allotment, own: &AllotmentHolder, now: Instant) {
        let Some(want) = &allotment.unmet_demand else {
            return;
        };
        if want.refusals != self.want_count {
            self.want_count = want.refusals;
            if want.holder != *own {
                self.wanted = Some(now);
                self.answering = true;
            }
        }
    }

    /// What to ask for, if anything; more than the reserve only to make the demand known.
    pub(super) fn take(&mut self, size: &Size, allotment: &Allotment, now: Instant) -> Option<u32> {
        let target = self.need(size);
        let yields = self.is_wanted(now) && size.held >= fair(size, allotment);
        if self.taking.is_some() || target <= size.held || yields {
            return None;
        }
        if size.reserve > 0 {
            self.wait = Duration::from_millis(FIRST_WAIT_MS);
            return Some((target - size.held).min(size.reserve));
        }
        let hungry = self.demanded().is_some_and(|demand| demand > size.held);
        let early = self
            .asked
            .is_some_and(|at| now.saturating_duration_since(at) < self.wait);
        if !hungry || early {
            return None;
        }
        self.asked = Some(now);
        self.wait = (self.wait * 2).min(Duration::from_millis(MAX_WAIT_MS));
        Some(1)
    }

    /// Keeps what was to be given, if it is needed again and not yet proposed.
    pub(super) fn reconsider(&mut self, size: &Size, now: Instant) {
        let unproposed = self.giving.as_ref().is_some_and(|g| g.record.is_none());
        if unproposed && !self.is_wanted(now) && self.need(size) >= size.held {
            self.giving = None;
        }
    }

    /// What to give back, if anything.
    pub(super) fn surplus(&mut self, size: &Size, allotment: &Allotment) -> Option<u32> {
        if self.taking.is_some() {
            return None;
        }
        let need = self.need(size);
        if std::mem::take(&mut self.answering) {
            let target = need.min(fair(size, allotment)).max(size.kept());
            return size.held.checked_sub(target).filter(|surplus| *surplus > 0);
        }
        let surplus = size.held.checked_sub(need.max(size.even() / 2))?;
        (surplus >= (size.held / IDLE_PARTS).max(1)).then_some(surplus)
    }

    /// The demand with some headroom; an even part until the demand is reported.
    fn need(&self, size: &Size) -> u32 {
        match self.demanded() {
            None => size.even(),
            Some(demand) => (demand + demand.div_ceil(HEADROOM_PARTS)).min(size.ceiling),
        }
    }

    /// Highest demand of the last one to two spans.
    fn demanded(&self) -> Option<u32> {
        self.peaks.map(|[newest, last]| newest.max(last))
    }

    fn is_wanted(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(YIELD_MS);
        self.wanted
            .is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    pub(super) const fn give(&mut self, amount: u32, version: u64) {
        self.giving = Some(Giving {
            amount,
            version,
            running: self.running,
            record: None,
        });
    }

    pub(super) const fn giving_mut(&mut self) -> Option<&mut Giving> {
        self.giving.as_mut()
    }

    /// Part of what is held that is no longer used.
    pub(super) fn given(&self) -> u32 {
        self.giving.as_ref().map_or(0, |giving| giving.amount)
    }

    pub(super) const fn proposed(&mut self, id: RecordId, after: Offset) {
        let pending = Some(Pending { id, after });
        match &mut self.giving {
            Some(giving) => giving.record = pending,
            None => self.taking = pending,
        }
    }

    pub(super) fn pending(&self) -> Vec<Pending> {
        let giving = self.giving.as_ref().and_then(|giving| giving.record);
        giving.into_iter().chain(self.taking).collect()
    }

    pub(super) fn settle(&mut self, id: RecordId, accepted: bool) {
        if self.taking.is_some_and(|pending| pending.id == id) {
            self.taking = None;
            if accepted {
                self.asked = None;
            }
        }
        let given = self.giving.as_ref().and_then(|giving| giving.record);
        if given.is_some_and(|pending| pending.id == id) {
            self.giving = None;
        }
    }
}

fn fair(size: &Size, allotment: &Allotment) -> u32 {
    size.ceiling / contenders(allotment).max(1)
}

/// Holders with a part, and one without that asks for it.
fn contenders(allotment: &Allotment) -> u32 {
    let holders = allotment
        .shares
        .keys()
        .filter(|h| **h != AllotmentHolder::Reserve);
    let asks = allotment.unmet_demand.as_ref().map(|want| &want.holder);
    let newcomer = asks.is_some_and(|holder| allotment.share(holder) == 0);
    u32::try_from(holders.count()).unwrap_or(u32::MAX) + u32::from(newcomer)
}
