//! What a control thread does four times a second and after each batch of records.

use std::time::{Duration, Instant};

use amaranthwick::config::CommonConfig;
use amaranthwick::control::{Core, Settings};
use amaranthwick::dev;
use amaranthwick::id::{ClassId, DataCentre, Generation, Incarnation, Rack, VmId};
use amaranthwick::ledger::{decode_snapshot, encode_snapshot};
use amaranthwick::secret::FleetSecret;
use amaranthwick::services::{ListVersion, Listing, Vm, VmPhase};

use crate::fleet::{AIM, DATA_CENTRES, Size, full, trust, vm};

const ROUNDS: u32 = 200;

pub(crate) fn run() {
    let today = Size {
        workers: 100,
        teams: 6,
        pools: 6,
    };
    measure("today", &today);
    measure("aim", &AIM);
}

fn measure(name: &str, size: &Size) {
    let mut now = Instant::now();
    let mut core = open(now);
    let state = encode_snapshot(&full(size).state);
    assert!(core.adopt(decode_snapshot(&state, &trust()).expect("valid")));
    let list = Listing::Whole {
        version: ListVersion(1),
        vms: (0..size.workers).map(listed).collect(),
    };
    core.apply_vm_list(list, now).expect("believed");
    let (mut ticks, mut views) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..ROUNDS {
        now += Duration::from_millis(250);
        let began = Instant::now();
        core.tick(now);
        ticks += began.elapsed();
        let began = Instant::now();
        let view = core.view(now);
        views += began.elapsed();
        assert!(view.document.is_some());
    }
    println!(
        "control={name} tick_us={} view_us={}",
        (ticks / ROUNDS).as_micros(),
        (views / ROUNDS).as_micros()
    );
}

fn listed(n: usize) -> Vm {
    Vm {
        id: VmId::new(&vm(n)),
        class: ClassId::new("worker"),
        data_centre: DataCentre::new(&format!("dc-{}", n % DATA_CENTRES)),
        rack: Rack::new(&format!("rack-{}", n / 4)),
        address: Some(([10, 0, 0, 1], 80).into()),
        phase: VmPhase::Live,
        generation: Generation(0),
    }
}

fn open(now: Instant) -> Core {
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
