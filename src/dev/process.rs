//! Entries and planners that run inside this process.

use std::net::SocketAddr;

use amaranthwick_standins as standins;
use anyhow::{Context, Result};
use serde_json::{Value, json};

use super::settings::{common_config_on, loopback};
use crate::config::{CommonConfig, EntryConfig, PlannerConfig};
use crate::control::{self, Control};
use crate::entry::Entry;
use crate::http::Server;
use crate::id::{DataCentre, MemberId};
use crate::membership::FetchOnlyPeers;
use crate::peer::Client;
use crate::planner::{self, Planner};
use crate::runtime::Runtime;
use crate::services::{LogClient, PoolsClient, VmsClient, WorkersClient};
use crate::telemetry::{Admin, DaemonStatus, Metrics, ProcessInfo};

const MAX_CALLERS: usize = 1_000;
const MAX_BODY_BYTES: usize = 1 << 20;
const STALE_MS: u64 = 5_000;
const LEASE_MS: u64 = 2_000;
const SNAPSHOT_EVERY_RECORDS: u64 = 1_000;

/// Starts entries and planners that share the stand-ins and the traffic threads.
#[derive(Clone, Copy)]
pub(super) struct Launcher<'a> {
    pub(super) standins: &'a standins::Fleet,
    pub(super) runtime: &'a Runtime,
}

/// An entry that runs in this process.
#[derive(Debug)]
pub struct EntryProcess {
    id: MemberId,
    entry: Entry,
    control: Control,
    admin: Server,
}

/// A planner that runs in this process.
#[derive(Debug)]
pub struct PlannerProcess {
    control: Control,
    admin: Server,
    _planner: Planner,
}

impl Launcher<'_> {
    pub(super) async fn start_entry(
        &self,
        id: &str,
        data_centre: &DataCentre,
    ) -> Result<EntryProcess> {
        let config = EntryConfig {
            common: self.common_config(id, data_centre),
            callers: loopback(),
            threads: 0,
            max_callers: MAX_CALLERS,
            max_body_bytes: MAX_BODY_BYTES,
            stale_ms: STALE_MS,
            drain_ms: 0,
        };
        let common = &config.common;
        let peers = Client::new(common.secret.clone());
        let control = control::spawn(common, log_client(common), vms_client(common), peers)?;
        let entry = Entry::open_on(&config, control.clone(), self.runtime)?;
        control.register(entry.peer_address()).await;
        let admin = self.bind_admin(
            "amaranthwick-entry",
            common,
            &control,
            entry.metrics(),
            entry.state(),
        )?;
        Ok(EntryProcess {
            id: common.id.clone(),
            entry,
            control,
            admin,
        })
    }

    pub(super) fn start_planner(
        &self,
        id: &str,
        data_centre: &DataCentre,
    ) -> Result<PlannerProcess> {
        let config = PlannerConfig {
            common: self.common_config(id, data_centre),
            lease_ms: LEASE_MS,
            snapshot_every: SNAPSHOT_EVERY_RECORDS,
        };
        let common = &config.common;
        let peers = FetchOnlyPeers(Client::new(common.secret.clone()));
        let control = control::spawn(common, log_client(common), vms_client(common), peers)?;
        let platform = planner::PlatformClients {
            workers: WorkersClient::new(common.platform.workers, data_centre),
            pools: PoolsClient::new(common.platform.pools, data_centre),
        };
        let planner = planner::spawn(&config, control.clone(), platform, self.runtime);
        let admin = self.bind_admin(
            "amaranthwick-planner",
            common,
            &control,
            Metrics::new(),
            EmptyState,
        )?;
        Ok(PlannerProcess {
            control,
            admin,
            _planner: planner,
        })
    }

    fn bind_admin(
        &self,
        program: &'static str,
        common: &CommonConfig,
        control: &Control,
        metrics: Metrics,
        dump: impl DaemonStatus,
    ) -> Result<Server> {
        let process = ProcessInfo::new(program, common);
        let control = control.clone();
        Admin::bind(common.admin, self.runtime, process, control, metrics, dump)
            .context("listen on an admin address")
    }

    fn common_config(&self, id: &str, data_centre: &DataCentre) -> CommonConfig {
        common_config_on(self.standins, id, data_centre.as_str())
    }
}

impl EntryProcess {
    /// Name of the entry.
    #[must_use]
    pub const fn id(&self) -> &MemberId {
        &self.id
    }

    /// Address where callers send requests.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.entry.caller_address()
    }

    /// Address where operators read state and metrics.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Handle to the control thread.
    #[must_use]
    pub const fn control(&self) -> &Control {
        &self.control
    }
}

impl PlannerProcess {
    /// Address where operators read state and metrics.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Handle to the control thread.
    #[must_use]
    pub const fn control(&self) -> &Control {
        &self.control
    }
}

/// State dump of a planner: it has no state beyond what the control thread dumps.
struct EmptyState;

impl DaemonStatus for EmptyState {
    async fn dump(&self) -> Value {
        json!({})
    }
}

fn log_client(common: &CommonConfig) -> LogClient {
    LogClient::new(common.platform.log, &common.data_centre)
}

fn vms_client(common: &CommonConfig) -> VmsClient {
    VmsClient::new(common.platform.vms, &common.data_centre)
}
