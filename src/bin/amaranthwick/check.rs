//! `amaranthwick check`: prints all faults in a document.

use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

use amaranthwick::document::{self, Document};
use amaranthwick::finding::Findings;
use anyhow::Result;

/// Prints each finding as `file:line:column: message`; the exit code is 1 if there are any.
pub(crate) fn run(file: &Path) -> Result<ExitCode> {
    let Err(error) = read(file) else {
        return Ok(ExitCode::SUCCESS);
    };
    let findings: Findings = error.downcast()?;
    writeln!(io::stdout(), "{findings}")?;
    Ok(ExitCode::FAILURE)
}

fn read(file: &Path) -> Result<Document> {
    let text = document::read_file(file)?;
    Ok(document::parse(&file.display().to_string(), &text)?)
}
