//! Prints every fault of a document.

use std::fs;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

use amaranthwick::document;
use anyhow::{Context, Result};

/// Prints each finding as `file:line:column: message`; exit code 1 if there are any.
pub(crate) fn run(file: &Path) -> Result<ExitCode> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).with_context(|| format!("read {name}"))?;
    match document::parse(&name, &text) {
        Ok(_) => Ok(ExitCode::SUCCESS),
        Err(findings) => {
            writeln!(io::stdout(), "{findings}")?;
            Ok(ExitCode::FAILURE)
        }
    }
}
