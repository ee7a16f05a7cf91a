//! Entry process: queues the requests of callers and sends them to targets.

use amaranthwick::config::{CommonConfig, EntryConfig};
use amaranthwick::control::{self, Control};
use amaranthwick::entry::Entry;
use amaranthwick::peer::Client;
use amaranthwick::runtime::Runtime;
use amaranthwick::services::{LogClient, VmsClient};
use amaranthwick::telemetry::log::Stream;
use amaranthwick::telemetry::{Admin, ProcessInfo, log};
use anyhow::{Context, Result};
use async_signal::{Signal, Signals};
use flags::AmaranthwickEntry;
use futures_lite::StreamExt;
use futures_lite::future::block_on;

mod flags {
    #![allow(missing_docs)] // The macro generates types without documentation.

    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves callers of one data centre.
        cmd amaranthwick-entry {
            /// Settings: JSON with comments.
            required --config file: PathBuf
        }
    }
}

fn main() -> Result<()> {
    let flags = AmaranthwickEntry::from_env_or_exit();
    let config = EntryConfig::read(&flags.config)?;
    log::init(Stream::Stdout)?;
    block_on(run(&config))
}

async fn run(config: &EntryConfig) -> Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let runtime = Runtime::start(config.threads)?;
    let control = open_control(&config.common)?;
    let entry = Entry::open_on(config, control.clone(), &runtime)?;
    control.register(entry.peer_address()).await;
    let _admin = Admin::bind(
        config.common.admin,
        &runtime,
        ProcessInfo::new(env!("CARGO_BIN_NAME"), &config.common),
        control,
        entry.metrics(),
        entry.state(),
    )
    .context("listen on the admin address")?;
    log::listening("callers", entry.caller_address());
    log::listening("peers", entry.peer_address());
    signals.next().await;
    entry.stop().await;
    Ok(())
}

fn open_control(common: &CommonConfig) -> Result<Control> {
    let platform = &common.platform;
    let log = LogClient::new(platform.log, &common.data_centre);
    let vms = VmsClient::new(platform.vms, &common.data_centre);
    control::spawn(common, log, vms, Client::new(common.secret.clone()))
}
