//! Starts the daemons as separate processes that use the test's stand-in platform.

use std::net::SocketAddr;
use std::path::Path;

use amaranthwick::document::{example, hex};
use amaranthwick_standins::Fleet;

use super::directory::TempDirectory;
use super::process::Process;

/// A running daemon and the addresses that it logged.
pub struct Daemon {
    pub process: Process,
    /// Member id from its settings.
    pub id: String,
    pub admin_address: SocketAddr,
    /// Address for callers' requests; `None` for a planner.
    pub caller_address: Option<SocketAddr>,
}

/// Starts daemons on one stand-in platform, each with a settings file in a temporary directory.
pub struct DaemonStarter {
    directory: TempDirectory,
    /// Addresses of the platform's services, as a JSON object for the settings.
    platform: String,
}

impl DaemonStarter {
    pub fn new(fleet: &Fleet) -> Self {
        let platform = format!(
            "{{ \"log\": \"{}\", \"vms\": \"{}\", \"pools\": \"{}\", \"workers\": \"{}\" }}",
            fleet.log_address(),
            fleet.vms_address(),
            fleet.pools_address(),
            fleet.workers_address(),
        );
        Self {
            directory: TempDirectory::create(),
            platform,
        }
    }

    pub fn start_entry(&self, id: &str, data_centre: &str) -> Daemon {
        self.start_entry_with_peers(id, data_centre, &[])
    }

    /// Starts an entry that fetches the control state from `peers` when the log is unreachable.
    pub fn start_entry_with_peers(&self, id: &str, data_centre: &str, peers: &[&Daemon]) -> Daemon {
        let peers = peers.iter().map(|peer| {
            let address = peer.process.address("peers");
            format!("\"{}\": \"{address}\"", peer.id)
        });
        let daemon_settings = format!(
            "\"callers\": \"127.0.0.1:0\", \"threads\": 2, \"max_callers\": 200, \
             \"max_body_bytes\": 1048576, \"stale_ms\": 5000, \"drain_ms\": 200, \
             \"peers\": {{ {} }}",
            peers.collect::<Vec<_>>().join(", ")
        );
        let program = env!("CARGO_BIN_EXE_amaranthwick-entry");
        let process = self.start(program, id, data_centre, &daemon_settings);
        Daemon {
            id: id.to_owned(),
            admin_address: process.address("admin"),
            caller_address: Some(process.address("callers")),
            process,
        }
    }

    pub fn start_planner(&self, id: &str, data_centre: &str) -> Daemon {
        let daemon_settings = "\"lease_ms\": 2000, \"snapshot_every\": 1000";
        let program = env!("CARGO_BIN_EXE_amaranthwick-planner");
        let process = self.start(program, id, data_centre, daemon_settings);
        Daemon {
            id: id.to_owned(),
            admin_address: process.address("admin"),
            caller_address: None,
            process,
        }
    }

    fn start(&self, program: &str, id: &str, data_centre: &str, daemon_settings: &str) -> Process {
        let settings = format!(
            "{{ \"id\": \"{id}\", \"data_centre\": \"{data_centre}\", \
             \"peer\": \"127.0.0.1:0\", \"admin\": \"127.0.0.1:0\", \"platform\": {}, \
             \"secret\": \"{}\", \"root_key\": \"{}\", {daemon_settings} }}",
            self.platform,
            hex::encode(&example::fleet_secret()),
            hex::encode(&example::operator_key("root").public()),
        );
        let path = self.directory.write(&format!("{id}.jsonc"), &settings);
        let path = path.to_str().expect("path is text");
        Process::spawn(Path::new(program), &["--config", path])
    }
}
