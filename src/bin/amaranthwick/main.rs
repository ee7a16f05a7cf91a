//! `amaranthwick`, the command for operators.

mod admin;
mod args;
mod check;
mod dev;
mod diff;
mod exit;
mod key;
mod publish;
mod state;

use std::process::ExitCode;

use anyhow::Result;
use args::{Amaranthwick, AmaranthwickCmd, Key, KeyCmd};
use exit::Exit;

fn main() -> ExitCode {
    let args = Amaranthwick::from_env_or_exit();
    run(args.subcommand).unwrap_or_else(|error| {
        eprintln!("error: {error:#}");
        Exit::Usage.into()
    })
}

fn run(command: AmaranthwickCmd) -> Result<ExitCode> {
    match command {
        AmaranthwickCmd::Check(args) => check::run(&args.file),
        AmaranthwickCmd::Publish(args) => publish::run(args).map(Exit::into),
        AmaranthwickCmd::Diff(args) => diff::run(&args.base, &args.mine, &args.current),
        AmaranthwickCmd::Key(args) => run_key(args),
        AmaranthwickCmd::Dev(args) => dev::run(&args).map(Exit::into),
        AmaranthwickCmd::State(args) => state::run(args.address).map(Exit::into),
    }
}

fn run_key(args: Key) -> Result<ExitCode> {
    match args.subcommand {
        KeyCmd::New(args) => key::new(&args.name),
        KeyCmd::Grant(args) => key::grant(&args.team, &args.name, &args.file),
        KeyCmd::Withdraw(args) => key::withdraw(&args.team, &args.name, &args.file),
        KeyCmd::Operator(args) => key::operator(&args.name, &args.file),
    }
}
