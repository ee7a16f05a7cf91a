//! Decodes the fleet section, which is common to all teams.

use std::ops::RangeInclusive;

use super::public_key;
use crate::document::{Budgets, Class, DataCentreSpec, FleetSection, Service, TargetKind};
use crate::id::ClassId;
use crate::jsonc::{Fields, Node};

const CORES: RangeInclusive<u64> = 1..=4_096;
const MEMORY_MB: RangeInclusive<u64> = 1..=67_108_864;
const ACCELERATORS: RangeInclusive<u64> = 0..=64;
const SLOTS: RangeInclusive<u64> = 1..=10_000;
const CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
const RUN_LIMIT_MS: RangeInclusive<u64> = 1..=3_600_000;
const POOL_PERCENT: RangeInclusive<u64> = 1..=90;
const RACKS: RangeInclusive<u64> = 1..=1_000;
const VMS: RangeInclusive<u64> = 1..=10_000;
const CYCLE_DAYS: RangeInclusive<u64> = 1..=366;

const FLEET_FIELDS: [&str; 6] = [
    "data_centres",
    "classes",
    "services",
    "budgets",
    "operators",
    "owners",
];
const CLASS_FIELDS: [&str; 6] = [
    "kind",
    "cores",
    "memory_mb",
    "accelerators",
    "slots",
    "connections",
];
const KIND_CHOICES: [(&str, TargetKind); 2] = [
    ("executor", TargetKind::Executor),
    ("worker", TargetKind::Worker),
];

pub(in crate::document) fn fleet(node: Node<'_>) -> Option<FleetSection> {
    let fields = node.fields(&FLEET_FIELDS)?;
    let data_centres = fields
        .required("data_centres")
        .and_then(|node| node.non_empty()?.map(data_centre));
    let classes = fields.required("classes").and_then(|node| node.map(class));
    let services = fields
        .required("services")
        .and_then(|node| node.map(service));
    let budgets = fields.required("budgets").and_then(budgets);
    let operators = fields
        .required("operators")
        .and_then(|node| node.non_empty()?.map(public_key));
    let owners = fields
        .required("owners")
        .and_then(|node| node.map(public_key));
    Some(FleetSection {
        data_centres: data_centres?,
        classes: classes?,
        services: services?,
        budgets: budgets?,
        operators: operators?,
        owners: owners?,
    })
}

fn data_centre(node: Node<'_>) -> Option<DataCentreSpec> {
    let fields = node.fields(&["region"])?;
    let region = fields.required("region")?.name()?.to_owned();
    Some(DataCentreSpec { region })
}

fn class(node: Node<'_>) -> Option<Class> {
    let fields = node.fields(&CLASS_FIELDS)?;
    let kind = fields
        .required("kind")
        .and_then(|n| n.choice(&KIND_CHOICES));
    let cores = fields.required("cores").and_then(|n| n.number(&CORES));
    let memory_mb = fields
        .required("memory_mb")
        .and_then(|n| n.number(&MEMORY_MB));
    let accelerators = fields.optional_or("accelerators", 0, |n| n.number(&ACCELERATORS));
    let slots = executor_number(&fields, kind, "slots", &SLOTS);
    let connections = executor_number(&fields, kind, "connections", &CONNECTIONS);
    Some(Class {
        kind: kind?,
        cores: cores?,
        memory_mb: memory_mb?,
        accelerators: accelerators?,
        slots: slots?,
        connections: connections?,
    })
}

/// Reads a number that a class of executors must have and a class of workers must not; 0 for
/// workers.
fn executor_number(
    fields: &Fields<'_>,
    kind: Option<TargetKind>,
    name: &str,
    range: &RangeInclusive<u64>,
) -> Option<u32> {
    match kind? {
        TargetKind::Executor => fields.required(name)?.number(range),
        TargetKind::Worker => match fields.optional(name) {
            None => Some(0),
            Some(node) => {
                node.report(format!("`{name}` is for executors; a worker has none"));
                None
            }
        },
    }
}

fn service(node: Node<'_>) -> Option<Service> {
    let fields = node.fields(&["class", "run_limit_ms", "idempotent"])?;
    let class = fields.required("class").and_then(Node::name);
    let run_limit_ms = fields
        .required("run_limit_ms")
        .and_then(|n| n.number(&RUN_LIMIT_MS));
    let idempotent = fields.optional_or("idempotent", false, Node::boolean);
    Some(Service {
        class: ClassId::from(class?),
        run_limit_ms: run_limit_ms?,
        idempotent: idempotent?,
    })
}

fn budgets(node: Node<'_>) -> Option<Budgets> {
    let fields = node.fields(&["pool_percent", "racks", "vms", "cycle_days"])?;
    let pool_percent = fields
        .required("pool_percent")
        .and_then(|n| n.number(&POOL_PERCENT));
    let racks = fields.required("racks").and_then(|n| n.number(&RACKS));
    let vms = fields.required("vms").and_then(|n| n.number(&VMS));
    let cycle_days = fields
        .required("cycle_days")
        .and_then(|n| n.number(&CYCLE_DAYS));
    Some(Budgets {
        pool_percent: pool_percent?,
        racks: racks?,
        vms: vms?,
        cycle_days: cycle_days?,
    })
}
