//! Chooses the target that a task is placed on.

use std::cmp::Reverse;
use std::collections::HashMap;

use indexmap::{IndexMap, IndexSet};

use super::TargetId;
use super::target::Target;
use super::{Millis, Step, StepKey};

/// A request to place one task of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementRequest<'a> {
    /// Name of the pool whose targets are eligible.
    pub(super) pool: &'a str,
    pub(super) key: StepKey,
    pub(super) step: &'a Step,
    /// Whether the task is to be isolated as it starts up, because a target crashed soon after an
    /// earlier start of it.
    pub(super) suspect: bool,
}

/// Targets whose free capacity is reserved for a task that needs more than is free yet.
pub(super) type ReservedTargets = IndexSet<TargetId>;

/// Runs of a long-running step in each rack, over which its tasks are spread; none for others.
pub(super) struct RackRuns<'a>(HashMap<&'a str, usize>);

impl<'a> RackRuns<'a> {
    pub(super) fn new(
        targets: &'a IndexMap<TargetId, Target>,
        request: &PlacementRequest<'_>,
    ) -> Self {
        let mut runs = HashMap::new();
        if request.step.long_running && !request.suspect {
            for target in targets.values() {
                *runs.entry(target.entry.rack()).or_default() += target.runs_of_step(request.key);
            }
        }
        Self(runs)
    }

    fn get(&self, rack: &str) -> usize {
        self.0.get(rack).copied().unwrap_or_default()
    }
}

/// Chooses among the `targets` that have room one that is not slow after its start, then one that
/// is not being drained, then one in the rack of the step's data, and then the fullest. Filling one
/// target after the other leaves others empty, whose VMs can be moved to the standby pool.
pub(super) fn choose_target<'a>(
    targets: impl Iterator<Item = (&'a TargetId, &'a Target)>,
    runs: &RackRuns<'_>,
    request: &PlacementRequest<'_>,
    reserved: &ReservedTargets,
    now: Millis,
) -> Option<TargetId> {
    let step = request.step;
    let reservation = step.reservation();
    targets
        .filter(|(id, target)| {
            target.used.fits(&reservation, &target.entry.capacity)
                && may_run(target, request, now)
                && !reserved.contains(*id)
                && target.isolates(request.key.job, request.suspect, now)
        })
        .max_by_key(|(id, target)| {
            let near = !step.data_rack.is_empty() && target.entry.labels.contains(&step.data_rack);
            let warm = now >= target.cold_until;
            (
                warm,
                target.drain.is_none(),
                near,
                placement_rank(runs, target, request),
                *id,
            )
        })
        .map(|(id, _)| id.clone())
}

/// Chooses the target to reserve for a task that has no room yet: the one with the least CPU
/// in use, among those that could run the task beside their long-running ones. It is likely to
/// have room first.
pub(super) fn target_to_reserve(
    targets: &IndexMap<TargetId, Target>,
    request: &PlacementRequest<'_>,
    reserved: &ReservedTargets,
    now: Millis,
) -> Option<TargetId> {
    let reservation = request.step.reservation();
    eligible_targets(targets, request, now)
        .filter(|(id, target)| {
            let kept = target.long_running_used();
            let large_enough = kept.fits(&reservation, &target.entry.capacity);
            large_enough && !reserved.contains(*id)
        })
        .min_by_key(|(id, target)| (target.used.cpu, (*id).clone()))
        .map(|(id, _)| id.clone())
}

/// Targets that may run the task, whatever capacity they have free.
fn eligible_targets<'a>(
    targets: &'a IndexMap<TargetId, Target>,
    request: &'a PlacementRequest<'_>,
    now: Millis,
) -> impl Iterator<Item = (&'a TargetId, &'a Target)> {
    targets
        .iter()
        .filter(move |(_, target)| may_run(target, request, now))
}

/// Returns whether a target may run the task, whatever capacity it has free.
pub(super) fn may_run(target: &Target, request: &PlacementRequest<'_>, now: Millis) -> bool {
    *target.entry.pool == *request.pool
        && target.accepts_work(now)
        && has_label(&target.entry.labels, &request.step.required_label)
        && below_limit(target, request)
}

/// Rank of a target that has room; the highest is chosen. Suspect tasks go to the target with the
/// fewest runs, all of which a crash would end. Long-running tasks avoid targets with
/// maintenance ahead, spread those of one step over the racks, and else share as few targets as
/// they can, so that the VMs of the others can be moved. Other tasks go to the target with the
/// most CPU in use.
fn placement_rank(
    runs: &RackRuns<'_>,
    target: &Target,
    request: &PlacementRequest<'_>,
) -> (bool, Reverse<usize>, usize, u64) {
    if request.suspect {
        return (true, Reverse(target.runs.len()), 0, target.used.cpu);
    }
    if !request.step.long_running {
        return (true, Reverse(0), 0, target.used.cpu);
    }
    let same_step = runs.get(target.entry.rack());
    let no_upkeep = !target.upkeep_due;
    (
        no_upkeep,
        Reverse(same_step),
        target.long_running_runs(),
        target.used.cpu,
    )
}

fn has_label(labels: &[String], wanted: &str) -> bool {
    wanted.is_empty() || labels.iter().any(|label| label == wanted)
}

fn below_limit(target: &Target, request: &PlacementRequest<'_>) -> bool {
    let limit = request.step.max_per_target as usize;
    limit == 0 || target.runs_of_step(request.key) < limit
}
