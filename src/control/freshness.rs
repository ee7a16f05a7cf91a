//! How recently the accepted document was known to be the newest.

use std::time::{Duration, Instant};

use crate::id::Offset;

/// Tracks when the state was last known to include the head of the log.
///
/// Each answer counts from the time when its request was sent, so a slow answer makes the
/// head look older, never more recent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    verified: Option<Instant>,
    /// Highest head of the log that any process has reported.
    head: Offset,
}

impl Freshness {
    /// Latest time at which the head was known to be folded; `None` if it never was.
    #[must_use]
    pub const fn verified(&self) -> Option<Instant> {
        self.verified
    }

    /// Highest head of the log that this process or a peer has reported.
    #[must_use]
    pub const fn head(&self) -> Offset {
        self.head
    }

    /// Notes that the log reported `head` in answer to a read sent at `asked_at`; `folded` is
    /// the next offset that this process folds.
    pub fn note_read(&mut self, head: Offset, folded: Offset, asked_at: Instant) {
        self.head = self.head.max(head);
        if head == folded {
            self.verify(folded, asked_at);
        }
    }

    /// Notes that a peer knows the log up to `offset` and verified its head `age` ago.
    pub fn note_peer(
        &mut self,
        offset: Offset,
        age: Option<Duration>,
        folded: Offset,
        now: Instant,
    ) {
        self.head = self.head.max(offset);
        let at = age.and_then(|age| now.checked_sub(age));
        if let Some(at) = at.filter(|_| offset <= folded) {
            self.verify(folded, at);
        }
    }

    /// Notes that nobody could append at `asked_at`: the log said so itself, or no process
    /// of the fleet reaches it.
    ///
    /// This verifies nothing for a process that has never seen the head or knows of a later
    /// one.
    pub fn note_no_appends(&mut self, folded: Offset, asked_at: Instant) {
        if self.verified.is_some() {
            self.verify(folded, asked_at);
        }
    }

    fn verify(&mut self, folded: Offset, at: Instant) {
        if self.head <= folded {
            self.verified = self.verified.max(Some(at));
        }
    }
}
