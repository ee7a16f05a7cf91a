//! Small documents, signed edits and records for the tests of the ledger.

use amaranthwick::document::{example, hex, sign_edit};
use amaranthwick::id::{
    ClassId, DataCentre, Epoch, Incarnation, JobId, MemberId, Offset, OperatorId, PoolId, Rack,
    RecordId, Revision, SectionId, TeamId, VmId,
};
use amaranthwick::ledger::{
    Claim, Edit, Job, Proposal, Record, Registration, Role, State, TransferParty, TrustedKeys,
    Verdict, VmLocation, encode_edit, encode_record,
};
use amaranthwick::secret::FleetSecret;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

pub(crate) const SECRET: [u8; 32] = [7; 32];

pub(crate) fn trust() -> TrustedKeys {
    TrustedKeys {
        secret: FleetSecret::new(SECRET),
        root: example::operator_key("root").public(),
    }
}

pub(crate) fn fleet_text(pool_percent: u32) -> String {
    let key = |name| hex::encode(&example::operator_key(name).public());
    format!(
        r#"{{
  "data_centres": {{ "a": {{ "region": "r" }}, "b": {{ "region": "r" }} }},
  "classes": {{
    "executor": {{ "kind": "executor", "cores": 4, "memory_mb": 8192, "slots": 8, "connections": 64 }},
    "worker": {{ "kind": "worker", "cores": 16, "memory_mb": 32768 }}
  }},
  "services": {{ "s": {{ "class": "executor", "run_limit_ms": 5000, "idempotent": true }} }},
  "budgets": {{ "pool_percent": {pool_percent}, "racks": 1, "vms": 4, "cycle_days": 42 }},
  "operators": {{ "fleet-ops": "{}" }},
  "owners": {{ "red": "{}", "blue": "{}" }}
}}"#,
        key("fleet-ops"),
        key("red-owner"),
        key("blue-owner")
    )
}

pub(crate) fn team_text(team: &str, ceiling: u32, operator: &str) -> String {
    let key = hex::encode(&example::operator_key(operator).public());
    format!(
        r#"{{
  "share": 10,
  "ceiling": {ceiling},
  "pools": {{
    "{team}-pool": {{ "service": "s", "class": "executor", "vms": {{ "a": 4, "b": 4 }} }},
    "{team}-jobs": {{ "class": "worker", "vms": {{ "a": 2, "b": 2 }} }}
  }},
  "queues": {{
    "{team}-queue": {{
      "pool": "{team}-pool", "access": "own",
      "max_queued": 100, "max_bytes": 1048576, "wait_ms": 1000
    }}
  }},
  "keys": {{}},
  "operators": {{ "{operator}": "{key}" }},
  "on_stale": "refuse"
}}"#
    )
}

pub(crate) fn edit(section: &str, base: u64, text: &str, operator: &str) -> Edit {
    let id = SectionId::new(section);
    let signature = sign_edit(&example::operator_key(operator), &id, Revision(base), text);
    Edit {
        section: id,
        base_revision: Revision(base),
        text: text.to_owned(),
        operator: OperatorId::new(operator),
        signature,
    }
}

pub(crate) fn record(id: u128, after: u64, proposal: Proposal) -> Record {
    Record {
        id: RecordId(id),
        proposed_at: Offset(after),
        proposal,
    }
}

/// A ledger state, and the id of the record last proposed to it.
pub(crate) struct TestLedger {
    pub(crate) state: State,
    id: u128,
}

impl TestLedger {
    pub(crate) fn empty() -> Self {
        Self {
            state: State::empty(trust()),
            id: 0,
        }
    }

    /// A ledger with a fleet section and the teams `red` (ceiling 12) and `blue` (ceiling 9).
    pub(crate) fn with_teams() -> Self {
        let mut ledger = Self::empty();
        ledger.edit("fleet", 0, &fleet_text(50), "root");
        ledger.edit("red", 0, &team_text("red", 12, "red-ops"), "red-owner");
        ledger.edit("blue", 0, &team_text("blue", 9, "blue-ops"), "blue-owner");
        assert!(ledger.state.document().is_some_and(|d| d.teams.len() == 2));
        ledger
    }

    pub(crate) fn encode_next(&mut self, proposal: Proposal) -> Vec<u8> {
        self.id += 1;
        let record = record(self.id, self.state.offset().0, proposal);
        encode_record(&record, &trust().secret)
    }

    pub(crate) fn apply_bytes(&mut self, bytes: &[u8]) -> Option<Verdict> {
        let offset = self.state.offset();
        self.state.apply(offset, bytes).map(|(_, verdict)| verdict)
    }

    pub(crate) fn propose(&mut self, proposal: Proposal) -> Verdict {
        let bytes = self.encode_next(proposal);
        self.apply_bytes(&bytes)
            .expect("a record with a valid MAC gets a verdict")
    }

    pub(crate) fn edit(&mut self, section: &str, base: u64, text: &str, operator: &str) -> Verdict {
        self.id += 1;
        let proposal = Proposal::Edit(edit(section, base, text, operator));
        let bytes = encode_edit(&record(self.id, 0, proposal));
        self.apply_bytes(&bytes).expect("an edit gets a verdict")
    }
}

pub(crate) fn claim(holder: &str, epoch: u64, renewal: Option<u64>) -> Proposal {
    Proposal::Claim(Claim {
        role: Role::Planner,
        holder: MemberId::new(holder),
        epoch: Epoch(epoch),
        last_renewal: renewal.map(Offset),
    })
}

pub(crate) fn assign(vm: &str, from: Option<&str>, to: Option<&str>, epoch: u64) -> Proposal {
    Proposal::Assign {
        vm: VmId::new(vm),
        from: from.map(PoolId::new),
        to: to.map(PoolId::new),
        epoch: Epoch(epoch),
    }
}

pub(crate) fn locate(vm: &str, data_centre: &str, rack: &str, epoch: u64) -> Proposal {
    Proposal::Locate {
        vm: VmId::new(vm),
        location: Some(VmLocation {
            data_centre: DataCentre::new(data_centre),
            rack: Rack::new(rack),
            class: ClassId::new("executor"),
        }),
        seen_s: 1_000,
        epoch: Epoch(epoch),
    }
}

pub(crate) fn transfer(
    team: &str,
    from: TransferParty,
    to: TransferParty,
    amount: u32,
) -> Proposal {
    let team = TeamId::new(team);
    Proposal::Transfer {
        team,
        from,
        to,
        amount,
    }
}

pub(crate) fn member(id: &str, incarnation: u64) -> TransferParty {
    TransferParty::Member(MemberId::new(id), Incarnation(incarnation))
}

pub(crate) fn register(id: &str, incarnation: u64, port: u16) -> Proposal {
    Proposal::Register(Registration {
        id: MemberId::new(id),
        incarnation: Incarnation(incarnation),
        data_centre: DataCentre::new("a"),
        peer_address: ([127, 0, 0, 1], port).into(),
    })
}

pub(crate) fn job(id: &str, team: &str, cores: u32) -> Job {
    Job {
        id: JobId::new(id),
        team: TeamId::new(team),
        task: "count".to_owned(),
        input: String::new(),
        cores,
        memory_mb: 1_024,
        accelerators: 0,
        urgency: 3,
        idempotent: true,
    }
}

/// Property test settings with a fixed seed, so that every run tries the same cases.
pub(crate) fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
