//! A process that only follows the log, run inside the test.

use std::net::SocketAddr;

use amaranthwick::config::{Common, Platform};
use amaranthwick::control::{self, Control};
use amaranthwick::document::example;
use amaranthwick::http::Server;
use amaranthwick::id::{DataCentre, Incarnation, MemberId};
use amaranthwick::membership::NoPeers;
use amaranthwick::platform::{LogClient, VmsClient};
use amaranthwick::runtime::Runtime;
use amaranthwick::secret::FleetSecret;
use amaranthwick::telemetry::{Admin, Dump, Metrics, Process};
use amaranthwick_standins::Fleet;
use indexmap::IndexMap;
use serde_json::Value;

/// A follower of the log with an admin address.
pub struct Node {
    pub control: Control,
    admin: Server,
    _runtime: Runtime,
}

struct Nothing;

impl Dump for Nothing {
    async fn dump(&self) -> Value {
        Value::Null
    }
}

impl Node {
    pub fn open(id: &str, fleet: &Fleet) -> Self {
        let common = common(id, fleet);
        let log = LogClient::new(common.platform.log, &common.data_centre);
        let vms = VmsClient::new(common.platform.vms, &common.data_centre);
        let control = control::spawn(&common, log, vms, NoPeers).expect("control thread");
        let runtime = Runtime::open(1).expect("traffic thread");
        let process = Process {
            program: "node",
            id: common.id,
            data_centre: common.data_centre,
            incarnation: Incarnation(1),
        };
        let admin = Admin::bind(
            loopback(),
            &runtime,
            process,
            control.clone(),
            Metrics::open(),
            Nothing,
        )
        .expect("admin address");
        Self {
            control,
            admin,
            _runtime: runtime,
        }
    }

    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }
}

/// Settings of a process in `fleet`, under the example keys.
pub fn common(id: &str, fleet: &Fleet) -> Common {
    Common {
        id: MemberId::new(id),
        data_centre: DataCentre::new("ploce"),
        peer: loopback(),
        admin: loopback(),
        peers: IndexMap::new(),
        platform: Platform {
            log: fleet.log_address(),
            vms: fleet.vms_address(),
            pools: fleet.pools_address(),
            workers: fleet.workers_address(),
        },
        secret: FleetSecret::new(example::fleet_secret()),
        root_key: example::operator("root").public(),
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
