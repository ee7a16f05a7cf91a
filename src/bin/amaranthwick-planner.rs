//! Planner process: places VMs and jobs while it holds the planner role.

use amaranthwick::config::PlannerConfig;
use amaranthwick::control::{self, Control, Settings};
use amaranthwick::membership::FetchOnlyPeers;
use amaranthwick::peer::Client;
use amaranthwick::planner;
use amaranthwick::runtime::Runtime;
use amaranthwick::services::{LogClient, PoolsClient, VmsClient, WorkersClient};
use amaranthwick::telemetry::log::Stream;
use amaranthwick::telemetry::{Admin, DaemonStatus, Metrics, ProcessInfo, log};
use anyhow::{Context, Result};
use async_signal::{Signal, Signals};
use flags::AmaranthwickPlanner;
use futures_lite::StreamExt;
use futures_lite::future::block_on;
use serde_json::{Value, json};

const TRAFFIC_THREADS: usize = 2;

mod flags {
    #![allow(missing_docs)] // The macro generates types without documentation.

    use std::path::PathBuf;

    xflags::xflags! {
        /// Places VMs and jobs of the fleet while it holds the planner role.
        cmd amaranthwick-planner {
            /// Settings: JSON with comments.
            required --config file: PathBuf
        }
    }
}

/// State dump of the process: it has no state beyond what the control thread dumps.
struct EmptyState;

impl DaemonStatus for EmptyState {
    async fn dump(&self) -> Value {
        json!({})
    }
}

fn main() -> Result<()> {
    let flags = AmaranthwickPlanner::from_env_or_exit();
    let config = PlannerConfig::read(&flags.config)?;
    log::init(Stream::Stdout)?;
    block_on(run(&config))
}

async fn run(config: &PlannerConfig) -> Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let runtime = Runtime::start(TRAFFIC_THREADS)?;
    let control = open_control(config)?;
    let platform = planner::PlatformClients {
        workers: WorkersClient::new(config.common.platform.workers, &config.common.data_centre),
        pools: PoolsClient::new(config.common.platform.pools, &config.common.data_centre),
    };
    let _planner = planner::spawn(config, control.clone(), platform, &runtime);
    let process = ProcessInfo::new(env!("CARGO_BIN_NAME"), &config.common);
    let _admin = Admin::bind(
        config.common.admin,
        &runtime,
        process,
        control,
        Metrics::new(),
        EmptyState,
    )
    .context("listen on the admin address")?;
    signals.next().await;
    Ok(())
}

fn open_control(config: &PlannerConfig) -> Result<Control> {
    let common = &config.common;
    let settings = Settings {
        snapshot_every: config.snapshot_every,
        ..Settings::default()
    };
    let log = LogClient::new(common.platform.log, &common.data_centre);
    let vms = VmsClient::new(common.platform.vms, &common.data_centre);
    let peers = FetchOnlyPeers(Client::new(common.secret.clone()));
    control::spawn_with(common, &settings, log, vms, peers)
}
