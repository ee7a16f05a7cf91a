//! Targets that carry out calls whose answers are lost.

use amaranthwick::scheduler::{Event, TargetId};
use indexmap::IndexMap;

use super::World;

/// Calls to a target whose answers are lost, although it carries them out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LostAnswers {
    Starts,
    Stops,
    All,
}

/// Targets whose answers are lost.
pub(super) type MutedTargets = IndexMap<TargetId, LostAnswers>;

impl World {
    /// The answers of a target to some calls are lost from now on.
    pub(crate) fn lose_answers(&mut self, id: &TargetId, lost: LostAnswers) {
        self.muted.insert(id.clone(), lost);
    }

    /// The answers of a target arrive again.
    pub(crate) fn regain_answers(&mut self, id: &TargetId) {
        self.muted.swap_remove(id);
    }

    /// Returns whether this answer of a target is lost.
    pub(super) fn is_muted(&self, answer: &Event) -> bool {
        let (id, kind) = match answer {
            Event::StartAnswered { target, .. } => (target, LostAnswers::Starts),
            Event::StopAnswered { target, .. } => (target, LostAnswers::Stops),
            Event::HoldAnswered { target, .. } => (target, LostAnswers::All),
            _ => return false,
        };
        let lost = self.muted.get(id);
        lost.is_some_and(|lost| *lost == kind || *lost == LostAnswers::All)
    }
}
