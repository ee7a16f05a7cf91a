//! A target's clock, and until when what runs there may go on.

use super::Millis;

/// Clocks of targets may run this much slow, in parts of a hundred.
const MAX_CLOCK_LAG_PERCENT: u64 = 2;

/// A reading of a target's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock_ms: u64,
    /// When it arrived here; the clock has moved on since it was read.
    received_at: Millis,
}

/// The lease of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lease {
    reading: Option<ClockReading>,
    /// Latest deadline that any order carried, by the target's clock.
    deadline: u64,
    /// Time here before which an earlier holder of the role may have extended it.
    inherited_until: Millis,
}

impl Lease {
    /// A lease that another process may have extended up to `blind`.
    pub(super) fn inherited(inherited_until: Millis) -> Self {
        Self {
            inherited_until,
            ..Self::default()
        }
    }

    /// The target's clock showed `clock` in an answer to a call sent at `sent`.
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

    /// The target has refused all earlier holders since it answered, so none of them can
    /// extend the lease any more; until then one may have, by up to `length_ms`.
    pub(super) fn take_over(&mut self, length_ms: u64) {
        if let Some(ClockReading { clock_ms, .. }) = self.reading {
            self.inherited_until = 0;
            self.deadline = self.deadline.max(clock_ms + length_ms);
        }
    }

    /// Deadline for an order sent now that holds for `length_ms`; `None` before the clock
    /// is known.
    pub(super) fn extend(&mut self, now: Millis, length_ms: u64) -> Option<u64> {
        let ClockReading {
            clock_ms,
            received_at,
        } = self.reading?;
        let deadline = clock_ms + now.saturating_sub(received_at) + length_ms;
        self.deadline = self.deadline.max(deadline);
        Some(self.deadline)
    }

    /// True once everything that ran under the lease has surely been ended.
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
