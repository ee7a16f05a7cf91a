//! Chooses a target for a task.

use std::cmp::Reverse;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::target::{Target, TargetId};
use super::{Capacity, Millis, Step, StepKey};

/// What a task of a step asks of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementRequest<'a> {
    pub(super) pool: &'a str,
    pub(super) key: StepKey,
    pub(super) step: &'a Step,
}

/// Targets whose free room is kept for a task that waits for more of it.
pub(super) type ReservedTargets = IndexSet<TargetId>;

/// The fullest target of the pool that has room, near the data where that matters:
/// filling targets one after the other leaves others empty, whose VMs can be parked.
pub(super) fn choose_target(
    targets: &IndexMap<TargetId, Target>,
    request: &PlacementRequest<'_>,
    reserved: &ReservedTargets,
    now: Millis,
) -> Option<TargetId> {
    let reservation = request.step.reservation();
    eligible_targets(targets, request, now)
        .filter(|(id, target)| {
            let room = target.used.fits(&reservation, &target.entry.capacity);
            room && !reserved.contains(*id)
        })
        .max_by_key(|(id, target)| {
            let near = target.entry.labels.contains(&request.step.data_rack);
            (
                near,
                placement_rank(targets, target, request),
                (*id).clone(),
            )
        })
        .map(|(id, _)| TargetId(Arc::clone(&id.0)))
}

/// The target that is likely to have room for the task first: the one with the least in
/// use, among those that could run it at all.
pub(super) fn target_to_reserve(
    targets: &IndexMap<TargetId, Target>,
    request: &PlacementRequest<'_>,
    reserved: &ReservedTargets,
    now: Millis,
) -> Option<TargetId> {
    let reservation = request.step.reservation();
    let nothing = Capacity::default();
    eligible_targets(targets, request, now)
        .filter(|(id, target)| {
            let ever = nothing.fits(&reservation, &target.entry.capacity);
            ever && !reserved.contains(*id)
        })
        .min_by_key(|(id, target)| (target.used.cpu, (*id).clone()))
        .map(|(id, _)| id.clone())
}

/// Targets that may run the task, whatever room they have.
fn eligible_targets<'a>(
    targets: &'a IndexMap<TargetId, Target>,
    request: &'a PlacementRequest<'_>,
    now: Millis,
) -> impl Iterator<Item = (&'a TargetId, &'a Target)> {
    targets.iter().filter(move |(_, target)| {
        *target.entry.pool == *request.pool
            && target.accepts_work(now)
            && has_label(&target.entry.labels, &request.step.required_label)
            && below_limit(target, request)
    })
}

/// Tasks that last share as few targets as they can, so that the VMs of others can be
/// moved; those of one step are kept in different racks where there is a choice.
fn placement_rank(
    targets: &IndexMap<TargetId, Target>,
    target: &Target,
    request: &PlacementRequest<'_>,
) -> (bool, Reverse<usize>, usize, u64) {
    if !request.step.long_running {
        return (true, Reverse(0), 0, target.used.cpu);
    }
    let rack = target.entry.rack();
    let neighbours = targets.values().filter(|other| other.entry.rack() == rack);
    let same_step = neighbours
        .map(|other| other.runs_of_step(request.key))
        .sum();
    let stays = !target.upkeep_due;
    (
        stays,
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
