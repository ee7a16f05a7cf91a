//! Generated documents of any size, for benchmarks and load tests.

use std::fmt::Write;
use std::sync::Arc;

use indexmap::IndexMap;

use super::{caller_secret, operator_key};
use crate::document::{FLEET_SECTION, hex, key_hash};
use crate::id::SectionId;

// Numbers of VMs are for each data centre.
const EXECUTORS_PER_POOL: usize = 5;
const WORKERS_PER_POOL: usize = 18;
const QUEUES_PER_POOL: usize = 4;

/// Size of a generated document.
#[derive(Clone, Copy, Debug)]
pub struct DocumentSize {
    /// Number of teams, named `team-0` and so on.
    pub teams: usize,
    /// Number of pools, one for each of the first teams; every second one has workers.
    pub pools: usize,
    /// Number of data centres; each pool has VMs in all of them.
    pub data_centres: usize,
}

impl DocumentSize {
    /// Size that the system is designed for: about 3,100 workers in 10 data centres.
    pub const DESIGN_SIZE: Self = Self {
        teams: 140,
        pools: 35,
        data_centres: 10,
    };
}

/// Generates the texts of the sections of a valid document.
#[must_use]
pub fn sections(size: DocumentSize) -> IndexMap<SectionId, Arc<str>> {
    let fleet = (
        SectionId::from(FLEET_SECTION),
        Arc::from(fleet_section(size)),
    );
    let teams = (0..size.teams).map(|i| {
        let id = SectionId::new(&format!("team-{i}"));
        (id, Arc::from(team_section(size, i, 1)))
    });
    std::iter::once(fleet).chain(teams).collect()
}

/// Generates the text of the section of team number `i`, counted from 0.
#[must_use]
pub fn team_section(size: DocumentSize, i: usize, share: usize) -> String {
    let pools = if i < size.pools {
        pool_fields(size, i)
    } else {
        String::new()
    };
    let hash = hex::encode(&key_hash(&caller_secret(&format!("team-{i}"))));
    let ops = hex::encode(&operator_key(&format!("team-{i}-ops")).public());
    format!(
        r#"{{
  // Weight when the fleet is full.
  "share": {share},
  "ceiling": 100,
{pools}  "keys": {{
    // The team's own apps.
    "app": {{ "sha256": "{hash}" }}
  }},
  "operators": {{ "team-{i}-ops": "{ops}" }},
  "on_stale": "refuse"
}}
"#
    )
}

fn fleet_section(size: DocumentSize) -> String {
    let mut text = String::from("{\n  \"data_centres\": {\n");
    for i in 0..size.data_centres {
        let region = i % 4;
        push_line(
            &mut text,
            &format!("    \"dc-{i}\": {{ \"region\": \"region-{region}\" }},"),
        );
    }
    push_line(&mut text, "  },\n  \"classes\": {");
    push_line(
        &mut text,
        r#"    "small": { "kind": "executor", "cores": 4, "memory_mb": 8192, "slots": 8, "connections": 64 },"#,
    );
    push_line(
        &mut text,
        r#"    "large": { "kind": "worker", "cores": 64, "memory_mb": 131072, "accelerators": 2 }"#,
    );
    push_line(&mut text, "  },\n  \"services\": {");
    push_line(
        &mut text,
        r#"    "main": { "class": "small", "run_limit_ms": 30000 }"#,
    );
    push_line(&mut text, "  },");
    push_line(
        &mut text,
        r#"  "budgets": { "pool_percent": 25, "racks": 1, "vms": 4, "cycle_days": 42 },"#,
    );
    let ops = hex::encode(&operator_key("fleet-ops").public());
    push_line(
        &mut text,
        &format!("  \"operators\": {{ \"fleet-ops\": \"{ops}\" }},\n  \"owners\": {{"),
    );
    for i in 0..size.teams {
        let owner = hex::encode(&operator_key(&format!("team-{i}-owner")).public());
        push_line(&mut text, &format!("    \"team-{i}\": \"{owner}\","));
    }
    push_line(&mut text, "  }\n}");
    text
}

fn pool_fields(size: DocumentSize, i: usize) -> String {
    let (kind, vms_per_data_centre) = match i % 2 {
        0 => (r#""service": "main", "class": "small""#, EXECUTORS_PER_POOL),
        _ => (r#""class": "large""#, WORKERS_PER_POOL),
    };
    let vms: Vec<String> = (0..size.data_centres)
        .map(|dc| format!("\"dc-{dc}\": {vms_per_data_centre}"))
        .collect();
    let vms = vms.join(", ");
    let mut text =
        format!("  \"pools\": {{\n    \"pool-{i}\": {{ {kind}, \"vms\": {{ {vms} }} }}\n  }},\n");
    if i.is_multiple_of(2) {
        text.push_str("  \"queues\": {\n");
        for queue in 0..QUEUES_PER_POOL {
            push_line(
                &mut text,
                &format!(
                    "    \"queue-{i}-{queue}\": {{ \"pool\": \"pool-{i}\", \"access\": \"teams\", \
                 \"max_queued\": 1000, \"max_bytes\": 16777216, \"wait_ms\": 5000 }},"
                ),
            );
        }
        text.push_str("  },\n");
    }
    text
}

fn push_line(text: &mut String, line: &str) {
    let _ = writeln!(text, "{line}");
}
