//! Proposals and folded state of a fleet of the target size or smaller.

use amaranthwick::document::{example, hex, sign_edit};
use amaranthwick::id::{
    DataCentre, Epoch, Incarnation, JobId, MemberId, Offset, OperatorId, PoolId, RecordId,
    Revision, SectionId, TeamId, VmId,
};
use amaranthwick::ledger::{
    Claim, Edit, Job, JobPhase, JobUpdate, Proposal, Record, Registration, Role, State,
    TransferParty, TrustedKeys, Verdict, encode_record,
};
use amaranthwick::secret::FleetSecret;

pub(crate) const DATA_CENTRES: usize = 10;

/// Entries that are registered as members.
pub(crate) const ENTRIES: usize = 80;

/// Size of a fleet with [`DATA_CENTRES`] data centres.
#[derive(Clone, Copy)]
pub(crate) struct FleetSize {
    pub(crate) workers: usize,
    pub(crate) teams: usize,
    pub(crate) pools: usize,
}

/// What the system has to carry in the long run.
pub(crate) const TARGET_SIZE: FleetSize = FleetSize {
    workers: 3_100,
    teams: 140,
    pools: 35,
};

/// Keys that the state trusts: the fleet's secret and the root operator's public key.
pub(crate) fn trusted_keys() -> TrustedKeys {
    TrustedKeys {
        secret: FleetSecret::new([7; 32]),
        root: example::operator_key("root").public(),
    }
}

/// Public key of an example operator, in hexadecimal.
fn public_key_hex(name: &str) -> String {
    hex::encode(&example::operator_key(name).public())
}

pub(crate) fn team_name(n: usize) -> String {
    format!("team-{n:03}")
}

pub(crate) fn pool_name(n: usize) -> String {
    format!("pool-{n:02}")
}

pub(crate) fn vm_name(n: usize) -> String {
    format!("worker-{n:04}.example")
}

/// Text of the fleet's section.
pub(crate) fn fleet_section(size: &FleetSize) -> String {
    let data_centres =
        (0..DATA_CENTRES).map(|n| format!(r#""dc-{n}": {{ "region": "r{}" }}"#, n / 3));
    let owners = (0..size.teams)
        .map(|n| format!(r#""{}": "{}""#, team_name(n), public_key_hex(&team_name(n))));
    format!(
        r#"{{
  "data_centres": {{ {} }},
  "classes": {{ "worker": {{ "kind": "worker", "cores": 16, "memory_mb": 32768 }} }},
  "services": {{}},
  "budgets": {{ "pool_percent": 25, "racks": 1, "vms": 4, "cycle_days": 42 }},
  "operators": {{ "fleet-ops": "{}" }},
  "owners": {{ {} }}
}}"#,
        data_centres.collect::<Vec<_>>().join(", "),
        public_key_hex("fleet-ops"),
        owners.collect::<Vec<_>>().join(", "),
    )
}

/// Text of the section of team `n`; each of the first `size.pools` teams owns one pool.
pub(crate) fn team_section(size: &FleetSize, n: usize, share: usize) -> String {
    let vms_per_data_centre = size.workers / size.pools / DATA_CENTRES + 1;
    let vms = (0..DATA_CENTRES).map(|n| format!(r#""dc-{n}": {vms_per_data_centre}"#));
    let vms = vms.collect::<Vec<_>>().join(", ");
    let pools = if n < size.pools {
        format!(
            r#""{}": {{ "class": "worker", "vms": {{ {vms} }} }}"#,
            pool_name(n)
        )
    } else {
        String::new()
    };
    let operator = format!("{}-ops", team_name(n));
    let secret = hex::encode(&example::caller_secret(&team_name(n)));
    format!(
        r#"{{
  // Edited by its own operators alone.
  "share": {share}, "ceiling": 120,
  "pools": {{ {pools} }},
  "queues": {{}},
  "keys": {{ "app": {{ "sha256": "{secret}" }} }},
  "operators": {{ "{operator}": "{}" }},
  "on_stale": "refuse"
}}"#,
        public_key_hex(&operator)
    )
}

/// Edit of revision `base` of a section, signed by `operator`; revision 0 creates the section.
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

/// Edits that create the sections of the fleet and of all teams.
pub(crate) fn section_edits(size: &FleetSize) -> Vec<Proposal> {
    let fleet = edit("fleet", 0, &fleet_section(size), "root");
    let teams = (0..size.teams).map(|n| {
        let text = team_section(size, n, 10);
        edit(&team_name(n), 0, &text, &team_name(n))
    });
    std::iter::once(fleet).chain(teams).collect()
}

/// Claim of the planner role, in epoch 1.
pub(crate) fn claim() -> Proposal {
    Proposal::Claim(Claim {
        role: Role::Planner,
        holder: MemberId::new("planner-1"),
        epoch: Epoch(1),
        last_renewal: None,
    })
}

/// Registration of entry `n`, or its renewal.
pub(crate) fn register(n: usize) -> Proposal {
    Proposal::Register(Registration {
        id: MemberId::new(&format!("entry-{n:02}")),
        incarnation: Incarnation(1),
        data_centre: DataCentre::new(&format!("dc-{}", n % DATA_CENTRES)),
        peer_address: ([10, 0, 0, 1], 7_000).into(),
    })
}

/// Move of VM `n` from the pool `from` to the pool `to`; it was in no pool if `from` is `None`.
pub(crate) fn assign(n: usize, from: Option<usize>, to: usize) -> Proposal {
    Proposal::Assign {
        vm: VmId::new(&vm_name(n)),
        from: from.map(|n| PoolId::new(&pool_name(n))),
        to: Some(PoolId::new(&pool_name(to))),
        epoch: Epoch(1),
    }
}

/// Transfer of 1 of the ceiling of team `n` from the reserve to an entry, or back.
pub(crate) fn transfer(n: usize, entry: usize, to_reserve: bool) -> Proposal {
    let member = TransferParty::Member(MemberId::new(&format!("entry-{entry:02}")), Incarnation(1));
    let (from, to) = if to_reserve {
        (member, TransferParty::Reserve)
    } else {
        (TransferParty::Reserve, member)
    };
    Proposal::Transfer {
        team: TeamId::new(&team_name(n)),
        from,
        to,
        amount: 1,
    }
}

/// Submission of job `n`, by one of the first `teams` teams.
pub(crate) fn submit(n: usize, teams: usize) -> Proposal {
    Proposal::Submit(Job {
        id: JobId::new(&format!("job-{n:06}")),
        team: TeamId::new(&team_name(n % teams)),
        task: "reconcile".to_owned(),
        input: "month=2026-11".to_owned(),
        cores: 4,
        memory_mb: 8_192,
        accelerators: 0,
        urgency: 3,
        idempotent: true,
    })
}

/// Transfer of `amount` of the ceiling of team `n` from the reserve to the team's jobs.
pub(crate) fn jobs_quota(n: usize, amount: u32) -> Proposal {
    Proposal::Transfer {
        team: TeamId::new(&team_name(n)),
        from: TransferParty::Reserve,
        to: TransferParty::Jobs(Epoch(1)),
        amount,
    }
}

/// Update of job `n`: step 0 places it and step 1 ends it.
pub(crate) fn job_update(n: usize, step: usize) -> Proposal {
    let phase = if step == 0 {
        JobPhase::Placed(VmId::new(&vm_name(n % TARGET_SIZE.workers)))
    } else {
        JobPhase::Done("rows=120".to_owned())
    };
    Proposal::Update(JobUpdate {
        id: JobId::new(&format!("job-{n:06}")),
        expected_step: u32::try_from(step).expect("small"),
        phase,
        epoch: Some(Epoch(1)),
    })
}

/// Encodes proposals as records of increasing ids, and folds them into a state.
pub(crate) struct FoldedLog {
    pub(crate) state: State,
    last_record_id: u128,
}

impl FoldedLog {
    pub(crate) fn open() -> Self {
        Self {
            state: State::empty(trusted_keys()),
            last_record_id: 0,
        }
    }

    /// Bytes of the next record; its proposer has folded the log up to the offset `proposed_at`.
    pub(crate) fn encode(&mut self, proposed_at: u64, proposal: Proposal) -> Vec<u8> {
        self.last_record_id += 1;
        let record = Record {
            id: RecordId(self.last_record_id),
            proposed_at: Offset(proposed_at),
            proposal,
        };
        encode_record(&record, &trusted_keys().secret)
    }

    /// Folds a proposal, which must be accepted.
    pub(crate) fn apply_accepted(&mut self, proposal: Proposal) {
        let offset = self.state.offset();
        let bytes = self.encode(offset.0, proposal);
        let verdict = self.state.apply(offset, &bytes).map(|(_, verdict)| verdict);
        assert!(matches!(verdict, Some(Verdict::Accepted(_))), "{verdict:?}");
    }
}

/// Folds all sections, the planner's claim, the registrations of all entries and the assignment
/// of every worker to a pool.
pub(crate) fn full_fleet(size: &FleetSize) -> FoldedLog {
    let mut log = FoldedLog::open();
    for proposal in section_edits(size) {
        log.apply_accepted(proposal);
    }
    log.apply_accepted(claim());
    for n in 0..ENTRIES {
        log.apply_accepted(register(n));
    }
    for n in 0..size.workers {
        log.apply_accepted(assign(n, None, n % size.pools));
    }
    log
}
