//! Which members have lately heard this process.

use std::collections::VecDeque;
use std::time::Instant;

use indexmap::IndexMap;

use crate::id::MemberId;

/// Own beats whose times are remembered; one or two a second for longer than the fence.
const MAX_BEATS: usize = 256;

/// Times of own beats, and the newest one that each member has shown to know.
#[derive(Debug, Default)]
pub(super) struct Echoes {
    beats: VecDeque<Beat>,
    heard: IndexMap<MemberId, Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Beat {
    count: u64,
    at: Instant,
}

impl Echoes {
    /// Notes when an own beat was made.
    pub(super) fn made(&mut self, count: u64, at: Instant) {
        self.beats.push_back(Beat { count, at });
        if self.beats.len() > MAX_BEATS {
            self.beats.pop_front();
        }
    }

    /// `member` knows of the own beat `count`, so it lived when that was made.
    pub(super) fn hear(&mut self, member: &MemberId, count: u64) {
        let Some(beat) = self.beats.iter().find(|beat| beat.count == count) else {
            return;
        };
        let known = self.heard.entry(member.clone()).or_insert(beat.at);
        *known = (*known).max(beat.at);
    }

    /// When the newest own beat was made that `member` is known to have heard.
    pub(super) fn last(&self, member: &MemberId) -> Option<Instant> {
        self.heard.get(member).copied()
    }
}
