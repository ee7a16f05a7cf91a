//! Decides which silent member is taken out of the fold.

use std::time::{Duration, Instant};

use super::freshness::Freshness;
use crate::id::RecordId;
use crate::ledger::{Proposal, State};
use crate::membership::{FailureDetector, RETIRE_AFTER_MS, max_request_duration};

/// Age of the last verified head, in ms, up to which a process judges the silence of
/// others; while the log is away a new run of a member can't make itself known there.
const FOLLOWS_MS: u64 = 5_000;

/// Proposes one retirement at a time.
#[derive(Debug, Default)]
pub(super) struct Retirer {
    pending: Option<RecordId>,
}

impl Retirer {
    /// The retirement to propose now, if any.
    pub(super) fn wanted(
        &self,
        state: &State,
        roster: &FailureDetector,
        freshness: &Freshness,
        now: Instant,
    ) -> Option<Proposal> {
        let judges = follows(freshness, now) && roster.hears_majority(now);
        if self.pending.is_some() || !judges {
            return None;
        }
        let silence = Duration::from_millis(RETIRE_AFTER_MS) + max_request_duration(state);
        let id = roster.silent_members(silence, now).into_iter().next()?;
        let renewed = state.facts().members.get(&id)?.renewed_at;
        Some(Proposal::Retire {
            id,
            registered_at: renewed,
        })
    }

    pub(super) const fn proposed(&mut self, id: RecordId) {
        self.pending = Some(id);
    }

    /// Notes that a record has got its verdict, or will get none.
    pub(super) fn settle(&mut self, id: RecordId) {
        self.pending = self.pending.filter(|pending| *pending != id);
    }
}

/// True if the head of the log was verified lately.
fn follows(freshness: &Freshness, now: Instant) -> bool {
    let limit = Duration::from_millis(FOLLOWS_MS);
    freshness
        .verified()
        .is_some_and(|at| now.saturating_duration_since(at) < limit)
}
