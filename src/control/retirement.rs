//! Decides when to propose that a silent member is removed from the membership.

use std::time::{Duration, Instant};

use super::freshness::Freshness;
use crate::id::RecordId;
use crate::ledger::{Proposal, State};
use crate::membership::{FailureDetector, RETIRE_AFTER_MS, max_request_duration};

/// Greatest age of the last verified head, in ms, at which a process may retire others.
///
/// While the log is unreachable, a new run of a member can't register there, so its silence
/// proves nothing.
const MAX_HEAD_AGE_MS: u64 = 5_000;

/// Proposes the retirement of silent members, one at a time.
#[derive(Debug, Default)]
pub(super) struct RetirementProposer {
    pending: Option<RecordId>,
}

impl RetirementProposer {
    /// Returns the retirement to propose now, if any.
    ///
    /// There is none unless this process follows the log and hears most members of its data
    /// centre. The silence must outlast the longest possible run of a request, because
    /// requests of the silent member may still be running.
    pub(super) fn due_proposal(
        &self,
        state: &State,
        failure_detector: &FailureDetector,
        freshness: &Freshness,
        now: Instant,
    ) -> Option<Proposal> {
        let may_retire = is_head_recent(freshness, now) && failure_detector.hears_majority(now);
        if self.pending.is_some() || !may_retire {
            return None;
        }
        let silence = Duration::from_millis(RETIRE_AFTER_MS) + max_request_duration(state);
        let id = failure_detector
            .silent_members(silence, now)
            .into_iter()
            .next()?;
        let registered_at = state.facts().members.get(&id)?.renewed_at;
        Some(Proposal::Retire { id, registered_at })
    }

    pub(super) const fn note_proposed(&mut self, id: RecordId) {
        self.pending = Some(id);
    }

    /// Notes that a record got its verdict or timed out.
    pub(super) fn settle(&mut self, id: RecordId) {
        self.pending = self.pending.filter(|pending| *pending != id);
    }
}

/// True if the head of the log was verified within the last [`MAX_HEAD_AGE_MS`].
fn is_head_recent(freshness: &Freshness, now: Instant) -> bool {
    let limit = Duration::from_millis(MAX_HEAD_AGE_MS);
    freshness
        .verified()
        .is_some_and(|at| now.saturating_duration_since(at) < limit)
}
