//! Since when the accepted document is known to be the newest.

use std::time::{Duration, Instant};

use crate::id::Offset;

/// When the head of the log was last known to be folded.
///
/// Times are those at which a question was asked, so an answer that was long on
/// its way makes the knowledge older, never younger.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    verified: Option<Instant>,
    /// Highest head of the log that any process has reported.
    head: Offset,
}

impl Freshness {
    /// When the head was last known to be folded.
    #[must_use]
    pub const fn verified(&self) -> Option<Instant> {
        self.verified
    }

    /// Highest head of the log that is known.
    #[must_use]
    pub const fn head(&self) -> Offset {
        self.head
    }

    /// The log gave `head` to a question asked at `asked`.
    pub fn note_read(&mut self, head: Offset, folded: Offset, asked_at: Instant) {
        self.head = self.head.max(head);
        if head == folded {
            self.verify(folded, asked_at);
        }
    }

    /// Another process knows the log up to `offset` and verified its head `age` ago.
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

    /// Nobody can append: the log says so itself, or no process of the fleet reaches it.
    ///
    /// A process that has never seen the head, or knows of a later one, learns nothing.
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
