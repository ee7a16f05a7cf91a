//! Which heartbeats of this process other members have acknowledged, by passing their
//! counts on in heartbeats of their own.

use std::collections::VecDeque;
use std::time::Instant;

use indexmap::IndexMap;

use crate::id::MemberId;

/// Own heartbeats whose times are kept; at one or two a second they span longer than
/// [`FENCE_AFTER_MS`](super::FENCE_AFTER_MS).
const MAX_SENT: usize = 256;

/// Times of own heartbeats, and the newest one that each member has acknowledged.
#[derive(Debug, Default)]
pub(super) struct HeartbeatAcks {
    sent: VecDeque<SentHeartbeat>,
    newest: IndexMap<MemberId, Instant>,
}

#[derive(Clone, Copy, Debug)]
struct SentHeartbeat {
    count: u64,
    sent_at: Instant,
}

impl HeartbeatAcks {
    /// Records when the own heartbeat `count` was made.
    pub(super) fn record_sent(&mut self, count: u64, sent_at: Instant) {
        self.sent.push_back(SentHeartbeat { count, sent_at });
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
    }

    /// Records that `member` knows the own heartbeat `count`, and so ran when it was made.
    pub(super) fn record_ack(&mut self, member: &MemberId, count: u64) {
        let Some(heartbeat) = self.sent.iter().find(|heartbeat| heartbeat.count == count) else {
            return;
        };
        let known = self
            .newest
            .entry(member.clone())
            .or_insert(heartbeat.sent_at);
        *known = (*known).max(heartbeat.sent_at);
    }

    /// When the newest own heartbeat was made that `member` has acknowledged.
    pub(super) fn newest_ack(&self, member: &MemberId) -> Option<Instant> {
        self.newest.get(member).copied()
    }
}
