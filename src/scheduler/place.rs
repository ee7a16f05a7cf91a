//! Chooses a target for a task.

use std::sync::Arc;

use indexmap::IndexMap;

use super::fleet::{Target, TargetId};
use super::{Millis, Step, StepKey};

/// What a task of a step asks of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask<'a> {
    pub(super) pool: &'a str,
    pub(super) key: StepKey,
    pub(super) step: &'a Step,
    /// Rack that the rest of a gang is on; empty for any.
    pub(super) rack: &'a str,
}

/// The fullest target of the pool that has room, near the data where that matters:
/// filling targets one after the other leaves others empty, whose VMs can be parked.
pub(super) fn choose(
    targets: &IndexMap<TargetId, Target>,
    ask: &Ask<'_>,
    now: Millis,
) -> Option<TargetId> {
    let takes = ask.step.takes();
    targets
        .iter()
        .filter(|(_, target)| {
            let entry = &target.entry;
            *entry.pool == *ask.pool
                && target.open(now)
                && target.used.fits(&takes, &entry.capacity)
                && has_label(&entry.labels, &ask.step.label)
                && (ask.rack.is_empty() || entry.rack() == ask.rack)
                && below_limit(target, ask)
        })
        .max_by_key(|(id, target)| {
            let near = target.entry.labels.contains(&ask.step.data_rack);
            (near, preference(target, ask), (*id).clone())
        })
        .map(|(id, _)| TargetId(Arc::clone(&id.0)))
}

/// Tasks that last are spread over the pool, so that a lost target costs a step little.
fn preference(target: &Target, ask: &Ask<'_>) -> u64 {
    if ask.step.lasting {
        u64::MAX - target.used.cpu - target.used.mem_mb
    } else {
        target.used.cpu
    }
}

fn has_label(labels: &[String], wanted: &str) -> bool {
    wanted.is_empty() || labels.iter().any(|label| label == wanted)
}

fn below_limit(target: &Target, ask: &Ask<'_>) -> bool {
    let limit = ask.step.per_target as usize;
    limit == 0 || target.of_step(ask.key) < limit
}
