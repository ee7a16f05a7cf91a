//! A document, VMs, jobs and the state of a fleet, shared by the tests.

use std::sync::Arc;

use amaranthwick::control::{FleetState, JobState};
use amaranthwick::document::{Document, example, hex, parse};
use amaranthwick::id::{
    ClassId, DataCentre, Generation, JobId, Offset, PoolId, Rack, TeamId, VmId,
};
use amaranthwick::ledger::{Job, JobPhase, VmLocation};
use amaranthwick::services::{Vm, VmPhase};
use indexmap::{IndexMap, IndexSet};

/// The document's `fleet` section; it names owners for the teams `red` and `office`.
pub(crate) fn fleet_text() -> String {
    let key = |name| hex::encode(&example::operator_key(name).public());
    format!(
        r#"{{
  "data_centres": {{ "a": {{ "region": "r" }}, "b": {{ "region": "r" }} }},
  "classes": {{
    "executor": {{ "kind": "executor", "cores": 4, "memory_mb": 8192, "slots": 8, "connections": 64 }},
    "worker": {{ "kind": "worker", "cores": 16, "memory_mb": 32768 }}
  }},
  "services": {{ "s": {{ "class": "executor", "run_limit_ms": 5000, "idempotent": true }} }},
  "budgets": {{ "pool_percent": 50, "racks": 1, "vms": 4, "cycle_days": 42 }},
  "operators": {{ "fleet-ops": "{}" }},
  "owners": {{ "red": "{}", "office": "{}" }}
}}"#,
        key("fleet-ops"),
        key("red-owner"),
        key("office-owner")
    )
}

/// Section of a team with two executors in `a`, one in `b`, and two workers in `a`.
pub(crate) fn red_text() -> String {
    team_text(
        r#""red-pool": { "service": "s", "class": "executor", "vms": { "a": 2, "b": 1 } },
    "red-jobs": { "class": "worker", "vms": { "a": 2 } }"#,
        "red-ops",
    )
}

/// Section of a team with one spare executor in `a`.
pub(crate) fn office_text() -> String {
    team_text(
        r#""spare": { "class": "executor", "spare": true, "vms": { "a": 1 } }"#,
        "office-ops",
    )
}

fn team_text(pools: &str, operator: &str) -> String {
    let key = hex::encode(&example::operator_key(operator).public());
    format!(
        r#"{{
  "share": 10, "ceiling": 12,
  "pools": {{ {pools} }},
  "queues": {{}}, "keys": {{}},
  "operators": {{ "{operator}": "{key}" }},
  "on_stale": "refuse"
}}"#
    )
}

pub(crate) fn document() -> Document {
    let (fleet, red, office) = (fleet_text(), red_text(), office_text());
    let text =
        format!(r#"{{ "fleet": {fleet}, "teams": {{ "red": {red}, "office": {office} }} }}"#);
    parse("test", &text).expect("valid")
}

pub(crate) fn vm(id: &str, class: &str, data_centre: &str) -> Vm {
    Vm {
        id: VmId::new(id),
        class: ClassId::new(class),
        data_centre: DataCentre::new(data_centre),
        rack: Rack::new("rack"),
        address: None,
        phase: VmPhase::Live,
        generation: Generation(0),
    }
}

pub(crate) fn vm_locations(vms: &[Vm]) -> IndexMap<VmId, VmLocation> {
    let location = |vm: &Vm| VmLocation {
        data_centre: vm.data_centre.clone(),
        rack: vm.rack.clone(),
        class: vm.class.clone(),
    };
    vms.iter().map(|vm| (vm.id.clone(), location(vm))).collect()
}

pub(crate) fn assignment(pairs: &[(&str, &str)]) -> IndexMap<VmId, PoolId> {
    let pairs = pairs.iter();
    pairs
        .map(|(vm, pool)| (VmId::new(vm), PoolId::new(pool)))
        .collect()
}

pub(crate) fn job(id: &str, team: &str, cores: u32, phase: JobPhase) -> JobState {
    JobState {
        job: Job {
            id: JobId::new(id),
            team: TeamId::new(team),
            task: "count".to_owned(),
            input: String::new(),
            cores,
            memory_mb: 1_024,
            accelerators: 0,
            urgency: 3,
            idempotent: true,
        },
        phase,
        step: 0,
    }
}

pub(crate) fn fleet_state(vms: Vec<Vm>, pairs: &[(&str, &str)], jobs: Vec<JobState>) -> FleetState {
    FleetState {
        offset: Offset(0),
        verified: None,
        document: Some(Arc::new(document())),
        vms,
        assignment: assignment(pairs),
        stops: IndexMap::new(),
        locations: IndexMap::new(),
        cycle_starts_s: IndexMap::new(),
        down: IndexSet::new(),
        failed_stops: IndexSet::new(),
        allotments: IndexMap::new(),
        planner: None,
        jobs,
    }
}
