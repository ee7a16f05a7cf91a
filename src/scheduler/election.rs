//! Leader election: decides when this process should claim the leader role.
//!
//! A claim is a [`Holder`] record with the next fencing token.

use indexmap::IndexMap;

use super::{Holder, Millis, Predecessor};
use crate::http::UNACKNOWLEDGED_LIMIT_MS;

/// A holder that writes no record for this long is presumed dead, in ms. It is a little
/// more than three of the leader's heartbeats.
const HOLDER_TIMEOUT_MS: Millis = 1_000;

/// Added to the wait before a claim for each rank of the process, in ms, so that candidates
/// rarely claim at the same time.
const RANK_DELAY_MS: Millis = 120;

/// Time for which calls of a leader that has given the role up may still reach the machines of targets,
/// in ms. Its connections are given up after as long without acknowledgements. A target that carries
/// one out later gets no longer lease from it, unless it has restarted meanwhile.
const HANDOVER_MS: Millis = UNACKNOWLEDGED_LIMIT_MS as Millis;

/// Whether this process holds the leader role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Another process holds the leader role, or none does.
    Follower,
    /// This process holds the leader role, with this fencing token.
    Leader(u64),
}

/// Tracks how recently the holder of the leader role was active.
#[derive(Debug)]
pub struct Election {
    member: String,
    incarnation: u64,
    /// Number of steps of [`RANK_DELAY_MS`] by which this process's claims are delayed.
    rank: u64,
    /// When a record of the holder was last read, or reading resumed after a pause.
    leader_seen_at: Millis,
    /// When the stream was last read to its end; `None` before the first time.
    caught_up_at: Option<Millis>,
    /// Leaders that were replaced without having given the role up, by the names of their processes,
    /// with when that was last read. Such a leader may not know that it was replaced.
    replaced: IndexMap<String, Millis>,
    /// When the records were loaded, which don't tell of such leaders; `None` before that.
    loaded_at: Option<Millis>,
}

impl Election {
    /// Creates the state of a process that has not read the stream yet. The higher its
    /// `rank`, the longer it waits before a claim.
    #[must_use]
    pub fn new(member: &str, incarnation: u64, rank: u64) -> Self {
        Self {
            member: member.to_owned(),
            incarnation,
            rank,
            leader_seen_at: 0,
            caught_up_at: None,
            replaced: IndexMap::new(),
            loaded_at: None,
        }
    }

    /// Notes that a record of `holder` was read at `now`; `before` is the holder of the record
    /// before it.
    pub fn holder_read(&mut self, before: Option<&Holder>, holder: &Holder, now: Millis) {
        let active = before.filter(|before| before.epoch < holder.epoch && !before.released);
        if let Some(replaced) = active.filter(|_| !holder.released) {
            self.replaced.insert(replaced.member.clone(), now);
        }
    }

    /// Notes that the records were loaded at `now`: earlier holders are not known.
    pub const fn records_loaded(&mut self, now: Millis) {
        self.loaded_at = Some(now);
    }

    /// Time from `now` in which earlier leaders than one that claims the role after `holder` may
    /// still extend leases, in ms. A leader that has not given the role up goes on until it has
    /// stored nothing for `step_down_after_ms`.
    #[must_use]
    pub fn earlier_extend_ms(
        &self,
        holder: Option<&Holder>,
        now: Millis,
        step_down_after_ms: Millis,
    ) -> Millis {
        if holder.is_some_and(|holder| !holder.released) {
            return step_down_after_ms;
        }
        let replaced_at = self.replaced.values().max().copied();
        let replaced_at = replaced_at.max(self.loaded_at);
        let stepped_down_at = replaced_at.map_or(0, |at| at + step_down_after_ms);
        let released_at = self.leader_seen_at + HANDOVER_MS;
        stepped_down_at.max(released_at).saturating_sub(now)
    }

    /// The earlier leaders than one that claims the role after `holder` that may not know that they
    /// were replaced. `members` are the names of all processes: any of them may have led before the
    /// records were loaded.
    pub fn predecessors<'a>(
        &'a self,
        holder: Option<&'a Holder>,
        members: impl Iterator<Item = &'a str>,
        now: Millis,
        step_down_after_ms: Millis,
    ) -> Vec<Predecessor> {
        let mut replaced_at: IndexMap<&str, Millis> = IndexMap::new();
        if let Some(loaded_at) = self.loaded_at {
            replaced_at.extend(members.map(|member| (member, loaded_at)));
        }
        for (member, at) in &self.replaced {
            let latest = replaced_at.entry(member).or_default();
            *latest = (*latest).max(*at);
        }
        if let Some(holder) = holder.filter(|holder| !holder.released) {
            replaced_at.insert(&holder.member, now);
        }
        let others = replaced_at.into_iter();
        let others = others.filter(|(member, _)| *member != self.member);
        let predecessors = others.map(|(member, at)| Predecessor {
            member: member.to_owned(),
            extend_ms: (at + step_down_after_ms).saturating_sub(now),
        });
        predecessors
            .filter(|predecessor| predecessor.extend_ms > 0)
            .collect()
    }

    /// Notes that a record written by the holder was read at `now`.
    pub const fn leader_seen(&mut self, now: Millis) {
        self.leader_seen_at = now;
    }

    /// Notes that the stream was read to its end. After a pause in reading, the holder's
    /// timeout starts anew, because the holder may have been unable to reach the store too.
    pub fn caught_up(&mut self, now: Millis) {
        let paused = self
            .caught_up_at
            .is_none_or(|caught_up_at| now - caught_up_at > HOLDER_TIMEOUT_MS);
        if paused {
            self.leader_seen_at = now;
        }
        self.caught_up_at = Some(now);
    }

    /// Returns whether this process should try to claim the leader role. It never does
    /// while it has not read the stream to its end within the holder's timeout.
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

    /// Time since a record of the holder was last read, in ms.
    #[must_use]
    pub const fn silence_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.leader_seen_at)
    }

    /// Time from the last sign of an earlier leader than one that claims the role after `holder` until
    /// `now`, in ms; `None` if there was none.
    #[must_use]
    pub fn earlier_silence_ms(&self, holder: Option<&Holder>, now: Millis) -> Option<Millis> {
        holder.map(|_| self.silence_ms(now))
    }

    /// The record that claims the leader role after `holder`, with the next fencing token.
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

    /// Returns whether `holder` is this process in its current incarnation.
    #[must_use]
    pub fn is_own(&self, holder: &Holder) -> bool {
        holder.member == self.member && holder.incarnation == self.incarnation
    }
}
