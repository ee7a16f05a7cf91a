//! Names that must be defined elsewhere.

use indexmap::IndexMap;

use super::{OwnedPool, Parts, TeamPart};
use crate::document::{PoolSpec, QueueSpec, TargetKind};
use crate::finding::Finding;
use crate::id::QueueId;
use crate::jsonc::with_hint;

pub(super) fn check(parts: &Parts<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    services(parts, &mut findings);
    for part in &parts.teams {
        owner(parts, part, &mut findings);
        for (id, queue) in &part.team.queues {
            queue_pool(part, id, queue, &mut findings);
        }
    }
    for pool in parts.pools() {
        pool_class(parts, pool, &mut findings);
        pool_service(parts, pool, &mut findings);
        pool_data_centres(parts, pool, &mut findings);
    }
    findings
}

/// A service runs on a known class of executors.
fn services(parts: &Parts<'_>, findings: &mut Vec<Finding>) {
    let fleet = parts.fleet_value;
    for (id, service) in &fleet.services {
        let path = ["services", id.as_str(), "class"];
        match fleet.classes.get(&service.class) {
            None => {
                let message = unknown("class", service.class.as_str(), keys(&fleet.classes));
                findings.push(parts.fleet.finding(&path, message));
            }
            Some(class) if class.kind == TargetKind::Worker => {
                let place = parts
                    .fleet
                    .reference(&["classes", service.class.as_str(), "kind"]);
                let message = format!(
                    "service `{id}` needs executors, class `{}` is for workers at {place}",
                    service.class
                );
                findings.push(parts.fleet.finding(&path, message));
            }
            Some(_) => {}
        }
    }
}

/// A team is named in the fleet section before it has a section of its own.
fn owner(parts: &Parts<'_>, part: &TeamPart<'_>, findings: &mut Vec<Finding>) {
    if parts.fleet_value.owners.contains_key(part.id) {
        return;
    }
    let place = parts.fleet.reference(&["owners"]);
    let message = format!("team `{}` has no owner at {place}", part.id);
    findings.push(part.site.finding(&[], message));
}

/// A queue is served by a pool of its own section that runs a service.
fn queue_pool(part: &TeamPart<'_>, id: &QueueId, queue: &QueueSpec, findings: &mut Vec<Finding>) {
    let path = ["queues", id.as_str(), "pool"];
    let name = &queue.pool;
    let Some(pool) = part.team.pools.get(name) else {
        let known = keys(&part.team.pools);
        let message = unknown("pool", name.as_str(), known);
        let message = format!("{message}; a queue is served by a pool of its own section");
        findings.push(part.site.finding(&path, message));
        return;
    };
    if pool.service.is_none() || pool.spare {
        let place = part.site.reference(&["pools", name.as_str()]);
        let message =
            format!("queue `{id}` needs a pool that runs a service, see `{name}` at {place}");
        findings.push(part.site.finding(&path, message));
    }
}

fn pool_class(parts: &Parts<'_>, pool: OwnedPool<'_, '_>, findings: &mut Vec<Finding>) {
    let classes = &parts.fleet_value.classes;
    let class = &pool.spec.class;
    if !classes.contains_key(class) {
        let message = unknown("class", class.as_str(), keys(classes));
        findings.push(pool.finding("class", at(parts, &message, "classes")));
    }
}

/// A pool that serves has a service of its class; spares and workers have none.
fn pool_service(parts: &Parts<'_>, pool: OwnedPool<'_, '_>, findings: &mut Vec<Finding>) {
    let fleet = parts.fleet_value;
    let Some(name) = &pool.spec.service else {
        if needs_service(parts, pool.spec) {
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
        let message = unknown("service", name.as_str(), keys(&fleet.services));
        findings.push(pool.finding("service", at(parts, &message, "services")));
        return;
    };
    if service.class != pool.spec.class {
        let place = parts.fleet.reference(&["services", name.as_str(), "class"]);
        let message = format!(
            "service `{name}` runs on class `{}` at {place}, not on `{}`",
            service.class, pool.spec.class
        );
        findings.push(pool.finding("class", message));
    }
}

fn needs_service(parts: &Parts<'_>, pool: &PoolSpec) -> bool {
    let class = parts.fleet_value.classes.get(&pool.class);
    !pool.spare && class.is_some_and(|class| class.kind == TargetKind::Executor)
}

fn pool_data_centres(parts: &Parts<'_>, pool: OwnedPool<'_, '_>, findings: &mut Vec<Finding>) {
    let known = &parts.fleet_value.data_centres;
    for name in pool.spec.vms.keys() {
        if known.contains_key(name) {
            continue;
        }
        let message = unknown("data centre", name.as_str(), keys(known));
        let message = at(parts, &message, "data_centres");
        let path = ["pools", pool.id.as_str(), "vms", name.as_str()];
        findings.push(pool.part.site.finding(&path, message));
    }
}

/// Adds the place in the fleet section where the name should be.
fn at(parts: &Parts<'_>, message: &str, field: &str) -> String {
    let place = parts.fleet.reference(&[field]);
    format!("{message}; see `{field}` at {place}")
}

fn unknown<'k>(what: &str, name: &str, known: impl IntoIterator<Item = &'k str>) -> String {
    with_hint(&format!("unknown {what} `{name}`"), name, known)
}

fn keys<K: AsRef<str>, V>(map: &IndexMap<K, V>) -> impl Iterator<Item = &str> {
    map.keys().map(AsRef::as_ref)
}
