//! Traffic and processor time that following the VM list takes, by number of VMs.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use amaranthwick::config::{CommonConfig, PlatformAddresses};
use amaranthwick::control::{self, Control};
use amaranthwick::document::example;
use amaranthwick::id::{DataCentre, MemberId, VmId};
use amaranthwick::membership::NoPeers;
use amaranthwick::secret::FleetSecret;
use amaranthwick::services::{LogClient, Pools, PoolsClient, VmsClient};
use amaranthwick_standins::{ClassSpec, DataCentreSpec, Fleet, FleetSpec, Kind};
use futures_lite::future::block_on;
use indexmap::IndexMap;

use crate::relay::Relay;
use crate::usage;

const SIZES: [usize; 3] = [110, 1_000, 3_100];
const DATA_CENTRES: usize = 10;

/// Time to read the first list.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// Changes of the list while it is measured.
const DRAINS: u64 = 5;

pub(crate) fn run() {
    for vms in SIZES {
        let fleet = open_fleet(vms);
        let relay = Relay::open(fleet.vms_address());
        let control = spawn_control(&fleet, relay.address);
        sleep(SETTLE_TIME);
        assert_eq!(known_vms(&control), vms, "the whole list is known");
        measure(vms, 0, &fleet, &relay);
        measure(vms, DRAINS, &fleet, &relay);
    }
}

/// The changes of the list are drains, spread evenly over [`MEASURED_TIME`].
fn measure(vms: usize, drains: u64, fleet: &Fleet, relay: &Relay) {
    let pools = PoolsClient::new(fleet.pools_address(), &DataCentre::new("dc-0"));
    let (before, cpu) = (relay.traffic(), control_cpu_ns());
    let started = Instant::now();
    for n in 0..drains {
        let vm = VmId::new(&format!("dc-{n}-worker-0"));
        block_on(pools.drain(&vm, amaranthwick::id::Generation(0))).expect("drained");
        sleep(MEASURED_TIME / u32::try_from(drains + 1).expect("few"));
    }
    sleep(MEASURED_TIME.saturating_sub(started.elapsed()));
    let seconds = started.elapsed().as_secs_f64();
    let traffic = relay.traffic().since(before);
    let cpu = (control_cpu_ns() - cpu) as f64 / 1e9;
    println!(
        "vm_list=follow vms={vms} changes={drains} seconds={seconds:.1} sent_bytes_per_s={:.0} received_bytes_per_s={:.0} connections_per_s={:.2} core_percent={:.3}",
        traffic.sent as f64 / seconds,
        traffic.received as f64 / seconds,
        traffic.connections as f64 / seconds,
        100.0 * cpu / seconds,
    );
}

/// Processor time of the control threads of this process.
fn control_cpu_ns() -> u64 {
    usage::own_control_cpu_ns()
}

/// Number of VMs that the control thread knows.
fn known_vms(control: &Control) -> usize {
    block_on(control.fleet()).map_or(0, |fleet| fleet.vms.len())
}

/// Stand-ins for a platform with `vms` workers, in equal parts in all data centres.
pub(crate) fn open_fleet(vms: usize) -> Fleet {
    let worker = ClassSpec {
        kind: Kind::Worker,
        ..ClassSpec::default()
    };
    let data_centre = DataCentreSpec {
        vms: IndexMap::from([("worker".to_owned(), vms / DATA_CENTRES)]),
        per_rack: 4,
    };
    let data_centres = (0..DATA_CENTRES).map(|n| (format!("dc-{n}"), data_centre.clone()));
    let spec = FleetSpec {
        classes: IndexMap::from([("worker".to_owned(), worker)]),
        data_centres: data_centres.collect(),
        ..FleetSpec::default()
    };
    Fleet::open(&spec).expect("stand-ins")
}

/// Starts a control thread that reads the VM list from the address `vms`.
fn spawn_control(fleet: &Fleet, vms: SocketAddr) -> Control {
    let any = ([127, 0, 0, 1], 0).into();
    let common = CommonConfig {
        id: MemberId::new("entry-00"),
        data_centre: DataCentre::new("dc-0"),
        peer: any,
        admin: any,
        peers: IndexMap::new(),
        platform: PlatformAddresses {
            log: fleet.log_address(),
            vms,
            pools: fleet.pools_address(),
            workers: fleet.workers_address(),
        },
        secret: FleetSecret::new([7; 32]),
        root_key: example::operator_key("root").public(),
    };
    let log = LogClient::new(common.platform.log, &common.data_centre);
    let list = VmsClient::new(vms, &common.data_centre);
    control::spawn(&common, log, list, NoPeers).expect("control thread")
}
