//! The daemons as processes of their own, on stand-ins inside the test.

use std::net::SocketAddr;
use std::path::Path;

use amaranthwick::document::{example, hex};
use amaranthwick_standins::Fleet;

use super::directory::Directory;
use super::process::Process;

/// A daemon and the addresses that it logged.
pub struct Daemon {
    pub process: Process,
    pub id: String,
    pub admin: SocketAddr,
    /// Address for callers; planners have none.
    pub callers: Option<SocketAddr>,
}

/// Starts daemons that use one platform.
pub struct Starter {
    directory: Directory,
    platform: String,
}

impl Starter {
    pub fn new(fleet: &Fleet) -> Self {
        let platform = format!(
            "{{ \"log\": \"{}\", \"vms\": \"{}\", \"pools\": \"{}\", \"workers\": \"{}\" }}",
            fleet.log_address(),
            fleet.vms_address(),
            fleet.pools_address(),
            fleet.workers_address(),
        );
        Self {
            directory: Directory::create(),
            platform,
        }
    }

    pub fn entry(&self, id: &str, data_centre: &str) -> Daemon {
        self.entry_with(id, data_centre, &[])
    }

    /// An entry that asks `peers` for their state when the log is away.
    pub fn entry_with(&self, id: &str, data_centre: &str, peers: &[&Daemon]) -> Daemon {
        let peers = peers.iter().map(|peer| {
            let address = peer.process.address("peers");
            format!("\"{}\": \"{address}\"", peer.id)
        });
        let own = format!(
            "\"callers\": \"127.0.0.1:0\", \"threads\": 2, \"max_callers\": 200, \
             \"max_body_bytes\": 1048576, \"stale_ms\": 5000, \"drain_ms\": 200, \
             \"peers\": {{ {} }}",
            peers.collect::<Vec<_>>().join(", ")
        );
        let program = env!("CARGO_BIN_EXE_amaranthwick-entry");
        let process = self.start(program, id, data_centre, &own);
        Daemon {
            id: id.to_owned(),
            admin: process.address("admin"),
            callers: Some(process.address("callers")),
            process,
        }
    }

    pub fn planner(&self, id: &str, data_centre: &str) -> Daemon {
        let own = "\"lease_ms\": 2000, \"snapshot_every\": 1000";
        let program = env!("CARGO_BIN_EXE_amaranthwick-planner");
        let process = self.start(program, id, data_centre, own);
        Daemon {
            id: id.to_owned(),
            admin: process.address("admin"),
            callers: None,
            process,
        }
    }

    fn start(&self, program: &str, id: &str, data_centre: &str, own: &str) -> Process {
        let settings = format!(
            "{{ \"id\": \"{id}\", \"data_centre\": \"{data_centre}\", \
             \"peer\": \"127.0.0.1:0\", \"admin\": \"127.0.0.1:0\", \"platform\": {}, \
             \"secret\": \"{}\", \"root_key\": \"{}\", {own} }}",
            self.platform,
            hex::encode(&example::fleet_secret()),
            hex::encode(&example::operator_key("root").public()),
        );
        let path = self.directory.write(&format!("{id}.jsonc"), &settings);
        let path = path.to_str().expect("path is text");
        Process::spawn(Path::new(program), &["--config", path])
    }
}
