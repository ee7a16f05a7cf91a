//! Ceilings against what all pools can run.

use super::{OwnedPool, Parts};
use crate::document::TargetKind;
use crate::finding::Finding;

const MAX_NAMED_POOLS: usize = 3;

pub(super) fn check(parts: &Parts<'_>) -> Vec<Finding> {
    let slots = total(parts, TargetKind::Executor);
    let cores = total(parts, TargetKind::Worker);
    let most = slots + cores;
    let beyond = parts
        .teams
        .iter()
        .filter(|part| u64::from(part.team.ceiling) > most);
    let findings = beyond.map(|part| {
        let ceiling = part.team.ceiling;
        let pools = largest(parts);
        let message = format!(
            "ceiling {ceiling} is beyond the fleet: its pools run {most} at a time \
             ({slots} slots of executors, {cores} cores of workers){pools}"
        );
        part.site.finding(&["ceiling"], message)
    });
    findings.collect()
}

/// What all pools of one kind run at a time.
fn total(parts: &Parts<'_>, kind: TargetKind) -> u64 {
    let pools = parts.pools().filter(|pool| {
        let class = parts.class(pool);
        class.is_some_and(|class| class.kind == kind)
    });
    pools.map(|pool| runs(parts, &pool)).sum()
}

/// Requests or cores that a pool runs at a time; a spare pool runs none.
fn runs(parts: &Parts<'_>, pool: &OwnedPool<'_, '_>) -> u64 {
    if pool.spec.spare {
        return 0;
    }
    let each = parts.class(pool).map_or(0, |class| match class.kind {
        TargetKind::Executor => class.slots,
        TargetKind::Worker => class.cores,
    });
    pool.vms() * u64::from(each)
}

/// The pools that run most, with their places.
fn largest(parts: &Parts<'_>) -> String {
    let mut pools: Vec<OwnedPool<'_, '_>> = parts.pools().collect();
    pools.sort_by_key(|pool| std::cmp::Reverse(runs(parts, pool)));
    let named = pools.iter().take(MAX_NAMED_POOLS).map(|pool| {
        let runs = runs(parts, pool);
        format!("; `{}` runs {runs}, at {}", pool.id, pool.reference())
    });
    named.collect()
}
