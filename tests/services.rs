//! Clients of the platform's services, against stand-ins with injected faults.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use amaranthwick::http::ClientLimits;
use amaranthwick::id::{ClassId, DataCentre, Generation, Offset, Rack, VmId};
use amaranthwick::services::{
    ListVersion, Listing, Log, LogClient, LogError, PlatformError, Pools, PoolsClient, TaskSpec,
    TaskState, Vm, VmList, VmPhase, VmsClient, Workers, WorkersClient,
};
use amaranthwick_standins::{
    ClassSpec, DataCentreSpec, Fault, Fleet, FleetSpec, Kind, LogSpec, PLATFORM, SiteName,
    WrongAnswer,
};
use futures_lite::future::block_on;
use indexmap::IndexMap;
use rstest::rstest;

const STREAM: &str = "fleet";
const EXECUTOR: &str = "split-small-0";
const WORKER: &str = "split-guarded-0";
const SHORT: ClientLimits = ClientLimits {
    connect_ms: 2_000,
    response_ms: 200,
    body_ms: 0,
    max_body: 1 << 20,
};

fn fleet() -> Fleet {
    fleet_with(LogSpec::default())
}

fn fleet_with(log: LogSpec) -> Fleet {
    let worker = ClassSpec {
        kind: Kind::Worker,
        ..ClassSpec::default()
    };
    let vms = IndexMap::from([("small".to_owned(), 1), ("guarded".to_owned(), 1)]);
    let data_centre = DataCentreSpec { vms, per_rack: 4 };
    let spec = FleetSpec {
        classes: IndexMap::from([
            ("small".to_owned(), ClassSpec::default()),
            ("guarded".to_owned(), worker),
        ]),
        data_centres: IndexMap::from([("split".to_owned(), data_centre)]),
        log,
        list_lag_ms: 0,
        usage_lag_ms: 0,
        reboot_ms: 600_000,
        ..FleetSpec::default()
    };
    Fleet::open(&spec).unwrap()
}

fn split() -> DataCentre {
    DataCentre::new("split")
}

fn log(fleet: &Fleet) -> LogClient {
    LogClient::new(fleet.log_address(), &split())
}

fn vms(fleet: &Fleet) -> VmsClient {
    VmsClient::new(fleet.vms_address(), &split())
}

fn whole(vms: &VmsClient) -> Vec<Vm> {
    match block_on(vms.list(None)) {
        Ok(Listing::Whole { vms, .. }) => vms,
        other => panic!("{other:?}"),
    }
}

fn pools(fleet: &Fleet) -> PoolsClient {
    PoolsClient::new(fleet.pools_address(), &split())
}

fn workers(fleet: &Fleet) -> WorkersClient {
    WorkersClient::new(fleet.workers_address(), &split())
}

fn set(fleet: &Fleet, site: &SiteName, fault: &Fault) {
    fleet.control().set(site, fault).unwrap();
}

const fn wrong(answer: WrongAnswer) -> Fault {
    Fault::Wrong {
        answer,
        delay_ms: 0,
        count: Some(1),
    }
}

fn records(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|text| text.as_bytes().to_vec()).collect()
}

fn task(id: &str, program: &str) -> TaskSpec {
    TaskSpec {
        id: id.to_owned(),
        task: program.to_owned(),
        input: "sheep".to_owned(),
        cores: 4,
        memory_mb: 1_024,
        accelerators: 0,
        lease_ms: 600_000,
    }
}

/// Starts a service that answers one request with a fixed status and body.
fn answer_once(status: &str, body: &str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let length = body.len();
    let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut seen = Vec::new();
        while !seen.windows(4).any(|part| part == b"\r\n\r\n") {
            let mut bytes = [0; 1_024];
            let n = stream.read(&mut bytes).unwrap();
            seen.extend_from_slice(&bytes[..n]);
        }
        stream.write_all(answer.as_bytes()).unwrap();
        let _ = stream.read_to_end(&mut seen);
    });
    address
}

#[test]
fn appends_and_reads_back_in_order() {
    let fleet = fleet();
    let log = log(&fleet);

    let first = block_on(log.append(STREAM, &records(&["a", "b"]))).unwrap();
    let second = block_on(log.append(STREAM, &records(&["c"]))).unwrap();
    let batch = block_on(log.read(STREAM, Offset(1), 10, 0)).unwrap();
    let bounded = block_on(log.read(STREAM, Offset(0), 2, 0)).unwrap();

    assert_eq!((first, second), (Offset(0), Offset(2)));
    assert_eq!(
        (batch.oldest, batch.head, batch.first),
        (Offset(0), Offset(3), Offset(1))
    );
    assert_eq!(batch.records, records(&["b", "c"]));
    assert_eq!(bounded.records, records(&["a", "b"]));
}

#[test]
fn keeps_records_of_any_bytes() {
    let fleet = fleet();
    let all: Vec<u8> = (0..=255).collect();

    block_on(log(&fleet).append(STREAM, &[all.clone(), Vec::new()])).unwrap();
    let batch = block_on(log(&fleet).read(STREAM, Offset(0), 10, 0)).unwrap();

    assert_eq!(batch.records, [all, Vec::new()]);
}

#[test]
fn a_read_may_wait_longer_than_a_plain_answer_may_take() {
    let fleet = fleet();
    let log = log(&fleet).with_limits(SHORT);
    let begun = Instant::now();

    let batch = block_on(log.read(STREAM, Offset(0), 10, 400)).unwrap();

    assert!(batch.records.is_empty());
    assert!(begun.elapsed() >= Duration::from_millis(400));
}

#[test]
fn a_read_of_expired_records_names_the_oldest_kept() {
    let fleet = fleet_with(LogSpec {
        max_records: 2,
        ..LogSpec::default()
    });
    let log = log(&fleet);
    block_on(log.append(STREAM, &records(&["a", "b", "c", "d", "e"]))).unwrap();

    let expired = block_on(log.read(STREAM, Offset(0), 10, 0));

    assert_eq!(expired, Err(LogError::Expired(Offset(3))));
}

#[test]
fn an_unavailable_log_has_taken_nothing() {
    let fleet = fleet();
    set(&fleet, &SiteName::Log, &Fault::Unavailable);

    let append = block_on(log(&fleet).append(STREAM, &records(&["a"])));
    let read = block_on(log(&fleet).read(STREAM, Offset(0), 10, 0));

    assert_eq!(append, Err(LogError::Unavailable));
    assert_eq!(read, Err(LogError::Unavailable));
    assert_eq!(fleet.control().head(STREAM), 0);
}

#[test]
fn a_call_to_a_log_that_is_down_is_not_sent() {
    let fleet = fleet();
    set(&fleet, &SiteName::Log, &Fault::Down);

    let append = block_on(log(&fleet).append(STREAM, &records(&["a"])));

    assert!(matches!(append, Err(LogError::NotSent(_))), "{append:?}");
}

#[rstest]
#[case::lost(Fault::Lost { count: Some(1) }, 1)]
#[case::short(wrong(WrongAnswer::Short), 1)]
#[case::garbage(wrong(WrongAnswer::Garbage), 1)]
#[case::bad_status(wrong(WrongAnswer::BadStatus), 1)]
#[case::frozen(Fault::Frozen, 0)]
#[case::slow(Fault::Slow { ms: 600_000 }, 0)]
fn an_append_without_a_whole_answer_is_unknown(#[case] fault: Fault, #[case] head: u64) {
    let fleet = fleet();
    set(&fleet, &SiteName::Log, &fault);

    let log = log(&fleet).with_limits(SHORT);
    let append = block_on(log.append(STREAM, &records(&["a"])));

    assert!(matches!(append, Err(LogError::Unknown(_))), "{append:?}");
    assert_eq!(fleet.control().head(STREAM), head);
}

#[rstest]
#[case::requests("split", PLATFORM, 0)]
#[case::answers(PLATFORM, "split", 1)]
fn an_append_over_a_one_way_partition_is_unknown(
    #[case] from: &str,
    #[case] to: &str,
    #[case] head: u64,
) {
    let fleet = fleet();
    fleet.control().cut_one_way(from, to);
    let near = log(&fleet).with_limits(SHORT);
    let elsewhere = LogClient::new(fleet.log_address(), &DataCentre::new("zadar"));

    let cut = block_on(near.append(STREAM, &records(&["a"])));
    let other = block_on(elsewhere.append(STREAM, &records(&["b"])));

    assert!(matches!(cut, Err(LogError::Unknown(_))), "{cut:?}");
    assert_eq!(other, Ok(Offset(head)));
}

#[rstest]
#[case::truncated("200 OK", r#"{"first":"#)]
#[case::other_type("200 OK", r#"{"first":"one"}"#)]
#[case::no_field("200 OK", "{}")]
#[case::empty("200 OK", "")]
#[case::server_error("500 Internal Server Error", "odd")]
#[case::expired_without_offset("410 Gone", "{}")]
fn an_unreadable_answer_to_an_append_is_unknown(#[case] status: &str, #[case] body: &str) {
    let address = answer_once(status, body);

    let append = block_on(LogClient::new(address, &split()).append(STREAM, &records(&["a"])));

    let Err(LogError::Unknown(message)) = append else {
        panic!("{append:?}");
    };
    assert!(
        message.contains("append") && message.contains(&status[..3]),
        "{message}"
    );
}

#[rstest]
#[case::truncated(r#"{"oldest":0,"head":1,"first":0,"rec"#, "line 1 column")]
#[case::other_start(r#"{"oldest":0,"head":9,"first":3,"records":[]}"#, "start at 3")]
#[case::past_head(
    r#"{"oldest":0,"head":0,"first":0,"records":["YQ=="]}"#,
    "past the head"
)]
#[case::not_base64(r#"{"oldest":0,"head":1,"first":0,"records":["*"]}"#, "not base64")]
fn an_unreadable_answer_to_a_read_names_the_defect(#[case] body: &str, #[case] part: &str) {
    let address = answer_once("200 OK", body);

    let read = block_on(LogClient::new(address, &split()).read(STREAM, Offset(0), 10, 0));

    let Err(LogError::Unknown(message)) = read else {
        panic!("{read:?}");
    };
    assert!(message.contains(part), "{message}");
}

#[test]
fn a_refused_append_has_had_no_effect() {
    let fleet = fleet();

    let empty = block_on(log(&fleet).append(STREAM, &[]));
    let name = block_on(log(&fleet).append("a/b", &records(&["a"])));

    assert!(matches!(&empty, Err(LogError::NotSent(message)) if message.contains("no records")));
    assert!(matches!(&name, Err(LogError::NotSent(message)) if message.contains("bad stream")));
}

#[test]
fn lists_vms_with_their_locations() {
    let fleet = fleet();

    let vms = whole(&vms(&fleet));

    assert_eq!(vms.len(), 2);
    assert_eq!(vms[0].id, VmId::new(EXECUTOR));
    assert_eq!(vms[0].class, ClassId::new("small"));
    assert_eq!(vms[0].rack, Rack::new("split-rack-0"));
    assert_eq!(vms[0].address, Some(fleet.executors()[0].address));
    assert_eq!(
        (vms[0].phase, vms[0].generation),
        (VmPhase::Live, Generation(0))
    );
    assert_eq!(vms[1].address, None);
}

#[test]
fn a_list_that_is_cut_short_is_an_error() {
    let fleet = fleet();
    set(&fleet, &SiteName::Vms, &wrong(WrongAnswer::Short));

    let list = block_on(vms(&fleet).list(None));

    assert!(matches!(list, Err(PlatformError::Unknown(_))), "{list:?}");
}

#[test]
fn a_malformed_vm_in_the_list_is_an_error_with_its_position() {
    let address = answer_once("200 OK", r#"{"vms":[{"id":"vm-1","phase":"odd"}]}"#);

    let list = block_on(VmsClient::new(address, &split()).list(None));

    let Err(PlatformError::Unknown(message)) = list else {
        panic!("{list:?}");
    };
    assert!(
        message.contains("list") && message.contains("column"),
        "{message}"
    );
}

#[test]
fn a_conditional_read_gives_only_what_has_changed() {
    let fleet = fleet();
    let client = vms(&fleet);
    let first = ListVersion(1);

    let unchanged = block_on(client.list(Some(first)));
    block_on(pools(&fleet).drain(&VmId::new(EXECUTOR), Generation(0))).unwrap();
    let changed = block_on(client.list(Some(first)));

    assert_eq!(unchanged, Ok(Listing::Unchanged));
    let Ok(Listing::Changes {
        since,
        version,
        count,
        vms,
        ..
    }) = changed
    else {
        panic!("{changed:?}");
    };
    assert_eq!((since, version, count), (first, ListVersion(2), 2));
    assert_eq!(vms.len(), 1);
    assert_eq!(
        (vms[0].id.as_str(), vms[0].phase),
        (EXECUTOR, VmPhase::Leaving)
    );
}

#[rstest]
#[case::count("200 OK", r#"{"version":3,"count":2,"vms":[]}"#, "0 of 2")]
#[case::no_version("200 OK", r#"{"vms":[]}"#, "version")]
#[case::not_asked("304 Not Modified\r\nETag: \"9\"", "", "not modified")]
#[case::twice(
    "200 OK",
    r#"{"version":3,"count":2,"vms":[{"id":"a","class":"c","data_centre":"d","rack":"r","address":null,"phase":"live","generation":0},{"id":"a","class":"c","data_centre":"d","rack":"r","address":null,"phase":"live","generation":0}]}"#,
    "twice"
)]
fn a_list_that_contradicts_itself_is_an_error(
    #[case] status: &str,
    #[case] body: &str,
    #[case] part: &str,
) {
    let address = answer_once(status, body);

    let list = block_on(VmsClient::new(address, &split()).list(Some(ListVersion(2))));

    let Err(PlatformError::Unknown(message)) = list else {
        panic!("{list:?}");
    };
    assert!(message.contains(part), "{message}");
}

#[test]
fn drains_restores_and_reboots_by_generation() {
    let fleet = fleet();
    let pools = pools(&fleet);
    let vm = VmId::new(EXECUTOR);

    let drained = block_on(pools.drain(&vm, Generation(0)));
    let restored = block_on(pools.restore(&vm, Generation(1)));
    let rebooted = block_on(pools.reboot(&vm, Generation(2)));
    let listed = whole(&vms(&fleet));

    assert_eq!(drained, Ok(Generation(1)));
    assert_eq!(restored, Ok(Generation(2)));
    assert_eq!(rebooted, Ok(Generation(3)));
    assert_eq!(
        (listed[0].phase, listed[0].generation),
        (VmPhase::Down, Generation(3))
    );
}

#[test]
fn a_late_reboot_is_a_conflict_without_effect() {
    let fleet = fleet();
    let vm = VmId::new(EXECUTOR);
    block_on(pools(&fleet).drain(&vm, Generation(0))).unwrap();

    let late = block_on(pools(&fleet).reboot(&vm, Generation(0)));

    assert_eq!(late, Err(PlatformError::Conflict));
    let listed = whole(&vms(&fleet));
    assert_eq!(listed[0].phase, VmPhase::Leaving);
}

#[test]
fn a_repeat_after_a_lost_answer_is_a_conflict_and_not_a_second_reboot() {
    let fleet = fleet();
    let vm = VmId::new(EXECUTOR);
    set(&fleet, &SiteName::Pools, &Fault::Lost { count: Some(1) });

    let lost = block_on(pools(&fleet).reboot(&vm, Generation(0)));
    let repeat = block_on(pools(&fleet).reboot(&vm, Generation(0)));

    assert!(matches!(lost, Err(PlatformError::Unknown(_))), "{lost:?}");
    assert_eq!(repeat, Err(PlatformError::Conflict));
    assert_eq!(fleet.control().vms()[0].generation, 1);
}

#[test]
fn other_refusals_keep_the_message_of_the_service() {
    let fleet = fleet();
    let pools = pools(&fleet);

    let missing = block_on(pools.drain(&VmId::new("none"), Generation(0)));
    let refused = block_on(pools.restore(&VmId::new(EXECUTOR), Generation(0)));
    let name = block_on(pools.drain(&VmId::new("a/b"), Generation(0)));

    assert_eq!(missing, Err(PlatformError::Missing));
    assert!(matches!(&refused, Err(PlatformError::Refused(message)) if message.contains("Live")));
    assert!(matches!(name, Err(PlatformError::NotSent(_))), "{name:?}");
}

#[test]
fn calls_to_services_that_are_down_are_not_sent() {
    let fleet = fleet();
    for site in [SiteName::Vms, SiteName::Pools, SiteName::Workers] {
        set(&fleet, &site, &Fault::Down);
    }

    let list = block_on(vms(&fleet).list(None));
    let drain = block_on(pools(&fleet).drain(&VmId::new(EXECUTOR), Generation(0)));
    let stop = block_on(workers(&fleet).stop(&VmId::new(WORKER), "t-1"));

    assert!(matches!(list, Err(PlatformError::NotSent(_))), "{list:?}");
    assert!(matches!(drain, Err(PlatformError::NotSent(_))), "{drain:?}");
    assert!(matches!(stop, Err(PlatformError::NotSent(_))), "{stop:?}");
}

#[test]
fn a_task_is_started_renewed_throttled_and_stopped() {
    let fleet = fleet();
    let workers = workers(&fleet);
    let vm = VmId::new(WORKER);

    block_on(workers.start(&vm, &task("t-1", "hang"))).unwrap();
    let renewed = block_on(workers.renew(&vm, "t-1", 600_000)).unwrap();
    let slowed = block_on(workers.throttle(&vm, "t-1", 50)).unwrap();
    let stopped = block_on(workers.stop(&vm, "t-1")).unwrap();
    let status = block_on(workers.status(&vm, "t-1")).unwrap();

    assert_eq!(renewed.state, TaskState::Running);
    assert_eq!(slowed.state, TaskState::Running);
    assert_eq!(stopped.state, TaskState::Stopped);
    assert_eq!(status, stopped);
}

#[test]
fn a_task_that_ended_keeps_its_output() {
    let fleet = fleet();
    let workers = workers(&fleet);
    let vm = VmId::new(WORKER);

    block_on(workers.start(&vm, &task("t-1", "echo"))).unwrap();
    block_on(workers.start(&vm, &task("t-2", "fail"))).unwrap();
    let tasks = block_on(workers.tasks(&vm)).unwrap();

    assert_eq!(
        (tasks[0].state, tasks[0].output.as_str()),
        (TaskState::Done, "sheep")
    );
    assert_eq!(
        (tasks[1].id.as_str(), tasks[1].state),
        ("t-2", TaskState::Failed)
    );
}

#[test]
fn a_repeat_after_a_lost_start_runs_nothing_twice() {
    let fleet = fleet();
    let workers = workers(&fleet);
    let vm = VmId::new(WORKER);
    set(&fleet, &SiteName::Workers, &Fault::Lost { count: Some(1) });

    let lost = block_on(workers.start(&vm, &task("t-1", "hang")));
    let repeat = block_on(workers.start(&vm, &task("t-1", "hang")));
    let tasks = block_on(workers.tasks(&vm)).unwrap();

    assert!(matches!(lost, Err(PlatformError::Unknown(_))), "{lost:?}");
    assert_eq!(repeat, Ok(()));
    assert_eq!(tasks.len(), 1);
}

#[test]
fn a_checkpointed_task_resumes_under_another_id() {
    let fleet = fleet();
    let workers = workers(&fleet);
    let vm = VmId::new(WORKER);
    block_on(workers.start(&vm, &task("t-1", "hang"))).unwrap();

    let checkpoint = block_on(workers.checkpoint(&vm, "t-1")).unwrap();
    block_on(workers.stop(&vm, "t-1")).unwrap();
    block_on(workers.resume(&vm, &task("t-2", "hang"), &checkpoint)).unwrap();
    let unknown = block_on(workers.resume(&vm, &task("t-3", "hang"), "none"));

    let resumed = block_on(workers.status(&vm, "t-2")).unwrap();
    assert_eq!(resumed.state, TaskState::Running);
    assert_eq!(unknown, Err(PlatformError::Missing));
}

#[test]
fn workers_report_total_and_free_resources_and_usage() {
    let fleet = fleet();
    let workers = workers(&fleet);
    let vm = VmId::new(WORKER);
    block_on(workers.start(&vm, &task("t-1", "hog:600000:5000"))).unwrap();

    let list = block_on(workers.workers()).unwrap();
    let usage = block_on(workers.usage(&vm)).unwrap();

    assert_eq!((list[0].size.cores, list[0].free.cores), (16, 12));
    assert_eq!((list[0].vm.as_str(), list[0].off), (WORKER, false));
    assert_eq!(
        (usage.tasks[0].millicores, usage.tasks[0].memory_mb),
        (4_000, 5_000)
    );
}

#[test]
fn a_worker_that_is_full_or_off_refuses_with_a_message() {
    let fleet = fleet();
    let workers = workers(&fleet);
    let vm = VmId::new(WORKER);
    let large = TaskSpec {
        cores: 17,
        ..task("t-1", "echo")
    };

    let full = block_on(workers.start(&vm, &large));
    fleet.control().fail_vm(WORKER).unwrap();
    let off = block_on(workers.start(&vm, &task("t-2", "echo")));

    assert!(matches!(&full, Err(PlatformError::Refused(message)) if message.contains("no room")));
    assert!(matches!(&off, Err(PlatformError::Refused(message)) if message.contains("down")));
}
