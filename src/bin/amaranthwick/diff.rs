//! `amaranthwick diff`: compares a refused edit with the edits accepted before it.

use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

use amaranthwick::document::{Hunk, read_file, three_way_diff};
use anyhow::Result;

/// Prints the changes of two texts against their common base; the exit code is 1 if any conflict.
pub(crate) fn run(base: &Path, mine: &Path, current: &Path) -> Result<ExitCode> {
    let hunks = three_way_diff(&read_file(base)?, &read_file(mine)?, &read_file(current)?);
    for hunk in &hunks {
        writeln!(io::stdout(), "{hunk}")?;
    }
    let conflict = hunks.iter().any(Hunk::is_conflict);
    Ok(ExitCode::from(u8::from(conflict)))
}
