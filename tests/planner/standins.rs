//! Tests of the whole planner against stand-ins of the platform, over loopback.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use amaranthwick::config::{CommonConfig, PlannerConfig};
use amaranthwick::control::{self, Control};
use amaranthwick::dev;
use amaranthwick::document::{example, sign_edit};
use amaranthwick::id::{
    ClassId, DataCentre, Epoch, JobId, MemberId, Offset, OperatorId, PoolId, Rack, RecordId,
    Revision, SectionId, VmId,
};
use amaranthwick::ledger::{
    Claim, Edit, JobPhase, JobUpdate, Proposal, Record, Role, Verdict, VmLocation, decode_record,
    encode_edit,
};
use amaranthwick::membership::NoPeers;
use amaranthwick::planner::{self, Planner};
use amaranthwick::runtime::Runtime;
use amaranthwick::secret::FleetSecret;
use amaranthwick::services::{Log, LogClient, PoolsClient, VmsClient, WorkersClient};
use amaranthwick_standins::{
    ClassSpec, DataCentreSpec, Fault, Fleet, FleetSpec, Kind, Phase, SiteName, TaskState,
};
use futures_lite::future::block_on;

use crate::fixtures::{fleet_text, job, office_text, red_text};

/// Time in which an awaited condition must hold.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

fn open_standins() -> Fleet {
    let class = |kind| ClassSpec {
        kind,
        ..ClassSpec::default()
    };
    let data_centre = |executors, workers| DataCentreSpec {
        vms: [
            ("executor".to_owned(), executors),
            ("worker".to_owned(), workers),
        ]
        .into(),
        ..DataCentreSpec::default()
    };
    let spec = FleetSpec {
        classes: [
            ("executor".to_owned(), class(Kind::Executor)),
            ("worker".to_owned(), class(Kind::Worker)),
        ]
        .into(),
        data_centres: [
            ("a".to_owned(), data_centre(3, 2)),
            ("b".to_owned(), data_centre(1, 0)),
        ]
        .into(),
        list_lag_ms: 0,
        ..FleetSpec::default()
    };
    Fleet::open(&spec).expect("stand-ins")
}

fn common(fleet: &Fleet, id: &str) -> CommonConfig {
    CommonConfig {
        secret: FleetSecret::new([7; 32]),
        ..dev::common_config_on(fleet, id, "a")
    }
}

fn open_control(fleet: &Fleet, id: &str) -> Control {
    let common = common(fleet, id);
    let log = LogClient::new(fleet.log_address(), &common.data_centre);
    let vms = VmsClient::new(fleet.vms_address(), &common.data_centre);
    control::spawn(&common, log, vms, NoPeers).expect("control thread")
}

fn open_planner(fleet: &Fleet, id: &str, runtime: &Runtime) -> (Control, Planner) {
    let config = PlannerConfig {
        common: common(fleet, id),
        lease_ms: 1_500,
        snapshot_every: 1_000,
    };
    let control = open_control(fleet, id);
    let platform = planner::PlatformClients {
        workers: WorkersClient::new(fleet.workers_address(), &config.common.data_centre),
        pools: PoolsClient::new(fleet.pools_address(), &config.common.data_centre),
    };
    let planner = planner::spawn(&config, control.clone(), platform, runtime);
    (control, planner)
}

fn publish(fleet: &Fleet, section: &str, text: &str, operator: &str) -> RecordId {
    let id = SectionId::new(section);
    let signature = sign_edit(&example::operator_key(operator), &id, Revision(0), text);
    let record = Record {
        id: RecordId::random(),
        proposed_at: Offset(0),
        proposal: Proposal::Edit(Edit {
            section: id,
            base_revision: Revision(0),
            text: text.to_owned(),
            operator: OperatorId::new(operator),
            signature,
        }),
    };
    let log = LogClient::new(fleet.log_address(), &DataCentre::new("a"));
    block_on(log.append("control", &[encode_edit(&record)])).expect("appended");
    record.id
}

fn publish_all(fleet: &Fleet) {
    publish(fleet, "fleet", &fleet_text(), "root");
    publish(fleet, "red", &red_text(), "red-owner");
    publish(fleet, "office", &office_text(), "office-owner");
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_LIMIT, "{what}");
        sleep(Duration::from_millis(20));
    }
}

fn target_count(control: &Control, pool: &str) -> usize {
    let view = control.view();
    view.targets.get(&PoolId::new(pool)).map_or(0, Vec::len)
}

#[test]
fn a_published_document_puts_vms_into_pools() {
    let (fleet, runtime) = (open_standins(), Runtime::start(2).expect("threads"));
    let entry = open_control(&fleet, "e1");
    let _planner = open_planner(&fleet, "p1", &runtime);

    publish_all(&fleet);

    wait_until("pools are filled", || {
        target_count(&entry, "red-pool") == 3 && target_count(&entry, "spare") == 1
    });
}

#[test]
fn a_submitted_job_runs_on_a_worker_and_ends() {
    let (fleet, runtime) = (open_standins(), Runtime::start(2).expect("threads"));
    let entry = open_control(&fleet, "e1");
    let _planner = open_planner(&fleet, "p1", &runtime);
    publish_all(&fleet);
    wait_until("the document is accepted", || {
        target_count(&entry, "spare") == 1
    });
    let mut job = job("j1", "red", 4, JobPhase::Waiting).job;
    job.task = "sleep:100".to_owned();

    let verdict = block_on(entry.propose(Proposal::Submit(job)));

    assert!(matches!(verdict, Ok(Verdict::Accepted(_))));
    let phase = || block_on(entry.job(&JobId::new("j1"))).map(|state| state.phase);
    wait_until("the job ends", || {
        matches!(phase(), Some(JobPhase::Done(_)))
    });
}

/// Makes all VMs due for maintenance: claims the planner role and proposes their locations with
/// maintenance cycles that began in 1970.
fn make_maintenance_due(fleet: &Fleet, control: &Control) {
    let claim = Proposal::Claim(Claim {
        role: Role::Planner,
        holder: MemberId::new("e1"),
        epoch: Epoch(1),
        last_renewal: None,
    });
    let mut proposals = vec![claim];
    proposals.extend(
        fleet
            .control()
            .vms()
            .into_iter()
            .map(|vm| Proposal::Locate {
                vm: VmId::new(&vm.id),
                location: Some(VmLocation {
                    data_centre: DataCentre::new(&vm.data_centre),
                    rack: Rack::new(&vm.rack),
                    class: ClassId::new(&vm.class),
                }),
                seen_s: 0,
                epoch: Epoch(1),
            }),
    );
    for proposal in proposals {
        let verdict = block_on(control.propose(proposal));
        assert!(matches!(verdict, Ok(Verdict::Accepted(_))), "{verdict:?}");
    }
}

/// Sends a request that runs for 9000 ms to the first executor; the thread returns the answer.
fn start_long_request(fleet: &Fleet) -> JoinHandle<String> {
    let address = fleet.executors()[0].address;
    spawn(move || {
        let mut stream = TcpStream::connect(address).expect("connected");
        let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n";
        let head = format!("{head}X-Run-Ms: 9000\r\nConnection: close\r\n\r\nok");
        stream.write_all(head.as_bytes()).expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    })
}

#[test]
fn maintenance_reboots_vms_and_waits_for_running_requests() {
    let (fleet, runtime) = (open_standins(), Runtime::start(2).expect("threads"));
    let entry = open_control(&fleet, "e1");
    publish_all(&fleet);
    make_maintenance_due(&fleet, &entry);
    let request = start_long_request(&fleet);
    let busy = fleet.executors()[0].vm.clone();
    let busy = || fleet.control().vms().into_iter().find(|vm| vm.id == busy);
    let rebooted = || busy().is_some_and(|vm| vm.generation == 2 && vm.phase == Phase::Live);

    let _planner = open_planner(&fleet, "p1", &runtime);

    wait_until("the busy VM is drained", || {
        busy().is_some_and(|vm| vm.phase == Phase::Leaving)
    });
    let answer = request.join().expect("no panic");
    wait_until("the VM is rebooted", rebooted);
    assert!(answer.ends_with("\r\n\r\nok"), "{answer}");
    assert_eq!(fleet.control().counters().cut, 0);
}

/// Number of claims in the log that `holder` made.
fn claim_count(fleet: &Fleet, holder: &str) -> usize {
    let log = LogClient::new(fleet.log_address(), &DataCentre::new("a"));
    let batch = block_on(log.read("control", Offset(0), 1_000, 0)).expect("records");
    let secret = FleetSecret::new([7; 32]);
    let records = batch
        .records
        .iter()
        .filter_map(|bytes| decode_record(bytes, &secret).ok());
    let is_by_holder = |record: &Record| match &record.proposal {
        Proposal::Claim(claim) => claim.holder.as_str() == holder,
        _ => false,
    };
    records.filter(is_by_holder).count()
}

#[test]
fn a_planner_that_has_not_folded_the_log_claims_nothing() {
    let (fleet, runtime) = (open_standins(), Runtime::start(2).expect("threads"));
    let (first, _planner) = open_planner(&fleet, "p1", &runtime);
    wait_until("the role is held", || first.view().planner.is_some());

    let (second, _second_planner) = open_planner(&fleet, "p2", &runtime);

    wait_until("the log is folded", || second.view().planner.is_some());
    sleep(Duration::from_millis(300));
    assert_eq!(claim_count(&fleet, "p2"), 0);
}

#[test]
fn another_planner_takes_over_from_one_that_stopped() {
    let (fleet, runtime) = (open_standins(), Runtime::start(2).expect("threads"));
    let entry = open_control(&fleet, "e1");
    let holder = || entry.view().planner.clone().map(|(id, _)| id);
    let first = open_planner(&fleet, "p1", &runtime);
    wait_until("the role is held", || holder() == Some(MemberId::new("p1")));
    let _second = open_planner(&fleet, "p2", &runtime);

    drop(first);

    wait_until("the role is taken over", || {
        holder() == Some(MemberId::new("p2"))
    });
    publish_all(&fleet);
    wait_until("the new planner acts", || {
        target_count(&entry, "red-pool") == 3
    });
}

fn submit(entry: &Control, id: &str, task: &str) {
    let mut job = job(id, "red", 4, JobPhase::Waiting).job;
    task.clone_into(&mut job.task);
    let verdict = block_on(entry.propose(Proposal::Submit(job)));
    assert!(matches!(verdict, Ok(Verdict::Accepted(_))), "{verdict:?}");
}

fn cancel(entry: &Control, id: &str) {
    let id = JobId::new(id);
    let step = block_on(entry.job(&id)).expect("a job").step;
    let update = JobUpdate {
        id,
        expected_step: step,
        phase: JobPhase::Cancelled,
        epoch: None,
    };
    let verdict = block_on(entry.propose(Proposal::Update(update)));
    assert!(matches!(verdict, Ok(Verdict::Accepted(_))), "{verdict:?}");
}

fn running_tasks(fleet: &Fleet) -> usize {
    let tasks = fleet.control().tasks();
    let running = tasks
        .values()
        .flatten()
        .filter(|task| task.state == TaskState::Running);
    running.count()
}

// Only the end of its lease, 10 s later, stopped it.
#[test]
fn a_task_whose_worker_was_unavailable_at_the_cancel_is_stopped_afterwards() {
    let (fleet, runtime) = (open_standins(), Runtime::start(2).expect("threads"));
    let entry = open_control(&fleet, "e1");
    let _planner = open_planner(&fleet, "p1", &runtime);
    publish_all(&fleet);
    wait_until("the document is accepted", || {
        target_count(&entry, "spare") == 1
    });
    submit(&entry, "j1", "hang");
    wait_until("the task runs", || running_tasks(&fleet) == 1);
    let workers = SiteName::Workers;
    fleet
        .control()
        .set(&workers, &Fault::Unavailable)
        .expect("set");

    cancel(&entry, "j1");
    sleep(Duration::from_secs(1));
    fleet.control().clear(&workers).expect("cleared");
    sleep(Duration::from_secs(3));

    assert_eq!(running_tasks(&fleet), 0);
}
