//! A fleet of the size aimed at, or smaller, and its state.

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
pub(crate) const ENTRIES: usize = 80;

/// Sizes of a fleet.
#[derive(Clone, Copy)]
pub(crate) struct Size {
    pub(crate) workers: usize,
    pub(crate) teams: usize,
    pub(crate) pools: usize,
}

pub(crate) const AIM: Size = Size {
    workers: 3_100,
    teams: 140,
    pools: 35,
};

pub(crate) fn trust() -> TrustedKeys {
    TrustedKeys {
        secret: FleetSecret::new([7; 32]),
        root: example::operator_key("root").public(),
    }
}

fn public(name: &str) -> String {
    hex::encode(&example::operator_key(name).public())
}

pub(crate) fn team(n: usize) -> String {
    format!("team-{n:03}")
}

pub(crate) fn pool(n: usize) -> String {
    format!("pool-{n:02}")
}

pub(crate) fn vm(n: usize) -> String {
    format!("worker-{n:04}.example")
}

pub(crate) fn fleet_text(size: &Size) -> String {
    let places = (0..DATA_CENTRES).map(|n| format!(r#""dc-{n}": {{ "region": "r{}" }}"#, n / 3));
    let owners = (0..size.teams).map(|n| format!(r#""{}": "{}""#, team(n), public(&team(n))));
    format!(
        r#"{{
  "data_centres": {{ {} }},
  "classes": {{ "worker": {{ "kind": "worker", "cores": 16, "memory_mb": 32768 }} }},
  "services": {{}},
  "budgets": {{ "pool_percent": 25, "racks": 1, "vms": 4, "cycle_days": 42 }},
  "operators": {{ "fleet-ops": "{}" }},
  "owners": {{ {} }}
}}"#,
        places.collect::<Vec<_>>().join(", "),
        public("fleet-ops"),
        owners.collect::<Vec<_>>().join(", "),
    )
}

/// The first teams own a pool each.
pub(crate) fn team_text(size: &Size, n: usize, share: usize) -> String {
    let each = size.workers / size.pools / DATA_CENTRES + 1;
    let vms = (0..DATA_CENTRES).map(|n| format!(r#""dc-{n}": {each}"#));
    let vms = vms.collect::<Vec<_>>().join(", ");
    let pools = if n < size.pools {
        format!(
            r#""{}": {{ "class": "worker", "vms": {{ {vms} }} }}"#,
            pool(n)
        )
    } else {
        String::new()
    };
    let operator = format!("{}-ops", team(n));
    let secret = hex::encode(&example::caller_secret(&team(n)));
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
        public(&operator)
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

/// Edits that create all sections.
pub(crate) fn sections(size: &Size) -> Vec<Proposal> {
    let fleet = edit("fleet", 0, &fleet_text(size), "root");
    let teams = (0..size.teams).map(|n| {
        let text = team_text(size, n, 10);
        edit(&team(n), 0, &text, &team(n))
    });
    std::iter::once(fleet).chain(teams).collect()
}

pub(crate) fn claim() -> Proposal {
    Proposal::Claim(Claim {
        role: Role::Planner,
        holder: MemberId::new("planner-1"),
        epoch: Epoch(1),
        last_renewal: None,
    })
}

pub(crate) fn register(n: usize) -> Proposal {
    Proposal::Register(Registration {
        id: MemberId::new(&format!("entry-{n:02}")),
        incarnation: Incarnation(1),
        data_centre: DataCentre::new(&format!("dc-{}", n % DATA_CENTRES)),
        peer_address: ([10, 0, 0, 1], 7_000).into(),
    })
}

pub(crate) fn assign(n: usize, from: Option<usize>, to: usize) -> Proposal {
    Proposal::Assign {
        vm: VmId::new(&vm(n)),
        from: from.map(|n| PoolId::new(&pool(n))),
        to: Some(PoolId::new(&pool(to))),
        epoch: Epoch(1),
    }
}

pub(crate) fn transfer(n: usize, entry: usize, back: bool) -> Proposal {
    let member = TransferParty::Member(MemberId::new(&format!("entry-{entry:02}")), Incarnation(1));
    let (from, to) = if back {
        (member, TransferParty::Reserve)
    } else {
        (TransferParty::Reserve, member)
    };
    Proposal::Transfer {
        team: TeamId::new(&team(n)),
        from,
        to,
        amount: 1,
    }
}

pub(crate) fn submit(n: usize, teams: usize) -> Proposal {
    Proposal::Submit(Job {
        id: JobId::new(&format!("job-{n:06}")),
        team: TeamId::new(&team(n % teams)),
        task: "reconcile".to_owned(),
        input: "month=2026-11".to_owned(),
        cores: 4,
        memory_mb: 8_192,
        accelerators: 0,
        urgency: 3,
        idempotent: true,
    })
}

pub(crate) fn share(n: usize, amount: u32) -> Proposal {
    Proposal::Transfer {
        team: TeamId::new(&team(n)),
        from: TransferParty::Reserve,
        to: TransferParty::Jobs(Epoch(1)),
        amount,
    }
}

/// Places a job with step 0 and ends it with step 1.
pub(crate) fn update(n: usize, step: usize) -> Proposal {
    let phase = if step == 0 {
        JobPhase::Placed(VmId::new(&vm(n % AIM.workers)))
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

/// Folds proposals one after the other.
pub(crate) struct Writer {
    pub(crate) state: State,
    next: u128,
}

impl Writer {
    pub(crate) fn open() -> Self {
        Self {
            state: State::empty(trust()),
            next: 0,
        }
    }

    pub(crate) fn bytes(&mut self, after: u64, proposal: Proposal) -> Vec<u8> {
        self.next += 1;
        let record = Record {
            id: RecordId(self.next),
            proposed_at: Offset(after),
            proposal,
        };
        encode_record(&record, &trust().secret)
    }

    pub(crate) fn accept(&mut self, proposal: Proposal) {
        let offset = self.state.offset();
        let bytes = self.bytes(offset.0, proposal);
        let verdict = self.state.apply(offset, &bytes).map(|(_, verdict)| verdict);
        assert!(matches!(verdict, Some(Verdict::Accepted(_))), "{verdict:?}");
    }
}

/// The whole fleet in place.
pub(crate) fn full(size: &Size) -> Writer {
    let mut writer = Writer::open();
    for proposal in sections(size) {
        writer.accept(proposal);
    }
    writer.accept(claim());
    for n in 0..ENTRIES {
        writer.accept(register(n));
    }
    for n in 0..size.workers {
        writer.accept(assign(n, None, n % size.pools));
    }
    writer
}
