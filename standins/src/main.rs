//! Runs a fleet of stand-ins as a separate process.

use std::fs;
use std::io::{self, Write};
use std::net::IpAddr;
use std::path::PathBuf;
use std::thread;

use amaranthwick_standins::{Fleet, FleetSpec};
use anyhow::{Context, Result};

mod flags {
    use super::{IpAddr, PathBuf};

    xflags::xflags! {
        /// Runs stand-ins for the platform until the process is ended.
        cmd amaranthwick-standins {
            /// JSON description of the fleet.
            optional --spec file: PathBuf
            /// Address that everything listens on.
            optional --bind ip: IpAddr
            /// Age of what the VM list shows, in ms.
            optional --list-lag-ms ms: u64
            /// Time that a VM is down for a reboot, in ms.
            optional --reboot-ms ms: u64
        }
    }
}

fn main() -> Result<()> {
    let flags = flags::AmaranthwickStandins::from_env_or_exit();
    let fleet = Fleet::open(&read_spec(&flags)?)?;
    print_addresses(&fleet).context("print the addresses")?;
    loop {
        thread::park();
    }
}

fn read_spec(flags: &flags::AmaranthwickStandins) -> Result<FleetSpec> {
    let mut spec = match &flags.spec {
        None => FleetSpec::default(),
        Some(path) => {
            let path_context = || path.display().to_string();
            let text = fs::read_to_string(path).with_context(path_context)?;
            serde_json::from_str(&text).with_context(path_context)?
        }
    };
    spec.bind_ip = flags.bind.unwrap_or(spec.bind_ip);
    spec.list_lag_ms = flags.list_lag_ms.unwrap_or(spec.list_lag_ms);
    spec.reboot_ms = flags.reboot_ms.unwrap_or(spec.reboot_ms);
    Ok(spec)
}

fn print_addresses(fleet: &Fleet) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "site=log address={}", fleet.log_address())?;
    writeln!(out, "site=vms address={}", fleet.vms_address())?;
    writeln!(out, "site=pools address={}", fleet.pools_address())?;
    writeln!(out, "site=workers address={}", fleet.workers_address())?;
    writeln!(out, "site=control address={}", fleet.control_address())?;
    for executor in fleet.executors() {
        writeln!(
            out,
            "site=executor:{} data_centre={} address={}",
            executor.vm, executor.data_centre, executor.address
        )?;
    }
    writeln!(out, "event=ready")?;
    out.flush()
}
