//! A member that only reads the control log, run inside the test process.

use std::net::SocketAddr;

use amaranthwick::config::CommonConfig;
use amaranthwick::control::{self, Control};
use amaranthwick::dev;
use amaranthwick::http::Server;
use amaranthwick::membership::NoPeers;
use amaranthwick::runtime::Runtime;
use amaranthwick::services::{LogClient, VmsClient};
use amaranthwick::telemetry::{Admin, DaemonStatus, Metrics, ProcessInfo};
use amaranthwick_standins::Fleet;
use serde_json::Value;

/// Keeps control state from the log and serves it at an admin address.
pub struct LogFollower {
    pub control: Control,
    admin: Server,
    _runtime: Runtime,
}

/// A follower has no state of its own to show in `/state`.
struct EmptyDump;

impl DaemonStatus for EmptyDump {
    async fn dump(&self) -> Value {
        Value::Null
    }
}

impl LogFollower {
    pub fn open(id: &str, fleet: &Fleet) -> Self {
        let common = common_settings(id, fleet);
        let log = LogClient::new(common.platform.log, &common.data_centre);
        let vms = VmsClient::new(common.platform.vms, &common.data_centre);
        let control = control::spawn(&common, log, vms, NoPeers).expect("control thread");
        let runtime = Runtime::start(1).expect("traffic thread");
        let process = ProcessInfo {
            program: "node",
            id: common.id,
            data_centre: common.data_centre,
        };
        let admin = Admin::bind(
            loopback(),
            &runtime,
            process,
            control.clone(),
            Metrics::new(),
            EmptyDump,
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

/// Returns the settings of a process that uses `fleet`, with the example document's keys.
pub fn common_settings(id: &str, fleet: &Fleet) -> CommonConfig {
    dev::common_config_on(fleet, id, "ploce")
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
