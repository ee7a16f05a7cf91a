//! Orders for VMs of unknown outcome, when the data centre of the VM is evacuated meanwhile.

use std::sync::Arc;

use amaranthwick::scheduler::{
    Capacity, Change, Command, EvacuationChange, Evacuations, Event, Holder, JobKey, JobTable,
    Leader, LeaderSettings, Millis, Record, Vm, VmOutcome, VmState,
};
use rstest::rstest;

use crate::fixtures::{POOL, job, policy, step};

/// Interval between two decisions of the leader, in ms.
const TICK_MS: Millis = 25;

/// A leader whose store stores each batch at once, and whose VM service never answers.
struct Fixture {
    now: Millis,
    table: JobTable,
    leader: Leader,
    /// Times of the orders to move a VM.
    moves: Vec<Millis>,
}

impl Fixture {
    /// The pool has work and no VM; one VM is in the standby pool.
    fn new() -> Self {
        let mut table = JobTable::default();
        let work = Record::Job(JobKey(1), job(vec![step(4, 400, &[])]));
        table.apply(Change::Put(work));
        let settings = LeaderSettings {
            holder: Holder {
                member: "n".to_owned(),
                incarnation: 1,
                epoch: 1,
                released: false,
                batch: 0,
            },
            lease_ms: 4_000,
            max_lease_ms: 6_000,
            earlier_extend_ms: 0,
            predecessors: Vec::new(),
            earlier_silence_ms: None,
            step_down_after_ms: 7_000,
            vm_order_delay_ms: 0,
            stop_timeout_ms: 400,
            job_retention_ms: 120_000,
        };
        let leader = Leader::new(settings, &mut table, Arc::new(policy()), Vec::new(), 0, 0);
        Self {
            now: 0,
            table,
            leader,
            moves: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        self.leader.handle(&mut self.table, event, self.now);
    }

    fn run_for(&mut self, span_ms: Millis) {
        let end = self.now + span_ms;
        while self.now < end {
            self.now += TICK_MS;
            for command in self.leader.poll(&mut self.table, self.now, self.now) {
                match command {
                    Command::Append { batch, .. } => self.handle(Event::BatchStored { batch }),
                    Command::ListVms => self.handle(Event::VmList(Some(vec![standby_vm()]))),
                    Command::MoveVm { vm, pool, .. } => {
                        assert_eq!(*pool, *POOL);
                        self.moves.push(self.now);
                        let outcome = VmOutcome::Unknown;
                        self.handle(Event::VmOrderAnswered { vm, outcome });
                    }
                    _ => {}
                }
            }
        }
    }
}

fn standby_vm() -> Vm {
    Vm {
        name: "m".to_owned(),
        pool: Arc::from("spare"),
        data_centre: Arc::from("z0"),
        state: VmState::Up,
        labels: Vec::new(),
        capacity: Capacity {
            cpu: 16_000,
            mem_mb: 32_768,
            gpu: 0,
        },
        target: None,
    }
}

/// Guards against a VM that is moved into a pool out of an evacuated data centre, because an order
/// from before the evacuation was repeated.
#[rstest]
#[case::evacuated("z0", false)]
#[case::another("z1", true)]
fn an_unanswered_move_is_repeated_unless_its_data_centre_is_evacuated(
    #[case] data_centre: &str,
    #[case] repeated: bool,
) {
    let mut fixture = Fixture::new();
    fixture.run_for(1_000);
    let before = fixture.moves.len();

    let mut evacuations = Evacuations::default();
    let change = EvacuationChange {
        data_centre: Arc::from(data_centre),
        evacuated: true,
    };
    evacuations.apply(&[change], false);
    fixture.handle(Event::EvacuationsChanged {
        evacuations,
        age_ms: 0,
    });
    fixture.run_for(2_000);

    assert!(before > 0);
    assert_eq!(fixture.moves.len() > before, repeated);
}
