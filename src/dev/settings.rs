//! Settings of processes for tests: example keys, and loopback ports chosen by the kernel.

use std::net::SocketAddr;

use amaranthwick_standins as standins;
use indexmap::IndexMap;

use crate::config::{CommonConfig, PlatformAddresses};
use crate::document::example;
use crate::id::{DataCentre, MemberId};
use crate::secret::FleetSecret;

/// Settings of a process that can't reach a platform: all its addresses have port 0.
#[must_use]
pub fn common_config(id: &str, data_centre: &str) -> CommonConfig {
    CommonConfig {
        id: MemberId::new(id),
        data_centre: DataCentre::new(data_centre),
        peer: loopback(),
        admin: loopback(),
        peers: IndexMap::new(),
        platform: PlatformAddresses {
            log: loopback(),
            vms: loopback(),
            pools: loopback(),
            workers: loopback(),
        },
        secret: FleetSecret::new(example::fleet_secret()),
        root_key: example::operator_key("root").public(),
    }
}

/// Settings of a process that uses the stand-ins of `fleet` as its platform.
#[must_use]
pub fn common_config_on(fleet: &standins::Fleet, id: &str, data_centre: &str) -> CommonConfig {
    CommonConfig {
        platform: PlatformAddresses {
            log: fleet.log_address(),
            vms: fleet.vms_address(),
            pools: fleet.pools_address(),
            workers: fleet.workers_address(),
        },
        ..common_config(id, data_centre)
    }
}

/// Loopback address with port 0, so that the kernel chooses a port.
pub(super) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
