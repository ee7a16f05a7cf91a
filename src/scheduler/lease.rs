//! Leases of targets: until when, by a target's own clock, its runs may continue.

use super::Millis;

/// A target's clock may run slow by up to this much, in percent.
const MAX_CLOCK_LAG_PERCENT: u64 = 2;

/// A reading of a target's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    /// The target's time, in ms.
    clock_ms: u64,
    /// When the answer with the reading arrived here; the clock was read before that.
    received_at: Millis,
}

/// The lease of one incarnation of a target. When the lease expires, the target ends all
/// its runs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lease {
    /// Latest reading of the target's clock; `None` before its first answer.
    reading: Option<ClockReading>,
    /// Latest deadline that a call to the target carried, in ms of the target's clock.
    deadline: u64,
    /// Until this time on the local clock, a lease may hold that no reading of the clock tells of:
    /// one that an earlier leader gave, or a call that was meant for an earlier incarnation. 0 once
    /// the target has answered and refuses earlier leaders.
    inherited_until: Millis,
    /// Longest time for which such a lease holds after that answer, in ms.
    inherited_ms: u64,
    /// When the latest call with a deadline was sent; `None` before the first.
    called_at: Option<Millis>,
}

impl Lease {
    /// A lease of up to `length_ms` that may hold until `inherited_until` on the local clock.
    pub(super) fn inherited(inherited_until: Millis, length_ms: u64) -> Self {
        Self {
            inherited_until,
            inherited_ms: length_ms,
            ..Self::default()
        }
    }

    /// Notes that the target may have the inherited lease `other`, too.
    pub(super) fn extend_inherited(&mut self, other: &Self) {
        self.inherited_until = self.inherited_until.max(other.inherited_until);
        self.inherited_ms = self.inherited_ms.max(other.inherited_ms);
    }

    /// Returns whether the answer to a call sent at `sent_at`, with this time on the target's clock,
    /// certainly came from a later incarnation: the clock never goes back, and starts anew with each
    /// incarnation. Answers may overtake each other, so this one may have been given before the
    /// latest reading, but not before the call was sent.
    pub(super) fn clock_restarted(&self, clock_ms: u64, sent_at: Millis) -> bool {
        self.reading.is_some_and(|last| {
            let lead = last.received_at.saturating_sub(sent_at);
            clock_ms.saturating_add(lead) < last.clock_ms
        })
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
        } = self.reading?;
        let deadline = clock_ms + now.saturating_sub(received_at) + length_ms;
        self.deadline = self.deadline.max(deadline);
        self.called_at = Some(now);
        Some(deadline)
    }

    /// When the latest call with a deadline was sent; `None` before the first.
    pub(super) const fn called_at(&self) -> Option<Millis> {
        self.called_at
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
        }) = self.reading
        else {
            return true;
        };
        let elapsed = now.saturating_sub(received_at);
        let least_elapsed = elapsed - elapsed * MAX_CLOCK_LAG_PERCENT / 100;
        clock_ms + least_elapsed > self.deadline
    }
}
