//! Decodes the section of a team.

use std::ops::RangeInclusive;

use indexmap::IndexMap;

use super::public_key;
use crate::document::{Access, OnStale, PoolSpec, QueueSpec, TeamKey, TeamSection};
use crate::id::{ClassId, PoolId, ServiceId};
use crate::jsonc::Node;

const SHARE: RangeInclusive<u64> = 1..=1_000_000;
const CEILING: RangeInclusive<u64> = 1..=10_000_000;
const VMS: RangeInclusive<u64> = 0..=10_000;
const MAX_QUEUED: RangeInclusive<u64> = 1..=1_000_000;
const MAX_BYTES: RangeInclusive<u64> = 1_024..=1_073_741_824;
const WAIT_MS: RangeInclusive<u64> = 1..=86_400_000;

const TEAM_FIELDS: [&str; 7] = [
    "share",
    "ceiling",
    "pools",
    "queues",
    "keys",
    "operators",
    "on_stale",
];
const QUEUE_FIELDS: [&str; 5] = ["pool", "access", "max_queued", "max_bytes", "wait_ms"];
const ACCESS_CHOICES: [(&str, Access); 3] = [
    ("open", Access::Open),
    ("teams", Access::Teams),
    ("own", Access::Own),
];
const ON_STALE_CHOICES: [(&str, OnStale); 2] =
    [("refuse", OnStale::Refuse), ("serve", OnStale::Serve)];

pub(in crate::document) fn team(node: Node<'_>) -> Option<TeamSection> {
    let fields = node.fields(&TEAM_FIELDS)?;
    let share = fields.required("share").and_then(|n| n.number(&SHARE));
    let ceiling = fields.required("ceiling").and_then(|n| n.number(&CEILING));
    let pools = fields.optional_or("pools", IndexMap::new(), |n| n.map(pool));
    let queues = fields.optional_or("queues", IndexMap::new(), |n| n.map(queue));
    let keys = fields.optional_or("keys", IndexMap::new(), |n| n.map(key));
    let operators = fields.optional_or("operators", IndexMap::new(), |n| n.map(public_key));
    let on_stale = fields.optional_or("on_stale", OnStale::Refuse, |n| n.choice(&ON_STALE_CHOICES));
    Some(TeamSection {
        share: share?,
        ceiling: ceiling?,
        pools: pools?,
        queues: queues?,
        keys: keys?,
        operators: operators?,
        on_stale: on_stale?,
    })
}

fn pool(node: Node<'_>) -> Option<PoolSpec> {
    let fields = node.fields(&["service", "class", "vms", "spare"])?;
    let service = fields.optional_or("service", None, |n| n.name().map(ServiceId::from).map(Some));
    let class = fields.required("class").and_then(Node::name);
    let vms = fields
        .required("vms")
        .and_then(|n| n.map(|n| n.number(&VMS)));
    let spare = fields.optional_or("spare", false, Node::boolean);
    Some(PoolSpec {
        service: service?,
        class: ClassId::from(class?),
        vms: vms?,
        spare: spare?,
    })
}

fn queue(node: Node<'_>) -> Option<QueueSpec> {
    let fields = node.fields(&QUEUE_FIELDS)?;
    let pool = fields.required("pool").and_then(Node::name);
    let access = fields
        .required("access")
        .and_then(|n| n.choice(&ACCESS_CHOICES));
    let max_queued = fields
        .required("max_queued")
        .and_then(|n| n.number(&MAX_QUEUED));
    let max_bytes = fields
        .required("max_bytes")
        .and_then(|n| n.number(&MAX_BYTES));
    let wait_ms = fields.required("wait_ms").and_then(|n| n.number(&WAIT_MS));
    Some(QueueSpec {
        pool: PoolId::from(pool?),
        access: access?,
        max_queued: max_queued?,
        max_bytes: max_bytes?,
        wait_ms: wait_ms?,
    })
}

fn key(node: Node<'_>) -> Option<TeamKey> {
    let fields = node.fields(&["sha256"])?;
    let sha256 = fields.required("sha256")?.bytes()?;
    Some(TeamKey { sha256 })
}
