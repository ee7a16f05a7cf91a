//! Checks that the budgets leave time to stop every VM once in a maintenance cycle.

use indexmap::IndexMap;

use super::{LocatedSections, OwnedPool};
use crate::finding::Finding;

const DAY_MS: u64 = 86_400_000;
// Time allowed for the reboot and check of a drained VM.
const RESTART_MS: u64 = 600_000;

pub(super) fn check(sections: &LocatedSections<'_>) -> Vec<Finding> {
    let mut findings = maintenance_cycle(sections);
    findings.extend(pools_with_one_vm(sections));
    findings
}

/// Checks that the cycle is long enough to stop every VM of a data centre once, at most
/// `budgets.vms` at a time.
fn maintenance_cycle(sections: &LocatedSections<'_>) -> Vec<Finding> {
    let fleet = sections.fleet;
    let budgets = &fleet.budgets;
    let cycle_ms = u64::from(budgets.cycle_days) * DAY_MS;
    let run_limits_ms = fleet.services.values().map(|service| service.run_limit_ms);
    let stop_ms = run_limits_ms.max().unwrap_or(0) + RESTART_MS;
    let mut findings = Vec::new();
    for (name, load) in load_per_data_centre(sections) {
        let rounds = load.vms.div_ceil(u64::from(budgets.vms));
        if rounds * stop_ms <= cycle_ms {
            continue;
        }
        let message = format!(
            "budget nobody can meet: {} VMs in `{name}`, {} at a time for {stop_ms} ms each, \
             take longer than {} days; the largest pool there is `{}` at {}",
            load.vms,
            budgets.vms,
            budgets.cycle_days,
            load.largest_pool.id,
            load.largest_pool.reference()
        );
        findings.push(
            sections
                .fleet_site
                .finding(&["budgets", "cycle_days"], message),
        );
    }
    findings
}

/// Number of VMs in a data centre and the pool with the most of them.
struct DataCentreLoad<'p, 't> {
    vms: u64,
    largest_pool: OwnedPool<'p, 't>,
}

fn load_per_data_centre<'p, 't>(
    sections: &'p LocatedSections<'t>,
) -> IndexMap<&'p str, DataCentreLoad<'p, 't>> {
    let mut loads: IndexMap<&str, DataCentreLoad<'_, '_>> = IndexMap::new();
    for pool in sections.pools() {
        for (name, vms) in &pool.spec.vms {
            let empty = DataCentreLoad {
                vms: 0,
                largest_pool: pool,
            };
            let load = loads.entry(name.as_str()).or_insert(empty);
            load.vms += u64::from(*vms);
            if load.largest_pool.spec.vms.get(name) < Some(vms) {
                load.largest_pool = pool;
            }
        }
    }
    loads
}

/// Finds pools with a single VM and no spare; that VM can be stopped only when a spare replaces it.
fn pools_with_one_vm(sections: &LocatedSections<'_>) -> Vec<Finding> {
    let pools = sections
        .pools()
        .filter(|pool| !pool.spec.spare && pool.vms() == 1 && !has_spare(sections, pool));
    let findings = pools.map(|pool| {
        let place = sections.fleet_site.reference(&["budgets", "cycle_days"]);
        let message = format!(
            "budget nobody can meet: the one VM of pool `{}` can't be stopped, there is no spare \
             of class `{}`, and `cycle_days` at {place} asks for it",
            pool.id, pool.spec.class
        );
        pool.finding("vms", message)
    });
    findings.collect()
}

fn has_spare(sections: &LocatedSections<'_>, pool: &OwnedPool<'_, '_>) -> bool {
    sections
        .pools()
        .any(|other| other.spec.spare && other.spec.class == pool.spec.class && other.vms() > 0)
}
