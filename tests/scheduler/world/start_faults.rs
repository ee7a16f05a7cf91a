//! Targets that report as usual, but carry out no starts.

use amaranthwick::scheduler::{StartOutcome, TargetId};

use super::World;

/// How a target fails starts, of which it carries out none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartFault {
    /// It refuses them as overloaded or unavailable.
    Refused,
    /// It does not answer them.
    Unanswered,
}

impl StartFault {
    pub(super) const fn outcome(self) -> StartOutcome {
        match self {
            Self::Refused => StartOutcome::Unhealthy,
            Self::Unanswered => StartOutcome::Unknown,
        }
    }
}

impl World {
    /// Changes how the starts at some targets fail; `None` has them carried out.
    pub(crate) fn set_start_fault(&mut self, ids: &[TargetId], fault: Option<StartFault>) {
        for id in ids {
            if let Some(target) = self.targets.get_mut(id) {
                target.start_fault = fault;
            }
        }
    }
}
