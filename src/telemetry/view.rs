//! JSON form of the view in the state dump.

use std::time::Instant;

use serde_json::{Value, json};

use crate::view::{Member, Target, View};

/// Converts the view to JSON for the state dump.
pub(super) fn dump_view(view: &View) -> Value {
    let targets = view.targets.iter().map(|(pool, targets)| {
        let targets: Vec<_> = targets.iter().map(dump_target).collect();
        (pool.to_string(), Value::from(targets))
    });
    let document = view.document.as_ref().map(|document| {
        json!({
            "data_centres": document.fleet.data_centres.keys().collect::<Vec<_>>(),
            "teams": document.teams.keys().collect::<Vec<_>>(),
        })
    });
    json!({
        "offset": view.offset,
        "verified_ms": view.verified.map(millis_since),
        "planner": view.planner.as_ref().map(|(holder, epoch)| json!({
            "holder": holder,
            "epoch": epoch,
        })),
        "members": view.members.iter().map(dump_member).collect::<Vec<_>>(),
        "document": document,
        "targets": targets.collect::<serde_json::Map<_, _>>(),
    })
}

fn dump_target(target: &Target) -> Value {
    json!({
        "vm": target.vm,
        "data_centre": target.data_centre,
        "rack": target.rack,
        "address": target.address,
        "slots": target.slots,
        "connections": target.connections,
        "leaving": target.leaving,
    })
}

fn dump_member(member: &Member) -> Value {
    json!({
        "id": member.id,
        "incarnation": member.incarnation,
        "data_centre": member.data_centre,
        "peer": member.peer,
        "alive": member.alive,
    })
}

/// Time elapsed since `start`, in ms.
pub(super) fn millis_since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}
