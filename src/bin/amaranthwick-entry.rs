//! Serves callers: checks keys, queues requests and sends them to targets.

use amaranthwick::config::{Common, EntryConfig};
use amaranthwick::control::{self, Control};
use amaranthwick::entry::{Entry, State};
use amaranthwick::peer::Client;
use amaranthwick::platform::{LogClient, VmsClient};
use amaranthwick::runtime::Runtime;
use amaranthwick::telemetry::log::Stream;
use amaranthwick::telemetry::{Admin, Dump, Metrics, Process, log};
use anyhow::{Context, Result};
use async_signal::{Signal, Signals};
use flags::AmaranthwickEntry;
use futures_lite::StreamExt;
use futures_lite::future::block_on;
use serde_json::Value;

mod flags {
    #![allow(missing_docs)] // The macro gives its types no documentation.

    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves callers: checks keys, queues requests and sends them to targets.
        cmd amaranthwick-entry {
            /// Settings: JSON with comments.
            required --config file: PathBuf
        }
    }
}

struct Daemon(State);

impl Dump for Daemon {
    async fn dump(&self) -> Value {
        self.0.dump()
    }

    fn healthy(&self) -> bool {
        self.0.healthy()
    }
}

fn main() -> Result<()> {
    let flags = AmaranthwickEntry::from_env_or_exit();
    let config = EntryConfig::read(&flags.config)?;
    log::open(Stream::Stdout)?;
    block_on(run(&config))
}

async fn run(config: &EntryConfig) -> Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let runtime = Runtime::open(config.threads)?;
    let control = open_control(&config.common)?;
    let entry = Entry::open_on(config, control.clone(), &runtime)?;
    control.register(entry.peers()).await;
    let admin = Admin::bind(
        config.common.admin,
        &runtime,
        Process::new(env!("CARGO_BIN_NAME"), &config.common),
        control,
        Metrics::open(),
        Daemon(entry.state()),
    )
    .context("listen on the admin address")?;
    spdlog::info!("entry_started", kv: {
        callers = entry.callers().to_string(),
        peer = entry.peers().to_string(),
        admin = admin.address().to_string(),
    });
    signals.next().await;
    entry.stop().await;
    Ok(())
}

fn open_control(common: &Common) -> Result<Control> {
    let platform = &common.platform;
    let log = LogClient::new(platform.log, &common.data_centre);
    let vms = VmsClient::new(platform.vms, &common.data_centre);
    control::spawn(common, log, vms, Client::new(common.secret.clone()))
}
