//! Operators' command.

mod admin;
mod args;
mod exit;
mod publish;
mod state;

use std::process::ExitCode;

use anyhow::Result;
use args::{Amaranthwick, AmaranthwickCmd};
use exit::Exit;

fn main() -> ExitCode {
    let args = Amaranthwick::from_env_or_exit();
    let exit = run(args.subcommand).unwrap_or_else(|error| {
        eprintln!("error: {error:#}");
        Exit::Usage
    });
    exit.into()
}

fn run(command: AmaranthwickCmd) -> Result<Exit> {
    match command {
        AmaranthwickCmd::Publish(args) => publish::run(args),
        AmaranthwickCmd::State(args) => state::run(args.address),
    }
}
