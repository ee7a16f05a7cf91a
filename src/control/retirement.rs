//! Decides which silent member is taken out of the fold.

use std::time::{Duration, Instant};

use super::freshness::Freshness;
use crate::id::RecordId;
use crate::ledger::{Proposal, State};
use crate::membership::{RETIRE_MS, Roster, longest_run};

/// Age of the last verified head, in ms, up to which a process judges the silence of
/// others; while the log is away a new run of a member can't make itself known there.
const MAX_HEAD_AGE_MS: u64 = 5_000;

/// Proposes one retirement at a time.
#[derive(Debug, Default)]
pub(super) struct RetirementProposer {
    pending: Option<RecordId>,
}

impl RetirementProposer {
    /// The retirement to propose now, if any.
    pub(super) fn due_proposal(
        &self,
        state: &State,
        roster: &Roster,
        freshness: &Freshness,
        now: Instant,
    ) -> Option<Proposal> {
        let may_retire = is_head_recent(freshness, now) && roster.hears_most(now);
        if self.pending.is_some() || !may_retire {
            return None;
        }
        let silence = Duration::from_millis(RETIRE_MS) + longest_run(state);
        let id = roster.silent(silence, now).into_iter().next()?;
        let renewed = state.facts().members.get(&id)?.renewed;
        Some(Proposal::Retire { id, renewed })
    }

    pub(super) const fn note_proposed(&mut self, id: RecordId) {
        self.pending = Some(id);
    }

    /// Notes that a record has got its verdict, or will get none.
    pub(super) fn settle(&mut self, id: RecordId) {
        self.pending = self.pending.filter(|pending| *pending != id);
    }
}

/// True if the head of the log was verified lately.
fn is_head_recent(freshness: &Freshness, now: Instant) -> bool {
    let limit = Duration::from_millis(MAX_HEAD_AGE_MS);
    freshness
        .verified()
        .is_some_and(|at| now.saturating_duration_since(at) < limit)
}
