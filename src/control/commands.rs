//! Executes the commands that other threads send to the control thread.

use std::time::Instant;

use async_channel::Receiver;
use indexmap::IndexMap;
use serde_json::{Value, json};

use super::core::Core;
use super::shell::Shell;
use super::{Command, FleetState};
use crate::document::hex;
use crate::id::TeamId;
use crate::ledger::{Allotment, encode_snapshot, is_ended};

pub(super) async fn run<L, V, P>(shell: &Shell<L, V, P>, received: &Receiver<Command>) {
    while let Ok(command) = received.recv().await {
        execute(&mut shell.core.borrow_mut(), command, Instant::now());
        shell.wake_appender();
    }
}

/// Executes one command. A reply is dropped when its requester no longer waits for it.
fn execute(core: &mut Core, command: Command, now: Instant) {
    let facts = core.state.facts();
    match command {
        Command::Propose(proposal, reply) => core.propose(proposal, reply, now),
        Command::Register(peer) => core.set_peer_address(peer, now),
        Command::Report(report) => core.receive_report(&report, now),
        Command::State(reply) => drop(reply.try_send(encode_snapshot(&core.state))),
        Command::Heartbeat(heartbeat, reply) => {
            core.receive_heartbeat(&heartbeat, now);
            let _ = reply.try_send(core.make_heartbeat(now));
        }
        Command::Job(id, reply) => drop(reply.try_send(facts.jobs.get(&id).cloned())),
        Command::Section(id, reply) => drop(reply.try_send(facts.sections.get(&id).cloned())),
        Command::Verdict(id, reply) => drop(reply.try_send(core.state.verdict(id).cloned())),
        Command::Fleet(reply) => drop(reply.try_send(fleet(core))),
        Command::Dump(reply) => drop(reply.try_send(dump(core, now))),
    }
}

fn fleet(core: &Core) -> FleetState {
    let facts = core.state.facts();
    let jobs = facts.jobs.values().filter(|state| !is_ended(&state.phase));
    FleetState {
        offset: facts.offset,
        verified: core.verified(),
        document: core.state.document().cloned(),
        vms: core.inventory.vms().cloned().collect(),
        assignment: facts.assignment.clone(),
        stops: facts.stops.clone(),
        locations: facts.locations.clone(),
        cycle_starts_s: facts.cycle_starts_s.clone(),
        down: facts.down.clone(),
        failed_stops: facts.failed_stops.clone(),
        allotments: facts.allotments.clone(),
        planner: facts.planner.clone(),
        jobs: jobs.cloned().collect(),
    }
}

/// Writes the shares as a list, because a holder is not a plain string and so can't be a
/// key of a JSON object.
fn allotments(allotments: &IndexMap<TeamId, Allotment>) -> Value {
    let teams = allotments.iter().map(|(team, allotment)| {
        let shares = allotment.shares.iter();
        let shares = shares.map(|(holder, share)| json!({ "holder": holder, "share": share }));
        (team.to_string(), shares.collect::<Vec<Value>>().into())
    });
    Value::Object(teams.collect())
}

fn dump(core: &Core, now: Instant) -> Value {
    let facts = core.state.facts();
    let age = core.verified().map(|at| now.saturating_duration_since(at));
    let sections = facts.sections.iter();
    let revisions: serde_json::Map<String, Value> = sections
        .map(|(id, section)| (id.to_string(), section.revision.0.into()))
        .collect();
    json!({
        "member": core.common.id,
        "incarnation": core.registrar.incarnation,
        "data_centre": core.common.data_centre,
        "offset": facts.offset,
        "rules": facts.rules_version,
        "unknown_rules": facts.unknown_rules,
        "digest": hex::encode(core.state.digest()),
        "snapshot": facts.latest_snapshot,
        "skipped": facts.skipped,
        "verified_ms": age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        "sections": revisions,
        "assignment": facts.assignment,
        "stops": facts.stops,
        "down": facts.down,
        "failed": facts.failed_stops,
        "allotments": allotments(&facts.allotments),
        "planner": facts.planner,
        "members": facts.members,
        "jobs": facts.jobs.len(),
        "vms": core.inventory.vms().len(),
        "vm_list": core.inventory.version(),
        "outbox": core.outbox.len(),
    })
}
