//! Decides when this process may claim the scheduler's role.

use super::{Holder, Millis};

/// A holder whose records stop for this long is taken for dead, in ms; three of its beats.
const HOLDER_TIMEOUT_MS: Millis = 1_000;

/// Further wait for each place in the order of candidates, so that they rarely race, in ms.
const RANK_DELAY_MS: Millis = 120;

/// What this process is to the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Another process holds the role, or nobody does.
    Follower,
    /// This process holds the role with this fencing token.
    Leader(u64),
}

/// Follows who holds the role.
#[derive(Debug)]
pub struct Election {
    member: String,
    incarnation: u64,
    rank: u64,
    /// When the holder was last heard of, or reading resumed after a pause.
    leader_seen_at: Millis,
    /// When the stream was last known to be read to its end.
    caught_up_at: Option<Millis>,
}

impl Election {
    /// A process that has read nothing yet; `rank` delays its claims.
    #[must_use]
    pub fn new(member: &str, incarnation: u64, rank: u64) -> Self {
        Self {
            member: member.to_owned(),
            incarnation,
            rank,
            leader_seen_at: 0,
            caught_up_at: None,
        }
    }

    /// A record of the holder was read.
    pub const fn leader_seen(&mut self, now: Millis) {
        self.leader_seen_at = now;
    }

    /// The stream was read to its end. After a pause in reading the holder gets its time
    /// again: its records may have had no way to the store either.
    pub fn caught_up(&mut self, now: Millis) {
        let paused = self
            .caught_up_at
            .is_none_or(|caught_up_at| now - caught_up_at > HOLDER_TIMEOUT_MS);
        if paused {
            self.leader_seen_at = now;
        }
        self.caught_up_at = Some(now);
    }

    /// True when this process should try to claim the role.
    #[must_use]
    pub fn should_claim(&self, holder: Option<&Holder>, now: Millis) -> bool {
        let Some(caught_up_at) = self.caught_up_at else {
            return false;
        };
        if now - caught_up_at > HOLDER_TIMEOUT_MS {
            return false;
        }
        match holder {
            None => now - self.leader_seen_at >= self.rank * RANK_DELAY_MS,
            Some(holder) if holder.released || self.is_own(holder) => {
                now - self.leader_seen_at >= self.rank * RANK_DELAY_MS / 2
            }
            Some(_) => now - self.leader_seen_at >= HOLDER_TIMEOUT_MS + self.rank * RANK_DELAY_MS,
        }
    }

    /// Time since the holder was last heard of, in ms.
    #[must_use]
    pub const fn silence_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.leader_seen_at)
    }

    /// A record that claims the role after `holder`.
    #[must_use]
    pub fn next_claim(&self, holder: Option<&Holder>) -> Holder {
        Holder {
            member: self.member.clone(),
            incarnation: self.incarnation,
            epoch: holder.map_or(1, |holder| holder.epoch + 1),
            released: false,
            batch: 0,
        }
    }

    /// True when `holder` is this process.
    #[must_use]
    pub fn is_own(&self, holder: &Holder) -> bool {
        holder.member == self.member && holder.incarnation == self.incarnation
    }
}
