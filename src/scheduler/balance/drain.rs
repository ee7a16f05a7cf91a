//! Chooses the VMs that a pool drains because it holds more than it needs.

use crate::scheduler::TargetId;

/// A target whose VM could be drained: it has no long-running task, and its VM is not about to be
/// moved or maintained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DrainCandidate {
    pub(crate) target: TargetId,
    /// Number of its runs.
    pub(crate) runs: usize,
    /// Time until the last of them should end by its estimate, in ms.
    pub(crate) remaining_ms: u64,
    /// Whether its VM is being drained.
    pub(crate) draining: bool,
}

/// Chooses `surplus` targets of a pool to drain: first those without work, then those that are
/// being drained already, then those with the fewest and shortest runs. So what is being drained
/// stays so, and when the surplus shrinks, the VMs with the most work are taken back first.
pub(crate) fn choose_drained(
    mut candidates: Vec<DrainCandidate>,
    surplus: usize,
) -> Vec<DrainCandidate> {
    candidates.sort_by(|a, b| rank(a).cmp(&rank(b)));
    candidates.truncate(surplus);
    candidates
}

fn rank(candidate: &DrainCandidate) -> (bool, bool, usize, u64, &TargetId) {
    (
        candidate.runs > 0,
        !candidate.draining,
        candidate.runs,
        candidate.remaining_ms,
        &candidate.target,
    )
}
