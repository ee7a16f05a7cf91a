//! Compares an edit that came second with what came first.

use std::fs;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

use amaranthwick::document;
use anyhow::{Context, Result};

/// Prints what changed between a base and two texts made from it; exit code 1 on a conflict.
pub(crate) fn run(base: &Path, mine: &Path, current: &Path) -> Result<ExitCode> {
    let hunks = document::three_way(&read(base)?, &read(mine)?, &read(current)?);
    for hunk in &hunks {
        writeln!(io::stdout(), "{hunk}")?;
    }
    let conflict = hunks.iter().any(document::Hunk::is_conflict);
    Ok(ExitCode::from(u8::from(conflict)))
}

fn read(file: &Path) -> Result<String> {
    fs::read_to_string(file).with_context(|| format!("read {}", file.display()))
}
