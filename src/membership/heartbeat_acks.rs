//! Which members have lately heard this process.

use std::collections::VecDeque;
use std::time::Instant;

use indexmap::IndexMap;

use crate::id::MemberId;

/// Own beats whose times are remembered; one or two a second for longer than the fence.
const MAX_SENT: usize = 256;

/// Times of own beats, and the newest one that each member has shown to know.
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
    /// Notes when an own beat was made.
    pub(super) fn record_sent(&mut self, count: u64, sent_at: Instant) {
        self.sent.push_back(SentHeartbeat { count, sent_at });
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
    }

    /// `member` knows of the own beat `count`, so it lived when that was made.
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

    /// When the newest own beat was made that `member` is known to have heard.
    pub(super) fn newest_ack(&self, member: &MemberId) -> Option<Instant> {
        self.newest.get(member).copied()
    }
}
