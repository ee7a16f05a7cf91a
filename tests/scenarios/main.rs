//! Runs the scenario scripts; docs/SCENARIOS.md describes their language.

#![allow(unreachable_pub)] // Nothing outside of a test crate can reach its items.

#[path = "../support/mod.rs"]
mod support;

mod args;
mod daemons;
mod decisions;
mod outcome;

use std::path::{Path, PathBuf};

use rstest::rstest;

/// Runs a script against the real daemons on loopback.
#[rstest]
fn real(#[files("tests/scenarios/real/*.txt")] script: PathBuf) {
    run(&mut daemons::Runner::new(), &script);
}

/// Runs a script against the control cores of several processes in virtual time.
#[rstest]
fn virtual_time(#[files("tests/scenarios/virtual/*.txt")] script: PathBuf) {
    run(&mut decisions::Runner::new(), &script);
}

fn run(runner: &mut impl goldenscript::Runner, script: &Path) {
    let result = goldenscript::run(runner, script);
    if let Err(error) = result {
        panic!("{}: {error}", script.display());
    }
}
