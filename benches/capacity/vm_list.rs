//! Cost of following the VM list, by VMs.

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
const SETTLE: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(10);
const CHANGES: u64 = 5;

pub(crate) fn run() {
    for vms in SIZES {
        let fleet = open_fleet(vms);
        let relay = Relay::open(fleet.vms_address());
        let control = follow(&fleet, relay.address);
        sleep(SETTLE);
        assert_eq!(listed(&control), vms, "the whole list is known");
        measure(vms, 0, &fleet, &relay);
        measure(vms, CHANGES, &fleet, &relay);
    }
}

/// Drains that are spread over the span are the changes.
fn measure(vms: usize, changes: u64, fleet: &Fleet, relay: &Relay) {
    let pools = PoolsClient::new(fleet.pools_address(), &DataCentre::new("dc-0"));
    let (before, cpu) = (relay.passed(), cpu_ns());
    let began = Instant::now();
    for n in 0..changes {
        let vm = VmId::new(&format!("dc-{n}-worker-0"));
        block_on(pools.drain(&vm, amaranthwick::id::Generation(0))).expect("drained");
        sleep(SPAN / u32::try_from(changes + 1).expect("few"));
    }
    sleep(SPAN.saturating_sub(began.elapsed()));
    let seconds = began.elapsed().as_secs_f64();
    let passed = relay.passed().since(before);
    let cpu = (cpu_ns() - cpu) as f64 / 1e9;
    println!(
        "vm_list=follow vms={vms} changes={changes} seconds={seconds:.1} sent_bytes_per_s={:.0} received_bytes_per_s={:.0} connections_per_s={:.2} core_percent={:.3}",
        passed.sent as f64 / seconds,
        passed.received as f64 / seconds,
        passed.connections as f64 / seconds,
        100.0 * cpu / seconds,
    );
}

fn cpu_ns() -> u64 {
    usage::own_control_ns()
}

fn listed(control: &Control) -> usize {
    block_on(control.fleet()).map_or(0, |fleet| fleet.vms.len())
}

pub(crate) fn open_fleet(vms: usize) -> Fleet {
    let worker = ClassSpec {
        kind: Kind::Worker,
        ..ClassSpec::default()
    };
    let place = DataCentreSpec {
        vms: IndexMap::from([("worker".to_owned(), vms / DATA_CENTRES)]),
        per_rack: 4,
    };
    let places = (0..DATA_CENTRES).map(|n| (format!("dc-{n}"), place.clone()));
    let spec = FleetSpec {
        classes: IndexMap::from([("worker".to_owned(), worker)]),
        data_centres: places.collect(),
        ..FleetSpec::default()
    };
    Fleet::open(&spec).expect("stand-ins")
}

fn follow(fleet: &Fleet, vms: SocketAddr) -> Control {
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
