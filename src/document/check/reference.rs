//! Checks that names of classes, services, pools and data centres are defined and fit their use.

use indexmap::IndexMap;

use super::{LocatedSections, LocatedTeam, OwnedPool};
use crate::document::{PoolSpec, QueueSpec, TargetKind};
use crate::finding::Finding;
use crate::id::QueueId;
use crate::jsonc::with_hint;

pub(super) fn check(sections: &LocatedSections<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    service_classes(sections, &mut findings);
    for team in &sections.teams {
        team_owner(sections, team, &mut findings);
        for (id, queue) in &team.section.queues {
            queue_pool(team, id, queue, &mut findings);
        }
    }
    for pool in sections.pools() {
        pool_class(sections, pool, &mut findings);
        pool_service(sections, pool, &mut findings);
        pool_data_centres(sections, pool, &mut findings);
    }
    findings
}

/// Checks that every service runs on a known class of executors.
fn service_classes(sections: &LocatedSections<'_>, findings: &mut Vec<Finding>) {
    let fleet = sections.fleet;
    for (id, service) in &fleet.services {
        let path = ["services", id.as_str(), "class"];
        match fleet.classes.get(&service.class) {
            None => {
                let message =
                    unknown_name_message("class", service.class.as_str(), keys(&fleet.classes));
                findings.push(sections.fleet_site.finding(&path, message));
            }
            Some(class) if class.kind == TargetKind::Worker => {
                let place =
                    sections
                        .fleet_site
                        .reference(&["classes", service.class.as_str(), "kind"]);
                let message = format!(
                    "service `{id}` needs executors, class `{}` is for workers at {place}",
                    service.class
                );
                findings.push(sections.fleet_site.finding(&path, message));
            }
            Some(_) => {}
        }
    }
}

/// Checks that the fleet section names an owner for the team.
fn team_owner(sections: &LocatedSections<'_>, team: &LocatedTeam<'_>, findings: &mut Vec<Finding>) {
    if sections.fleet.owners.contains_key(team.id) {
        return;
    }
    let place = sections.fleet_site.reference(&["owners"]);
    let message = format!("team `{}` has no owner at {place}", team.id);
    findings.push(team.site.finding(&[], message));
}

/// Checks that the queue is served by a pool of its own section that runs a service.
fn queue_pool(
    team: &LocatedTeam<'_>,
    id: &QueueId,
    queue: &QueueSpec,
    findings: &mut Vec<Finding>,
) {
    let path = ["queues", id.as_str(), "pool"];
    let name = &queue.pool;
    let Some(pool) = team.section.pools.get(name) else {
        let known = keys(&team.section.pools);
        let message = unknown_name_message("pool", name.as_str(), known);
        let message = format!("{message}; a queue is served by a pool of its own section");
        findings.push(team.site.finding(&path, message));
        return;
    };
    if pool.service.is_none() || pool.spare {
        let place = team.site.reference(&["pools", name.as_str()]);
        let message =
            format!("queue `{id}` needs a pool that runs a service, see `{name}` at {place}");
        findings.push(team.site.finding(&path, message));
    }
}

fn pool_class(
    sections: &LocatedSections<'_>,
    pool: OwnedPool<'_, '_>,
    findings: &mut Vec<Finding>,
) {
    let classes = &sections.fleet.classes;
    let class = &pool.spec.class;
    if !classes.contains_key(class) {
        let message = unknown_name_message("class", class.as_str(), keys(classes));
        findings.push(pool.finding("class", with_fleet_place(sections, &message, "classes")));
    }
}

/// Checks that a pool of executors has a known service of its class, and that a spare pool has
/// none.
fn pool_service(
    sections: &LocatedSections<'_>,
    pool: OwnedPool<'_, '_>,
    findings: &mut Vec<Finding>,
) {
    let fleet = sections.fleet;
    let Some(name) = &pool.spec.service else {
        if needs_service(sections, pool.spec) {
            let message = format!("pool `{}` of executors needs a `service`", pool.id);
            findings.push(pool.finding("class", message));
        }
        return;
    };
    if pool.spec.spare {
        let message = format!("spare pool `{}` can't run a service", pool.id);
        findings.push(pool.finding("service", message));
    }
    let Some(service) = fleet.services.get(name) else {
        let message = unknown_name_message("service", name.as_str(), keys(&fleet.services));
        findings.push(pool.finding("service", with_fleet_place(sections, &message, "services")));
        return;
    };
    if service.class != pool.spec.class {
        let place = sections
            .fleet_site
            .reference(&["services", name.as_str(), "class"]);
        let message = format!(
            "service `{name}` runs on class `{}` at {place}, not on `{}`",
            service.class, pool.spec.class
        );
        findings.push(pool.finding("class", message));
    }
}

fn needs_service(sections: &LocatedSections<'_>, pool: &PoolSpec) -> bool {
    let class = sections.fleet.classes.get(&pool.class);
    !pool.spare && class.is_some_and(|class| class.kind == TargetKind::Executor)
}

fn pool_data_centres(
    sections: &LocatedSections<'_>,
    pool: OwnedPool<'_, '_>,
    findings: &mut Vec<Finding>,
) {
    let known = &sections.fleet.data_centres;
    for name in pool.spec.vms.keys() {
        if known.contains_key(name) {
            continue;
        }
        let message = unknown_name_message("data centre", name.as_str(), keys(known));
        let message = with_fleet_place(sections, &message, "data_centres");
        let path = ["pools", pool.id.as_str(), "vms", name.as_str()];
        findings.push(pool.team.site.finding(&path, message));
    }
}

/// Adds to `message` the place of `field` in the fleet section, where the name should be defined.
fn with_fleet_place(sections: &LocatedSections<'_>, message: &str, field: &str) -> String {
    let place = sections.fleet_site.reference(&[field]);
    format!("{message}; see `{field}` at {place}")
}

fn unknown_name_message<'k>(
    what: &str,
    name: &str,
    known: impl IntoIterator<Item = &'k str>,
) -> String {
    with_hint(&format!("unknown {what} `{name}`"), name, known)
}

fn keys<K: AsRef<str>, V>(map: &IndexMap<K, V>) -> impl Iterator<Item = &str> {
    map.keys().map(AsRef::as_ref)
}
