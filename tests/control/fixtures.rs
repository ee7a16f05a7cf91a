//! Settings, documents and proposals for the tests.

use amaranthwick::config::CommonConfig;
use amaranthwick::dev;
use amaranthwick::document::{example, hex, sign_edit};
use amaranthwick::id::{JobId, Offset, OperatorId, RecordId, Revision, SectionId, TeamId};
use amaranthwick::ledger::{Edit, Job, Proposal, Record, encode_edit};
use amaranthwick::secret::FleetSecret;

pub(crate) fn common(id: &str) -> CommonConfig {
    CommonConfig {
        secret: FleetSecret::new([7; 32]),
        ..dev::common_config(id, "a")
    }
}

pub(crate) fn fleet_text() -> String {
    let key = |name| hex::encode(&example::operator_key(name).public());
    format!(
        r#"{{
  "data_centres": {{ "a": {{ "region": "r" }} }},
  "classes": {{
    "executor": {{ "kind": "executor", "cores": 4, "memory_mb": 8192, "slots": 8, "connections": 64 }},
    "worker": {{ "kind": "worker", "cores": 16, "memory_mb": 32768 }}
  }},
  "services": {{ "s": {{ "class": "executor", "run_limit_ms": 5000, "idempotent": true }} }},
  "budgets": {{ "pool_percent": 50, "racks": 1, "vms": 4, "cycle_days": 42 }},
  "operators": {{ "fleet-ops": "{}" }},
  "owners": {{ "red": "{}" }}
}}"#,
        key("fleet-ops"),
        key("red-owner")
    )
}

pub(crate) fn team_text(share: u64) -> String {
    team_text_with(share, 8)
}

pub(crate) fn team_text_with(share: u64, ceiling: u32) -> String {
    let key = hex::encode(&example::operator_key("red-ops").public());
    format!(
        r#"{{
  "share": {share}, "ceiling": {ceiling},
  "pools": {{
    "red-pool": {{ "service": "s", "class": "executor", "vms": {{ "a": 20 }} }},
    "red-jobs": {{ "class": "worker", "vms": {{ "a": 2 }} }}
  }},
  "queues": {{}}, "keys": {{}},
  "operators": {{ "red-ops": "{key}" }},
  "on_stale": "refuse"
}}"#
    )
}

pub(crate) fn edit(section: &str, base: u64, text: &str, operator: &str) -> Proposal {
    let id = SectionId::new(section);
    let signature = sign_edit(&example::operator_key(operator), &id, Revision(base), text);
    Proposal::Edit(Edit {
        section: id,
        base_revision: Revision(base),
        text: text.to_owned(),
        operator: OperatorId::new(operator),
        signature,
    })
}

/// Records that create the fleet section and the team `red` with a ceiling of 8.
pub(crate) fn base() -> Vec<Vec<u8>> {
    base_with(8)
}

pub(crate) fn base_with(ceiling: u32) -> Vec<Vec<u8>> {
    let edits = [
        edit("fleet", 0, &fleet_text(), "root"),
        edit("red", 0, &team_text_with(10, ceiling), "red-owner"),
    ];
    edits
        .into_iter()
        .map(|proposal| {
            encode_edit(&Record {
                id: RecordId::random(),
                proposed_at: Offset(0),
                proposal,
            })
        })
        .collect()
}

pub(crate) fn submit(id: &str) -> Proposal {
    Proposal::Submit(Job {
        id: JobId::new(id),
        team: TeamId::new("red"),
        task: "count".to_owned(),
        input: String::new(),
        cores: 1,
        memory_mb: 1,
        accelerators: 0,
        urgency: 3,
        idempotent: true,
    })
}
