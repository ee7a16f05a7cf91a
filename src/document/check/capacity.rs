//! Checks that no team's ceiling exceeds the capacity of all pools together.

use super::{LocatedSections, OwnedPool};
use crate::document::TargetKind;
use crate::finding::Finding;

const MAX_LISTED_POOLS: usize = 3;

pub(super) fn check(sections: &LocatedSections<'_>) -> Vec<Finding> {
    let slots = total_capacity(sections, TargetKind::Executor);
    let cores = total_capacity(sections, TargetKind::Worker);
    let fleet_capacity = slots + cores;
    let over_capacity = sections
        .teams
        .iter()
        .filter(|team| u64::from(team.section.ceiling) > fleet_capacity);
    let findings = over_capacity.map(|team| {
        let ceiling = team.section.ceiling;
        let pools = describe_largest_pools(sections);
        let message = format!(
            "ceiling {ceiling} is beyond the fleet: its pools run {fleet_capacity} at a time \
             ({slots} slots of executors, {cores} cores of workers){pools}"
        );
        team.site.finding(&["ceiling"], message)
    });
    findings.collect()
}

/// Total capacity of all pools of one kind: slots of executors or cores of workers.
fn total_capacity(sections: &LocatedSections<'_>, kind: TargetKind) -> u64 {
    let pools = sections.pools().filter(|pool| {
        let class = sections.class(pool);
        class.is_some_and(|class| class.kind == kind)
    });
    pools.map(|pool| capacity(sections, &pool)).sum()
}

/// Capacity of a pool: slots of executors or cores of workers; 0 for a spare pool.
fn capacity(sections: &LocatedSections<'_>, pool: &OwnedPool<'_, '_>) -> u64 {
    if pool.spec.spare {
        return 0;
    }
    let per_vm = sections.class(pool).map_or(0, |class| match class.kind {
        TargetKind::Executor => class.slots,
        TargetKind::Worker => class.cores,
    });
    pool.vms() * u64::from(per_vm)
}

/// Lists the pools with the largest capacity, each with its place in the text.
fn describe_largest_pools(sections: &LocatedSections<'_>) -> String {
    let mut pools: Vec<OwnedPool<'_, '_>> = sections.pools().collect();
    pools.sort_by_key(|pool| std::cmp::Reverse(capacity(sections, pool)));
    let listed = pools.iter().take(MAX_LISTED_POOLS).map(|pool| {
        let capacity = capacity(sections, pool);
        format!("; `{}` runs {capacity}, at {}", pool.id, pool.reference())
    });
    listed.collect()
}
