//! Time of a tick of the control thread, which comes four times a second, and of building the view,
//! which follows each tick and each batch of records.

use std::time::{Duration, Instant};

use amaranthwick::config::CommonConfig;
use amaranthwick::control::{Core, Settings};
use amaranthwick::dev;
use amaranthwick::id::{ClassId, DataCentre, Generation, Incarnation, Rack, VmId};
use amaranthwick::ledger::{decode_snapshot, encode_snapshot};
use amaranthwick::secret::FleetSecret;
use amaranthwick::services::{ListVersion, Listing, Vm, VmPhase};

use crate::fleet::{DATA_CENTRES, FleetSize, TARGET_SIZE, full_fleet, trusted_keys, vm_name};

/// Ticks over which times are averaged.
const ROUNDS: u32 = 200;

pub(crate) fn run() {
    let today = FleetSize {
        workers: 100,
        teams: 6,
        pools: 6,
    };
    measure("today", &today);
    measure("aim", &TARGET_SIZE);
}

fn measure(name: &str, size: &FleetSize) {
    let mut now = Instant::now();
    let mut core = open_core(now);
    let state = encode_snapshot(&full_fleet(size).state);
    assert!(core.adopt(decode_snapshot(&state, &trusted_keys()).expect("valid")));
    let list = Listing::Whole {
        version: ListVersion(1),
        vms: (0..size.workers).map(listed_vm).collect(),
    };
    core.apply_vm_list(list, now).expect("an accepted list");
    let (mut ticks, mut views) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..ROUNDS {
        now += Duration::from_millis(250);
        let started = Instant::now();
        core.tick(now);
        ticks += started.elapsed();
        let started = Instant::now();
        let view = core.view(now);
        views += started.elapsed();
        assert!(view.document.is_some());
    }
    println!(
        "control={name} tick_us={} view_us={}",
        (ticks / ROUNDS).as_micros(),
        (views / ROUNDS).as_micros()
    );
}

/// VM `n` as the platform lists it.
fn listed_vm(n: usize) -> Vm {
    Vm {
        id: VmId::new(&vm_name(n)),
        class: ClassId::new("worker"),
        data_centre: DataCentre::new(&format!("dc-{}", n % DATA_CENTRES)),
        rack: Rack::new(&format!("rack-{}", n / 4)),
        address: Some(([10, 0, 0, 1], 80).into()),
        phase: VmPhase::Live,
        generation: Generation(0),
    }
}

/// State of a control thread that exchanges heartbeats and has read nothing yet.
fn open_core(now: Instant) -> Core {
    let common = CommonConfig {
        secret: FleetSecret::new([7; 32]),
        ..dev::common_config("entry-00", "dc-0")
    };
    let settings = Settings {
        heartbeats: true,
        ..Settings::default()
    };
    let mut core = Core::new(&common, &settings, Incarnation(1), now);
    core.set_peer_address(([127, 0, 0, 1], 0).into(), now);
    core
}
