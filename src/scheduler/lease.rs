//! Leases of targets: until when, by a target's own clock, its runs may continue.

use super::Millis;

/// A target's clock may run slow by up to this much, in percent.
const MAX_CLOCK_LAG_PERCENT: u64 = 2;

/// Added to the length of a lease whose start is not known exactly, in percent: covers slow
/// clocks of targets and the time that calls take.
const LEASE_MARGIN_PERCENT: u64 = 5;

/// Adds to the length of a lease what the slow clock of a target and the time of a call may add.
pub(super) const fn with_lease_margin(length_ms: u64) -> u64 {
    length_ms + length_ms * LEASE_MARGIN_PERCENT / 100
}

/// Longest time that a lease of this length takes by the local clock, in ms.
pub(super) const fn with_clock_lag(length_ms: u64) -> u64 {
    length_ms + length_ms * MAX_CLOCK_LAG_PERCENT / (100 - MAX_CLOCK_LAG_PERCENT)
}

/// Which incarnation of a target has answered a call, by the clock in the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Responder {
    /// The one whose clock was read last.
    Known,
    /// A later one.
    Later,
    /// Either.
    Unclear,
}

/// A reading of a target's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    /// The target's time, in ms.
    clock_ms: u64,
    /// When the call was sent; the clock was read after that.
    sent_at: Millis,
    /// When the answer with the reading arrived here; the clock was read before that.
    received_at: Millis,
}

/// The lease of one incarnation of a target. When the lease expires, the target ends all
/// its runs.
///
/// Calls name only the target, and carry a deadline by the clock of the incarnation that is known.
/// The clock of a later one starts anew, so that such a call gives it the longest lease, whenever it is
/// carried out: the platform sets no limit to that. The target answers such a call to nobody, so the
/// leader assumes that the last one was carried out just before the target fell silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    /// Longest lease that the target accepts, in ms.
    longest_ms: u64,
    /// Latest reading of the target's clock; `None` before its first answer.
    reading: Option<ClockReading>,
    /// Latest deadline that a call to the target carried, in ms of the target's clock.
    deadline: u64,
    /// Latest deadline that a call to an earlier incarnation carried, in ms of the clock of that one;
    /// 0 if there was none.
    earlier_deadline: u64,
    /// Until this time on the local clock, a lease may hold that no reading of the clock tells of:
    /// one that an earlier leader gave, or a call that was meant for an earlier incarnation. 0 once
    /// the target has answered and refuses earlier leaders.
    inherited_until: Millis,
    /// Longest time for which such a lease holds after that answer, in ms.
    inherited_ms: u64,
    /// When the latest call with a deadline was sent; `None` before the first.
    called_at: Option<Millis>,
    /// Until this time on the local clock, a later incarnation may hold a lease from a call that was
    /// meant for this one.
    later_until: Millis,
}

impl Lease {
    /// The lease of an incarnation that accepts leases of up to `longest_ms`, and has none yet.
    pub(super) const fn new(longest_ms: u64) -> Self {
        Self {
            longest_ms,
            reading: None,
            deadline: 0,
            earlier_deadline: 0,
            inherited_until: 0,
            inherited_ms: 0,
            called_at: None,
            later_until: 0,
        }
    }

    /// The lease of the incarnation that follows the one with this lease.
    pub(super) fn next_incarnation(&self, now: Millis) -> Self {
        let mut next = Self::new(self.longest_ms);
        next.earlier_deadline = self.deadline.max(self.earlier_deadline);
        next.extend_restarted(now);
        next
    }

    /// Notes that the target has just failed to answer a call: until then it may have carried out calls
    /// that were meant for earlier incarnations.
    pub(super) fn note_silence(&mut self, now: Millis) {
        if let Some(reading) = self.reading {
            let clock_ms = reading.clock_ms + now.saturating_sub(reading.received_at);
            let extended = self.earlier_deadline.min(clock_ms + self.longest_ms);
            self.deadline = self.deadline.max(extended);
        }
    }

    /// Notes that the target may have an inherited lease, which holds until `until` on the local clock
    /// unless it answers, and then for up to `length_ms`.
    pub(super) fn extend_inherited(&mut self, until: Millis, length_ms: u64) {
        self.inherited_until = self.inherited_until.max(until);
        self.inherited_ms = self.inherited_ms.max(length_ms);
    }

    /// Notes that the target may have a lease from calls that were meant for an earlier incarnation,
    /// the last of them at `at`.
    pub(super) fn extend_restarted(&mut self, at: Millis) {
        let longest_ms = self.longest_ms;
        self.extend_inherited(at + with_lease_margin(longest_ms), longest_ms);
    }

    /// Which incarnation has answered a call that was sent at `sent_at`, with this time on the target's
    /// clock: the clock never goes back, and starts anew with each incarnation. Answers may overtake
    /// each other, so this one may have been given before the latest reading, but not before the call
    /// was sent. A later incarnation has started after the call that gave the latest reading was sent, and
    /// its clock counts from 0, and not faster than the local one.
    pub(super) fn responder(&self, clock_ms: u64, sent_at: Millis, now: Millis) -> Responder {
        let Some(last) = self.reading else {
            return Responder::Unclear;
        };
        let lead = last.received_at.saturating_sub(sent_at);
        if clock_ms.saturating_add(lead) < last.clock_ms {
            Responder::Later
        } else if clock_ms > now.saturating_sub(last.sent_at) {
            Responder::Known
        } else {
            Responder::Unclear
        }
    }

    /// Takes in a reading of the target's clock from the answer to a call sent at `sent_at`.
    /// Readings that are older than the latest one are ignored.
    pub(super) fn observe_clock(&mut self, clock_ms: u64, sent_at: Millis, received_at: Millis) {
        let newer = self.reading.is_none_or(|last| {
            sent_at >= last.received_at
                || clock_ms > last.clock_ms + received_at.saturating_sub(last.received_at)
        });
        if newer {
            self.reading = Some(ClockReading {
                clock_ms,
                sent_at,
                received_at,
            });
        }
    }

    /// Latest reading of the target's clock, in ms; `None` before its first answer.
    pub(super) fn clock_ms(&self) -> Option<u64> {
        self.reading.map(|reading| reading.clock_ms)
    }

    /// Called once the target has answered a call with this leader's fencing token: it has
    /// refused earlier leaders since, so none of them can extend the lease any more.
    pub(super) fn take_over(&mut self) {
        if let Some(ClockReading { clock_ms, .. }) = self.reading {
            self.inherited_until = 0;
            self.deadline = self.deadline.max(clock_ms + self.inherited_ms);
        }
    }

    /// Extends the lease to `length_ms` from `now` and returns the deadline by the target's clock for
    /// the call that is sent now; `None` before the clock is known. The call must not carry a later
    /// one that was only assumed, of which the next leader would not know.
    pub(super) fn extend(&mut self, now: Millis, length_ms: u64) -> Option<u64> {
        let ClockReading {
            clock_ms,
            received_at,
            ..
        } = self.reading?;
        let deadline = clock_ms + now.saturating_sub(received_at) + length_ms;
        self.deadline = self.deadline.max(deadline);
        self.called_at = Some(now);
        self.note_unproven_call(now);
        Some(deadline)
    }

    /// When the latest call with a deadline was sent; `None` before the first.
    pub(super) const fn called_at(&self) -> Option<Millis> {
        self.called_at
    }

    /// Notes that a later incarnation may have received the latest call with a deadline, if there was
    /// one, until `at`.
    pub(super) fn note_unproven_call(&mut self, at: Millis) {
        if self.called_at.is_some() {
            let until = at + with_lease_margin(self.longest_ms);
            self.later_until = self.later_until.max(until);
        }
    }

    /// Returns whether the lease has certainly expired, so that all runs under it have ended,
    /// even if the target's clock is slow.
    pub(super) fn lapsed(&self, now: Millis) -> bool {
        if now < self.inherited_until {
            return false;
        }
        let Some(ClockReading {
            clock_ms,
            received_at,
            ..
        }) = self.reading
        else {
            return true;
        };
        let elapsed = now.saturating_sub(received_at);
        let least_elapsed = elapsed - elapsed * MAX_CLOCK_LAG_PERCENT / 100;
        clock_ms + least_elapsed > self.deadline
    }

    /// Returns whether the lease of a later incarnation has certainly expired, too, if there is one.
    pub(super) const fn later_lapsed(&self, now: Millis) -> bool {
        now >= self.later_until
    }
}
