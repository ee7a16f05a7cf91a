//! `amaranthwick state`: prints the state of a process.

use std::io::{self, Write};
use std::net::SocketAddr;

use anyhow::Result;
use futures_lite::future::block_on;

use crate::admin;
use crate::exit::Exit;

/// Prints the state dump of the process with this admin address, as JSON.
pub(crate) fn run(address: SocketAddr) -> Result<Exit> {
    match block_on(admin::get(address, "/state")) {
        Ok(body) => {
            io::stdout().write_all(&body)?;
            Ok(Exit::Done)
        }
        Err(error) => {
            eprintln!("error: {error}");
            Ok(Exit::Unreachable)
        }
    }
}
