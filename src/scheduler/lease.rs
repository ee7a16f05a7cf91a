//! A target's clock, and until when what runs there may go on.

use super::Millis;

/// Clocks of targets may run this much slow, in parts of a hundred.
const SLOW_PERCENT: u64 = 2;

/// A reading of a target's clock.
#[derive(Clone, Copy, Debug)]
struct Reading {
    clock: u64,
    /// When it arrived here; the clock has moved on since it was read.
    received: Millis,
}

/// The lease of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lease {
    reading: Option<Reading>,
    /// Latest deadline that any order carried, by the target's clock.
    until: u64,
    /// Time here before which an earlier holder of the role may have extended it.
    blind: Millis,
}

impl Lease {
    /// A lease that another process may have extended up to `blind`.
    pub(super) fn inherited(blind: Millis) -> Self {
        Self {
            blind,
            ..Self::default()
        }
    }

    /// The target's clock showed `clock` in an answer to a call sent at `sent`.
    pub(super) fn observe(&mut self, clock: u64, sent: Millis, received: Millis) {
        let newer = self.reading.is_none_or(|last| {
            sent >= last.received || clock > last.clock + received.saturating_sub(last.received)
        });
        if newer {
            self.reading = Some(Reading { clock, received });
        }
    }

    /// The target has refused all earlier holders since it answered, so none of them can
    /// extend the lease any more; until then one may have, by up to `length_ms`.
    pub(super) fn take_over(&mut self, length_ms: u64) {
        if let Some(Reading { clock, .. }) = self.reading {
            self.blind = 0;
            self.until = self.until.max(clock + length_ms);
        }
    }

    /// Deadline for an order sent now that holds for `length_ms`; `None` before the clock
    /// is known.
    pub(super) fn extend(&mut self, now: Millis, length_ms: u64) -> Option<u64> {
        let Reading { clock, received } = self.reading?;
        let until = clock + now.saturating_sub(received) + length_ms;
        self.until = self.until.max(until);
        Some(self.until)
    }

    /// True once everything that ran under the lease has surely been ended.
    pub(super) fn lapsed(&self, now: Millis) -> bool {
        if now < self.blind {
            return false;
        }
        let Some(Reading { clock, received }) = self.reading else {
            return true;
        };
        let elapsed = now.saturating_sub(received);
        let least = elapsed - elapsed * SLOW_PERCENT / 100;
        clock + least > self.until
    }
}
